package occupancyrpc

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccausher/internal/core/fleet"
	core "yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/ratelimit"
	"yuccausher/internal/core/targetload"
	"yuccausher/internal/port"
)

type server struct {
	admitted []port.AdmitRequest
	finished []port.FinishRequest
}

// limit is a rate limit that the server returns to requests for target u.
func limit(now time.Time) fleet.TargetLimit {
	return fleet.TargetLimit{ID: "u", StartedAt: -3, Statement: ratelimit.Statement{
		Rate: 0.25, IsLimited: true, SentAt: now.Add(-2 * time.Second), ReceivedAt: now.Add(-time.Second),
	}}
}

// learned is what the server returns to requests for target u, observation what it is told of
// an answered request.
var (
	learned     = port.Learned{StartedAt: -3, Estimate: targetload.Estimate{Limit: 9, EventsPerSecond: 81.5, Age: 40 * time.Millisecond}}
	observation = port.Observation{StartedAt: 4, Sample: targetload.Sample{
		First: 31 * time.Millisecond, Gap: 12345 * time.Microsecond, Events: 60, PromptTokens: 4000, CachedTokens: 1000, InProgress: 3, IsRefused: true,
	}}
)

func (s *server) AdmitLocal(r port.AdmitRequest) port.AdmitReply {
	s.admitted = append(s.admitted, r)
	reply := port.AdmitReply{Reply: core.Reply{Admitted: r.Limit == 7, InProgress: 6, IsSuspect: r.Limit != 7}, RateLimits: []fleet.TargetLimit{}}
	if r.Target == "u" {
		reply.KnowsRateLimits, reply.IsDenied, reply.RetryAfter = true, true, 350*time.Millisecond
		reply.RateLimits = append(reply.RateLimits, limit(time.Now()))
		reply.Learned = learned
	}
	return reply
}

func (s *server) FinishLocal(r port.FinishRequest) { s.finished = append(s.finished, r) }

// pipe connects to one server, whatever the host.
type pipe struct{ server *drpcserver.Server }

func (p pipe) Self() string    { return "a" }
func (p pipe) Hosts() []string { return []string{"b"} }

func (p pipe) Connect(ctx context.Context, _ string) (drpc.Conn, error) {
	near, far := net.Pipe()
	go func() { _ = p.server.ServeOne(ctx, far) }()
	return drpcconn.New(near), nil
}

func TestRequestsArriveUnchanged(t *testing.T) {
	synctest.Test(t, testRequestsArriveUnchanged)
}

func testRequestsArriveUnchanged(t *testing.T) {
	is := is.New(t)
	s := &server{}
	mux := drpcmux.New()
	is.NoErr(Register(mux, s))
	c := Client{Dialer: pipe{drpcserver.New(mux)}}
	admit := port.AdmitRequest{Target: "t", Lease: 1<<64 - 1, Limit: 7, TTL: 2500 * time.Millisecond, Host: 8, RateLimit: limit(time.Now()), Level: 2}
	reply, err := c.Admit(t.Context(), "b", admit)
	is.NoErr(err)
	is.Equal(reply, port.AdmitReply{Reply: core.Reply{Admitted: true, InProgress: 6}, RateLimits: []fleet.TargetLimit{}})
	reply, err = c.Admit(t.Context(), "b", port.AdmitRequest{Target: "u"})
	is.NoErr(err)
	is.Equal(reply, port.AdmitReply{
		Reply:           core.Reply{InProgress: 6, IsSuspect: true},
		KnowsRateLimits: true,
		IsDenied:        true,
		RetryAfter:      350 * time.Millisecond,
		RateLimits:      []fleet.TargetLimit{limit(time.Now())},
		Learned:         learned,
	})
	is.Equal(s.admitted[0], admit)
	for _, result := range []core.Result{core.Inconclusive, core.Answered, core.Failed} {
		finish := port.FinishRequest{Target: "t", Lease: 5, Host: 9, Result: result, RateLimit: limit(time.Now())}
		if result == core.Answered {
			finish.Observation = observation
		}
		is.NoErr(c.Finish(t.Context(), "b", finish))
		is.Equal(s.finished[len(s.finished)-1], finish)
	}
}

// A host of an earlier version does not know the requests.
func TestHostWithoutTheServiceReturnsAnError(t *testing.T) {
	is := is.New(t)
	c := Client{Dialer: pipe{drpcserver.New(drpcmux.New())}}
	_, err := c.Admit(t.Context(), "b", port.AdmitRequest{Target: "t"})
	is.True(err != nil)
}
