package standin

import (
	"context"
	"time"

	"yuccausher/internal/port"
)

// Cancel stops a request and forgets its output. Its spending stays accounted.
func (e *Engine) Cancel(_ context.Context, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.downError(); err != nil {
		return err
	}
	j := e.jobs[requestID]
	if j == nil {
		return nil
	}
	delete(e.jobs, requestID)
	if !j.finished {
		e.leave(j, targetError(e.Name(), port.FailureBroken, ReasonCancelled))
		e.fill()
	}
	return nil
}

// Evict drops the KV cache of a program. While a request of the program runs
// it answers busy.
func (e *Engine) Evict(_ context.Context, programID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.downError(); err != nil {
		return err
	}
	if !e.kv.evict(programID) && e.kv.entries[programID] != nil {
		return targetError(e.Name(), port.FailureBusy, ReasonOtherProgram)
	}
	e.fill()
	return nil
}

// Status returns the engine's last load report.
func (e *Engine) Status(context.Context) (port.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.downError(); err != nil {
		return port.EngineStatus{}, err
	}
	now := time.Now()
	if e.report.ObservedAt.IsZero() || now.Sub(e.report.ObservedAt) >= e.options.ReportEvery {
		e.report = e.observe(now)
	}
	return e.report, nil
}

// Now returns the engine's true status, without lag.
func (e *Engine) Now() port.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observe(time.Now())
}

func (e *Engine) observe(now time.Time) port.EngineStatus {
	return port.EngineStatus{
		Model:       e.state.model,
		Adapter:     e.state.adapter,
		Version:     e.state.version,
		Role:        e.state.role,
		Running:     e.running,
		Queued:      len(e.waiting),
		KVTokens:    e.kv.used,
		KVCapacity:  e.options.KVTokens,
		KVPrograms:  e.kv.programs(),
		Leaving:     e.state.leaving,
		Incarnation: e.state.incarnation,
		LastEvent:   e.events.last(now),
		ObservedAt:  now,
	}
}

// Events returns the cache events after a sequence number that have come out.
func (e *Engine) Events(_ context.Context, after uint64) ([]port.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.downError(); err != nil {
		return nil, err
	}
	return e.events.after(after, time.Now()), nil
}

// ProgramUsage returns what the engine has spent for a program since it
// started, by request ID, and its incarnation.
func (e *Engine) ProgramUsage(_ context.Context, programID string) (map[string]port.Usage, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.downError(); err != nil {
		return nil, 0, err
	}
	spent := make(map[string]port.Usage, len(e.usage[programID]))
	for id, u := range e.usage[programID] {
		spent[id] = u
	}
	return spent, e.state.incarnation, nil
}

// Order obeys an order at once.
func (e *Engine) Order(_ context.Context, order port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.downError(); err != nil {
		return err
	}
	if e.options.ChecksFencing && order.Epoch < e.state.epoch {
		return targetError(e.Name(), port.FailureFenced, ReasonOldEpoch)
	}
	e.state.epoch = max(e.state.epoch, order.Epoch)
	return e.obey(order)
}

func (e *Engine) obey(order port.Order) error {
	switch order.Kind {
	case port.OrderLoad:
		e.state.model = order.Value
	case port.OrderAdapter:
		e.state.adapter = order.Value
	case port.OrderVersion:
		e.state.version = order.Value
	case port.OrderRole:
		e.state.role = order.Value
	case port.OrderExport:
		return e.exportKV(order.Value)
	case port.OrderImport:
		return e.importKV(order.Value)
	default:
		return targetError(e.Name(), port.FailureRejected, ReasonUnknownOrder)
	}
	return nil
}

func (e *Engine) exportKV(program string) error {
	entry := e.kv.entries[program]
	if entry == nil {
		return targetError(e.Name(), port.FailureRejected, ReasonUnknownProgram)
	}
	e.options.Store.put(program, entry.prefix)
	return nil
}

func (e *Engine) importKV(program string) error {
	p, ok := e.options.Store.get(program)
	if !ok {
		return targetError(e.Name(), port.FailureRejected, ReasonUnknownProgram)
	}
	if !e.kv.reserve(program, p.tokens()) {
		return targetError(e.Name(), port.FailureBusy, ReasonTooLong)
	}
	e.kv.release(program, p.tokens(), p)
	return nil
}

// downError returns a refusal while the engine is down. The lock must be held.
func (e *Engine) downError() error {
	if time.Now().Before(e.state.downUntil) {
		return targetError(e.Name(), port.FailureRefused, ReasonDown)
	}
	return nil
}
