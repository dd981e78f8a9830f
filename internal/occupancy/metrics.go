package occupancy

import "github.com/uber-go/tally/v4"

// metrics count the placements of requests.
type metrics struct {
	// admitted counts requests that a coordinator has admitted, overBound those that
	// all compared targets were too full or too suspect for.
	admitted, overBound tally.Counter
	// unanswered counts requests for admission that no coordinator answered,
	// unreported ends of requests that no coordinator was told of.
	unanswered, unreported tally.Counter
	// granted counts requests that this host has granted under rate limits, denied those
	// of its own that coordinators have denied, uncoordinated those that no coordinator
	// decided on.
	granted, denied, uncoordinated tally.Counter
	// learnedLimits counts changes of rate limits that other hosts have told.
	learnedLimits tally.Counter
	// samples counts samples of the speed of targets that this host has used, lateSamples
	// those that were discarded since the host was late, strangeSamples those of runs of
	// targets that this host does not know, changedLimits the notable changes of limits that
	// this host has learned from samples.
	samples, lateSamples, strangeSamples, changedLimits tally.Counter
	// scope is that of all these.
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		admitted:   scope.Counter("admitted"),
		overBound:  scope.Counter("over_bound"),
		unanswered: scope.Counter("unanswered"),
		unreported: scope.Counter("unreported"),

		granted:       scope.Counter("granted"),
		denied:        scope.Counter("denied"),
		uncoordinated: scope.Counter("uncoordinated"),
		learnedLimits: scope.Counter("learned_limits"),

		samples:        scope.Counter("samples"),
		lateSamples:    scope.Counter("late_samples"),
		strangeSamples: scope.Counter("strange_samples"),
		changedLimits:  scope.Counter("changed_limits"),
		scope:          scope,
	}
}
