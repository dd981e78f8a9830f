package quota

import "github.com/uber-go/tally/v4"

// metrics count the requests of organisations with limits.
type metrics struct {
	// admitted counts requests within their limits, uncoordinated those of them that no
	// coordinator has decided on, refused those over the limits, cancelled admitted ones that the
	// system refused.
	admitted, uncoordinated, refused, cancelled tally.Counter
	// reported counts messages with reports, collected requests for reports, unanswered
	// messages without an answer.
	reported, collected, unanswered tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		admitted:      scope.Counter("admitted"),
		uncoordinated: scope.Counter("uncoordinated"),
		refused:       scope.Counter("refused"),
		cancelled:     scope.Counter("cancelled"),
		reported:      scope.Counter("reported"),
		collected:     scope.Counter("collected"),
		unanswered:    scope.Counter("unanswered"),
	}
}
