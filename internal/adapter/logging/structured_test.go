package logging

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *slowWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func TestStructuredWritesLines(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	l := NewStructured(w, LevelInfo, 100)
	l.WithName("part").Info("Something happened.", "request", "r1")
	l.V(1).Info("Left out.")
	l.Close(context.Background())
	is.True(strings.Contains(w.text(), `"part":"part","message":"Something happened.","request":"r1"}`))
	is.Equal(strings.Count(w.text(), "\n"), 1)
}

// A blocked reader of the log must not block the process.
func TestStructuredNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	l := NewStructured(w, LevelInfo, 1_000_000)
	for range 10 * queuedLines {
		l.Info("Line.")
	}
	is.True(l.dropped.Load() > 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	l.Close(ctx)
	close(w.release)
}

func TestStructuredRateIsLimited(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	l := NewStructured(w, LevelInfo, 5)
	for range 1000 {
		l.Info("Line.")
	}
	l.Close(context.Background())
	is.True(strings.Count(w.text(), "\n") <= 5*burstSeconds+1)
	is.True(l.dropped.Load() >= 900)
}
