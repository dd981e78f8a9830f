package conversationrpc

import (
	"context"

	"github.com/juju/errors"

	core "yuccausher/internal/core/conversation"
	"yuccausher/internal/gen/conversation"
	"yuccausher/internal/port"
)

// KeepEvents implements port.ConversationPeers.
func (c Client) KeepEvents(ctx context.Context, host string, e port.AttemptEvents) (int, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	reply, err := conversation.NewDRPCConversationsClient(conn).KeepEvents(ctx, EncodeEvents(e))
	if err != nil {
		return 0, errors.Annotatef(err, "copy events to host %s", host)
	}
	return int(reply.Have), nil
}

// FindEvents implements port.ConversationPeers.
func (c Client) FindEvents(ctx context.Context, host, stream string) ([]core.Held, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := conversation.NewDRPCConversationsClient(conn).FindEvents(ctx, &conversation.FindEventsRequest{Stream: []byte(stream)})
	if err != nil {
		return nil, errors.Annotatef(err, "find events at host %s", host)
	}
	held, err := DecodeHeld(reply, stream)
	return held, errors.Annotatef(err, "find events at host %s", host)
}

// EncodeEvents returns the message of events.
func EncodeEvents(e port.AttemptEvents) *conversation.AttemptEvents {
	m := &conversation.AttemptEvents{
		Stream:       []byte(e.Stream),
		Attempt:      []byte(e.ID),
		Organisation: []byte(e.Organisation),
		ResumedAfter: []byte(e.ResumedAfter),
		From:         uint32(e.From),
	}
	for _, event := range e.Events {
		m.Events = append(m.Events, &conversation.Event{Id: []byte(event.ID), Data: event.Data})
	}
	return m
}

// DecodeEvents returns the events of a message.
func DecodeEvents(m *conversation.AttemptEvents) port.AttemptEvents {
	e := port.AttemptEvents{
		Attempt:      core.Attempt{Stream: string(m.GetStream()), ID: string(m.GetAttempt()), Organisation: string(m.GetOrganisation())},
		ResumedAfter: string(m.GetResumedAfter()),
		From:         int(m.GetFrom()),
	}
	for _, event := range m.GetEvents() {
		e.Events = append(e.Events, core.Event{ID: string(event.GetId()), Data: event.GetData()})
	}
	return e
}

// EncodeHeld returns the reply of a host that holds events of a stream.
func EncodeHeld(held []core.Held) *conversation.FindEventsReply {
	reply := &conversation.FindEventsReply{}
	for _, h := range held {
		reply.Attempts = append(reply.Attempts, EncodeEvents(port.AttemptEvents{Attempt: h.Attempt, ResumedAfter: h.Transcript.ResumedAfter(), Events: h.Transcript.Events(0)}))
	}
	return reply
}

// DecodeHeld decodes the reply of a host that was asked for a stream. It returns an error if the events of an attempt
// are of another stream or don't begin with the first one.
func DecodeHeld(reply *conversation.FindEventsReply, stream string) ([]core.Held, error) {
	var held []core.Held
	for _, m := range reply.GetAttempts() {
		e := DecodeEvents(m)
		t, ok := core.RestoreTranscript(e.Events, e.ResumedAfter)
		if !ok || e.From != 0 || e.Stream != stream {
			return nil, errors.Errorf("invalid events of stream %s", stream)
		}
		held = append(held, core.Held{Attempt: e.Attempt, Transcript: t})
	}
	return held, nil
}

// KeepEvents implements conversation.DRPCConversationsServer.
func (h *handler) KeepEvents(_ context.Context, m *conversation.AttemptEvents) (*conversation.KeepEventsReply, error) {
	return &conversation.KeepEventsReply{Have: uint32(h.server.KeepEventsLocal(DecodeEvents(m)))}, nil
}

// FindEvents implements conversation.DRPCConversationsServer.
func (h *handler) FindEvents(_ context.Context, r *conversation.FindEventsRequest) (*conversation.FindEventsReply, error) {
	return EncodeHeld(h.server.FindEventsLocal(string(r.GetStream()))), nil
}
