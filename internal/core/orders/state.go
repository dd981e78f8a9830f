// Package orders decides which orders a target needs, which host may give
// them, and how many targets may load weights at once. The claims and the
// queue of loads are replayed from one log stream; the package does no I/O.
package orders

import (
	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// State is what a target serves. An empty field of a desired state leaves the
// target as it is.
type State struct {
	Model   string
	Version string
	Adapter string
	Role    string
}

// Desired returns the state that a document wants of a target; ok is false
// for a target that serves no model.
func Desired(s *config.Snapshot, t *config.Target) (want State, ok bool) {
	model := s.Model(t.Model)
	if model == nil {
		return State{}, false
	}
	return State{Model: model.Name, Version: model.Version, Adapter: model.Adapter, Role: t.Role}, true
}

// Shown returns the state that a target reports.
func Reported(s port.EngineStatus) State {
	return State{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Role: s.Role}
}

// Diff returns the orders that lead from a shown to a desired state, in the
// order in which they are given. They carry no fencing number yet.
func Diff(shown, want State) []port.Order {
	var list []port.Order
	add := func(kind port.OrderKind, shown, want string) {
		if want != "" && shown != want {
			list = append(list, port.Order{Kind: kind, Value: want})
		}
	}
	add(port.OrderLoad, shown.Model, want.Model)
	add(port.OrderVersion, shown.Version, want.Version)
	add(port.OrderAdapter, shown.Adapter, want.Adapter)
	add(port.OrderRole, shown.Role, want.Role)
	return list
}

// FetchesWeights says whether an order makes the target read the weight store.
func FetchesWeights(kind port.OrderKind) bool {
	return kind == port.OrderLoad || kind == port.OrderVersion || kind == port.OrderAdapter
}
