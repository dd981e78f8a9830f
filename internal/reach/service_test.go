package reach

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/reach"
	_ "yuccausher/internal/testutil"
	"yuccausher/internal/upstream"
)

// network knows which targets accept connections. Connections to the others time out.
type network struct {
	mu    sync.Mutex
	down  map[string]bool
	dials int
}

func (n *network) set(isDown bool, ids ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.down[id] = isDown
	}
}

func (n *network) dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (n *network) probe(ctx context.Context, t upstream.Target) error {
	n.mu.Lock()
	n.dials++
	isDown := n.down[t.ID]
	n.mu.Unlock()
	if !isDown {
		return nil
	}
	<-ctx.Done()
	return errors.New("no answer")
}

func start(t *testing.T, targets int) (*Service, *network, []string) {
	t.Helper()
	n := &network{down: make(map[string]bool)}
	f := fleet.New("here", 1)
	var ids []string
	for i := range targets {
		id := fmt.Sprint("t", i)
		ids = append(ids, id)
		f.Put(fleet.Member{ID: id, Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Slots: 1})
	}
	s := New(Params{Fleet: f, Probe: n.probe, Logger: logr.Discard(), Scope: tally.NoopScope})
	_ = s.Start(t.Context())
	return s, n, ids
}

func fail(s *Service, ids ...string) {
	for _, id := range ids {
		s.ConnectFailed(upstream.Target{ID: id})
	}
}

// A rack of targets falls. The host reaches the others and is not cut off.
func TestRackThatFallsIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, n, ids := start(t, 20)
		n.set(true, ids[:4]...)
		for range 20 {
			fail(s, ids[:4]...)
			time.Sleep(200 * time.Millisecond)
			is.Equal(s.State(), reach.Connected)
		}
		_ = s.Stop(context.Background())
	})
}

// A host that is cut off knows it within half a second of failed connections, and within one of
// silence, gives up requests that wait, and sees the end of the cut within half a second.
func TestHostSeesThatItIsCutOff(t *testing.T) {
	for name, isSilent := range map[string]bool{"connections fail": false, "open connections are silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, n, ids := start(t, 20)
				n.set(true, ids...)
				givenUp := make(chan struct{})
				s.OnCutOff(func() { close(givenUp) })
				began := time.Now()
				answered := s.Waiting()
				limit := time.Second
				if !isSilent {
					fail(s, ids[:2]...)
					limit = 500 * time.Millisecond
				}
				time.Sleep(limit)
				is.Equal(s.State(), reach.CutOff)
				<-givenUp
				is.True(time.Since(began) < 2*time.Second)
				answered()
				n.set(false, ids...)
				time.Sleep(500 * time.Millisecond)
				is.Equal(s.State(), reach.Connected)
				_ = s.Stop(context.Background())
			})
		})
	}
}

// Nothing is dialled in calm, and little while all targets are slow.
func TestSlowTargetsAreDialledNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, n, _ := start(t, 20)
		time.Sleep(time.Minute)
		is.Equal(n.dialled(), 0)
		s.Waiting()
		time.Sleep(10 * time.Second)
		is.True(n.dialled() <= 10*examinedTargets)
		is.Equal(s.State(), reach.Connected)
		_ = s.Stop(context.Background())
	})
}

func TestOthersDecideWhatAFailedConnectionSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, n, ids := start(t, 3)
		n.set(true, ids[0])
		is.True(s.ReachesOthers(t.Context(), upstream.Target{ID: ids[0]}))
		n.set(true, ids...)
		is.True(!s.ReachesOthers(t.Context(), upstream.Target{ID: ids[0]}))
		_ = s.Stop(context.Background())
		only, _, one := start(t, 1)
		is.True(only.ReachesOthers(t.Context(), upstream.Target{ID: one[0]}))
		_ = only.Stop(context.Background())
	})
}
