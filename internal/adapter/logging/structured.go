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
	// queuedLines is how many lines wait for a slow reader of the log.
	queuedLines = 1024
	// flushBytes is how many bytes are gathered before they are written, and
	// flushInterval how long a line waits at most.
	flushBytes    = 16 << 10
	flushInterval = 200 * time.Millisecond
	// burstSeconds is how many seconds' lines may come at once.
	burstSeconds = 2
	// droppedInterval is how often lines that were left out are reported.
	droppedInterval = 5 * time.Second
)

// Structured is a logger of JSON lines that never blocks: lines beyond a rate
// and those for which a slow reader leaves no room are counted and left out.
type Structured struct {
	logr.Logger
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	out     io.Writer
	done    chan struct{}
	closed  chan struct{}
}

// NewStructured returns a logger that writes at most linesPerSecond to w.
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

// sink takes lines from zap. It implements zapcore.WriteSyncer.
type sink struct{ s *Structured }

// Write implements io.Writer.
func (k sink) Write(line []byte) (int, error) {
	if !k.s.limit.Allow() {
		k.s.dropped.Add(1)
		return len(line), nil
	}
	// zap uses the buffer of a line again.
	select {
	case k.s.queue <- append([]byte(nil), line...):
	default:
		k.s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (sink) Sync() error { return nil }

// write passes lines on, several at a time.
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
			s.WithName("log").Info("Lines were left out.", "lines", n)
		}
	}
}

// gather takes the lines that follow within the flush interval.
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
	// A log that can't be written has nowhere to be reported.
	_, _ = s.out.Write(batch)
}

// Close writes what waits, until ctx ends.
func (s *Structured) Close(ctx context.Context) {
	close(s.done)
	select {
	case <-s.closed:
	case <-ctx.Done():
	}
}
