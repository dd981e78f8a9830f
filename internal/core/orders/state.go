// Package orders decides which orders a target needs, which host may send them,
// and how many targets load weights at the same time. Claims and the queue of
// loads are replayed from one log stream. The package does no I/O.
package orders

import (
	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// State is the model state of a target. An empty field of a desired state means
// that the field is left unchanged.
type State struct {
	Model   string
	Version string
	Adapter string
	Role    string
}

// Desired returns the state that a configuration specifies for a target; ok is
// false if the target serves no model of the configuration.
func Desired(s *config.Snapshot, t *config.Target) (want State, ok bool) {
	model := s.Model(t.Model)
	if model == nil {
		return State{}, false
	}
	return State{Model: model.Name, Version: model.Version, Adapter: model.Adapter, Role: t.Role}, true
}

// Reported returns the state that a target reports.
func Reported(s port.EngineStatus) State {
	return State{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Role: s.Role}
}

// Diff returns the orders that change a target from its reported to the desired
// state, in the sequence in which they must be sent. They have no fencing number
// yet.
func Diff(reported, want State) []port.Order {
	var list []port.Order
	add := func(kind port.OrderKind, reported, want string) {
		if want != "" && reported != want {
			list = append(list, port.Order{Kind: kind, Value: want})
		}
	}
	add(port.OrderLoad, reported.Model, want.Model)
	add(port.OrderVersion, reported.Version, want.Version)
	add(port.OrderAdapter, reported.Adapter, want.Adapter)
	add(port.OrderRole, reported.Role, want.Role)
	return list
}

// FetchesWeights reports whether an order makes the target read the weight store.
func FetchesWeights(kind port.OrderKind) bool {
	return kind == port.OrderLoad || kind == port.OrderVersion || kind == port.OrderAdapter
}
