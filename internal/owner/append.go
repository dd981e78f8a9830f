package owner

import (
	"context"

	"github.com/juju/errors"

	"yuccausher/internal/port"
)

// appendBatch appends a batch and retries until the batch is known to be in the
// stream or is queued again. After an ambiguous failure it appends the same batch
// again unless the batch was read back meanwhile; readers drop duplicates. It
// returns false if the writer has to stop.
func (w *writer) appendBatch(ctx context.Context, batch []*pending, data [][]byte) bool {
	ambiguous := false
	for {
		err := w.appendOnce(ctx, data)
		if err == nil {
			w.pause = retryPauseMin
			return true
		}
		ambiguous = ambiguous || mayHaveWritten(err)
		w.countFailure(err)
		if !ambiguous {
			w.requeue(batch)
		}
		if !w.backOff(ctx) {
			return false
		}
		if !ambiguous || w.isConfirmed(batch) {
			return true
		}
		if w.limiter.Wait(ctx) != nil {
			return false
		}
	}
}

func (w *writer) backOff(ctx context.Context) bool {
	pause := w.pause
	w.pause = min(2*pause, retryPauseMax)
	return sleep(ctx, pause)
}

func (w *writer) appendOnce(ctx context.Context, data [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	_, err := w.log.Append(ctx, w.stream, data)
	w.metrics.Counter("log_appends").Inc(1)
	w.metrics.Counter("log_records").Inc(int64(len(data)))
	return err
}

func (w *writer) countFailure(err error) {
	reason := "refused"
	var le *port.LogError
	switch {
	case mayHaveWritten(err):
		reason = "ambiguous"
	case errors.As(err, &le) && le.RateLimited:
		reason = "limited"
	}
	w.metrics.Tagged(map[string]string{"reason": reason}).Counter("log_append_retries").Inc(1)
	w.logger.V(1).Info("Append failed.", "stream", w.stream, "reason", reason, "error", err.Error())
}

// mayHaveWritten reports whether a failed append may have taken effect. It
// returns true for errors of other types than *port.LogError.
func mayHaveWritten(err error) bool {
	var le *port.LogError
	return !errors.As(err, &le) || le.Ambiguous
}

// requeue puts a batch that was refused completely back at the head of the
// queue. Records that were abandoned meanwhile are completed as unwritten.
func (w *writer) requeue(batch []*pending) {
	w.mu.Lock()
	var requeued, dropped []*pending
	for _, p := range batch {
		delete(w.unconfirmed, p.rec.Sequence)
		if p.onLateVerdict == nil {
			requeued = append(requeued, p)
		} else {
			dropped = append(dropped, p)
		}
	}
	w.queue = append(requeued, w.queue...)
	w.mu.Unlock()
	for _, p := range dropped {
		w.complete(p, verdictUnwritten)
	}
}

// isConfirmed reports whether the complete batch was read back from the stream.
func (w *writer) isConfirmed(batch []*pending) bool {
	last := batch[len(batch)-1]
	select {
	case <-last.done:
		return true
	default:
		return false
	}
}
