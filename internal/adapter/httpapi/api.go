// Package httpapi is the outside interface for callers and operators: JSON
// over HTTP, with server-sent events for streamed answers.
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

// Limits bound what one caller, and all of them, may take.
type Limits struct {
	// BodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// BodyBytesTotal bounds the bodies of all callers' requests being served.
	MaxTotalBodyBytes int64
	// DocumentBytes bounds a configuration document.
	MaxDocumentBytes int64
	// Requests bounds the callers' requests that are served at a time.
	MaxRequests int64
	// HeaderTimeout, BodyTimeout and WriteTimeout bound the arrival of a
	// request's headers and body, and one write to a caller. IdleTimeout
	// bounds the time between requests of a connection.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	IdleTimeout   time.Duration
	// Heartbeat is the pause after which a silent stream sends a comment.
	Heartbeat time.Duration
}

// DefaultLimits returns the limits that hold where none are set.
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

// Params are what the interface needs. Scope and Metrics may be nil.
type Params struct {
	Programs      port.Programs
	Snapshots     *config.Holder
	Configuration port.Configuration
	Operations    port.Operations
	// Leaving says that the host is about to stop, so that connections are
	// not kept for another request; nil means never.
	Leaving func() bool
	// Metrics serves /metrics.
	Metrics http.Handler
	Limits  Limits
	Log     logr.Logger
	Scope   tally.Scope
}

// API is the outside interface.
type API struct {
	Params
	metrics *metrics
	// requests counts the callers' requests being served.
	requests atomic.Int64
	// bodies counts the bytes that their bodies may take.
	bodies atomic.Int64
	engine *gin.Engine
}

// New returns the interface.
func New(p Params) *API {
	gin.SetMode(gin.ReleaseMode)
	a := &API{Params: p, metrics: newMetrics(p.Scope), engine: gin.New()}
	a.engine.HandleMethodNotAllowed = true
	a.engine.Use(gin.CustomRecoveryWithWriter(nil, a.recovered))
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

// Handler returns the handler of the whole interface.
func (a *API) Handler() http.Handler { return a.engine }

// Requests returns how many callers' requests are being served.
func (a *API) InFlight() int64 { return a.requests.Load() }

// Server returns an HTTP server for the interface. It bounds the time of
// headers and idle connections; bodies and writes are bounded one by one, so
// that a stream that makes progress is not cut.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a.engine,
		ReadHeaderTimeout: a.Limits.HeaderTimeout,
		IdleTimeout:       a.Limits.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

const maxHeaderBytes = 64 << 10

// prepare replaces the write deadline that an earlier request left on the
// connection, and lets a leaving host's connections end.
func (a *API) prepare(c *gin.Context) {
	control := http.NewResponseController(c.Writer)
	_ = control.SetWriteDeadline(time.Now().Add(a.Limits.BodyTimeout + a.Limits.WriteTimeout))
	if a.Leaving != nil && a.Leaving() {
		c.Header("Connection", "close")
	}
	c.Next()
}

// admit bounds the requests that are served at a time.
func (a *API) admit(c *gin.Context) {
	running := a.requests.Add(1)
	defer func() { a.metrics.running.Update(float64(a.requests.Add(-1))) }()
	a.metrics.running.Update(float64(running))
	if running > a.Limits.MaxRequests {
		f := fault.New(fault.Overloaded, fault.NotRun, "host serves %d requests already", a.Limits.MaxRequests)
		a.refuse(c, f.WithRetryAfter(comeBack()))
		c.Abort()
		return
	}
	a.admitBody(c)
}

// admitBody bounds the memory that callers' bodies take together. A body
// without a length counts as the longest.
func (a *API) admitBody(c *gin.Context) {
	size := c.Request.ContentLength
	if size < 0 || size > a.Limits.MaxBodyBytes {
		size = a.Limits.MaxBodyBytes
	}
	total := a.bodies.Add(size)
	defer a.bodies.Add(-size)
	if total > a.Limits.MaxTotalBodyBytes {
		f := fault.New(fault.Overloaded, fault.NotRun, "host holds %d bytes of requests already", total-size)
		a.refuse(c, f.WithRetryAfter(comeBack()))
		c.Abort()
		return
	}
	c.Next()
}

func (a *API) recovered(c *gin.Context, cause any) {
	a.Log.Error(nil, "Handler failed.", "path", c.FullPath(), "cause", cause)
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
