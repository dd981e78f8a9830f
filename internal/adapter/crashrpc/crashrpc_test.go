package crashrpc

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccausher/internal/core/poison"
)

type receiver struct{ learned, relayed map[string][]poison.Mark }

func (r *receiver) Receive(host string, marks []poison.Mark) {
	r.learned[host] = append(r.learned[host], marks...)
}

func (r *receiver) Relay(host string, marks []poison.Mark) {
	r.relayed[host] = append(r.relayed[host], marks...)
}

// pipe connects to one server, whatever host is asked for.
type pipe struct{ server *drpcserver.Server }

func (p pipe) Hosts() []string { return []string{"b"} }

func (p pipe) Connect(ctx context.Context, _ string) (drpc.Conn, error) {
	near, far := net.Pipe()
	go func() { _ = p.server.ServeOne(ctx, far) }()
	return drpcconn.New(near), nil
}

func TestCrashesReachAnotherHostAsTheyAre(t *testing.T) {
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
