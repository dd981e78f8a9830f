package handover

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/reach"
	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

// peers are hosts that each decide in their own way.
type peers struct {
	decide map[string]func(ctx context.Context, ask int) (port.HandoverDecision, error)
	asks   map[string]int
	closed int
}

func (p *peers) Hosts() []string {
	var list []string
	for host := range p.decide {
		list = append(list, host)
	}
	return list
}

func (p *peers) Offer(ctx context.Context, host string, _ port.HandoverRequest) (port.HandoverOffer, error) {
	p.asks[host]++
	decision, err := p.decide[host](ctx, p.asks[host])
	if err != nil || decision != port.HandoverTaken {
		return port.HandoverOffer{Decision: decision}, err
	}
	return port.HandoverOffer{Answer: answer{p}}, nil
}

type answer struct{ peers *peers }

func (answer) Start() (int, http.Header, error) { return http.StatusOK, nil, nil }
func (answer) Next() ([]byte, error)            { return nil, nil }
func (a answer) Close()                         { a.peers.closed++ }

type decision = func(ctx context.Context, ask int) (port.HandoverDecision, error)

func always(d port.HandoverDecision) decision {
	return func(context.Context, int) (port.HandoverDecision, error) { return d, nil }
}

func fails(err error) decision {
	return func(context.Context, int) (port.HandoverDecision, error) { return port.HandoverLeaving, err }
}

// silent decides after the offer was given up.
func silent(ctx context.Context, _ int) (port.HandoverDecision, error) {
	<-ctx.Done()
	return port.HandoverLeaving, ctx.Err()
}

// stale fails once, as on a connection that is closing.
func stale(_ context.Context, ask int) (port.HandoverDecision, error) {
	if ask == 1 {
		return port.HandoverLeaving, context.Canceled
	}
	return port.HandoverTaken, nil
}

func TestRequestGoesToAHostThatTakesIt(t *testing.T) {
	for name, c := range map[string]struct {
		hosts map[string]decision
		// taker is the host that takes the request; empty if none does.
		taker string
		limit time.Duration
	}{
		"cut off, busy and leaving hosts": {
			map[string]decision{"a": always(port.HandoverCutOff), "b": always(port.HandoverBusy), "c": always(port.HandoverLeaving), "d": always(port.HandoverTaken)}, "d", 0},
		"silent host":        {map[string]decision{"a": silent, "d": always(port.HandoverTaken)}, "d", offerTimeout},
		"host that is down":  {map[string]decision{"a": fails(&port.HostDownError{Host: "a"}), "d": always(port.HandoverTaken)}, "d", 0},
		"closing connection": {map[string]decision{"d": stale}, "d", 0},
		"nobody":             {map[string]decision{"a": always(port.HandoverCutOff), "b": fails(errors.New("unknown call"))}, "", 0},
		"no other host":      {nil, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &peers{decide: c.hosts, asks: make(map[string]int)}
				started := time.Now()
				taken, err := NewClient(p, logr.Discard(), tally.NoopScope).HandOver(t.Context(), "r", port.HandoverRequest{})
				is.True(time.Since(started) <= c.limit)
				if c.taker == "" {
					e := testutil.ErrorAs[*NotTakenError](t, err)
					is.Equal(e.Asked, len(c.hosts))
					is.True(e.RetryAfter() >= notTakenRetryAfter)
					return
				}
				is.NoErr(err)
				is.Equal(taken.Host, c.taker)
				taken.Answer.Close()
				is.Equal(p.closed, 1)
			})
		})
	}
}

func TestServerTakesABoundedNumberOfRequests(t *testing.T) {
	is := is.New(t)
	state, isReady := reach.Connected, true
	s := NewServer(ServerParams{State: func() reach.State { return state }, IsReady: func() bool { return isReady }, Logger: logr.Discard(), Scope: tally.NoopScope})
	var releases []func()
	for range maxTaken {
		d, release := s.Admit("a")
		is.Equal(d, port.HandoverTaken)
		releases = append(releases, release)
	}
	d, release := s.Admit("a")
	is.Equal(d, port.HandoverBusy)
	release()
	releases[0]()
	d, release = s.Admit("a")
	is.Equal(d, port.HandoverTaken)
	release()
	for _, lost := range []reach.State{reach.Refused, reach.CutOff} {
		state = lost
		d, release = s.Admit("a")
		is.Equal(d, port.HandoverCutOff)
		release()
	}
	state, isReady = reach.Connected, false
	d, release = s.Admit("a")
	is.Equal(d, port.HandoverLeaving)
	release()
}
