package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/handover"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/core/route"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/upstream"
)

// Reach knows whether this host has a path to the targets.
type Reach interface {
	// State returns what the host believes of its path.
	State() reach.State
	// OnCutOff calls f once if the host is cut off before stop is called.
	OnCutOff(f func()) (stop func())
}

// Handover passes requests on to other hosts.
type Handover interface {
	// HandOver finds a host that takes a request. An error means that the request has not run.
	HandOver(ctx context.Context, requestID string, r port.HandoverRequest) (Taken, error)
	// NewestConfiguration returns the version of the newest configuration that another host has stated.
	NewestConfiguration() int64
}

// Taken is a request that another host has taken.
type Taken struct {
	Host   string
	Answer port.HandoverAnswer
}

// Progress is how far a request has come when it is handed over.
type Progress struct {
	// Elapsed is the time since its arrival, TimeLeft the time until its final answer is due.
	Elapsed, TimeLeft time.Duration
	// Resumes and ResumeAfter are those of a stream of which the caller has events; empty
	// otherwise.
	Resumes, ResumeAfter string
	Identity
}

// ServeHandover answers a request that another host has handed over. It is not handed over
// again, so that requests do not circle between hosts.
func (g *Gateway) ServeHandover(w http.ResponseWriter, r *http.Request, from port.HandoverSender) {
	g.serve(w, r, sender{isHost: true, HandoverSender: from})
}

// sender is who has sent a request to this host: a caller, or another host on its behalf.
type sender struct {
	isHost bool
	port.HandoverSender
}

// mustHandOver reports whether this host can't send the request to a target, and another host
// may.
func (j *job) mustHandOver(ctx context.Context) bool {
	if j.sender.isHost || len(j.ranAt) > 0 && !j.canRetry(ctx) {
		return false
	}
	if j.isOutdated() {
		return true
	}
	switch j.g.reach.State() {
	case reach.CutOff:
		return true
	case reach.Refused:
		// Open connections still work; this request has needed a new one.
		var refused *upstream.DialError
		if errors.As(j.cause, &refused) {
			return true
		}
	}
	return j.g.quarantine.IsUnsettled(j.fingerprint)
}

// isOutdated reports whether the host knows that a newer configuration than its own is in force, by the host that has sent
// the request or by one that has answered an offer.
func (j *job) isOutdated() bool {
	return j.tableVersion < max(j.sender.View.Configuration, j.g.handover.NewestConfiguration())
}

// refuseByConfiguration refuses a request that the configuration does not allow. A host that knows that its own is outdated
// can't tell.
func (j *job) refuseByConfiguration(f refusal) {
	if j.isOutdated() {
		f = refusal{status: http.StatusServiceUnavailable, reason: "configuration_outdated", cause: f.cause, retryAfter: unconfiguredRetryAfter}
	}
	j.refuse(f)
}

// isHeld reports whether the request must neither run at this host nor be passed on: it would be
// the content's second end that this host can't explain.
func (j *job) isHeld() bool {
	return j.sender.isHost && j.g.quarantine.IsUnsettled(j.fingerprint)
}

// handOver passes the request on to another host and ends it.
func (j *job) handOver(ctx context.Context) {
	j.releaseReservation()
	taken, err := j.g.handover.HandOver(ctx, j.call.RequestID, j.handoverRequest())
	if err != nil {
		j.finishNotTaken(ctx, err)
		return
	}
	defer taken.Answer.Close()
	j.handedTo = taken.Host
	if j.isRecorded && j.events == 0 {
		j.g.origins.Forget(j.call.RequestID)
	}
	status, header, err := taken.Answer.Start()
	if err == nil && isPromise(status) && len(j.ranAt) > 0 {
		// The other host has not run the request, but a target of this one may have.
		err = &HandoverRefusedError{Host: taken.Host, Status: status}
	}
	if err == nil && j.headerSent && status != http.StatusOK {
		err = &HandoverRefusedError{Host: taken.Host, Status: status}
	}
	if err != nil {
		j.recordRun(taken.Host)
		j.cause = err
		j.finishUnanswered(ctx)
		return
	}
	j.relayHandover(taken.Answer, status, header)
}

// View returns what this host decides on requests by.
func (g *Gateway) View() handover.View {
	v := handover.View{TargetsAge: g.targetsAge()}
	v.HasTargets = v.TargetsAge >= 0
	if table := g.tables.Current(); table != nil {
		v.Configuration = table.Version
	}
	return v
}

func (j *job) handoverRequest() port.HandoverRequest {
	p := Progress{Elapsed: time.Since(j.started), TimeLeft: time.Until(j.deadline()), ResumeAfter: j.lastEvent, Identity: j.identity()}
	if p.ResumeAfter != "" && j.call.ResumeAfter == "" {
		p.Resumes = j.call.RequestID
	}
	view := j.g.View()
	view.Configuration = max(view.Configuration, j.g.handover.NewestConfiguration())
	return port.HandoverRequest{
		Method: j.r.Method,
		URI:    j.r.RequestURI,
		Host:   j.r.Host,
		Header: j.g.protocol.HandoverHeader(j.r.Header, p),
		Body:   j.body,

		IsRecorded:   j.isRecorded,
		Attempts:     j.attempts(),
		IsIdentified: p.IsIdentified,
		Organisation: p.Organisation,
		Said:         j.said,
		View:         view,
	}
}

// relayHandover sends the answer of another host to the caller as it arrives.
func (j *job) relayHandover(answer port.HandoverAnswer, status int, header http.Header) {
	if !j.headerSent {
		h := j.w.Header()
		for name, values := range j.g.protocol.AnswerHeader(header) {
			h[name] = values
		}
		if length := header.Get("Content-Length"); length != "" && j.route.Kind != route.Stream {
			h.Set("Content-Length", length)
		}
		j.w.WriteHeader(status)
		j.headerSent, j.status = true, status
	}
	j.firstByte = time.Since(j.started)
	flusher := http.NewResponseController(j.w)
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			j.outcome = "handed_over"
			return
		}
		if err == nil {
			_, err = j.w.Write(part)
		}
		if err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			j.cause = err
			j.outcome = "cut"
			if j.r.Context().Err() != nil {
				j.outcome = "caller_gone"
			}
			abortAnswer()
		}
	}
}

// finishNotTaken ends a request that no other host has taken.
func (j *job) finishNotTaken(ctx context.Context, err error) {
	j.cause = err
	if len(j.ranAt) > 0 || ctx.Err() != nil {
		j.finishUnanswered(ctx)
		return
	}
	retryAfter := noTargetRetryAfter
	var advice interface{ RetryAfter() time.Duration }
	if errors.As(err, &advice) {
		retryAfter = advice.RetryAfter()
	}
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no_path", cause: err, retryAfter: retryAfter})
}

// isPromise reports whether a status guarantees that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		return true
	}
	return false
}

// HandoverRefusedError reports that a host has answered a request with a refusal that the caller
// can't get, because a target may have run the request before.
type HandoverRefusedError struct {
	Host   string
	Status int
}

// Error implements error.
func (e *HandoverRefusedError) Error() string {
	return "host " + e.Host + " refused a request that may have run: " + http.StatusText(e.Status)
}

// maxUncountedCutOffs is the number of targets per request that this host was cut off from and
// that don't count as attempts. A host that is cut off passes the request on.
const maxUncountedCutOffs = 2

// isCutOff reports whether a dispatch without a complete answer has probably failed because this
// host is cut off from the targets. A host that opens no new connections is not: its open ones
// carry data, so that the failure may be that of the target.
func (j *job) isCutOff(r result) bool {
	return (r == outcomeUnknown || r == interrupted) && j.g.reach.State() == reach.CutOff
}

// recordCutOff records that the request was sent to a target that this host is cut off from. The
// target does not count as an attempt.
func (j *job) recordCutOff(choice *fleet.Choice) {
	if j.unreachable < maxUncountedCutOffs {
		j.unreachable++
	}
	j.g.metrics.cutOffRuns.Inc(1)
	j.g.log.Info("Host is cut off from the target of a request.", "request", j.call.RequestID, "content", strconv.FormatUint(j.fingerprint(), 16),
		"target", choice.ID, "started_at", choice.StartedAt, "runs", len(j.ranAt), "events", j.events, "state", j.g.reach.State().String(), "cause", fault.Text(j.cause))
}
