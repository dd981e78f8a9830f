// Package handoverrpc passes requests of callers on between hosts over drpc.
package handoverrpc

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	pb "yuccausher/internal/gen/handover"
	"yuccausher/internal/port"
)

// bodyPartBytes limits the body in one message.
const bodyPartBytes = 64 << 10

// Dialer connects to other hosts.
type Dialer interface {
	Hosts() []string
	Connect(ctx context.Context, host string) (drpc.Conn, error)
}

// Client passes requests on to other hosts. It implements port.HandoverPeers.
type Client struct {
	Dialer
	// Host is the name of this host.
	Host string
}

var _ port.HandoverPeers = Client{}

// Offer implements port.HandoverPeers.
func (c Client) Offer(ctx context.Context, host string, r port.HandoverRequest) (port.HandoverOffer, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.HandoverOffer{}, err
	}
	// The stream must not end with ctx once it has finished: the library may then close a
	// connection that carries the next request.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	stream, err := pb.NewDRPCHandoverClient(conn).Serve(streamCtx)
	if err != nil {
		detach()
		cancel()
		_ = conn.Close()
		return port.HandoverOffer{}, errors.Annotatef(err, "offer a request to host %s", host)
	}
	a := &answer{stream: stream, conn: conn, cancel: cancel, detach: detach, request: r}
	head := &pb.RequestHead{
		Method:       r.Method,
		Uri:          r.URI,
		Host:         r.Host,
		Fields:       encodeFields(r.Header),
		From:         c.Host,
		Recorded:     r.IsRecorded,
		Attempts:     int32(r.Attempts),
		Identified:   r.IsIdentified,
		Organisation: []byte(r.Organisation),

		Configuration: r.View.Configuration,
	}
	if r.View.HasTargets {
		head.TargetsAgeMs = proto.Int64(r.View.TargetsAge.Milliseconds())
	}
	if r.Said != nil {
		head.Events, head.ResumedAfter = uint32(r.Said.Len()), []byte(r.Said.ResumedAfter())
	}
	err = stream.Send(&pb.RequestPart{Head: head})
	var first *pb.AnswerPart
	if err == nil {
		first, err = stream.Recv()
	}
	if err != nil {
		a.Close()
		return port.HandoverOffer{}, errors.Annotatef(err, "offer a request to host %s", host)
	}
	if d := decodeDecision(first.GetDecision()); d != port.HandoverTaken {
		if err := stream.CloseSend(); err == nil {
			a.finish()
		}
		a.Close()
		return port.HandoverOffer{Decision: d, Configuration: first.GetConfiguration()}, nil
	}
	return port.HandoverOffer{Decision: port.HandoverTaken, Configuration: first.GetConfiguration(), Answer: a}, nil
}

func decodeDecision(d pb.Decision) port.HandoverDecision {
	switch d {
	case pb.Decision_DECISION_TAKEN:
		return port.HandoverTaken
	case pb.Decision_DECISION_CUT_OFF:
		return port.HandoverCutOff
	case pb.Decision_DECISION_BUSY:
		return port.HandoverBusy
	case pb.Decision_DECISION_OUTDATED:
		return port.HandoverOutdated
	}
	return port.HandoverLeaving
}

// answer is the answer to a request that another host has taken.
type answer struct {
	stream pb.DRPCHandover_ServeClient
	conn   drpc.Conn
	// cancel ends the stream, and with it the connection if the stream has not finished.
	cancel context.CancelFunc
	// detach keeps the stream from ending with the caller's request.
	detach func() bool
	// isFinished is set after the stream has ended in order.
	isFinished bool
	request    port.HandoverRequest
	// rest is the body in the part that held the head.
	rest       []byte
	isComplete bool
}

// Start implements port.HandoverAnswer.
func (a *answer) Start() (int, http.Header, error) {
	if err := a.sendEvents(); err != nil {
		return 0, nil, err
	}
	body := a.request.Body
	for {
		n := min(len(body), bodyPartBytes)
		part := &pb.RequestPart{Body: body[:n], Last: n == len(body)}
		if err := a.stream.Send(part); err != nil {
			return 0, nil, errors.Annotate(err, "send the body")
		}
		if part.Last {
			break
		}
		body = body[n:]
	}
	if err := a.stream.CloseSend(); err != nil {
		return 0, nil, errors.Annotate(err, "send the end of the request")
	}
	part, err := a.stream.Recv()
	if err != nil {
		return 0, nil, errors.Annotate(err, "receive the head of the answer")
	}
	if part.GetHead() == nil {
		return 0, nil, errors.New("answer without a head")
	}
	a.rest, a.isComplete = part.GetBody(), part.GetComplete()
	return int(part.GetHead().GetStatus()), decodeFields(part.GetHead().GetFields()), nil
}

// sendEvents sends what a kept turn has said so far.
func (a *answer) sendEvents() error {
	if a.request.Said == nil {
		return nil
	}
	for _, e := range a.request.Said.Events(0) {
		if err := a.stream.Send(&pb.RequestPart{Event: &pb.Event{Id: []byte(e.ID), Data: e.Data}}); err != nil {
			return errors.Annotate(err, "send an event")
		}
	}
	return nil
}

// Next implements port.HandoverAnswer.
func (a *answer) Next() ([]byte, error) {
	if len(a.rest) > 0 {
		rest := a.rest
		a.rest = nil
		return rest, nil
	}
	if a.isComplete {
		a.finish()
		return nil, io.EOF
	}
	part, err := a.stream.Recv()
	if err != nil {
		return nil, errors.Annotate(noEOF(err), "receive the answer")
	}
	a.isComplete = part.GetComplete()
	if len(part.GetBody()) == 0 && a.isComplete {
		a.finish()
		return nil, io.EOF
	}
	return part.GetBody(), nil
}

// finishTimeout limits the wait for the end of a stream after its last part.
const finishTimeout = 100 * time.Millisecond

// finish waits for the end of the stream, which follows the last part at once. The connection is
// then free for another request.
func (a *answer) finish() {
	timer := time.AfterFunc(finishTimeout, a.cancel)
	_, err := a.stream.Recv()
	<-a.stream.Context().Done()
	a.isFinished = timer.Stop() && errors.Is(err, io.EOF)
}

// noEOF replaces io.EOF: an answer ends with a part that says so.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close implements port.HandoverAnswer.
func (a *answer) Close() {
	a.detach()
	if !a.isFinished {
		a.cancel()
	}
	// Closing a connection of a pool only returns it.
	_ = a.conn.Close()
}

func encodeFields(h http.Header) []*pb.Field {
	list := make([]*pb.Field, 0, len(h))
	for name, values := range h {
		f := &pb.Field{Name: name}
		for _, v := range values {
			f.Values = append(f.Values, []byte(v))
		}
		list = append(list, f)
	}
	return list
}

func decodeFields(list []*pb.Field) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		for _, v := range f.GetValues() {
			h[f.GetName()] = append(h[f.GetName()], string(v))
		}
	}
	return h
}
