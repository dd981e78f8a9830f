package standin

import (
	"context"

	"yuccausher/internal/port"
)

// engineClient implements port.Engine by the engines in memory.
type engineClient struct{ fleet *Fleet }

func (c engineClient) engine(target port.Target) (*Engine, error) {
	if e := c.fleet.Engine(target.Name); e != nil {
		return e, nil
	}
	return nil, targetError(target.Name, port.FailureRefused, ReasonUnknownTarget)
}

// Generate implements port.Engine.
func (c engineClient) Generate(ctx context.Context, target port.Target, call port.ModelCall, sink port.Sink) (port.ModelResult, error) {
	e, err := c.engine(target)
	if err != nil {
		return port.ModelResult{}, err
	}
	result, err := e.Generate(ctx, call, sink)
	if err != nil {
		return port.ModelResult{}, err
	}
	if result.RequestID != call.RequestID || result.ProgramID != call.ProgramID {
		return port.ModelResult{}, targetError(target.Name, port.FailureMismatch, ReasonOtherAnswer)
	}
	return result, nil
}

// Cancel implements port.Engine.
func (c engineClient) Cancel(ctx context.Context, target port.Target, requestID string) error {
	e, err := c.engine(target)
	if err != nil {
		return err
	}
	return e.Cancel(ctx, requestID)
}

// Evict implements port.Engine.
func (c engineClient) Evict(ctx context.Context, target port.Target, programID string) error {
	e, err := c.engine(target)
	if err != nil {
		return err
	}
	return e.Evict(ctx, programID)
}

// Status implements port.Engine.
func (c engineClient) Status(ctx context.Context, target port.Target) (port.EngineStatus, error) {
	e, err := c.engine(target)
	if err != nil {
		return port.EngineStatus{}, err
	}
	return e.Status(ctx)
}

// Events implements port.Engine.
func (c engineClient) Events(ctx context.Context, target port.Target, after uint64) ([]port.CacheEvent, error) {
	e, err := c.engine(target)
	if err != nil {
		return nil, err
	}
	return e.Events(ctx, after)
}

// ProgramUsage implements port.Engine.
func (c engineClient) ProgramUsage(ctx context.Context, target port.Target, programID string) (map[string]port.Usage, uint64, error) {
	e, err := c.engine(target)
	if err != nil {
		return nil, 0, err
	}
	return e.ProgramUsage(ctx, programID)
}

// Order implements port.Engine.
func (c engineClient) Order(ctx context.Context, target port.Target, order port.Order) error {
	e, err := c.engine(target)
	if err != nil {
		return err
	}
	return e.Order(ctx, order)
}

// serviceClient implements port.Service by the services in memory.
type serviceClient struct{ fleet *Fleet }

func (c serviceClient) service(target port.Target) (*Service, error) {
	if s := c.fleet.Service(target.Name); s != nil {
		return s, nil
	}
	return nil, targetError(target.Name, port.FailureRefused, ReasonUnknownTarget)
}

// Invoke implements port.Service.
func (c serviceClient) Invoke(ctx context.Context, target port.Target, call port.ServiceCall) (port.ServiceResult, error) {
	s, err := c.service(target)
	if err != nil {
		return port.ServiceResult{}, err
	}
	return s.Invoke(ctx, call)
}

// Outcome implements port.Service.
func (c serviceClient) Outcome(ctx context.Context, target port.Target, service, requestID string) (port.ServiceResult, bool, bool, error) {
	s, err := c.service(target)
	if err != nil {
		return port.ServiceResult{}, false, false, err
	}
	return s.Outcome(ctx, service, requestID)
}
