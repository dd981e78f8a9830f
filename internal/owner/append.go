package owner

import (
	"context"

	"github.com/juju/errors"

	"yuccausher/internal/port"
)

// appendBatch appends a group until it is known to be in the stream. After an
// ambiguous failure the same group goes out again, unless it was seen: each
// reader drops the second copy. It says whether the writer goes on.
func (w *writer) appendBatch(ctx context.Context, batch []*pending, data [][]byte) bool {
	ambiguous := false
	for {
		err := w.appendOnce(ctx, data)
		if err == nil {
			w.pause = retryPauseMin
			return true
		}
		ambiguous = ambiguous || mayHaveWritten(err)
		w.count(err)
		if !ambiguous {
			w.putBack(batch)
		}
		if !w.backOff(ctx) {
			return false
		}
		if !ambiguous || w.seen(batch) {
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

func (w *writer) count(err error) {
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

// mayHaveWritten says whether a failed append may have taken effect. An error
// of an unknown type proves nothing.
func mayHaveWritten(err error) bool {
	var le *port.LogError
	return !errors.As(err, &le) || le.Ambiguous
}

// putBack queues a group again that was refused whole. What was given up in
// the meantime stays out.
func (w *writer) putBack(batch []*pending) {
	w.mu.Lock()
	var kept, dropped []*pending
	for _, p := range batch {
		delete(w.unseen, p.rec.Sequence)
		if p.late == nil {
			kept = append(kept, p)
		} else {
			dropped = append(dropped, p)
		}
	}
	w.queue = append(kept, w.queue...)
	w.mu.Unlock()
	for _, p := range dropped {
		w.finish(p, unwritten)
	}
}

// seen says whether the whole group was seen in the stream.
func (w *writer) seen(batch []*pending) bool {
	last := batch[len(batch)-1]
	select {
	case <-last.done:
		return true
	default:
		return false
	}
}
