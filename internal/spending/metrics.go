package spending

import (
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/budget"
)

// claimBuckets are the buckets of the time from a claim's append to its verdict.
var claimBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 12)

type metrics struct {
	// learned and inDoubt count how often another reader knew all loans of a partition that this host
	// did not know, and how often none did.
	learned, inDoubt tally.Counter
	// marks counts appends that only mark a partition.
	marks     tally.Counter
	scope     tally.Scope
	claim     tally.Histogram
	fromSlice tally.Counter
	failures  tally.Counter
	invalid   tally.Counter
	// borrowed counts reservations granted by other hosts, lent those granted to
	// other hosts.
	borrowed     tally.Counter
	lent         tally.Counter
	lendFailures tally.Counter
	// preferredFailures counts requests that the preferred host did not serve.
	preferredFailures tally.Counter
	// settlement is the time from the end of a turn to the claim that counts what it has
	// spent; lateSettlements counts waits for it that were given up.
	settlement      tally.Histogram
	lateSettlements tally.Counter
	// givenBack counts tokens that this host gave back for hosts which ended.
	givenBack tally.Counter
	// endedAccounts counts reservations that this host ended in place of the hosts it had asked.
	endedAccounts tally.Counter
	// fences counts how often this host has fenced the lenders of a partition, fencedLoans
	// the loans it refused because it was fenced.
	fences, fencedLoans tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:             scope,
		learned:           scope.Counter("loans_learned"),
		inDoubt:           scope.Counter("in_doubt"),
		marks:             scope.Counter("marks"),
		claim:             scope.Histogram("claim", claimBuckets),
		fromSlice:         scope.Counter("turns_from_slices"),
		failures:          scope.Counter("log_failures"),
		invalid:           scope.Counter("invalid_records"),
		borrowed:          scope.Counter("borrowed"),
		lent:              scope.Counter("lent"),
		lendFailures:      scope.Counter("lend_failures"),
		preferredFailures: scope.Counter("home_failures"),
		settlement:        scope.Histogram("settlement", claimBuckets),
		lateSettlements:   scope.Counter("late_settlements"),
		givenBack:         scope.Counter("given_back_tokens"),
		endedAccounts:     scope.Counter("ended_accounts"),
		fences:            scope.Counter("fences"),
		fencedLoans:       scope.Counter("fenced_loans"),
	}
}

func (m *metrics) claims(v budget.Verdict) {
	m.scope.Tagged(map[string]string{"verdict": v.String()}).Counter("claims").Inc(1)
}
