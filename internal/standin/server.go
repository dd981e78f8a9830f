package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"yuccausher/internal/adapter/hostlist"
	"yuccausher/internal/adapter/httpapi"
	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	maxRequestBytes   = 16 << 20
	headerReadTimeout = 10 * time.Second
)

// HostControl acts on the system's own hosts, by index from 0.
type HostControl interface {
	Count() int
	// Kill stops a host at once; Pause freezes one for d. Their errors are
	// *fault.Fault.
	Kill(host int) error
	Pause(host int, d time.Duration) error
}

// Platform is the log, the targets and the host list together.
type Platform struct {
	Log   *Log
	Fleet *Fleet
	Runs  *Runs
	// Hosts is nil where the hosts are other processes.
	Hosts HostControl
}

// Server serves a platform over HTTP, with its control.
type Server struct {
	platform Platform
	log      logr.Logger
}

// NewServer returns a server of a platform.
func NewServer(platform Platform, log logr.Logger) *Server {
	return &Server{platform: platform, log: log.WithName("standin")}
}

// Handler returns the server's routes.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(limitBody)
	s.routeControl(router)
	s.routeLog(router)
	s.routeEngines(router)
	s.routeServices(router)
	router.GET(hostlist.PathHosts, s.listHosts)
	router.GET(hostlist.PathTargets, s.listTargets)
	return router
}

func limitBody(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes)
}

func (s *Server) listHosts(c *gin.Context) {
	hosts, err := s.platform.Fleet.Hosts(c.Request.Context())
	answerIfChanged(c, hosts, err)
}

func (s *Server) listTargets(c *gin.Context) {
	targets, err := s.platform.Fleet.Targets(c.Request.Context())
	answerIfChanged(c, targets, err)
}

// answerIfChanged answers a value under an entity tag, or that the caller has
// it already.
func answerIfChanged(c *gin.Context, value any, err error) {
	body, encodeErr := json.Marshal(value)
	if err != nil || encodeErr != nil {
		answer(c, value, err)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Header("ETag", tag)
	if c.GetHeader("If-None-Match") == tag {
		c.Status(http.StatusNotModified)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

// decode reads a JSON body without unknown fields.
func decode(c *gin.Context, into any) error {
	d := json.NewDecoder(c.Request.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fault.New(fault.InvalidRequest, fault.NotRun, "body is not as expected: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fault.New(fault.InvalidRequest, fault.NotRun, "body has more than one JSON value")
	}
	return nil
}

// answer writes a value, or what a target or operator is told of a failure.
func answer(c *gin.Context, value any, err error) {
	if err == nil {
		c.JSON(http.StatusOK, value)
		return
	}
	if f, ok := fault.As(err); ok {
		writeFault(c, f)
		return
	}
	writeTargetError(c, err)
}

func writeFault(c *gin.Context, f *fault.Fault) {
	detail := httpapi.ErrorDetail{Type: f.Type, Run: f.Run, Message: f.Message, Fields: f.Fields}
	c.JSON(fault.Status(f.Type), httpapi.ErrorBody{Error: detail})
}

// writeTargetError answers as a target does. A target that is down or whose
// answer is lost breaks the connection.
func writeTargetError(c *gin.Context, err error) {
	failure := failureIn(err)
	refusal := httpcall.Refusal{Failure: failure, Message: err.Error()}
	switch failure {
	case port.FailureBusy:
		c.JSON(http.StatusTooManyRequests, refusal)
	case port.FailureDraining:
		c.JSON(http.StatusServiceUnavailable, refusal)
	case port.FailureFenced:
		c.JSON(http.StatusConflict, refusal)
	case port.FailureRejected:
		c.JSON(http.StatusBadRequest, refusal)
	default:
		breakConnection()
	}
}

// breakConnection ends the connection without an answer.
func breakConnection() { panic(http.ErrAbortHandler) }
