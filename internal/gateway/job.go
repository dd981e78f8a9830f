package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/core/urgency"
	"yuccausher/internal/core/waitqueue"
	"yuccausher/internal/fault"
	"yuccausher/internal/memory"
	"yuccausher/internal/upstream"
)

// job is the state of one request until its final answer.
type job struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	call    Call
	// sender is who has sent the request.
	sender sender
	// tableVersion is that of the configuration.
	tableVersion int64
	route        *route.Route
	// organisation is that of the caller; nil on public routes and without organisations in the
	// configuration.
	organisation *route.Organisation
	// isIdentified is set if the caller's key, unless the route is public, was checked.
	isIdentified bool
	// organisationCount is the number of organisations in the configuration.
	organisationCount int
	// band is that of the request's priority in engines.
	band    urgency.Band
	service string
	body    []byte
	// bodyHeld is what body takes of the budget for bodies.
	bodyHeld int
	// prompt is the body sent to targets: the turns that the request continues,
	// followed by the caller's body.
	prompt []byte
	// chain holds the turns that the request continues.
	chain conversation.Chain
	// said is what the turn has said from its first event on, on routes that keep conversations.
	said *conversation.Transcript
	// emptyEvent is the ID of the latest block of the stream that has an ID and no data. It is not part of the turn.
	emptyEvent string
	// recorder copies the events of a turn that may be taken up; nil before the first event.
	recorder Recorder
	// memory is what the request keeps of the answers of targets.
	memory *memory.Share
	// times are the parts of the request's time so far.
	times times

	// allowance is what the turn may spend of its program's budget; nil without one.
	allowance *allowance
	// admission is the request as it is counted against the limit of its organisation; nil if it is
	// not.
	admission   Admission
	eventTokens int64
	// hasEngine is set if the service has model engines.
	hasEngine bool

	// queued is the request in the queue of its service; nil if it has not been there. hasTurn is set
	// while it counts as in progress there.
	queued  *waitqueue.Request
	hasTurn bool

	// denials counts how often rate limits left no room at a target.
	denials int
	// excluded lists the targets that are excluded from further attempts.
	excluded []string
	// ranAt lists the targets that may have begun to run the request.
	ranAt []string
	// used are the connections on which the request was sent.
	used []upstream.ConnectionID
	// crashes counts those of ranAt that ended while they ran the request, unreachable those
	// that this host was cut off from meanwhile.
	crashes, unreachable int
	// lastEvent is the ID of the last event that was sent to the caller.
	lastEvent string
	events    int
	// version is the software version of the target that began the stream; only targets
	// with it may continue the stream. It applies if isVersionBound is set.
	version        string
	isVersionBound bool
	// recordedVersion is the software version that was last recorded for the stream, if
	// isRecorded is set.
	recordedVersion string
	isRecorded      bool
	// eventVersions are the software versions of the targets that the caller has events
	// from, each as often as the stream has changed to it.
	eventVersions []string
	// headerSent is set once the header of an answer was sent to the caller.
	headerSent bool
	// isRefused is set if the host itself has made the answer and the request has not run.
	isRefused bool

	// Fields for the log line of the request.
	// handedTo is the host that has taken the request.
	handedTo  string
	target    string
	choice    *fleet.Choice
	place     Place
	status    int
	outcome   string
	cause     error
	firstByte time.Duration
	// framing is that of the last answer; empty if there was none.
	framing upstream.Framing
}

// times are the parts of a request's time that are not spent at a target.
type times struct {
	// quota is how long it took to count the request against the limit of its organisation.
	quota time.Duration
	// body is the time until the body was read, reserve that of the reservation of
	// tokens, lookup the further wait for the earlier turns.
	body, reserve, lookup time.Duration
	// origin is how long it took to find out which software version began the stream, takeUp what the
	// caller has got of a turn that it takes up.
	origin, takeUp time.Duration
	// place and connect are those of all dispatches together, wait the pauses while
	// all targets were full.
	place, connect, wait time.Duration
	// save is how long it took to save the turn, settle the further wait for the record of
	// what it spent.
	save, settle time.Duration
}

// since adds the time since started to a part.
func since(part *time.Duration, started time.Time) { *part += time.Since(started) }

// refusal is an answer made by the host itself.
type refusal struct {
	status int
	// reason is the refusal's name in the answer, in logs and in metrics.
	reason string
	cause  error
	// retryAfter is the advice on when to retry. It is omitted if negative, and for a
	// status that is not retryable.
	retryAfter time.Duration
}

// isRetryable reports whether the status guarantees that the request did not run and
// may be sent again.
func (f refusal) isRetryable() bool {
	return f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
}

// mayHaveRun reports whether a target may have run the request.
func (f refusal) mayHaveRun() bool {
	return f.status == http.StatusBadGateway || f.status == http.StatusGatewayTimeout
}

// refuse sends a refusal as the final answer.
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
	// The caller may have disconnected, which the server notices by itself.
	_, _ = j.w.Write([]byte(`{"error":"` + f.reason + `"}`))
	j.headerSent, j.isRefused = true, !f.mayHaveRun()
	j.status = f.status
	j.outcome = f.reason
	j.cause = f.cause
}

// fail ends a request to which no answer can be sent because its connection failed.
func (j *job) fail(reason string, cause error) {
	j.outcome = reason
	j.cause = cause
}

// abortAnswer closes the caller's connection, so that an incomplete answer does not
// look complete.
func abortAnswer() { panic(http.ErrAbortHandler) }

// report counts and logs the request.
func (j *job) report() {
	total := time.Since(j.started)
	j.g.metrics.recordRequest(j, total)
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	var cost time.Duration
	before := 0
	if j.choice != nil {
		cost, before = j.choice.Cost, j.choice.InFlight
	}
	j.g.log.Info("Request ended.", "request", j.call.RequestID, "program", j.call.Program, "organisation", j.organisationName(), "route", name,
		"config", j.tableVersion, "targets_age_ms", j.g.targetsAge().Milliseconds(), "target", j.target, "handed_to", j.handedTo, "handed_over_by", j.sender.Host,
		"expected_ms", cost.Milliseconds(), "in_flight", before, "prompt_tokens", j.call.PromptTokens, "private_tokens", j.call.PrivateTokens,
		"in_progress", j.place.InProgress, "asked", j.place.Asked, "finish_in_ms", j.call.FinishIn.Milliseconds(), "status", j.status, "outcome", j.outcome,
		"runs", len(j.ranAt), "refused_by", len(j.excluded), "denials", j.denials, "framing", j.framing, "events", j.events,
		"resumes", j.call.Resumes, "resume_after", j.call.ResumeAfter, "event_versions", j.eventVersions,
		"previous_turn", j.call.PreviousTurn, "earlier_turns", len(j.chain),
		"body_ms", j.times.body.Milliseconds(), "quota_ms", j.times.quota.Milliseconds(), "reserve_ms", j.times.reserve.Milliseconds(), "lookup_ms", j.times.lookup.Milliseconds(), "origin_ms", j.times.origin.Milliseconds(), "take_up_ms", j.times.takeUp.Milliseconds(),
		"place_ms", j.times.place.Milliseconds(), "connect_ms", j.times.connect.Milliseconds(), "wait_ms", j.times.wait.Milliseconds(),
		"keep_ms", j.times.save.Milliseconds(), "settle_ms", j.times.settle.Milliseconds(), "first_ms", j.firstByte.Milliseconds(), "ms", total.Milliseconds(), "cause", fault.Text(j.cause))
}

// reserve reserves what the turn may spend, or begins with, from its program's budget. It
// returns false after it has refused the request.
func (j *job) reserve(ctx context.Context) bool {
	defer since(&j.times.reserve, time.Now())
	reservation, err := j.reservePart(ctx, j.call.MaxOutput)
	if err == nil {
		j.allowance = &allowance{}
		j.allowance.add(reservation)
		return true
	}
	var spent *BudgetSpentError
	if errors.As(err, &spent) {
		j.refuse(refusal{status: http.StatusPaymentRequired, reason: "budget_spent", cause: err})
		return false
	}
	retryAfter := fullRetryAfter
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

// releaseReservation returns the unspent tokens to the program's budget.
func (j *job) releaseReservation() {
	if j.allowance != nil {
		j.allowance.release()
		j.allowance = nil
	}
}

// countEvent counts an event of a target for the caller and spends its tokens.
func (j *job) countEvent(choice *fleet.Choice) {
	j.events++
	j.bindVersion(choice.Version)
	if n := len(j.eventVersions); n == 0 || j.eventVersions[n-1] != choice.Version {
		j.eventVersions = append(j.eventVersions, choice.Version)
	}
	if j.allowance != nil {
		j.allowance.spend(j.eventTokens)
	}
}
