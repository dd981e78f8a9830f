package quotarpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	core "yuccausher/internal/core/quota"
	"yuccausher/internal/port"
)

var report = core.Report{
	Organisation: "o", Limit: core.Limit{PerSecond: 1.5, Burst: 2, Version: 3}, Epoch: 1<<64 - 1, Seq: 4, Base: -5, Total: 6, Holding: 7, Want: 8, Extra: 9,
}

type server struct {
	told      []port.QuotaReports
	collected []string
}

func (s *server) TellLocal(_ context.Context, r port.QuotaReports) []core.Reply {
	s.told = append(s.told, r)
	return []core.Reply{{Granted: 3, RetryAfter: 1500 * time.Microsecond, IsPartial: true}}
}

func (s *server) CollectLocal(coordinator string, organisations []string) port.QuotaCollection {
	s.collected = append([]string{coordinator}, organisations...)
	return port.QuotaCollection{Process: 5, Reports: []core.Report{report}}
}

// pipe connects to one server, whatever the host.
type pipe struct{ server *drpcserver.Server }

func (p pipe) Self() string    { return "a" }
func (p pipe) Hosts() []string { return []string{"b"} }

func (p pipe) Connect(ctx context.Context, _ string) (drpc.Conn, error) {
	near, far := net.Pipe()
	go func() { _ = p.server.ServeOne(ctx, far) }()
	return drpcconn.New(near), nil
}

func TestReportsArriveUnchanged(t *testing.T) {
	is := is.New(t)
	s := &server{}
	mux := drpcmux.New()
	is.NoErr(Register(mux, s))
	c := Client{Dialer: pipe{drpcserver.New(mux)}}
	replies, err := c.Tell(t.Context(), "b", port.QuotaReports{From: "a", Reports: []core.Report{report}})
	is.NoErr(err)
	is.Equal(replies, []core.Reply{{Granted: 3, RetryAfter: 1500 * time.Microsecond, IsPartial: true}})
	is.Equal(s.told, []port.QuotaReports{{From: "a", Reports: []core.Report{report}}})
	collection, err := c.Collect(t.Context(), "b", []string{"o", "p"})
	is.NoErr(err)
	is.Equal(collection, port.QuotaCollection{Process: 5, Reports: []core.Report{report}})
	is.Equal(s.collected, []string{"a", "o", "p"})
	// A reply that does not fit the reports must not be taken for one of them.
	_, err = c.Tell(t.Context(), "b", port.QuotaReports{From: "a", Reports: []core.Report{report, report}})
	is.True(err != nil)
}

// A host of an earlier build does not know the calls, which must be told from one that does not answer.
func TestHostOfAnEarlierBuildIsRecognised(t *testing.T) {
	is := is.New(t)
	c := Client{Dialer: pipe{drpcserver.New(drpcmux.New())}}
	var unsupported *port.QuotaUnsupportedError
	_, err := c.Tell(t.Context(), "b", port.QuotaReports{})
	is.True(errors.As(err, &unsupported))
	_, err = c.Collect(t.Context(), "b", nil)
	is.True(errors.As(err, &unsupported))
}
