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
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		admitted:   scope.Counter("admitted"),
		overBound:  scope.Counter("over_bound"),
		unanswered: scope.Counter("unanswered"),
		unreported: scope.Counter("unreported"),
	}
}
