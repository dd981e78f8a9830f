package handoverrpc

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/handover"
	pb "yuccausher/internal/gen/handover"
	"yuccausher/internal/port"
)

// Register registers the service that takes requests of other hosts at a drpc server.
func Register(mux drpc.Mux, s port.HandoverServer) error {
	return errors.Trace(pb.DRPCRegisterHandover(mux, &handler{server: s}))
}

type handler struct{ server port.HandoverServer }

// Serve implements handover.DRPCHandoverServer.
func (h *handler) Serve(stream pb.DRPCHandover_ServeStream) error {
	part, err := stream.Recv()
	if err != nil {
		return errors.Annotate(err, "receive the head of a request")
	}
	from := decodeSender(part.GetHead())
	decision, configuration, release := h.server.Admit(from)
	if err := stream.Send(&pb.AnswerPart{Decision: encodeDecision(decision), Configuration: configuration}); err != nil || decision != port.HandoverTaken {
		release()
		return errors.Annotate(err, "send a decision")
	}
	defer release()
	body := &bodyReader{stream: stream}
	r, err := newRequest(stream.Context(), part.GetHead(), body)
	if err != nil {
		return err
	}
	w := &answerWriter{stream: stream, header: make(http.Header)}
	if from.Said, err = receiveEvents(stream, part.GetHead()); err != nil {
		return err
	}
	if !serve(h.server, w, r, from) {
		return errors.New("answer was broken off")
	}
	return w.end()
}

// serve returns false if the answer was aborted, which http handlers do by a panic.
func serve(s port.HandoverServer, w http.ResponseWriter, r *http.Request, from port.HandoverSender) (isComplete bool) {
	defer func() {
		if v := recover(); v != nil && v != any(http.ErrAbortHandler) {
			panic(v)
		}
	}()
	s.ServeHandover(w, r, from)
	return true
}

func encodeDecision(d port.HandoverDecision) pb.Decision {
	switch d {
	case port.HandoverTaken:
		return pb.Decision_DECISION_TAKEN
	case port.HandoverCutOff:
		return pb.Decision_DECISION_CUT_OFF
	case port.HandoverBusy:
		return pb.Decision_DECISION_BUSY
	case port.HandoverOutdated:
		return pb.Decision_DECISION_OUTDATED
	}
	return pb.Decision_DECISION_LEAVING
}

func decodeSender(head *pb.RequestHead) port.HandoverSender {
	return port.HandoverSender{
		Host:         head.GetFrom(),
		IsRecorded:   head.GetRecorded(),
		Attempts:     int(max(head.GetAttempts(), 0)),
		IsIdentified: head.GetIdentified(),
		Organisation: string(head.GetOrganisation()),
		View: handover.View{
			Configuration: head.GetConfiguration(),
			TargetsAge:    time.Duration(max(head.GetTargetsAgeMs(), 0)) * time.Millisecond,
			HasTargets:    head.TargetsAgeMs != nil,
		},
	}
}

// receiveEvents receives what a kept turn has said at the host before. It returns nil if the head announces no events.
func receiveEvents(stream pb.DRPCHandover_ServeStream, head *pb.RequestHead) (*conversation.Transcript, error) {
	if head.GetEvents() == 0 {
		return nil, nil
	}
	var events []conversation.Event
	for range head.GetEvents() {
		part, err := stream.Recv()
		if err != nil {
			return nil, errors.Annotate(noEOF(err), "receive an event")
		}
		e := part.GetEvent()
		if e == nil {
			return nil, errors.New("request has fewer events than its head announces")
		}
		events = append(events, conversation.Event{ID: string(e.GetId()), Data: e.GetData()})
	}
	said, ok := conversation.RestoreTranscript(events, string(head.GetResumedAfter()))
	if !ok {
		return nil, errors.New("events of a request do not reach the one after which it went on")
	}
	return said, nil
}

func newRequest(ctx context.Context, head *pb.RequestHead, body io.Reader) (*http.Request, error) {
	target, err := url.ParseRequestURI(head.GetUri())
	if err != nil {
		return nil, errors.Annotate(err, "URI of a request")
	}
	r := &http.Request{
		Method:        head.GetMethod(),
		URL:           target,
		RequestURI:    head.GetUri(),
		Host:          head.GetHost(),
		Header:        decodeFields(head.GetFields()),
		Body:          io.NopCloser(body),
		ContentLength: -1,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return r.WithContext(ctx), nil
}

// bodyReader reads the body of a request from its parts.
type bodyReader struct {
	stream pb.DRPCHandover_ServeStream
	rest   []byte
	isLast bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.isLast {
			return 0, io.EOF
		}
		part, err := r.stream.Recv()
		if err != nil {
			return 0, errors.Annotate(noEOF(err), "receive the body of a request")
		}
		r.rest, r.isLast = part.GetBody(), part.GetLast()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// answerWriter sends an answer to the host that passed the request on. Its head is sent with
// the first part of the body.
type answerWriter struct {
	stream pb.DRPCHandover_ServeStream
	header http.Header
	// head is the head that is to be sent; nil before WriteHeader and after it was sent.
	head   *pb.AnswerHead
	isSent bool
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.head == nil && !w.isSent {
		w.head = &pb.AnswerHead{Status: int32(status), Fields: encodeFields(w.header)}
	}
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for n := 0; ; {
		size := min(len(p)-n, bodyPartBytes)
		if err := w.send(&pb.AnswerPart{Body: p[n : n+size]}); err != nil {
			return n, err
		}
		if n += size; n == len(p) {
			return n, nil
		}
	}
}

// Flush implements http.Flusher. Parts are sent at once.
func (w *answerWriter) Flush() {}

func (w *answerWriter) send(part *pb.AnswerPart) error {
	part.Head = w.head
	w.head, w.isSent = nil, true
	return errors.Annotate(w.stream.Send(part), "send an answer")
}

// end sends the end of a complete answer.
func (w *answerWriter) end() error {
	if w.head == nil && !w.isSent {
		return errors.New("request ended without an answer")
	}
	return w.send(&pb.AnswerPart{Complete: true})
}
