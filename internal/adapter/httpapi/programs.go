package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

type openReply struct {
	ProgramID string `json:"program_id"`
	NextSeq   int64  `json:"next_seq"`
}

type historyReply struct {
	Turns []port.Turn `json:"turns"`
}

type runningReply struct {
	ProgramID string `json:"program_id"`
	Seq       int64  `json:"seq"`
	State     string `json:"state"`
}

// decodeRequest decodes a request into q and returns the configuration in effect.
// On failure it refuses the request and returns nil.
func (a *API) decodeRequest(c *gin.Context, q any) *config.Snapshot {
	if f := a.decode(c, q); f != nil {
		a.refuse(c, f)
		return nil
	}
	s := a.Snapshots.Current()
	if s == nil {
		f := fault.New(fault.NotReady, fault.NotRun, "host has no configuration yet")
		a.refuse(c, f.WithRetryAfter(retryAfter()))
	}
	return s
}

func (a *API) openProgram(c *gin.Context) {
	var q openRequest
	s := a.decodeRequest(c, &q)
	if s == nil {
		return
	}
	spec, err := q.spec(s)
	if err != nil {
		a.refuse(c, err)
		return
	}
	view, err := a.Programs.Open(c.Request.Context(), spec)
	if err != nil {
		a.refuse(c, withRequestID(err, q.RequestID))
		return
	}
	a.write(c, http.StatusCreated, openReply{ProgramID: view.ProgramID, NextSeq: view.NextSeq})
}

// withRequestID returns the fault in err, with requestID if it names no
// request.
func withRequestID(err error, requestID string) *fault.Fault {
	f := fault.Of(err)
	if f.RequestID == "" {
		return f.WithRequest(requestID)
	}
	return f
}

func (a *API) getProgram(c *gin.Context) {
	view, err := a.Programs.Program(c.Request.Context(), c.Param("id"))
	a.reply(c, view, err)
}

func (a *API) endProgram(c *gin.Context) {
	view, err := a.Programs.End(c.Request.Context(), c.Param("id"))
	a.reply(c, view, err)
}

func (a *API) getHistory(c *gin.Context) {
	turns, err := a.Programs.History(c.Request.Context(), c.Param("id"))
	if turns == nil {
		turns = []port.Turn{}
	}
	a.reply(c, historyReply{Turns: turns}, err)
}

func (a *API) reply(c *gin.Context, body any, err error) {
	if err != nil {
		a.refuse(c, err)
		return
	}
	a.write(c, http.StatusOK, body)
}

func (a *API) getAnswer(c *gin.Context) {
	seq, err := strconv.ParseInt(c.Param("seq"), 10, 64)
	if err != nil || seq < 1 {
		a.refuse(c, invalidFields(fault.Field{Path: "seq", Message: "must be at least 1"}))
		return
	}
	id := c.Param("id")
	answer, running, err := a.Programs.Answer(c.Request.Context(), id, seq)
	if err == nil && running {
		a.write(c, http.StatusAccepted, runningReply{ProgramID: id, Seq: seq, State: "running"})
		return
	}
	a.reply(c, answer, err)
}

func (a *API) postCall(c *gin.Context) {
	var q callRequest
	s := a.decodeRequest(c, &q)
	if s == nil {
		return
	}
	call, err := q.call(s, c.Param("id"))
	if err != nil {
		a.refuse(c, err)
		return
	}
	started := time.Now()
	defer func() { a.metrics.recordCall(call.Kind, time.Since(started)) }()
	if call.Stream {
		a.streamCall(c, call)
		return
	}
	answer, err := a.Programs.Call(c.Request.Context(), call, nil)
	if err != nil {
		a.refuse(c, withRequestID(err, call.RequestID))
		return
	}
	a.write(c, http.StatusOK, answer)
}
