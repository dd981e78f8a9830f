package httpapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// maxBufferedBytes bounds the text buffered for a caller that reads slowly.
const maxBufferedBytes = 1 << 20

// The events of a stream.
const (
	eventDelta = "delta"
	eventDone  = "done"
	eventError = "error"
)

// SlowCallerError reports that the buffer of a slow caller is full.
type SlowCallerError struct {
	PendingBytes int
}

// Error implements error.
func (e *SlowCallerError) Error() string { return "caller reads too slowly: stream buffer is full" }

type deltaEvent struct {
	Offset int64  `json:"offset"`
	Text   string `json:"text"`
}

// deltaBuffer holds the deltas that were not written yet. Adjacent deltas are
// merged.
type deltaBuffer struct {
	ready chan struct{}

	mu     sync.Mutex
	pieces []deltaEvent
	bytes  int
}

func newDeltaBuffer() *deltaBuffer { return &deltaBuffer{ready: make(chan struct{}, 1)} }

// add is the sink of a streamed call. It does not block on the caller and
// returns *SlowCallerError if the buffer is full.
func (p *deltaBuffer) add(d port.Delta) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes+len(d.Text) > maxBufferedBytes {
		return &SlowCallerError{PendingBytes: p.bytes}
	}
	p.bytes += len(d.Text)
	p.join(d)
	select {
	case p.ready <- struct{}{}:
	default:
	}
	return nil
}

func (p *deltaBuffer) join(d port.Delta) {
	if n := len(p.pieces); n > 0 {
		last := &p.pieces[n-1]
		if last.Offset+int64(len(last.Text)) == d.Offset {
			last.Text += d.Text
			return
		}
	}
	p.pieces = append(p.pieces, deltaEvent{Offset: d.Offset, Text: d.Text})
}

func (p *deltaBuffer) take() []deltaEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	pieces := p.pieces
	p.pieces = nil
	p.bytes = 0
	return pieces
}

// outcome is the result of a call.
type outcome struct {
	answer port.Answer
	err    error
}

// streamCall runs a call and writes its events. The call is cancelled if the
// caller disconnects or stops reading.
func (a *API) streamCall(c *gin.Context, call port.Call) {
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	p := newDeltaBuffer()
	sink := a.metrics.measureDeltas(p.add)
	ended := make(chan outcome, 1)
	go func() { ended <- a.run(ctx, call, sink) }()
	s := &eventStream{writer: c.Writer, timeout: a.Limits.WriteTimeout}
	s.open()
	heartbeat := time.NewTicker(a.Limits.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-p.ready:
			s.deltas(p.take())
		case <-heartbeat.C:
			s.comment()
		case o := <-ended:
			s.deltas(p.take())
			a.finish(s, call, o)
			return
		}
		if s.err != nil {
			cancel()
			<-ended
			return
		}
	}
}

// run makes the call. A panic becomes an internal fault, as in a handler.
func (a *API) run(ctx context.Context, call port.Call, sink port.Sink) (o outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			a.Log.Error(nil, "Streamed call panicked.", "request", call.RequestID, "cause", cause)
			o = outcome{err: fault.New(fault.Internal, fault.Unknown, "internal failure")}
		}
	}()
	answer, err := a.Programs.Call(ctx, call, sink)
	return outcome{answer: answer, err: err}
}

// finish writes the last event: the answer or the error.
func (a *API) finish(s *eventStream, call port.Call, o outcome) {
	if o.err == nil {
		s.event(eventDone, o.answer)
		return
	}
	f := withRequestID(o.err, call.RequestID)
	a.recordFailure(f)
	s.event(eventError, bodyOf(f))
}

// eventStream writes server-sent events, each within a timeout. After the
// first failed write, err is set and further writes are dropped.
type eventStream struct {
	writer  gin.ResponseWriter
	timeout time.Duration
	err     error
}

func (s *eventStream) open() {
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.writer.WriteHeader(http.StatusOK)
	s.write(nil)
}

func (s *eventStream) deltas(list []deltaEvent) {
	for _, d := range list {
		s.event(eventDelta, d)
	}
}

func (s *eventStream) comment() { s.write([]byte(":\n\n")) }

func (s *eventStream) event(name string, body any) {
	data, err := encode(body)
	if err != nil {
		s.err = err
		return
	}
	line := make([]byte, 0, len(data)+len(name)+16)
	line = append(line, "event: "...)
	line = append(line, name...)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	line = append(line, '\n')
	s.write(line)
}

func (s *eventStream) write(data []byte) {
	if s.err != nil {
		return
	}
	control := http.NewResponseController(s.writer)
	_ = control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, s.err = s.writer.Write(data); s.err != nil {
		return
	}
	s.err = control.Flush()
}
