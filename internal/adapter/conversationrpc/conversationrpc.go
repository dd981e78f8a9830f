// Package conversationrpc transfers turns of conversations between hosts over drpc.
package conversationrpc

import (
	"context"

	"github.com/juju/errors"
	"storj.io/drpc"

	core "yuccausher/internal/core/conversation"
	"yuccausher/internal/gen/conversation"
	"yuccausher/internal/port"
)

// Dialer connects to other hosts.
type Dialer interface {
	Self() string
	Hosts() []string
	IsKnown() bool
	Connect(ctx context.Context, host string) (drpc.Conn, error)
}

// Client sends requests to other hosts. It implements port.ConversationPeers.
type Client struct{ Dialer }

var _ port.ConversationPeers = Client{}

// Find implements port.ConversationPeers. It also returns an error if the reply
// contains another turn than the one asked for.
func (c Client) Find(ctx context.Context, host string, q port.TurnQuery) (port.Finding, core.Chain, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.TurnUncertain, nil, err
	}
	defer conn.Close()
	reply, err := conversation.NewDRPCConversationsClient(conn).Find(ctx, &conversation.FindRequest{Turn: []byte(q.Turn), Part: uint32(q.Part)})
	if err != nil {
		return port.TurnUncertain, nil, errors.Annotatef(err, "find at host %s", host)
	}
	switch reply.Finding {
	case conversation.Finding_FINDING_MISSING:
		return port.TurnMissing, nil, nil
	case conversation.Finding_FINDING_FOUND:
		chain, err := DecodeChain(reply)
		if err != nil {
			return port.TurnUncertain, nil, errors.Annotatef(err, "find at host %s", host)
		}
		if chain.Last().ID != q.Turn {
			return port.TurnUncertain, nil, errors.Errorf("host %s returned a different turn", host)
		}
		return port.TurnFound, chain, nil
	}
	return port.TurnUncertain, nil, nil
}

// EncodeChain returns the reply of a host that has found a chain.
func EncodeChain(chain core.Chain) *conversation.FindReply {
	reply := &conversation.FindReply{Finding: conversation.Finding_FINDING_FOUND}
	for _, t := range chain {
		reply.Chain = append(reply.Chain, core.ToWire(t))
		reply.Part = uint32(t.Partition)
	}
	return reply
}

// DecodeChain decodes the chain of a reply. It returns an error if a turn is invalid or
// missing.
func DecodeChain(reply *conversation.FindReply) (core.Chain, error) {
	chain := make(core.Chain, 0, len(reply.Chain))
	for _, m := range reply.Chain {
		t, err := core.FromWire(m, int(reply.Part))
		if err != nil {
			return nil, err
		}
		chain = append(chain, t)
	}
	if !chain.IsComplete() {
		return nil, errors.New("a turn of the chain is missing")
	}
	return chain, nil
}

var keepModes = map[port.KeepMode]conversation.Custody{
	port.KeepCopy:   conversation.Custody_CUSTODY_COPY,
	port.KeepAppend: conversation.Custody_CUSTODY_APPEND,
}

// Keep implements port.ConversationPeers.
func (c Client) Keep(ctx context.Context, host string, t *core.Turn, mode port.KeepMode) (bool, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	reply, err := conversation.NewDRPCConversationsClient(conn).Keep(ctx, &conversation.KeepRequest{
		Turn:    core.ToWire(t),
		Part:    uint32(t.Partition),
		Custody: keepModes[mode],
	})
	if err != nil {
		return false, errors.Annotatef(err, "keep at host %s", host)
	}
	return reply.Kept, nil
}

// Register registers s at a drpc server as the handler of conversation requests.
func Register(mux drpc.Mux, s port.ConversationServer) error {
	return errors.Trace(conversation.DRPCRegisterConversations(mux, &handler{server: s}))
}

type handler struct{ server port.ConversationServer }

// Find implements conversation.DRPCConversationsServer.
func (h *handler) Find(ctx context.Context, r *conversation.FindRequest) (*conversation.FindReply, error) {
	finding, chain := h.server.FindLocal(ctx, port.TurnQuery{Turn: string(r.Turn), Part: int(r.Part)})
	switch finding {
	case port.TurnFound:
		return EncodeChain(chain), nil
	case port.TurnMissing:
		return &conversation.FindReply{Finding: conversation.Finding_FINDING_MISSING}, nil
	}
	return &conversation.FindReply{Finding: conversation.Finding_FINDING_UNCERTAIN}, nil
}

// Keep implements conversation.DRPCConversationsServer.
func (h *handler) Keep(ctx context.Context, r *conversation.KeepRequest) (*conversation.KeepReply, error) {
	t, err := core.FromWire(r.Turn, int(r.Part))
	if err != nil {
		return nil, err
	}
	for mode, wire := range keepModes {
		if wire == r.Custody {
			return &conversation.KeepReply{Kept: h.server.KeepLocal(ctx, t, mode)}, nil
		}
	}
	return &conversation.KeepReply{}, nil
}
