package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/upstream"
)

// wholeAnswerBytes is the longest plain answer that is read to its end before
// its header is passed on, in bytes, so that one that breaks off can still be
// replaced.
const wholeAnswerBytes = 64 << 10

// errEncoded says that an answer's body is not as the target made it.
var errEncoded = errors.New("answer with an encoding that was not asked for")

// relay passes the answer of a target on to the caller.
func (j *job) relay(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, response *http.Response, sent time.Time) result {
	answer := j.g.protocol.ParseAnswer(response.StatusCode, response.Header)
	if answer.IsLeaving {
		j.noteLeaving(choice)
	}
	if answer.IsRefused {
		return j.refused(choice, conn, response, answer)
	}
	j.ran(choice.ID)
	if answer.IsEncoded || answer.RequestID == "" && response.StatusCode < http.StatusMultipleChoices {
		j.cause = errEncoded
		conn.Abort()
		choice.End(time.Now(), fleet.Broken, 0)
		return unknown
	}
	if j.route.Kind == route.Stream && response.StatusCode == http.StatusOK {
		return j.relayEvents(ctx, choice, conn, response, sent)
	}
	return j.relayWhole(ctx, choice, conn, response, sent)
}

// noteLeaving takes an answer that says that its target is leaving.
func (j *job) noteLeaving(choice *fleet.Choice) {
	if j.g.fleet.MarkLeaving(choice.Member, time.Now()) {
		j.g.metrics.leavingTargets.Inc(1)
		j.g.log.Info("Target says that it is leaving.", "request", j.call.RequestID, "target", choice.ID, "targets_age_ms", j.g.targetsAge().Milliseconds())
	}
}

// refused takes an answer that says that the request did not run.
func (j *job) refused(choice *fleet.Choice, conn *upstream.Conn, response *http.Response, answer Answer) result {
	outcome := fleet.Full
	if answer.IsWrongTarget {
		outcome = fleet.Replaced
	}
	j.cause = &TargetRefusedError{Target: choice.ID, Status: response.StatusCode}
	j.g.metrics.refusedBy(outcome)
	conn.Drain(response)
	choice.End(time.Now(), outcome, 0)
	return notRun
}

// TargetRefusedError says that a target refused a request without running it.
type TargetRefusedError struct {
	Target string
	Status int
}

// Error implements error.
func (e *TargetRefusedError) Error() string {
	return "target " + e.Target + " refused with status " + strconv.Itoa(e.Status)
}

// relayWhole passes a plain answer on.
func (j *job) relayWhole(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, response *http.Response, sent time.Time) result {
	first := time.Since(sent)
	head, err := io.ReadAll(io.LimitReader(response.Body, wholeAnswerBytes))
	if err != nil {
		j.cause = err
		conn.Abort()
		choice.End(time.Now(), outcomeOf(ctx, fleet.Broken), 0)
		return unknown
	}
	j.sendHeader(response)
	j.first = time.Since(j.started)
	_, err = j.w.Write(head)
	if err == nil && len(head) == wholeAnswerBytes {
		_, err = io.Copy(j.w, response.Body)
	}
	if err != nil {
		j.cause = err
		conn.Abort()
		choice.End(time.Now(), outcomeOf(ctx, fleet.Broken), first)
		j.outcome = "cut"
		breakOff()
	}
	conn.Release()
	outcome := fleet.Answered
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = fleet.Failed
	}
	choice.End(time.Now(), outcome, first)
	j.outcome = "answered"
	return finished
}

// sendHeader passes the header of the first answer on.
func (j *job) sendHeader(response *http.Response) {
	if j.headerSent {
		return
	}
	h := j.w.Header()
	for name, values := range j.g.protocol.AnswerHeader(response.Header) {
		h[name] = values
	}
	if response.ContentLength >= 0 && j.route.Kind != route.Stream {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	j.w.WriteHeader(response.StatusCode)
	j.headerSent = true
	j.status = response.StatusCode
}

// relayEvents passes a stream on event by event.
func (j *job) relayEvents(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, response *http.Response, sent time.Time) result {
	j.sendHeader(response)
	flusher := http.NewResponseController(j.w)
	events := newEventReader(response.Body)
	first := time.Duration(0)
	for {
		e, err := events.next()
		if err == nil {
			err = j.recordEvent(e)
		}
		if errors.Is(err, io.EOF) {
			conn.Release()
			choice.End(time.Now(), fleet.Answered, first)
			if !j.keepTurn(ctx) {
				j.outcome = "turn_not_kept"
				breakOff()
			}
			j.outcome = "answered"
			return finished
		}
		if err != nil {
			j.cause = err
			conn.Abort()
			choice.End(time.Now(), outcomeOf(ctx, fleet.Broken), first)
			return cut
		}
		if first == 0 {
			first = time.Since(sent)
			j.first = time.Since(j.started)
		}
		choice.Received(time.Now())
		// An event that may have reached the caller counts as spent.
		j.spend()
		if _, err = j.w.Write(e.raw); err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			j.cause = err
			conn.Abort()
			choice.End(time.Now(), fleet.Abandoned, first)
			j.outcome = "caller_gone"
			breakOff()
		}
		if e.id != "" {
			j.lastEvent = e.id
		}
	}
}
