package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
)

// chainLookup is a lookup of the turns that a request continues. It runs concurrently
// with the reservation of the request's tokens.
type chainLookup struct {
	done  chan struct{}
	chain conversation.Chain
	err   error
}

// startChainLookup starts the lookup of the turns that the request continues. It returns
// nil if the request continues none.
func (j *job) startChainLookup(ctx context.Context) *chainLookup {
	if !j.route.KeepsConversations || j.call.PreviousTurn == "" {
		return nil
	}
	l := &chainLookup{done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.chain, l.err = j.g.conversations.Chain(ctx, j.call.Program, j.call.PreviousTurn)
	}()
	return l
}

// prependConversation sets the prompt to the turns that the request continues, followed
// by the body. It returns false after it has ended the request.
func (j *job) prependConversation(l *chainLookup) bool {
	j.prompt = j.body
	if l == nil {
		return true
	}
	waiting := time.Now()
	<-l.done
	since(&j.times.lookup, waiting)
	if l.err != nil {
		j.refuseWithoutConversation(l.err)
		return false
	}
	if j.isIdentified && !l.chain.IsOpenTo(j.organisationName()) {
		j.g.metrics.deniedTurns.Inc(1)
		j.refuseWithoutConversation(&DeniedTurnError{Turn: j.call.PreviousTurn})
		return false
	}
	if !j.g.bodies.acquire(l.chain.Size()) {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: fullRetryAfter})
		return false
	}
	j.chain = l.chain
	j.prompt = l.chain.Prompt(j.body)
	return true
}

// releasePrompt returns the memory of the earlier turns to the budget for bodies.
func (j *job) releasePrompt() { j.g.bodies.release(len(j.prompt) - len(j.body)) }

// refuseWithoutConversation refuses a request whose earlier turns were not found.
func (j *job) refuseWithoutConversation(err error) {
	var unknown *UnknownTurnError
	var denied *DeniedTurnError
	if errors.As(err, &unknown) || errors.As(err, &denied) {
		j.refuse(refusal{status: http.StatusNotFound, reason: "unknown_turn", cause: err})
		return
	}
	if j.r.Context().Err() != nil {
		j.fail("caller_gone", err)
		return
	}
	retryAfter := fullRetryAfter
	var uncertain *UncertainTurnError
	if errors.As(err, &uncertain) {
		retryAfter = uncertain.RetryAfter
	}
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "turn_uncertain", cause: err, retryAfter: retryAfter})
}

// DeniedTurnError reports that a turn belongs to another organisation. Callers get the same answer as
// for a turn that does not exist.
type DeniedTurnError struct{ Turn string }

// Error implements error.
func (e *DeniedTurnError) Error() string {
	return "turn " + e.Turn + " belongs to another organisation"
}

// maxTurnOutputBytes limits the stored output of a turn.
const maxTurnOutputBytes = 4 << 20

// errTurnTooLong reports that the output of a turn is too long to be stored.
var errTurnTooLong = errors.New("output of the turn exceeds the maximum that can be saved")

// openTranscript finds out what the turn has said before this host goes on with it. It returns false after it has
// refused the request: without the events that the caller has got already, nobody would know the whole turn.
func (j *job) openTranscript(ctx context.Context) bool {
	if !j.route.KeepsConversations {
		return true
	}
	if j.call.ResumeAfter == "" {
		j.said = &conversation.Transcript{}
		return true
	}
	if said := j.sender.Said; said != nil {
		if t, ok := said.ResumeAfter(j.call.ResumeAfter); ok {
			j.said = t
			return true
		}
	}
	defer since(&j.times.takeUp, time.Now())
	var err error
	if j.said, err = j.g.conversations.TakeUp(ctx, j.call.Program, j.attempt(), j.call.ResumeAfter); err != nil {
		j.refuseWithoutConversation(err)
		return false
	}
	return true
}

// attempt identifies the request among those that bring parts of the same stream.
func (j *job) attempt() conversation.Attempt {
	a := conversation.Attempt{Stream: j.call.Resumes, ID: j.call.RequestID, Organisation: j.organisationName()}
	if j.call.ResumeAfter == "" {
		a.Stream = a.ID
	}
	return a
}

// errUnknownBefore reports that a target was asked to go on after another event than the transcript of the turn ends
// with.
var errUnknownBefore = errors.New("events before this part of the turn are not known")

// appendEvent adds an event to the transcript of the turn.
func (j *job) appendEvent(e event) error {
	if !j.route.KeepsConversations {
		return nil
	}
	data, ok := e.data()
	if !ok {
		if e.id != "" {
			j.emptyEvent = e.id
		}
		return nil
	}
	if after := j.resumePoint(); after != j.said.LastID() && after != j.emptyEvent {
		return errUnknownBefore
	}
	if j.said.Size()+len(data) >= maxTurnOutputBytes {
		return errTurnTooLong
	}
	if err := j.keep(len(e.raw) + len(data)); err != nil {
		return err
	}
	j.record(conversation.Event{ID: e.id, Data: data})
	return nil
}

// record adds an event to the transcript, and copies it to other hosts if the caller may take the stream up there.
func (j *job) record(e conversation.Event) {
	if j.recorder == nil && j.isResumable() {
		j.recorder = j.g.conversations.Record(j.call.Program, j.attempt(), j.said)
	}
	j.said.Append(e)
	if j.recorder != nil {
		j.recorder.Append(e)
	}
}

func (j *job) closeRecorder() {
	if j.recorder != nil {
		j.recorder.Close()
	}
}

// keep accounts for n bytes that are kept beside the output of the turn. It returns an error
// if the host has no memory for them.
func (j *job) keep(n int) error {
	if j.said != nil {
		n += j.said.Size()
	}
	if n <= uncountedAnswerBytes {
		return nil
	}
	if err := j.memory.Cover(int64(n)); err != nil {
		j.g.metrics.answersOverMemory.Inc(1)
		return errors.Annotatef(err, "answer of %d bytes or more", n)
	}
	return nil
}

// saveTurn saves the turn after all its events were sent to the caller and before the
// answer ends. It returns false if the turn may be lost.
func (j *job) saveTurn(ctx context.Context) bool {
	if !j.route.KeepsConversations {
		return true
	}
	// A caller that has disconnected may have received the complete answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline())
	defer cancel()
	settled := j.startSettlement(ctx)
	started := time.Now()
	err := j.g.conversations.Save(ctx, j.chain, conversation.Turn{
		ID:           j.call.RequestID,
		Program:      j.call.Program,
		Organisation: j.organisationName(),
		Input:        bytes.Clone(j.body),
	}, j.said)
	since(&j.times.save, started)
	if err != nil {
		j.cause = err
		return false
	}
	j.awaitSettlement(ctx, settled)
	return true
}

// settlementWait is how long the end of a turn that is saved waits for the record of what
// the turn has spent.
const settlementWait = 400 * time.Millisecond

// startSettlement settles the allowance of a turn whose events were all sent. The program
// continues from the turn as soon as its answer has ended, and at any host, so that the
// unspent tokens have to be free by then. It returns nil without an allowance.
func (j *job) startSettlement(ctx context.Context) <-chan error {
	if j.allowance == nil {
		return nil
	}
	settled := make(chan error, 1)
	a := j.allowance
	go func() { settled <- a.settle(ctx) }()
	return settled
}

// awaitSettlement waits for a settlement, settlementWait at most. One that failed while the
// turn was being saved is tried again.
func (j *job) awaitSettlement(ctx context.Context, settled <-chan error) {
	if settled == nil {
		return
	}
	defer since(&j.times.settle, time.Now())
	ctx, cancel := context.WithTimeout(ctx, settlementWait)
	defer cancel()
	var err error
	select {
	case err = <-settled:
		if err != nil {
			err = j.allowance.settle(ctx)
		}
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		j.g.metrics.lateSettlements.Inc(1)
		j.g.log.Info("Answer ends before the log counts what the turn has spent.", "request", j.call.RequestID, "program", j.call.Program, "cause", err.Error())
	}
}
