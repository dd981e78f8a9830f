package occupancy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

// hosts is a number of hosts that reach each other within a millisecond.
type hosts struct {
	// mu guards what peers read: the services read the hosts in the background.
	mu       sync.Mutex
	names    []string
	services map[string]*Service
	// fleets are the hosts' views of the targets.
	fleets map[string]*fleet.Fleet
	// views are the other hosts as a host knows them, if not all.
	views map[string][]string
	// silent hosts accept requests and do not answer.
	silent map[string]bool
}

func newHosts(t *testing.T, n int) *hosts {
	t.Helper()
	h := &hosts{services: make(map[string]*Service), fleets: make(map[string]*fleet.Fleet), silent: make(map[string]bool)}
	for i := range n {
		h.names = append(h.names, fmt.Sprint("host-", i))
	}
	for _, name := range h.names {
		h.start(t, name)
	}
	return h
}

func (h *hosts) start(t *testing.T, name string) {
	t.Helper()
	s := New(Params{Peers: peers{hosts: h, self: name}, Limits: h.fleetOf(name), Targets: h.fleetOf(name), RenewedAt: time.Now, Logger: logr.Discard(), Scope: tally.NoopScope})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.change(func() { h.services[name] = s })
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
}

// change changes what peers read.
func (h *hosts) change(set func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	set()
}

// fleetOf returns a host's view of the targets.
func (h *hosts) fleetOf(name string) *fleet.Fleet {
	if h.fleets[name] == nil {
		h.fleets[name] = fleet.New("here", 1)
	}
	return h.fleets[name]
}

// peers implements port.OccupancyPeers.
type peers struct {
	hosts *hosts
	self  string
}

func (p peers) Self() string { return p.self }

func (p peers) Hosts() []string {
	p.hosts.mu.Lock()
	defer p.hosts.mu.Unlock()
	if view, ok := p.hosts.views[p.self]; ok {
		return slices.Clone(view)
	}
	var others []string
	for _, name := range p.hosts.names {
		if name != p.self {
			others = append(others, name)
		}
	}
	return others
}

var errSilent = errors.New("no answer")

func (p peers) reach(ctx context.Context, host string) (*Service, error) {
	time.Sleep(time.Millisecond)
	p.hosts.mu.Lock()
	isSilent, service := p.hosts.silent[host] || p.hosts.silent[p.self], p.hosts.services[host]
	p.hosts.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return nil, errSilent
	}
	return service, nil
}

func (p peers) Admit(ctx context.Context, host string, r port.AdmitRequest) (port.AdmitReply, error) {
	s, err := p.reach(ctx, host)
	if err != nil {
		return port.AdmitReply{}, err
	}
	return s.AdmitLocal(r), nil
}

func (p peers) Finish(ctx context.Context, host string, r port.FinishRequest) error {
	s, err := p.reach(ctx, host)
	if err != nil {
		return err
	}
	s.FinishLocal(r)
	return nil
}

func members(n, slots int) []fleet.Member {
	list := make([]fleet.Member, n)
	for i := range list {
		list[i] = fleet.Member{ID: fmt.Sprint("target-", i), Service: "models", Slots: slots}
	}
	return list
}

func request(candidates []fleet.Member) gateway.PlaceRequest {
	return gateway.PlaceRequest{Candidates: candidates, TTL: time.Second}
}

// All hosts prefer the same target: none of them sees more than a few of the requests
// there, and yet the requests spread.
func TestRequestsOfAllHostsSpreadOverTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, slots = 13, 8
		h := newHosts(t, n)
		at := make(map[int]int)
		var places []gateway.Place
		for i := range 3 * slots {
			p := h.services[h.names[i%n]].Place(t.Context(), request(members(4, slots)))
			at[p.Index]++
			places = append(places, p)
		}
		for target, count := range at {
			if count > slots {
				t.Errorf("target %d has %d requests", target, count)
			}
		}
		for _, p := range places {
			p.Finish(occupancy.Answered)
		}
		time.Sleep(10 * time.Millisecond)
		is.Equal(h.services[h.names[0]].Place(t.Context(), request(members(4, slots))).InProgress, 0)
	})
}

// Without coordinators every request is placed at the target that it prefers, and hosts
// that do not answer are not asked again at once.
func TestSilentCoordinatorsDelayFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t, 5)
		for _, name := range h.names[1:] {
			h.change(func() { h.silent[name] = true })
		}
		self := h.services[h.names[0]]
		started := time.Now()
		for i := range 100 {
			p := self.Place(t.Context(), request(members(20, 8)[i%16:]))
			is.Equal(p.Index, 0)
			p.Finish(occupancy.Answered)
		}
		is.True(time.Since(started) < 5*(admitTimeout+2*time.Millisecond))
	})
}

// A target that fails requests is known to all hosts after two of them met it.
func TestFailingTargetIsKnownToAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t, 13)
		met := 0
		for _, name := range h.names {
			p := h.services[name].Place(t.Context(), request(members(4, 8)))
			result := occupancy.Answered
			if p.Index == 0 {
				met++
				result = occupancy.Failed
			}
			p.Finish(result)
			if result == occupancy.Failed {
				time.Sleep(time.Second) // the failed request no longer counts as in progress
			}
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(met, 2)
	})
}
