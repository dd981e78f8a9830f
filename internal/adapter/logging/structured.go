package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queuedLines is the maximum number of lines that wait to be written if the
	// reader of the log is slow.
	queuedLines = 1024
	// A batch is written when it has flushBytes, or flushInterval after its
	// first line.
	flushBytes    = 16 << 10
	flushInterval = 200 * time.Millisecond
	// burstSeconds is the size of a burst, in seconds of the maximum rate.
	burstSeconds = 2
	// droppedInterval is the minimum time between reports of dropped lines.
	droppedInterval = 5 * time.Second
)

// Structured is a logger of JSON lines that never blocks: lines that exceed the
// rate limit or find the queue full are counted and dropped.
type Structured struct {
	logr.Logger
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	out     io.Writer
	done    chan struct{}
	closed  chan struct{}
}

// NewStructured returns a logger that writes JSON lines to w, limited to
// linesPerSecond.
func NewStructured(w io.Writer, level Level, linesPerSecond int) *Structured {
	s := &Structured{
		queue:  make(chan []byte, queuedLines),
		limit:  rate.NewLimiter(rate.Limit(linesPerSecond), burstSeconds*linesPerSecond),
		out:    w,
		done:   make(chan struct{}),
		closed: make(chan struct{}),
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "part",
		MessageKey:     "message",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		EncodeName:     zapcore.FullNameEncoder,
	})
	s.Logger = zapr.NewLogger(zap.New(zapcore.NewCore(encoder, sink{s}, zapLevel(level))))
	go s.write()
	return s
}

// sink receives lines from zap. It implements zapcore.WriteSyncer.
type sink struct{ s *Structured }

// Write implements io.Writer. It never fails.
func (k sink) Write(line []byte) (int, error) {
	if !k.s.limit.Allow() {
		k.s.dropped.Add(1)
		return len(line), nil
	}
	// The line is copied because zap reuses its buffer.
	select {
	case k.s.queue <- append([]byte(nil), line...):
	default:
		k.s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (sink) Sync() error { return nil }

// write writes queued lines in batches until the logger is closed.
func (s *Structured) write() {
	defer close(s.closed)
	var batch []byte
	reported := time.Now()
	for {
		select {
		case line := <-s.queue:
			batch = s.gather(append(batch, line...))
		case <-s.done:
			batch = s.drain(batch)
			s.flush(batch)
			return
		}
		s.flush(batch)
		batch = batch[:0]
		if n := s.dropped.Load(); n > 0 && time.Since(reported) > droppedInterval {
			reported = time.Now()
			s.dropped.Add(-n)
			s.WithName("log").Info("Log lines were dropped.", "lines", n)
		}
	}
}

// gather adds the lines that arrive within the flush interval to the batch.
func (s *Structured) gather(batch []byte) []byte {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(batch) < flushBytes {
		select {
		case line := <-s.queue:
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		case <-s.done:
			return batch
		}
	}
	return batch
}

// drain adds all queued lines to the batch without waiting.
func (s *Structured) drain(batch []byte) []byte {
	for {
		select {
		case line := <-s.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

func (s *Structured) flush(batch []byte) {
	// The error is ignored: there is no other place to report it.
	_, _ = s.out.Write(batch)
}

// Close writes the queued lines. It returns early if ctx ends.
func (s *Structured) Close(ctx context.Context) {
	close(s.done)
	select {
	case <-s.closed:
	case <-ctx.Done():
	}
}
