// Package httpapi serves the public API for callers and operators: JSON over
// HTTP, with server-sent events for streamed answers.
package httpapi

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// Limits bounds the resources that one caller, and all callers together, may use.
type Limits struct {
	// MaxBodyBytes is the maximum body size of one caller's request, in bytes.
	MaxBodyBytes int64
	// MaxTotalBodyBytes is the maximum total body size, in bytes, of all callers' requests
	// in flight.
	MaxTotalBodyBytes int64
	// MaxDocumentBytes is the maximum size of a configuration document, in bytes.
	MaxDocumentBytes int64
	// MaxRequests is the maximum number of callers' requests served concurrently.
	MaxRequests int64
	// HeaderTimeout and BodyTimeout bound the time to receive a request's
	// headers and body. WriteTimeout bounds one write to a caller, and
	// IdleTimeout the time between two requests on a connection.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	IdleTimeout   time.Duration
	// Heartbeat is the interval at which a stream sends a comment.
	Heartbeat time.Duration
}

// DefaultLimits returns the limits that apply where none are set.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      4 << 20,
		MaxTotalBodyBytes: 256 << 20,
		MaxDocumentBytes:  8 << 20,
		MaxRequests:       4096,
		HeaderTimeout:     5 * time.Second,
		BodyTimeout:       20 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		Heartbeat:         10 * time.Second,
	}
}

// Params configures an API. Scope and Metrics may be nil.
type Params struct {
	Programs      port.Programs
	Snapshots     *config.Holder
	Configuration port.Configuration
	Operations    port.Operations
	// Leaving reports whether the host is about to stop. Connections are then
	// closed after the current request. Nil means never.
	Leaving func() bool
	// Metrics serves /metrics; nil leaves the path out.
	Metrics http.Handler
	Limits  Limits
	Log     logr.Logger
	Scope   tally.Scope
}

// API is the HTTP interface for callers and operators.
type API struct {
	Params
	metrics *metrics
	// requests counts the callers' requests in flight.
	requests atomic.Int64
	// bodies is the memory reserved for their bodies, in bytes.
	bodies atomic.Int64
	engine *gin.Engine
}

// New returns an API with all routes registered.
func New(p Params) *API {
	gin.SetMode(gin.ReleaseMode)
	a := &API{Params: p, metrics: newMetrics(p.Scope), engine: gin.New()}
	a.engine.HandleMethodNotAllowed = true
	a.engine.Use(gin.CustomRecoveryWithWriter(nil, a.handlePanic))
	a.engine.Use(a.prepare)
	a.engine.NoRoute(a.noRoute)
	a.engine.NoMethod(a.noMethod)
	a.routeCallers()
	a.routeOperators()
	return a
}

func (a *API) routeCallers() {
	g := a.engine.Group("/v1/programs", a.admit)
	g.POST("", a.openProgram)
	g.GET("/:id", a.getProgram)
	g.DELETE("/:id", a.endProgram)
	g.GET("/:id/history", a.getHistory)
	g.POST("/:id/calls", a.postCall)
	g.GET("/:id/calls/:seq", a.getAnswer)
}

func (a *API) routeOperators() {
	a.engine.GET("/v1/config", a.getConfig)
	a.engine.PUT("/v1/config", a.putConfig)
	a.engine.GET("/v1/hosts", a.getHosts)
	a.engine.GET("/v1/targets", a.getTargets)
	a.engine.GET("/v1/partitions", a.getPartitions)
	a.engine.POST("/v1/drain", a.postDrain)
	a.engine.GET("/healthz", a.getHealth)
	a.engine.GET("/readyz", a.getReady)
	if a.Metrics != nil {
		a.engine.GET("/metrics", gin.WrapH(a.Metrics))
	}
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler { return a.engine }

// InFlight returns the number of callers' requests being served.
func (a *API) InFlight() int64 { return a.requests.Load() }

// Server returns an HTTP server for the API. It sets only the header and idle
// timeouts; bodies and writes get a deadline each, so that a stream that makes
// progress is not interrupted.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a.engine,
		ReadHeaderTimeout: a.Limits.HeaderTimeout,
		IdleTimeout:       a.Limits.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

const maxHeaderBytes = 64 << 10

// prepare resets the write deadline that an earlier request set on the
// connection, and closes the connection after this request if the host is
// leaving.
func (a *API) prepare(c *gin.Context) {
	control := http.NewResponseController(c.Writer)
	_ = control.SetWriteDeadline(time.Now().Add(a.Limits.BodyTimeout + a.Limits.WriteTimeout))
	if a.Leaving != nil && a.Leaving() {
		c.Header("Connection", "close")
	}
	c.Next()
}

// admit refuses requests above the concurrency limit.
func (a *API) admit(c *gin.Context) {
	running := a.requests.Add(1)
	defer func() { a.metrics.running.Update(float64(a.requests.Add(-1))) }()
	a.metrics.running.Update(float64(running))
	if running > a.Limits.MaxRequests {
		f := fault.New(fault.Overloaded, fault.NotRun, "host serves %d requests already", a.Limits.MaxRequests)
		a.refuse(c, f.WithRetryAfter(retryAfter()))
		c.Abort()
		return
	}
	a.admitBody(c)
}

// admitBody refuses requests whose body would exceed the total body limit. A
// body of unknown or excessive length counts with the maximum length.
func (a *API) admitBody(c *gin.Context) {
	size := c.Request.ContentLength
	if size < 0 || size > a.Limits.MaxBodyBytes {
		size = a.Limits.MaxBodyBytes
	}
	total := a.bodies.Add(size)
	defer a.bodies.Add(-size)
	if total > a.Limits.MaxTotalBodyBytes {
		f := fault.New(fault.Overloaded, fault.NotRun, "host holds %d bytes of requests already", total-size)
		a.refuse(c, f.WithRetryAfter(retryAfter()))
		c.Abort()
		return
	}
	c.Next()
}

func (a *API) handlePanic(c *gin.Context, cause any) {
	a.Log.Error(nil, "Request handler panicked.", "path", c.FullPath(), "cause", cause)
	if !c.Writer.Written() {
		a.refuse(c, fault.New(fault.Internal, fault.Unknown, "internal failure"))
	}
	c.Abort()
}

func (a *API) noRoute(c *gin.Context) {
	f := fault.New(fault.InvalidRequest, fault.NotRun, "no such path: %s", c.Request.URL.Path)
	a.refuseAs(c, http.StatusNotFound, f)
}

func (a *API) noMethod(c *gin.Context) {
	f := fault.New(fault.InvalidRequest, fault.NotRun, "method %s is not allowed here", c.Request.Method)
	a.refuseAs(c, http.StatusMethodNotAllowed, f)
}
