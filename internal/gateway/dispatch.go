package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/core/route"
	"yuccausher/internal/fault"
	"yuccausher/internal/upstream"
)

// result is the result of one dispatch.
type result int

const (
	// completed means that the caller has the final answer or was notified of a failure.
	completed result = iota
	// notRun means that the target refused the request, or the request was never sent.
	notRun
	// outcomeUnknown means that the request may have run and got no answer.
	outcomeUnknown
	// interrupted means that the answer failed after the caller may have received a
	// part of it.
	interrupted
)

const (
	// fullRetryInterval is how long a request waits after all targets have refused it
	// before it is sent again. It is shorter than a request takes at an idle target.
	fullRetryInterval = 25 * time.Millisecond
	// maxIdleNonIdempotent is the longest idle time of a connection that carries a
	// request which must not run twice. If the target closes the connection while the
	// request is in transit, the outcome is unknown.
	maxIdleNonIdempotent = 2 * time.Second
	// maxIdleIdempotent is the same for other requests. The target's own limit also
	// applies to them.
	maxIdleIdempotent = time.Minute
	// maxCandidates is how many targets a request with a prompt is placed among.
	maxCandidates = 4
)

// dispatchUntilAnswered sends the request to one target after another until one
// answers or no further attempt is allowed.
func (j *job) dispatchUntilAnswered(ctx context.Context) {
	// An aborted answer leaves the loop by a panic.
	defer j.finishPlace(occupancy.Inconclusive)
	defer j.endTurn()
	if j.mayQueue() && !j.takeTurn(ctx, false) {
		return
	}
	for {
		if f, isBlocked := j.quarantinedFeature(); isBlocked {
			j.finishQuarantined(ctx, f)
			return
		}
		if j.mustHandOver(ctx) {
			j.handOver(ctx)
			return
		}
		if j.isHeld() {
			j.finishNotTaken(ctx, errUnsettled)
			return
		}
		choice := j.choose(ctx)
		if choice == nil {
			if !j.waitForCapacity(ctx) {
				return
			}
			continue
		}
		j.target, j.choice = choice.ID, choice
		sent := time.Now()
		r := j.dispatch(ctx, choice)
		j.finishPlace(j.placeResult(ctx, choice, r))
		if j.isCutOff(r) {
			j.recordCutOff(choice)
		}
		j.recordContentResult(ctx, choice, r, sent)
		switch r {
		case completed:
			return
		case notRun:
			j.excludeTarget(choice, "not run")
		case outcomeUnknown:
			if !j.canRetry(ctx) {
				j.finishUnanswered(ctx)
				return
			}
			j.excludeTarget(choice, "no answer")
		case interrupted:
			if !j.canRetry(ctx) {
				j.outcome = "cut"
				abortAnswer()
			}
			j.excludeTarget(choice, "cut")
			if j.events > 0 {
				// Without an answer of the store the stream goes on by the view that there is.
				_ = j.refreshTargets(ctx)
			}
		}
		if ctx.Err() != nil {
			j.finishUnanswered(ctx)
			return
		}
	}
}

// errUnsettled reports that a request was not sent because content like it was interrupted at a
// target, and no host can tell whether the target has crashed.
var errUnsettled = errors.New("content was interrupted at a target that may have crashed")

// excludeTarget excludes a target from the further attempts of the request.
func (j *job) excludeTarget(choice *fleet.Choice, reason string) {
	j.excluded = append(j.excluded, choice.ID)
	j.g.log.Info("Target excluded from further attempts of the request.", "request", j.call.RequestID, "target", choice.ID, "reason", reason,
		"runs", len(j.ranAt), "last_event", j.lastEvent, "ms", time.Since(j.started).Milliseconds(), "cause", fault.Text(j.cause))
}

// choose returns the target of the next dispatch, or nil if there is none. Requests with
// a prompt are placed among the targets that they prefer. Targets whose rate limits leave no
// room are passed over.
func (j *job) choose(ctx context.Context) *fleet.Choice {
	r := j.targetRequest()
	r.Affinity, r.PromptTokens = j.prefixKey(), j.call.PromptTokens
	for denials := j.denials; ; {
		// Targets without a rate limit need not be asked for.
		r.SkipLimited = j.denials-denials >= maxDenials
		candidates := j.g.fleet.Candidates(r, maxCandidates, time.Now())
		if len(candidates) == 0 || ctx.Err() != nil {
			return nil
		}
		index, ok := 0, true
		if r.Affinity == "" {
			ok = j.permit(ctx, candidates[0].ID)
		} else {
			index, ok = j.placeAmong(ctx, candidates)
		}
		if !ok {
			continue
		}
		if !j.recordOrigin(ctx, candidates[index]) {
			j.finishPlace(occupancy.Inconclusive)
			if j.isUnannounced() {
				return nil // nor is any other release that serves
			}
			r.Version, r.IsVersionBound = j.version, j.isVersionBound
			continue
		}
		if choice := j.g.fleet.Begin(candidates[index], time.Now()); choice != nil {
			return choice
		}
		// The target has left while the request was placed.
		j.finishPlace(occupancy.Inconclusive)
		r.Affinity = ""
	}
}

// targetRequest returns what determines which targets may run the request.
func (j *job) targetRequest() fleet.Request {
	return fleet.Request{Service: j.service, Exclude: j.excluded, Version: j.version, IsVersionBound: j.isVersionBound, IsResumable: j.isResumable()}
}

// placeAmong places the request at one of the candidates and returns its index. It returns
// false if their rate limits leave no room.
func (j *job) placeAmong(ctx context.Context, candidates []fleet.Member) (int, bool) {
	defer since(&j.times.place, time.Now())
	j.place = j.g.placement.Place(ctx, PlaceRequest{
		Candidates:   candidates,
		CachedTokens: j.call.PrivateTokens,
		TTL:          time.Until(j.deadline()),
		Level:        j.level(),
	})
	if j.place.IsDenied {
		j.denials++
		j.place = Place{}
		return 0, false
	}
	return j.place.Index, true
}

// finishPlace reports how the dispatch of a placed request ended, at the first call.
func (j *job) finishPlace(r occupancy.Result) {
	if j.place.Finish != nil {
		j.place.Finish(r)
		j.place.Finish = nil
	}
}

// placeResult returns what the result of a dispatch says about its target.
func (j *job) placeResult(ctx context.Context, choice *fleet.Choice, r result) occupancy.Result {
	var unreachable *upstream.DialError
	switch {
	case r != completed && j.g.reach.State() != reach.Connected:
		return occupancy.Inconclusive
	case r == notRun && ctx.Err() == nil && errors.As(j.cause, &unreachable):
		return occupancy.Failed
	case r == notRun:
		return occupancy.Inconclusive
	case r == completed && j.status < http.StatusInternalServerError:
		return occupancy.Answered
	case ctx.Err() != nil && choice.SilentFor(time.Now()) < minSilenceBeforeProbe:
		return occupancy.Inconclusive
	}
	return occupancy.Failed
}

// prefixKey returns the affinity of a request with a prompt; empty for others.
func (j *job) prefixKey() string {
	if j.route.Kind != route.Stream {
		return ""
	}
	return j.affinity()
}

// canRetry reports whether another target may run the request.
func (j *job) canRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !j.route.IsIdempotent() {
		return false
	}
	if j.route.Kind == route.Stream && j.events > 0 && j.lastEvent == "" {
		return false
	}
	return j.attempts() < j.route.Attempts
}

// attempts returns how many targets, at this host and the one that has passed the request on, may
// have run the request. Those that ended, or that the host was cut off from, don't count.
func (j *job) attempts() int { return j.sender.Attempts + len(j.ranAt) - j.crashes - j.unreachable }

// maxUncountedCrashes is the number of crashed targets per request that don't count
// as attempts.
const maxUncountedCrashes = 2

// waitForCapacity waits for fullRetryInterval while all targets are full. It returns false
// after it has ended the request.
func (j *job) waitForCapacity(ctx context.Context) bool {
	if ctx.Err() != nil {
		j.finishUnanswered(ctx)
		return false
	}
	if j.isUnannounced() {
		j.finishWithoutTarget(ctx)
		return false
	}
	isFull := len(j.excluded) > len(j.ranAt) || j.g.fleet.IsFull(j.targetRequest(), time.Now())
	if !isFull || j.isVersionBound && !j.mayGetTarget() {
		j.finishWithoutTarget(ctx)
		return false
	}
	if time.Since(j.started) > j.route.Objective {
		if len(j.ranAt) > 0 {
			j.finishUnanswered(ctx)
			return false
		}
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targets_full", retryAfter: fullRetryAfter})
		return false
	}
	if j.mayQueue() {
		j.excluded = j.excluded[:0]
		return j.takeTurn(ctx, true)
	}
	defer since(&j.times.wait, time.Now())
	timer := time.NewTimer(fullRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		j.excluded = append(j.excluded[:0], j.ranAt...)
		return true
	case <-ctx.Done():
		j.finishUnanswered(ctx)
		return false
	}
}

// mayGetTarget reports whether a target that has not run the request may do so later.
func (j *job) mayGetTarget() bool {
	r := j.targetRequest()
	r.Exclude = j.ranAt
	return j.g.fleet.HasTarget(r, time.Now())
}

// finishWithoutTarget ends a request for which there is no target now.
func (j *job) finishWithoutTarget(ctx context.Context) {
	if len(j.ranAt) > 0 {
		j.finishUnanswered(ctx)
		return
	}
	if j.isUnannounced() {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "release_unannounced", cause: j.cause, retryAfter: noTargetRetryAfter})
		return
	}
	if retryAfter, ok := j.limitRetryAfter(); ok {
		j.refuseLimited(retryAfter)
		return
	}
	if j.isVersionBound {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "version_gone", cause: &VersionGoneError{Service: j.service, Version: j.version}, retryAfter: noTargetRetryAfter})
		return
	}
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no_target", retryAfter: noTargetRetryAfter})
}

// finishUnanswered ends a request that no target has answered completely.
func (j *job) finishUnanswered(ctx context.Context) {
	switch {
	case j.r.Context().Err() != nil:
		j.outcome = "caller_gone"
	case j.headerSent:
		j.outcome = "cut"
		abortAnswer()
	case len(j.ranAt) == 0:
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timeout_not_run", cause: j.cause})
	case ctx.Err() != nil:
		j.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout", cause: j.cause})
	default:
		j.refuse(refusal{status: http.StatusBadGateway, reason: "target_failed", cause: j.cause})
	}
}

// dispatch sends the request to one target and relays its answer.
func (j *job) dispatch(ctx context.Context, choice *fleet.Choice) result {
	exchangeCtx, cancelExchange := context.WithCancel(ctx)
	defer cancelExchange()
	if j.route.IsIdempotent() && !j.sender.isHost {
		stop := j.g.reach.OnCutOff(cancelExchange)
		defer stop()
	}
	sent := time.Now()
	conn, err := j.connect(ctx, choice, false)
	if err != nil {
		j.cause = err
		choice.End(time.Now(), failureOutcome(ctx, fleet.Unreachable), 0)
		return notRun
	}
	s := j.startAnswerTimer(cancelExchange)
	response, err := j.exchange(exchangeCtx, choice, conn, sent)
	isSilent := s.stop()
	if err == nil {
		return j.relay(ctx, choice, conn, response, sent)
	}
	if isSilent {
		j.g.metrics.silentTargets.Inc(1)
		// The answer would have taken even longer, so the time waited is a lower bound.
		return j.recordNoAnswer(ctx, choice, &SilentTargetError{Target: choice.ID, Cause: err}, time.Since(sent))
	}
	if conn.Reused && ctx.Err() == nil && j.canResend(err) {
		return j.dispatchAgain(ctx, choice, err, sent)
	}
	return j.recordNoAnswer(ctx, choice, err, 0)
}

// dispatchAgain sends a request on a new connection after a reused one has failed:
// the target may have closed that one while the request was in transit. The first
// transmission may have run, whatever the result of the second.
func (j *job) dispatchAgain(ctx context.Context, choice *fleet.Choice, first error, sent time.Time) result {
	j.g.metrics.staleConnections.Inc(1)
	mayHaveRun := mayHaveBeenSent(first)
	if mayHaveRun {
		j.recordRun(choice.ID)
	}
	r := notRun
	if !j.permit(ctx, choice.ID) {
		j.cause = &RateLimitedError{Service: j.service}
		choice.End(time.Now(), fleet.Abandoned, 0)
		if mayHaveRun {
			return outcomeUnknown
		}
		return notRun
	}
	conn, err := j.connect(ctx, choice, true)
	if err != nil {
		j.cause = err
		choice.End(time.Now(), failureOutcome(ctx, fleet.Unreachable), 0)
	} else if response, err := j.exchange(ctx, choice, conn, sent); err != nil {
		r = j.recordNoAnswer(ctx, choice, err, 0)
	} else {
		r = j.relay(ctx, choice, conn, response, sent)
	}
	if r == notRun && mayHaveRun {
		return outcomeUnknown
	}
	return r
}

// exchange sends the request on a connection. The connection fails if ctx ends while
// the answer is read.
func (j *job) exchange(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, sent time.Time) (*http.Response, error) {
	j.used = append(j.used, conn.ID())
	return conn.Exchange(ctx, j.request(choice, sent), j.isOwn)
}

// SilentTargetError reports that a dispatch was cancelled because the target did not
// begin to answer in time.
type SilentTargetError struct {
	Target string
	Cause  error
}

// Error implements error.
func (e *SilentTargetError) Error() string {
	return "target " + e.Target + " did not begin to answer in time"
}

// Unwrap returns the cause.
func (e *SilentTargetError) Unwrap() error { return e.Cause }

// mayHaveBeenSent reports whether a request that got no answer may have reached its
// target.
func mayHaveBeenSent(err error) bool {
	var exchange *upstream.ExchangeError
	return !errors.As(err, &exchange) || exchange.Sent
}

// recordRun records that a target may have begun to run the request.
func (j *job) recordRun(target string) {
	if !slices.Contains(j.ranAt, target) {
		j.ranAt = append(j.ranAt, target)
	}
}

// connectionTarget returns the run of a target that its connections lead to.
func connectionTarget(c *fleet.Choice) upstream.Target {
	return upstream.Target{ID: c.ID, Address: c.Address, StartedAt: c.StartedAt}
}

// connect returns a connection to the chosen target, a new one if fresh is set.
func (j *job) connect(ctx context.Context, choice *fleet.Choice, fresh bool) (*upstream.Conn, error) {
	defer since(&j.times.connect, time.Now())
	target := connectionTarget(choice)
	if fresh {
		return j.g.pool.Dial(ctx, target)
	}
	maxIdle := maxIdleIdempotent
	if !j.route.IsIdempotent() {
		maxIdle = maxIdleNonIdempotent
	}
	return j.g.pool.Connect(ctx, target, maxIdle, j.hasUsed)
}

// hasUsed reports whether the request was sent on a connection before. A target may write
// the refusal that it gave there once more.
func (j *job) hasUsed(id upstream.ConnectionID) bool { return slices.Contains(j.used, id) }

// canResend reports whether a request that got no answer on a reused connection may
// be sent to the same target again.
func (j *job) canResend(err error) bool {
	var exchange *upstream.ExchangeError
	if !errors.As(err, &exchange) || exchange.Garbled {
		return false
	}
	return !exchange.Sent || j.route.IsIdempotent()
}

// recordNoAnswer records that no answer arrived. first is a lower bound of the time
// to the target's first byte; zero if the failure gives none.
func (j *job) recordNoAnswer(ctx context.Context, choice *fleet.Choice, err error, first time.Duration) result {
	j.cause = err
	choice.End(time.Now(), failureOutcome(ctx, fleet.Broken), first)
	if !mayHaveBeenSent(err) {
		return notRun
	}
	j.recordRun(choice.ID)
	return outcomeUnknown
}

// failureOutcome returns the outcome of a failed dispatch: Abandoned if the caller or
// the time limit ended it, otherwise o.
func failureOutcome(ctx context.Context, o fleet.Outcome) fleet.Outcome {
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
	d := Dispatch{TargetID: choice.ID, TimeLeft: j.deadline().Sub(now), ResumeAfter: j.lastEvent, Identity: j.identity()}
	j.setEnginePriority(&d, now.Sub(j.started))
	h := j.g.protocol.DispatchHeader(j.r.Header, d)
	return upstream.Request{Method: j.r.Method, URI: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.prompt}
}
