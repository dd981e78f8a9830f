package gate

import (
	"context"

	"yuccausher/internal/port"
)

func targetClosedError(target port.Target) error {
	return &port.TargetError{Target: target.Name, Failure: port.FailureBroken, Cause: ClosedError{}}
}

// doThrough is callThrough for a call of a target without a result.
func doThrough(g *Gate, target port.Target, call func() error) error {
	_, err := callThrough(g, targetClosedError(target), func() (struct{}, error) { return struct{}{}, call() })
	return err
}

// gatedSink returns s with its calls going through the gate; nil if s is nil.
func (g *Gate) gatedSink(s port.Sink) port.Sink {
	if s == nil {
		return nil
	}
	return func(d port.Delta) error {
		if !g.waitOpen() {
			return ClosedError{}
		}
		return s(d)
	}
}

// Engine returns e with its calls going through the gate.
func (g *Gate) Engine(e port.Engine) port.Engine { return gatedEngine{e, g} }

type gatedEngine struct {
	engine port.Engine
	gate   *Gate
}

// Generate implements port.Engine.
func (e gatedEngine) Generate(ctx context.Context, target port.Target, call port.ModelCall, sink port.Sink) (port.ModelResult, error) {
	return callThrough(e.gate, targetClosedError(target), func() (port.ModelResult, error) {
		return e.engine.Generate(ctx, target, call, e.gate.gatedSink(sink))
	})
}

// Cancel implements port.Engine.
func (e gatedEngine) Cancel(ctx context.Context, target port.Target, requestID string) error {
	return doThrough(e.gate, target, func() error { return e.engine.Cancel(ctx, target, requestID) })
}

// Evict implements port.Engine.
func (e gatedEngine) Evict(ctx context.Context, target port.Target, programID string) error {
	return doThrough(e.gate, target, func() error { return e.engine.Evict(ctx, target, programID) })
}

// Status implements port.Engine.
func (e gatedEngine) Status(ctx context.Context, target port.Target) (port.EngineStatus, error) {
	return callThrough(e.gate, targetClosedError(target), func() (port.EngineStatus, error) {
		return e.engine.Status(ctx, target)
	})
}

// Events implements port.Engine.
func (e gatedEngine) Events(ctx context.Context, target port.Target, after uint64) ([]port.CacheEvent, error) {
	return callThrough(e.gate, targetClosedError(target), func() ([]port.CacheEvent, error) {
		return e.engine.Events(ctx, target, after)
	})
}

// ProgramUsage implements port.Engine.
func (e gatedEngine) ProgramUsage(ctx context.Context, target port.Target, programID string) (map[string]port.Usage, uint64, error) {
	var incarnation uint64
	spent, err := callThrough(e.gate, targetClosedError(target), func() (map[string]port.Usage, error) {
		spent, i, err := e.engine.ProgramUsage(ctx, target, programID)
		incarnation = i
		return spent, err
	})
	return spent, incarnation, err
}

// Order implements port.Engine.
func (e gatedEngine) Order(ctx context.Context, target port.Target, order port.Order) error {
	return doThrough(e.gate, target, func() error { return e.engine.Order(ctx, target, order) })
}

// Service returns s with its calls going through the gate.
func (g *Gate) Service(s port.Service) port.Service { return gatedService{s, g} }

type gatedService struct {
	service port.Service
	gate    *Gate
}

// Invoke implements port.Service.
func (s gatedService) Invoke(ctx context.Context, target port.Target, call port.ServiceCall) (port.ServiceResult, error) {
	return callThrough(s.gate, targetClosedError(target), func() (port.ServiceResult, error) {
		return s.service.Invoke(ctx, target, call)
	})
}

// Outcome implements port.Service.
func (s gatedService) Outcome(ctx context.Context, target port.Target, service, requestID string) (result port.ServiceResult, ran, known bool, err error) {
	result, err = callThrough(s.gate, targetClosedError(target), func() (port.ServiceResult, error) {
		r, hasRun, isKnown, err := s.service.Outcome(ctx, target, service, requestID)
		ran, known = hasRun, isKnown
		return r, err
	})
	if err != nil {
		return port.ServiceResult{}, false, false, err
	}
	return result, ran, known, nil
}
