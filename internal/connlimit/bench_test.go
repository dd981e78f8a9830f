package connlimit

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// closeless is a connection whose close costs nothing.
type closeless struct{ net.Conn }

func (closeless) Close() error { return nil }

// BenchmarkEviction accepts a connection when as many are open as a small host allows.
func BenchmarkEviction(b *testing.B) {
	l := Listen(&pipeListener{}, Options{Port: "test", Limits: NewBudget(0, 0).Callers, Logger: logr.Discard(), Scope: tally.NoopScope})
	for b.Loop() {
		l.add(&Conn{Conn: closeless{}, listener: l, since: time.Now()})
	}
}
