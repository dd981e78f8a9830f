package spending

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/tail"
)

const (
	// maxFlights is how many appends of a host to one partition may be under
	// way at a time. They bear different programs.
	maxConcurrentAppends = 2
	// firstRetry and maxRetry bound the pause after a call that failed.
	firstRetry = 30 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// maxBatch is how many claims are appended at a time.
	maxBatch = 256
	// usualGain is the weight of one append in the mean time of appends.
	appendMeanWeight = 0.3
	// lateTimes is how many times its usual time an append may take before the
	// log is read for its records, within bounds: a call takes 4 ms.
	lateFactor   = 4
	minLateAfter = 25 * time.Millisecond
	maxLateAfter = 300 * time.Millisecond
	// lostAfter is when an append is given up in any case: one to a store that
	// is 60 times slower than usual, behind others, still makes it.
	appendTimeout = 900 * time.Millisecond
	// slowAppend is the usual time of appends from which on the log counts as
	// slow: claims then ask for more at a time, and nothing is given back.
	slowAppendThreshold = 60 * time.Millisecond
)

// run writes claims until ctx ends.
func (l *ledger) runWriter(ctx context.Context) {
	var flights sync.WaitGroup
	defer flights.Wait()
	free := make(chan struct{}, maxConcurrentAppends)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.writesDue:
		}
		if l.isUnavailable() {
			// The ledger is woken when the log answers again.
			continue
		}
		for batch := l.collect(); len(batch) > 0; batch = l.collect() {
			select {
			case free <- struct{}{}:
			case <-ctx.Done():
				return
			}
			flights.Go(func() {
				l.writeBatch(ctx, batch)
				<-free
				l.signalWriter()
			})
		}
	}
}

// fly writes a batch of claims and answers the turns that wait for them.
func (l *ledger) writeBatch(ctx context.Context, batch []*pendingClaim) {
	started := time.Now()
	err := l.appendBatch(ctx, batch)
	l.metrics.claim.RecordDuration(time.Since(started))
	if err == nil {
		l.resolveBatch(batch)
		return
	}
	l.metrics.failures.Inc(1)
	l.log.V(1).Info("Claims were not written.", "partition", l.partition.Part, "claims", len(batch), "cause", err.Error())
	tail.Sleep(ctx, firstRetry)
	l.requeue(batch)
}

// write appends a batch and brings the book up to its end.
func (l *ledger) appendBatch(ctx context.Context, batch []*pendingClaim) error {
	claims := make([]budget.Claim, len(batch))
	for i, p := range batch {
		claims[i] = p.claim
	}
	records, err := encodeAll(claims)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	started := time.Now()
	appended := make(chan appendResult, 1)
	go func() {
		offset, err := l.shared.Append(callCtx, l.partition, records)
		appended <- appendResult{offset: offset, err: err, took: time.Since(started)}
	}()
	return l.awaitAppend(ctx, appended, batch)
}

// lateAfter returns when an append counts as late.
func (l *ledger) lateAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(lateFactor*l.meanAppend, minLateAfter), maxLateAfter)
}

// isSlow says whether the log is slow. The caller holds the lock.
func (l *ledger) isSlow() bool { return l.meanAppend > slowAppendThreshold }

// errLost says that the log answers and does not hold what was appended.
var errAppendLost = errors.New("append has got lost")

// errUndecided says that the log was read beyond claims without finding them.
var errUndecided = errors.New("claims are not where they were appended")

// appendResult is the answer to an append.
type appendResult struct {
	offset int64
	err    error
	took   time.Duration
}

// await waits for the answer to an append, or for the claims to be read back
// without one: answers get lost. An append that takes effect later still is
// overtaken by the claims that follow.
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
			asked := time.Now()
			if l.readBack(ctx, batch) {
				return nil
			}
			if took := time.Since(asked); took < minLateAfter && !l.isUnavailable() {
				return errAppendLost
			}
		}
	}
}

// observeAppend takes the time of an append, also of one that failed, so that
// a store that has become slow is given more of it.
func (l *ledger) observeAppend(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.meanAppend == 0 {
		l.meanAppend = took
	}
	l.meanAppend += time.Duration(appendMeanWeight * float64(took-l.meanAppend))
}

// readBack reads the log and says whether it holds the claims of a batch.
func (l *ledger) readBack(ctx context.Context, batch []*pendingClaim) bool {
	if err := l.catchUp(ctx, 0); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDecided(batch)
}

func (l *ledger) isDecided(batch []*pendingClaim) bool {
	return !slices.ContainsFunc(batch, func(p *pendingClaim) bool {
		_, ok := l.verdicts[p.claim.Sequence]
		return !ok
	})
}

// settleAt brings the book up to the end of a batch that starts at offset.
func (l *ledger) applyBatch(ctx context.Context, offset int64, batch []*pendingClaim) error {
	l.mu.Lock()
	if offset == l.applied {
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

// isReleaseOnly says whether no turn waits for the verdicts on a batch.
func isReleaseOnly(batch []*pendingClaim) bool {
	return !slices.ContainsFunc(batch, func(p *pendingClaim) bool { return len(p.waiters) > 0 })
}
