package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
)

// chainLookup is the look for the turns that a request continues, which goes on
// beside the reservation of its tokens.
type chainLookup struct {
	done  chan struct{}
	chain conversation.Chain
	err   error
}

// lookUpConversation starts to look for the turns that the request continues. It
// returns nil if it continues none.
func (j *job) lookUpConversation(ctx context.Context) *chainLookup {
	if !j.route.KeepsConversations || j.call.PreviousTurn == "" {
		return nil
	}
	l := &chainLookup{done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.chain, l.err = j.g.turns.Chain(ctx, j.call.Program, j.call.PreviousTurn)
	}()
	return l
}

// continueConversation puts the turns that the request continues in front of its
// input. It returns false after it has refused the request.
func (j *job) continueConversation(l *chainLookup) bool {
	j.prompt = j.body
	if l == nil {
		return true
	}
	<-l.done
	if l.err != nil {
		j.refuseUnfound(l.err)
		return false
	}
	if !j.g.bodies.take(l.chain.Size()) {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: fullRetry})
		return false
	}
	j.chain = l.chain
	j.prompt = l.chain.Prompt(j.body)
	return true
}

// freePrompt frees what the turns before the request took of the room for bodies.
func (j *job) freePrompt() { j.g.bodies.free(len(j.prompt) - len(j.body)) }

// refuseUnfound refuses a request whose conversation was not found.
func (j *job) refuseUnfound(err error) {
	var unknown *UnknownTurnError
	if errors.As(err, &unknown) {
		j.refuse(refusal{status: http.StatusNotFound, reason: "unknown_turn", cause: err})
		return
	}
	if j.r.Context().Err() != nil {
		j.fail("caller_gone", err)
		return
	}
	retryAfter := fullRetry
	var uncertain *UncertainTurnError
	if errors.As(err, &uncertain) {
		retryAfter = uncertain.RetryAfter
	}
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "turn_uncertain", cause: err, retryAfter: retryAfter})
}

// maxTurnOutput bounds what is kept of the events of a turn, in bytes.
const maxTurnOutput = 4 << 20

// errTurnTooLong says that a turn has brought more than can be kept.
var errTurnTooLong = errors.New("turn is too long to be kept")

// recordEvent adds an event to the output of the turn.
func (j *job) recordEvent(e event) error {
	if !j.route.KeepsConversations {
		return nil
	}
	if data, ok := e.data(); ok {
		j.output = append(append(j.output, data...), '\n')
	}
	if len(j.output) > maxTurnOutput {
		return errTurnTooLong
	}
	return nil
}

// keepTurn makes a turn last whose answer is whole but for its end. The caller has
// all events already. It returns false if the turn may be lost.
func (j *job) keepTurn(ctx context.Context) bool {
	if !j.route.KeepsConversations {
		return true
	}
	// A caller that has gone may have got the whole answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline())
	defer cancel()
	started := time.Now()
	err := j.g.turns.Save(ctx, j.chain, conversation.Turn{
		ID:      j.call.RequestID,
		Program: j.call.Program,
		Input:   bytes.Clone(j.body),
		Output:  j.output,
	})
	j.kept = time.Since(started)
	if err != nil {
		j.cause = err
	}
	return err == nil
}
