package spending

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// maxConcurrentAppends is how many appends of a host to one partition may be in
	// progress at a time. They carry claims of different programs.
	maxConcurrentAppends = 2
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 30 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// maxBatch is the maximum number of claims per append.
	maxBatch = 256
	// appendMeanWeight is the weight of the latest append in the moving average of
	// append durations.
	appendMeanWeight = 0.3
	// An append is late after lateFactor times the mean duration, at least
	// minLateAfter and at most maxLateAfter. The log is then read for the appended
	// records. A call usually takes 4 ms.
	lateFactor   = 4
	minLateAfter = 25 * time.Millisecond
	maxLateAfter = 300 * time.Millisecond
	// appendTimeout bounds an append. One to a store that is 60 times slower than
	// usual, queued behind others, still completes in it.
	appendTimeout = 900 * time.Millisecond
	// slowAppendThreshold is the mean append duration above which the log counts as
	// slow. Claims then ask for more tokens at a time and unused parts of slices are
	// not given back.
	slowAppendThreshold = 60 * time.Millisecond
	// slowAppendTTL is how long after its latest append to a partition a host takes the
	// log for slow.
	slowAppendTTL = 2 * time.Second
)

// runWriter writes claims until ctx ends.
func (l *ledger) runWriter(ctx context.Context) {
	var appends sync.WaitGroup
	defer appends.Wait()
	slots := make(chan struct{}, maxConcurrentAppends)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.writesDue:
		}
		if l.isUnavailable() {
			// The writer is signalled again when the log answers.
			continue
		}
		for l.hasWrites() {
			epoch, ok := l.prepareToClaim(ctx)
			if !ok {
				break
			}
			batch := l.collect()
			if len(batch) == 0 {
				break
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			appends.Go(func() {
				l.writeBatch(ctx, batch, epoch)
				<-slots
				l.signalWriter()
			})
		}
	}
}

// writeBatch appends a batch of claims and resolves the turns that wait for them.
// After an error it puts the turns back into the queue, as it does if the fence of the
// lenders has not held since epoch.
func (l *ledger) writeBatch(ctx context.Context, batch []*pendingClaim, epoch uint64) {
	started := time.Now()
	err := l.appendBatch(ctx, batch)
	l.metrics.claim.RecordDuration(time.Since(started))
	if _, now := l.fenceState(); err == nil && now != epoch && !isReleaseOnly(batch) {
		err = errUnfenced
	}
	if err == nil {
		l.resolveBatch(batch)
		return
	}
	l.metrics.failures.Inc(1)
	if port.IsThrottled(err) {
		l.onThrottled()
	}
	l.log.V(1).Info("Append of claims failed; retrying.", "partition", l.partition.Part, "claims", len(batch), "cause", err.Error())
	tail.Sleep(ctx, firstRetry)
	l.requeue(batch, err)
}

// appendBatch appends a batch and applies the log up to the end of the batch.
func (l *ledger) appendBatch(ctx context.Context, batch []*pendingClaim) error {
	claims := make([]budget.Claim, len(batch))
	for i, p := range batch {
		claims[i] = p.claim
	}
	m := l.newMark()
	records, err := encodeAll(claims, m)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if isReleaseOnly(batch) {
		callCtx = port.InBackground(callCtx)
	}
	started := time.Now()
	appended := make(chan appendResult, 1)
	go func() {
		offset, err := l.shared.Append(callCtx, l.partition, records)
		appended <- appendResult{offset: offset, err: err, took: time.Since(started)}
	}()
	if err := l.awaitAppend(ctx, appended, batch); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marked(m)
	return nil
}

// lateAfter returns the duration after which an append counts as late.
func (l *ledger) lateAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(lateFactor*l.meanAppend, minLateAfter), maxLateAfter)
}

// isSlow reports whether the log was slow a moment ago. The caller holds l.mu.
func (l *ledger) isSlow() bool {
	return l.meanAppend > slowAppendThreshold && time.Since(l.appendedAt) < slowAppendTTL
}

// errAppendLost says that the log answers reads and does not contain the appended
// claims.
var errAppendLost = errors.New("log does not contain the appended claims")

// errUndecided says that the log was read past the offset of an append without
// finding its claims there.
var errUndecided = errors.New("claims not found at the offset of their append")

// appendResult is the result of an append and its duration.
type appendResult struct {
	offset int64
	err    error
	took   time.Duration
}

// awaitAppend waits for the answer to an append, or reads the claims back from the
// log if the answer is late or lost. An append that takes effect after awaitAppend
// has returned is superseded by the later claims of this writer.
func (l *ledger) awaitAppend(ctx context.Context, appended <-chan appendResult, batch []*pendingClaim) error {
	late := l.lateAfter()
	timer := time.NewTimer(late)
	defer timer.Stop()
	for {
		select {
		case r := <-appended:
			l.observeAppend(r.took)
			if r.err == nil {
				l.availability.onAnswer()
				return l.applyBatch(ctx, r.offset, batch)
			}
			if l.readBack(ctx, batch) {
				return nil
			}
			return r.err
		case <-timer.C:
			readStarted := time.Now()
			if l.readBack(ctx, batch) {
				return nil
			}
			if took := time.Since(readStarted); took < minLateAfter && !l.isUnavailable() {
				return errAppendLost
			}
		}
	}
}

// observeAppend adds the duration of an append to the mean. Failed appends count too,
// so that a store that has become slow is given more time.
func (l *ledger) observeAppend(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendedAt = time.Now()
	if l.meanAppend == 0 {
		l.meanAppend = took
	}
	l.meanAppend += time.Duration(appendMeanWeight * float64(took-l.meanAppend))
}

// readBack reads the log and reports whether it contains the claims of a batch.
func (l *ledger) readBack(ctx context.Context, batch []*pendingClaim) bool {
	if err := l.catchUp(ctx, 0); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDecided(batch)
}

// isDecided reports whether all claims of a batch have a verdict. The caller holds
// l.mu.
func (l *ledger) isDecided(batch []*pendingClaim) bool {
	return !slices.ContainsFunc(batch, func(p *pendingClaim) bool {
		if p.slice == nil {
			return !l.book.Has(p.claim)
		}
		_, ok := l.verdicts[p.claim.Sequence]
		return !ok
	})
}

// applyBatch brings the book up to the end of a batch that was appended at offset. It
// reads the log only if other claims come before the batch or a verdict is missing.
func (l *ledger) applyBatch(ctx context.Context, offset int64, batch []*pendingClaim) error {
	l.mu.Lock()
	if offset == l.applied {
		l.follow()
		for _, p := range batch {
			l.apply(p.claim)
		}
	}
	isDone := l.isDecided(batch) || isReleaseOnly(batch)
	l.mu.Unlock()
	if isDone {
		return nil
	}
	if err := l.catchUp(ctx, offset+int64(len(batch))); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isDecided(batch) {
		return errUndecided
	}
	return nil
}

// isReleaseOnly reports whether no turn waits for the verdicts on a batch.
func isReleaseOnly(batch []*pendingClaim) bool {
	return !slices.ContainsFunc(batch, func(p *pendingClaim) bool { return len(p.waiters) > 0 })
}
