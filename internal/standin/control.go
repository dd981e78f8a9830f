package standin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// The paths of the control.
const (
	PathRuns    = "/runs"
	PathTargets = "/targets"
	PathLog     = "/log"
	PathFaults  = "/faults"
)

const paramService = "service"

// TargetState is a target as it is, without lag.
type TargetState struct {
	Model      string   `json:"model"`
	Running    int      `json:"running"`
	KVPrograms []string `json:"kv_programs"`
}

func (s *Server) routeControl(router *gin.Engine) {
	router.GET(PathRuns, s.runs)
	router.GET(PathTargets, s.targets)
	router.GET(PathLog, s.logCounts)
	router.POST(PathFaults, s.inject)
}

func (s *Server) runs(c *gin.Context) {
	name := c.Query(paramService)
	if !s.platform.Fleet.HasService(name) {
		answer(c, nil, unknownName(paramService, name, s.platform.Fleet.ServiceNames()))
		return
	}
	c.JSON(http.StatusOK, s.platform.Runs.Of(name))
}

func (s *Server) targets(c *gin.Context) {
	c.JSON(http.StatusOK, s.platform.Fleet.States())
}

func (s *Server) logCounts(c *gin.Context) {
	c.JSON(http.StatusOK, s.platform.Log.Counts())
}

func (s *Server) inject(c *gin.Context) {
	var f FaultRequest
	err := decode(c, &f)
	if err == nil {
		err = s.platform.Inject(f)
	}
	if err == nil {
		s.log.Info("Fault set.", "kind", f.Kind, "target", f.Target, "service", f.Service)
	}
	answer(c, f, err)
}

// States returns each target as it is.
func (f *Fleet) States() map[string]TargetState {
	states := make(map[string]TargetState, len(f.engines)+len(f.services))
	for name, e := range f.engines {
		states[name] = targetState(e.Now())
	}
	for name, s := range f.services {
		states[name] = TargetState{Running: s.Running(), KVPrograms: []string{}}
	}
	return states
}

func targetState(now port.EngineStatus) TargetState {
	return TargetState{Model: now.Model, Running: now.Running, KVPrograms: now.KVPrograms}
}

func unknownName(field, got string, known []string) *fault.Fault {
	f := fault.New(fault.InvalidRequest, fault.NotRun, "%s %q is unknown", field, got)
	f.Fields = []fault.Field{{Path: field, Message: "must be one of " + joined(known)}}
	return f
}
