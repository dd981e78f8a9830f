package crashrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccausher/internal/core/poison"
)

type receiver struct {
	learned, relayed map[string][]poison.Mark
	reported         map[string]poison.Report
	finding          poison.Finding
}

func (r *receiver) Receive(host string, marks []poison.Mark) {
	r.learned[host] = append(r.learned[host], marks...)
}

func (r *receiver) Relay(host string, marks []poison.Mark) {
	r.relayed[host] = append(r.relayed[host], marks...)
}

func (r *receiver) Examine(_ context.Context, host string, report poison.Report) poison.Finding {
	r.reported[host] = report
	return r.finding
}

// pipe connects to one server, whatever the host.
type pipe struct{ server *drpcserver.Server }

func (p pipe) Hosts() []string { return []string{"b"} }

func (p pipe) Connect(ctx context.Context, _ string) (drpc.Conn, error) {
	near, far := net.Pipe()
	go func() { _ = p.server.ServeOne(ctx, far) }()
	return drpcconn.New(near), nil
}

func TestMarksArriveUnchanged(t *testing.T) {
	is := is.New(t)
	r := &receiver{learned: make(map[string][]poison.Mark), relayed: make(map[string][]poison.Mark)}
	mux := drpcmux.New()
	is.NoErr(Register(mux, r))
	c := Client{Dialer: pipe{drpcserver.New(mux)}, Host: "a"}
	marks := []poison.Mark{
		{Fingerprint: 1<<64 - 1, Target: "t", Run: 1_700_000_000_123, At: 1_700_000_000_123_456_789},
		{Fingerprint: 7, Target: "u", At: 5},
	}
	is.NoErr(c.Notify(t.Context(), "b", marks, false))
	is.Equal(r.learned["a"], marks)
	is.Equal(len(r.relayed), 0)
	is.NoErr(c.Notify(t.Context(), "b", marks, true))
	is.Equal(r.relayed["a"], marks)
}

func TestReportsAndFindingsArriveUnchanged(t *testing.T) {
	is := is.New(t)
	r := &receiver{reported: make(map[string]poison.Report)}
	mux := drpcmux.New()
	is.NoErr(Register(mux, r))
	c := Client{Dialer: pipe{drpcserver.New(mux)}, Host: "a"}
	report := poison.Report{Target: "t", Run: 1_700_000_000_123, Interruptions: []poison.Interruption{
		{Fingerprint: 1<<64 - 1, Age: 70 * time.Millisecond},
		{Fingerprint: 7, IsUnframed: true},
	}}
	for _, f := range []poison.Finding{{}, {State: poison.Alive}, {State: poison.Refused, SeenAt: 1_700_000_000_123_456_789}, {State: poison.Silent}, {State: poison.Replaced, NextTarget: "u", NextRun: 5}} {
		r.finding = f
		got, err := c.Examine(t.Context(), "b", report)
		is.NoErr(err)
		is.Equal(got, f)
		is.Equal(r.reported["a"], report)
	}
}
