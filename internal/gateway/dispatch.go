package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/core/urgency"
	"yuccausher/internal/fault"
	"yuccausher/internal/upstream"
)

// result is what came of one dispatch.
type result int

const (
	// finished dispatches were answered, or the caller was told of a failure.
	finished result = iota
	// notRun dispatches were refused by the target or never left.
	notRun
	// unknown dispatches may have run and brought no answer.
	unknown
	// cut dispatches broke off after the caller had a part of the answer.
	cut
)

const (
	// fullWait is how long a request waits after all targets refused it before
	// it asks again: less than the time of a request at an idle target.
	fullWait = 25 * time.Millisecond
	// maxIdleOnce is the longest idle time of a connection for a request that
	// must not run twice: a target's close that crosses it leaves its outcome
	// unknown.
	maxIdleOnce = 2 * time.Second
	// maxIdleAny is the same for other requests, which the target's own limit
	// bounds.
	maxIdleAny = time.Minute
)

// dispatchUntilAnswered sends the request to one target after the other until
// one answers, or until it can't be sent any more.
func (j *job) dispatchUntilAnswered(ctx context.Context) {
	for {
		if j.g.crashes.IsQuarantined(j.fingerprint) {
			j.endQuarantined(ctx)
			return
		}
		choice := j.g.fleet.Choose(fleet.Request{Service: j.service, Affinity: j.prefixKey(), Exclude: j.refusedBy}, time.Now())
		if choice == nil {
			if !j.wait(ctx) {
				return
			}
			continue
		}
		j.target, j.choice = choice.ID, choice
		r := j.dispatch(ctx, choice)
		j.observeContent(ctx, choice, r)
		switch r {
		case finished:
			return
		case notRun:
			j.passOver(choice, "not run")
		case unknown:
			if !j.mayRunAgain(ctx) {
				j.endUnanswered(ctx)
				return
			}
			j.passOver(choice, "no answer")
		case cut:
			if !j.mayRunAgain(ctx) {
				j.outcome = "cut"
				breakOff()
			}
			j.passOver(choice, "cut")
		}
		if ctx.Err() != nil {
			j.endUnanswered(ctx)
			return
		}
	}
}

// passOver notes that the request goes to another target.
func (j *job) passOver(choice *fleet.Choice, reason string) {
	j.refusedBy = append(j.refusedBy, choice.ID)
	j.g.log.Info("Request goes to another target.", "request", j.call.RequestID, "target", choice.ID, "reason", reason,
		"runs", len(j.ranAt), "last_event", j.lastEvent, "ms", time.Since(j.started).Milliseconds(), "cause", fault.Text(j.cause))
}

// prefixKey is the affinity of requests with prompts.
func (j *job) prefixKey() string {
	if j.route.Kind != route.Stream {
		return ""
	}
	return j.affinity()
}

// mayRunAgain says whether another target may run the request.
func (j *job) mayRunAgain(ctx context.Context) bool {
	if ctx.Err() != nil || !j.route.IsIdempotent() {
		return false
	}
	if j.route.Kind == route.Stream && j.events > 0 && j.lastEvent == "" {
		return false
	}
	return len(j.ranAt)-j.ended < j.route.Attempts
}

// maxEnded is how many targets that ended as they ran a request don't count as attempts.
const maxEnded = 2

// wait lets some time pass after all targets refused the request. It returns
// false after it has given the request up.
func (j *job) wait(ctx context.Context) bool {
	if len(j.refusedBy) == 0 {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no_target", retryAfter: noTargetRetry})
		return false
	}
	if len(j.ranAt) > 0 {
		j.endUnanswered(ctx)
		return false
	}
	if time.Since(j.started) > j.route.Objective {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targets_full", retryAfter: fullRetry})
		return false
	}
	timer := time.NewTimer(fullWait)
	defer timer.Stop()
	select {
	case <-timer.C:
		j.refusedBy = j.refusedBy[:0]
		return true
	case <-ctx.Done():
		j.endUnanswered(ctx)
		return false
	}
}

// endUnanswered gives the final answer of a request that got none.
func (j *job) endUnanswered(ctx context.Context) {
	switch {
	case j.r.Context().Err() != nil:
		j.outcome = "caller_gone"
	case j.headerSent:
		j.outcome = "cut"
		breakOff()
	case len(j.ranAt) == 0:
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timeout_not_run", cause: j.cause})
	case ctx.Err() != nil:
		j.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout", cause: j.cause})
	default:
		j.refuse(refusal{status: http.StatusBadGateway, reason: "target_failed", cause: j.cause})
	}
}

// dispatch sends the request to one target and passes its answer on.
func (j *job) dispatch(ctx context.Context, choice *fleet.Choice) result {
	exchangeCtx, leave := context.WithCancel(ctx)
	defer leave()
	// The connection may be in use by others when leave is called.
	defer func() { j.unwatch() }()
	sent := time.Now()
	conn, err := j.connect(ctx, choice, false)
	if err != nil {
		j.cause = err
		choice.End(time.Now(), outcomeOf(ctx, fleet.Unreachable), 0)
		return notRun
	}
	s := j.watchSilence(leave)
	response, err := j.exchange(exchangeCtx, choice, conn, sent)
	isLeft := s.end()
	if err == nil {
		return j.relay(ctx, choice, conn, response, sent)
	}
	if isLeft {
		j.g.metrics.silentTargets.Inc(1)
		// Its answer would have taken longer still.
		return j.unanswered(ctx, choice, &SilentTargetError{Target: choice.ID, Cause: err}, time.Since(sent))
	}
	if conn.Reused && ctx.Err() == nil && j.mayRepeat(err) {
		return j.dispatchAgain(ctx, choice, err, sent)
	}
	return j.unanswered(ctx, choice, err, 0)
}

// dispatchAgain sends a request on a new connection after a kept one has
// failed, since the target may have closed that one as the request left. What
// left the first time may have run, whatever comes of the second.
func (j *job) dispatchAgain(ctx context.Context, choice *fleet.Choice, first error, sent time.Time) result {
	j.g.metrics.staleConnections.Inc(1)
	hasLeft := hasLeft(first)
	if hasLeft {
		j.ran(choice.ID)
	}
	r := notRun
	conn, err := j.connect(ctx, choice, true)
	if err != nil {
		j.cause = err
		choice.End(time.Now(), outcomeOf(ctx, fleet.Unreachable), 0)
	} else if response, err := j.exchange(ctx, choice, conn, sent); err != nil {
		r = j.unanswered(ctx, choice, err, 0)
	} else {
		r = j.relay(ctx, choice, conn, response, sent)
	}
	if r == notRun && hasLeft {
		return unknown
	}
	return r
}

// exchange sends the request on a connection, which fails when ctx ends while
// its answer is read.
func (j *job) exchange(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, sent time.Time) (*http.Response, error) {
	j.unwatch()
	j.unwatch = conn.CancelOnDone(ctx)
	return conn.Exchange(ctx, j.request(choice, sent), j.isOwn)
}

// SilentTargetError says that a target was left because no answer began.
type SilentTargetError struct {
	Target string
	Cause  error
}

// Error implements error.
func (e *SilentTargetError) Error() string { return "target " + e.Target + " is silent" }

// Unwrap returns the cause.
func (e *SilentTargetError) Unwrap() error { return e.Cause }

// hasLeft says whether a request that brought no answer may have reached its
// target.
func hasLeft(err error) bool {
	var exchange *upstream.ExchangeError
	return !errors.As(err, &exchange) || exchange.Sent
}

// ran notes that a target may have begun to run the request.
func (j *job) ran(target string) {
	if !slices.Contains(j.ranAt, target) {
		j.ranAt = append(j.ranAt, target)
	}
}

// connectionTarget is the run of a target to which connections lead.
func connectionTarget(c *fleet.Choice) upstream.Target {
	return upstream.Target{ID: c.ID, Address: c.Address, StartedAt: c.StartedAt}
}

// connect returns a connection to the chosen target.
func (j *job) connect(ctx context.Context, choice *fleet.Choice, fresh bool) (*upstream.Conn, error) {
	target := connectionTarget(choice)
	if fresh {
		return j.g.pool.Dial(ctx, target)
	}
	maxIdle := maxIdleAny
	if !j.route.IsIdempotent() {
		maxIdle = maxIdleOnce
	}
	return j.g.pool.Connect(ctx, target, maxIdle)
}

// mayRepeat says whether a request that brought no answer on a kept
// connection may be sent to the same target again.
func (j *job) mayRepeat(err error) bool {
	var exchange *upstream.ExchangeError
	if !errors.As(err, &exchange) || exchange.Garbled {
		return false
	}
	return !exchange.Sent || j.route.IsIdempotent()
}

// unanswered notes that no answer came. first is how long the target was waited
// for at least, zero if that says nothing about it.
func (j *job) unanswered(ctx context.Context, choice *fleet.Choice, err error, first time.Duration) result {
	j.cause = err
	choice.End(time.Now(), outcomeOf(ctx, fleet.Broken), first)
	if !hasLeft(err) {
		return notRun
	}
	j.ran(choice.ID)
	return unknown
}

// outcomeOf is the outcome of a dispatch that failed: o, unless the caller or
// the time limit ended it.
func outcomeOf(ctx context.Context, o fleet.Outcome) fleet.Outcome {
	if ctx.Err() != nil {
		return fleet.Abandoned
	}
	return o
}

func (j *job) isOwn(h http.Header) bool {
	id := j.g.protocol.ParseAnswer(0, h).RequestID
	return id == "" || id == j.call.RequestID
}

func (j *job) request(choice *fleet.Choice, now time.Time) upstream.Request {
	d := Dispatch{TargetID: choice.ID, TimeLeft: j.deadline().Sub(now), ResumeAfter: j.lastEvent}
	if j.route.Kind == route.Stream && j.call.HasFinish {
		d.HasPriority = true
		d.Priority = int(urgency.LevelFor(j.call.FinishIn - now.Sub(j.started)))
	}
	h := j.g.protocol.DispatchHeader(j.r.Header, d)
	return upstream.Request{Method: j.r.Method, URI: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.prompt}
}
