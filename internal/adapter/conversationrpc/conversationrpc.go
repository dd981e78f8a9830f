// Package conversationrpc carries turns of conversations between hosts over drpc.
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

// Client asks other hosts. It implements port.ConversationPeers.
type Client struct{ Dialer }

var _ port.ConversationPeers = Client{}

// Find implements port.ConversationPeers.
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
			return port.TurnUncertain, nil, errors.Errorf("host %s answered for another turn", host)
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

// DecodeChain reads the chain of such a reply. It returns an error if the chain has
// a gap.
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
		return nil, errors.New("chain with a gap")
	}
	return chain, nil
}

var custodies = map[port.KeepMode]conversation.Custody{
	port.KeepCopy:   conversation.Custody_CUSTODY_COPY,
	port.KeepAppend: conversation.Custody_CUSTODY_APPEND,
}

// Keep implements port.ConversationPeers.
func (c Client) Keep(ctx context.Context, host string, t *core.Turn, custody port.KeepMode) (bool, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	reply, err := conversation.NewDRPCConversationsClient(conn).Keep(ctx, &conversation.KeepRequest{
		Turn:    core.ToWire(t),
		Part:    uint32(t.Partition),
		Custody: custodies[custody],
	})
	if err != nil {
		return false, errors.Annotatef(err, "keep at host %s", host)
	}
	return reply.Kept, nil
}

// Register makes a drpc server answer for an archivist.
func Register(mux drpc.Mux, a port.ConversationServer) error {
	return errors.Trace(conversation.DRPCRegisterConversations(mux, &handler{archivist: a}))
}

type handler struct{ archivist port.ConversationServer }

// Find implements conversation.DRPCConversationsServer.
func (h *handler) Find(ctx context.Context, r *conversation.FindRequest) (*conversation.FindReply, error) {
	finding, chain := h.archivist.FindLocal(ctx, port.TurnQuery{Turn: string(r.Turn), Part: int(r.Part)})
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
	for ours, theirs := range custodies {
		if theirs == r.Custody {
			return &conversation.KeepReply{Kept: h.archivist.KeepLocal(ctx, t, ours)}, nil
		}
	}
	return &conversation.KeepReply{}, nil
}
