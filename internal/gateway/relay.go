package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/route"
	"yuccausher/internal/upstream"
)

// bufferedAnswerBytes is the size up to which a non-streamed answer is read completely
// before its header is sent to the caller. An interrupted answer can then still be
// replaced by that of another target.
const bufferedAnswerBytes = 64 << 10

// uncountedAnswerBytes is what each request may keep of an answer without taking it from the
// memory for answers.
const uncountedAnswerBytes = 1 << 10

// errAltered reports an answer that is not as the target sent it. Targets use no
// content encoding and state the request ID in each successful answer.
var errAltered = errors.New("answer has an unrequested content encoding or lacks its request ID")

// relay sends the answer of a target to the caller.
func (j *job) relay(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, response *http.Response, sent time.Time) result {
	answer := j.g.protocol.ParseAnswer(response.StatusCode, response.Header)
	j.framing = upstream.FramingOf(response)
	j.g.metrics.countAnswer(j.framing)
	j.recordLimit(choice, answer, sent)
	if answer.IsLeaving {
		j.recordLeaving(choice)
	}
	if conn.Reused && answer.RequestID == "" && j.call.RequestID != "" {
		return j.recordUnattributable(choice, conn)
	}
	if answer.IsRefused {
		return j.recordRefusal(choice, conn, response, answer)
	}
	j.recordRun(choice.ID)
	if answer.IsEncoded || answer.RequestID == "" && response.StatusCode < http.StatusMultipleChoices {
		j.cause = errAltered
		conn.Abort()
		choice.End(time.Now(), fleet.Broken, 0)
		return outcomeUnknown
	}
	isStream := j.route.Kind == route.Stream && response.StatusCode == http.StatusOK && isEventStream(response)
	if j.headerSent && !isStream {
		return j.recordFailedResume(choice, conn, response)
	}
	if isStream {
		return j.relayStream(ctx, choice, conn, response, sent, answer.IsLeaving)
	}
	return j.relayAnswer(ctx, choice, conn, response, sent, answer.IsLeaving)
}

// errUnattributable reports an answer that states no request on a connection that has
// carried other requests, so that it may be that of one of these.
var errUnattributable = errors.New("answer on a reused connection states no request ID")

// recordUnattributable handles an answer that may belong to another request.
func (j *job) recordUnattributable(choice *fleet.Choice, conn *upstream.Conn) result {
	j.recordRun(choice.ID)
	j.cause = errUnattributable
	j.g.metrics.unattributable.Inc(1)
	conn.Abort()
	choice.End(time.Now(), fleet.Broken, 0)
	return outcomeUnknown
}

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// isEventStream reports whether an answer is a stream of events, or does not state what it
// is.
func isEventStream(response *http.Response) bool {
	contentType := response.Header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && media == eventStreamType
}

// recordFailedResume handles a failure of the target that was to continue a stream. Its
// body does not belong to the stream.
func (j *job) recordFailedResume(choice *fleet.Choice, conn *upstream.Conn, response *http.Response) result {
	j.cause = &ResumeFailedError{Target: choice.ID, Status: response.StatusCode}
	conn.Drain(response)
	choice.End(time.Now(), fleet.Failed, 0)
	return interrupted
}

// ResumeFailedError reports that a target answered the continuation of a stream with a
// failure.
type ResumeFailedError struct {
	Target string
	Status int
}

// Error implements error.
func (e *ResumeFailedError) Error() string {
	return "target " + e.Target + " answered the rest of a stream with status " + strconv.Itoa(e.Status)
}

// recordLeaving handles an answer in which the target announces that it is leaving.
func (j *job) recordLeaving(choice *fleet.Choice) {
	if j.g.fleet.MarkLeaving(choice.Member, time.Now()) {
		j.g.metrics.leavingTargets.Inc(1)
		j.g.log.Info("Target announced in an answer that it is leaving.", "request", j.call.RequestID, "target", choice.ID, "targets_age_ms", j.g.targetsAge().Milliseconds())
	}
}

// recordRefusal handles an answer in which the target refuses the request.
func (j *job) recordRefusal(choice *fleet.Choice, conn *upstream.Conn, response *http.Response, answer Answer) result {
	outcome := fleet.Full
	if answer.IsWrongTarget {
		outcome = fleet.Replaced
	} else {
		j.observeRefusal()
	}
	j.cause = &TargetRefusedError{Target: choice.ID, Status: response.StatusCode}
	j.g.metrics.recordRefusal(outcome)
	conn.Drain(response)
	choice.End(time.Now(), outcome, 0)
	return notRun
}

// TargetRefusedError reports that a target refused a request without running it.
type TargetRefusedError struct {
	Target string
	Status int
}

// Error implements error.
func (e *TargetRefusedError) Error() string {
	return "target " + e.Target + " refused with status " + strconv.Itoa(e.Status)
}

// relayAnswer relays an answer that is not a stream of events. isLeaving is set if the
// target states in it that it is leaving.
func (j *job) relayAnswer(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, response *http.Response, sent time.Time, isLeaving bool) result {
	first := time.Since(sent)
	head, isWhole, err := j.readHead(response.Body)
	if err != nil {
		j.cause = err
		conn.Abort()
		choice.End(time.Now(), failureOutcome(ctx, fleet.Broken), 0)
		return outcomeUnknown
	}
	if isWhole && j.hasCrashed(ctx, choice, isLeaving) {
		conn.Abort()
		choice.End(time.Now(), fleet.Broken, first)
		return outcomeUnknown
	}
	j.sendHeader(response)
	j.firstByte = time.Since(j.started)
	_, err = j.w.Write(head)
	if err == nil && !isWhole {
		_, err = io.Copy(j.w, response.Body)
		if err == nil && j.hasCrashed(ctx, choice, isLeaving) {
			err = j.cause
		}
	}
	if err != nil {
		j.cause = err
		conn.Abort()
		choice.End(time.Now(), failureOutcome(ctx, fleet.Broken), first)
		j.outcome = "cut"
		j.recordMissingAnswer(ctx, choice)
		abortAnswer()
	}
	conn.Release()
	outcome := fleet.Answered
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = fleet.Failed
	}
	choice.End(time.Now(), outcome, first)
	j.outcome = "answered"
	return completed
}

// readHead reads the first bufferedAnswerBytes of a body, or less if the host has no memory for
// them. isWhole says that it has read the body to its end.
func (j *job) readHead(body io.Reader) (head []byte, isWhole bool, _ error) {
	head = make([]byte, 0, uncountedAnswerBytes)
	for len(head) < bufferedAnswerBytes {
		if len(head) == cap(head) {
			size := min(2*cap(head), bufferedAnswerBytes)
			if j.keep(size) != nil {
				break
			}
			head = append(make([]byte, 0, size), head...)
		}
		n, err := body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return head, false, nil
}

// sendHeader sends the header of the first answer to the caller.
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

var (
	// errRepeatedEvent reports an event that does not follow those before it.
	errRepeatedEvent = errors.New("event does not follow those that the caller has")
	// errNoRest reports that a stream was to go on at a target that closed the connection
	// without an event, which does not show that there are none.
	errNoRest = errors.New("target closed the connection without the rest of the stream")
)

// resumePoint returns the ID of the last event that the caller has; empty if none.
func (j *job) resumePoint() string {
	if j.lastEvent == "" && j.route.Resumable {
		return j.call.ResumeAfter
	}
	return j.lastEvent
}

// recordResumption records that a target continues a stream. isSameRequest is set if the
// events before came in the same request of the caller.
func (j *job) recordResumption(choice *fleet.Choice, isSameRequest bool) {
	if j.resumePoint() == "" {
		return
	}
	j.g.metrics.countResumption(isSameRequest)
	j.g.log.Info("Target continues a stream.", "request", j.call.RequestID, "resumes", j.call.Resumes, "after", j.resumePoint(), "same_request", isSameRequest,
		"target", choice.ID, "version", choice.Version, "event_versions", j.eventVersions, "targets_age_ms", j.g.targetsAge().Milliseconds())
}

// relayStream relays a stream event by event. isLeaving is set if the target states in its
// header that it is leaving.
func (j *job) relayStream(ctx context.Context, choice *fleet.Choice, conn *upstream.Conn, response *http.Response, sent time.Time, isLeaving bool) result {
	j.sendHeader(response)
	flusher := http.NewResponseController(j.w)
	events := newEventReader(response.Body, j.keep)
	first := time.Duration(0)
	isResumed := j.events > 0
	var times streamTimes
	j.recordResumption(choice, isResumed)
	for {
		e, err := events.next()
		switch {
		case err == nil && !e.isAfter(j.resumePoint()):
			err = errRepeatedEvent
		case errors.Is(err, io.EOF) && isResumed && first == 0 && j.framing == upstream.Unframed:
			err = errNoRest
		}
		if err == nil {
			err = j.appendEvent(e)
		}
		if errors.Is(err, io.EOF) && j.hasCrashed(ctx, choice, isLeaving) {
			conn.Abort()
			choice.End(time.Now(), fleet.Broken, first)
			return interrupted
		}
		if errors.Is(err, io.EOF) {
			conn.Release()
			choice.End(time.Now(), fleet.Answered, first)
			if !isResumed {
				j.observeStream(&times, first)
			}
			j.finishPlace(occupancy.Answered)
			if !j.saveTurn(ctx) {
				j.outcome = "turn_not_kept"
				abortAnswer()
			}
			j.outcome = "answered"
			return completed
		}
		if err != nil {
			j.cause = err
			conn.Abort()
			choice.End(time.Now(), failureOutcome(ctx, fleet.Broken), first)
			return interrupted
		}
		if err = j.coverEvent(ctx); err != nil {
			j.endStream(choice, conn, first, "budget_unknown", err)
		}
		if first == 0 {
			first = time.Since(sent)
			j.firstByte = time.Since(j.started)
		}
		received := time.Now()
		times.received(received)
		choice.Received(received)
		// An event that may have reached the caller counts as spent.
		j.countEvent(choice)
		if _, err = j.w.Write(e.raw); err == nil {
			err = flusher.Flush()
		}
		times.writing += time.Since(received)
		if err != nil {
			j.endStream(choice, conn, first, "caller_gone", err)
		}
		if e.id != "" {
			j.lastEvent = e.id
		}
	}
}

// endStream ends a stream that its target could go on with, and the request with it. first is the time
// to the first event.
func (j *job) endStream(choice *fleet.Choice, conn *upstream.Conn, first time.Duration, outcome string, cause error) {
	j.cause = cause
	conn.Abort()
	choice.End(time.Now(), fleet.Abandoned, first)
	j.outcome = outcome
	j.g.quarantine.RecordAbandoned(j.fingerprint(), connectionTarget(choice), j.sharedFeatures()...)
	abortAnswer()
}
