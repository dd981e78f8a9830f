package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/fault"
)

// job is one request on its way to its answer.
type job struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	call    Call
	version int64
	route   *route.Route
	service string
	body    []byte
	// prompt is what targets are given: the body, after the turns that it continues.
	prompt []byte
	// chain are the turns that the request continues.
	chain conversation.Chain
	// output is what the turn has brought so far, on routes that keep conversations.
	output []byte
	// kept is how long it took to make the turn last.
	kept time.Duration

	reservation Reservation
	eventTokens int64

	// refusedBy lists the targets that took no connection or refused.
	refusedBy []string
	// ranAt lists the targets that may have begun to run the request.
	ranAt []string
	// ended counts those of ranAt that ended as they ran the request.
	ended int
	// unwatch ends the watch over the connection in use.
	unwatch func()
	// lastEvent is the last event that was handed to the caller.
	lastEvent string
	events    int
	// headerSent says that the caller has the header of an answer.
	headerSent bool

	// What the log line of the request says.
	target  string
	choice  *fleet.Choice
	status  int
	outcome string
	cause   error
	first   time.Duration
}

// refusal is an answer of the host's own.
type refusal struct {
	status int
	// reason names the refusal in logs and counters.
	reason string
	cause  error
	// retryAfter is when the caller may come back; negative or, with a status
	// that is final, zero means no advice.
	retryAfter time.Duration
}

// isRetryable says whether the status promises that the request did not run
// and that it may come again.
func (f refusal) isRetryable() bool {
	return f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
}

// refuse gives the final answer at once.
func (j *job) refuse(f refusal) {
	retryAfter := time.Duration(-1)
	if f.isRetryable() {
		retryAfter = f.retryAfter
	}
	h := j.w.Header()
	for name, values := range j.g.protocol.RefusalHeader(j.call.RequestID, retryAfter) {
		h[name] = values
	}
	h.Set("Content-Type", "application/json")
	j.w.WriteHeader(f.status)
	// The caller may be gone; its connection tells the server.
	_, _ = j.w.Write([]byte(`{"error":"` + f.reason + `"}`))
	j.headerSent = true
	j.status = f.status
	j.outcome = f.reason
	j.cause = f.cause
}

// fail ends a request without an answer: its connection breaks.
func (j *job) fail(reason string, cause error) {
	j.outcome = reason
	j.cause = cause
}

// breakOff closes the caller's connection, so that an answer that has begun
// does not look complete.
func breakOff() { panic(http.ErrAbortHandler) }

// finish counts and logs the request.
func (j *job) finish() {
	total := time.Since(j.started)
	j.g.metrics.finished(j, total)
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	var cost time.Duration
	before := 0
	if j.choice != nil {
		cost, before = j.choice.Cost, j.choice.InFlight
	}
	j.g.log.Info("Request ended.", "request", j.call.RequestID, "program", j.call.Program, "route", name,
		"config", j.version, "targets_age_ms", j.g.targetsAge().Milliseconds(), "target", j.target,
		"expected_ms", cost.Milliseconds(), "in_flight", before, "finish_in_ms", j.call.FinishIn.Milliseconds(), "status", j.status, "outcome", j.outcome,
		"runs", len(j.ranAt), "refused_by", len(j.refusedBy), "events", j.events,
		"previous_turn", j.call.PreviousTurn, "earlier_turns", len(j.chain), "keep_ms", j.kept.Milliseconds(),
		"first_ms", j.first.Milliseconds(), "ms", total.Milliseconds(), "cause", fault.Text(j.cause))
}

// reserve takes the most that the turn may spend out of its program's budget.
// It returns false after it has refused the request.
func (j *job) reserve(ctx context.Context) bool {
	reservation, err := j.g.budgets.Reserve(ctx, j.call.Program, j.call.Budget, j.call.MaxOutput)
	if err == nil {
		j.reservation = reservation
		return true
	}
	var spent *BudgetSpentError
	if errors.As(err, &spent) {
		j.refuse(refusal{status: http.StatusPaymentRequired, reason: "budget_spent", cause: err})
		return false
	}
	retryAfter := fullRetry
	var unknown *BudgetUnknownError
	if errors.As(err, &unknown) {
		retryAfter = unknown.RetryAfter
	}
	if j.r.Context().Err() != nil {
		j.fail("caller_gone", err)
		return false
	}
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "budget_unknown", cause: err, retryAfter: retryAfter})
	return false
}

// spend counts an event that was handed to the caller.
func (j *job) spend() {
	j.events++
	if j.reservation != nil {
		j.reservation.Spend(j.eventTokens)
	}
}
