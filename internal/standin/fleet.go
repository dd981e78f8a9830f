package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// Fleet is all targets and the platform's list of hosts and targets. Its
// clients implement port.Engine, port.Service and port.HostList, and find
// targets by name.
type Fleet struct {
	engines  map[string]*Engine
	services map[string]*Service
	// listLag is how late the list shows a change.
	listLag time.Duration

	mu      sync.Mutex
	hosts   lagged[[]port.ListedHost]
	targets lagged[[]port.ListedTarget]
}

// NewFleet returns a fleet whose list shows the hosts and targets at once and
// later changes after listLag.
func NewFleet(engines []*Engine, services []*Service, hosts []port.ListedHost, listLag time.Duration) *Fleet {
	f := &Fleet{
		engines:  make(map[string]*Engine, len(engines)),
		services: make(map[string]*Service, len(services)),
		listLag:  listLag,
	}
	var listed []port.ListedTarget
	for _, e := range engines {
		f.engines[e.Name()] = e
		listed = append(listed, port.ListedTarget{Name: e.Name()})
	}
	for _, s := range services {
		f.services[s.Name()] = s
		listed = append(listed, port.ListedTarget{Name: s.Name()})
	}
	now := time.Now()
	f.hosts.set(now, slices.Clone(hosts))
	f.targets.set(now, listed)
	return f
}

// ListLag is how late the list shows a change.
func (f *Fleet) ListLag() time.Duration { return f.listLag }

// SetHosts changes the list of hosts after a lag.
func (f *Fleet) SetHosts(hosts []port.ListedHost, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts.set(time.Now().Add(lag), slices.Clone(hosts))
}

// Leave makes a target leave, or come back, and lists that. It returns
// ReasonUnknownTarget if there is none of that name.
func (f *Fleet) Leave(name string, leaving bool) error {
	e, s := f.engines[name], f.services[name]
	switch {
	case e != nil:
		e.Leave(leaving)
	case s != nil:
		s.Leave(leaving)
	default:
		return ReasonUnknownTarget
	}
	f.listLeaving(name, leaving)
	return nil
}

func (f *Fleet) listLeaving(name string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := slices.Clone(f.targets.newest())
	for i := range targets {
		if targets[i].Name == name {
			targets[i].Leaving = leaving
		}
	}
	f.targets.set(time.Now().Add(f.listLag), targets)
}

// Engine returns the engine of that name, or nil.
func (f *Fleet) Engine(name string) *Engine { return f.engines[name] }

// Service returns the service target of that name, or nil.
func (f *Fleet) Service(name string) *Service { return f.services[name] }

// Hosts implements port.HostList.
func (f *Fleet) Hosts(context.Context) ([]port.ListedHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts.seen(time.Now())), nil
}

// Targets implements port.HostList.
func (f *Fleet) Targets(context.Context) ([]port.ListedTarget, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.targets.seen(time.Now())), nil
}

// EngineClient returns a client of the fleet's engines.
func (f *Fleet) EngineClient() port.Engine { return engineClient{f} }

// ServiceClient returns a client of the fleet's services.
func (f *Fleet) ServiceClient() port.Service { return serviceClient{f} }
