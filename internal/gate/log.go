package gate

import (
	"context"
	"time"

	"yuccausher/internal/port"
)

// Log returns l with its calls going through the gate.
func (g *Gate) Log(l port.Log) port.Log { return gatedLog{l, g} }

type gatedLog struct {
	log  port.Log
	gate *Gate
}

// Append implements port.Log.
func (l gatedLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	closed := &port.LogError{Op: "append", Stream: stream, Ambiguous: true, Cause: ClosedError{}}
	return callThrough(l.gate, closed, func() (int64, error) { return l.log.Append(ctx, stream, records) })
}

// Read implements port.Log.
func (l gatedLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.Page, error) {
	closed := &port.LogError{Op: "read", Stream: stream, Cause: ClosedError{}}
	return callThrough(l.gate, closed, func() (port.Page, error) { return l.log.Read(ctx, stream, from, wait) })
}

// HostList returns l with its calls going through the gate.
func (g *Gate) HostList(l port.HostList) port.HostList { return gatedHostList{l, g} }

type gatedHostList struct {
	list port.HostList
	gate *Gate
}

// Hosts implements port.HostList.
func (l gatedHostList) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	return callThrough(l.gate, ClosedError{}, func() ([]port.ListedHost, error) { return l.list.Hosts(ctx) })
}

// Targets implements port.HostList.
func (l gatedHostList) Targets(ctx context.Context) ([]port.ListedTarget, error) {
	return callThrough(l.gate, ClosedError{}, func() ([]port.ListedTarget, error) { return l.list.Targets(ctx) })
}

// callThrough waits for the gate before and after a call. It returns the error closed if
// the gate is closed.
func callThrough[T any](g *Gate, closed error, call func() (T, error)) (T, error) {
	var zero T
	if !g.waitOpen() {
		return zero, closed
	}
	value, err := call()
	if !g.waitOpen() {
		return zero, closed
	}
	return value, err
}
