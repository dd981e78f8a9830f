package standin

import (
	"strconv"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"yuccausher/internal/adapter/engine"
	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	pathEngines = "/engines"
	paramName   = "name"
)

func (s *Server) routeEngines(router *gin.Engine) {
	group := router.Group(pathEngines + "/:" + paramName)
	group.POST(engine.PathGenerate, s.generate)
	group.POST(engine.PathCancel, s.cancel)
	group.POST(engine.PathEvict, s.evict)
	group.POST(engine.PathOrder, s.order)
	group.GET(engine.PathStatus, s.status)
	group.GET(engine.PathEvents, s.events)
	group.GET(engine.PathUsage, s.usage)
}

// engine returns the engine that the path names, or breaks the connection.
func (s *Server) engine(c *gin.Context) *Engine {
	e := s.platform.Fleet.Engine(c.Param(paramName))
	if e == nil {
		breakConnection()
	}
	return e
}

func (s *Server) generate(c *gin.Context) {
	e := s.engine(c)
	var request engine.GenerateRequest
	if err := decode(c, &request); err != nil {
		answer(c, nil, err)
		return
	}
	writer := &deltaWriter{c: c, request: request}
	result, err := e.Generate(c.Request.Context(), callOf(request), writer.write)
	switch {
	case err == nil:
		writer.event(engine.EventDone, doneOf(result))
	case writer.begun:
		writer.fail(err)
	default:
		answer(c, nil, err)
	}
}

func callOf(r engine.GenerateRequest) port.ModelCall {
	return port.ModelCall{
		ProgramID:  r.ProgramID,
		Seq:        r.Seq,
		RequestID:  r.RequestID,
		Model:      r.Model,
		Prompt:     r.Prompt,
		MaxTokens:  r.MaxTokens,
		Priority:   r.Priority,
		ResumeFrom: r.ResumeFrom,
	}
}

func doneOf(r port.ModelResult) engine.DoneEvent {
	return engine.DoneEvent{ProgramID: r.ProgramID, RequestID: r.RequestID, Output: r.Output, Usage: r.Usage}
}

// deltaWriter writes an engine's output as events.
type deltaWriter struct {
	c       *gin.Context
	request engine.GenerateRequest
	begun   bool
}

func (w *deltaWriter) write(d port.Delta) error {
	w.event(engine.EventDelta, engine.DeltaEvent{
		ProgramID: w.request.ProgramID,
		RequestID: w.request.RequestID,
		Offset:    d.Offset,
		Text:      d.Text,
	})
	return w.c.Request.Context().Err()
}

func (w *deltaWriter) event(name string, data any) {
	w.begun = true
	w.c.SSEvent(name, data)
	w.c.Writer.Flush()
}

// fail ends a stream that has begun.
func (w *deltaWriter) fail(err error) {
	failure := failureIn(err)
	if failure == port.FailureBroken || failure == port.FailureRefused {
		breakConnection()
	}
	w.event(engine.EventError, httpcall.Refusal{Failure: failure, Message: err.Error()})
}

func failureIn(err error) port.Failure {
	var failed *port.TargetError
	if errors.As(err, &failed) {
		return failed.Failure
	}
	return port.FailureBroken
}

func (s *Server) cancel(c *gin.Context) {
	e := s.engine(c)
	var request engine.CancelRequest
	err := decode(c, &request)
	if err == nil {
		err = e.Cancel(c.Request.Context(), request.RequestID)
	}
	answer(c, gin.H{}, err)
}

func (s *Server) evict(c *gin.Context) {
	e := s.engine(c)
	var request engine.EvictRequest
	err := decode(c, &request)
	if err == nil {
		err = e.Evict(c.Request.Context(), request.ProgramID)
	}
	answer(c, gin.H{}, err)
}

func (s *Server) order(c *gin.Context) {
	e := s.engine(c)
	var order port.Order
	err := decode(c, &order)
	if err == nil {
		err = e.Order(c.Request.Context(), order)
	}
	answer(c, gin.H{}, err)
}

func (s *Server) status(c *gin.Context) {
	status, err := s.engine(c).Status(c.Request.Context())
	// The list grows with the programs; hosts learn of them by cache events.
	status.KVPrograms = nil
	answer(c, status, err)
}

func (s *Server) events(c *gin.Context) {
	e := s.engine(c)
	after, err := strconv.ParseUint(c.Query(engine.ParamAfter), 10, 64)
	if err != nil {
		answer(c, nil, fault.New(fault.InvalidRequest, fault.NotRun, "%s must be a number", engine.ParamAfter))
		return
	}
	events, err := e.Events(c.Request.Context(), after)
	answer(c, events, err)
}

func (s *Server) usage(c *gin.Context) {
	spent, incarnation, err := s.engine(c).ProgramUsage(c.Request.Context(), c.Query(engine.ParamProgram))
	answer(c, engine.UsageAnswer{Incarnation: incarnation, Spent: spent}, err)
}
