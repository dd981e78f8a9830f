// Package app assembles the components of one host as fx modules. Several hosts can
// run in one process.
package app

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"yuccausher/internal/port"
	"yuccausher/internal/settings"
)

// Gate wraps everything through which a host communicates, so that one of several
// hosts in a process can be paused or killed.
type Gate interface {
	Log(port.Log) port.Log
	Engine(port.Engine) port.Engine
	Service(port.Service) port.Service
	HostList(port.HostList) port.HostList
	Peers(port.Peers) port.Peers
	Listener(net.Listener) net.Listener
}

// Platform replaces the platform's HTTP clients. A nil field is not replaced.
type Platform struct {
	Log      port.Log
	Engine   port.Engine
	Service  port.Service
	HostList port.HostList
}

// Options configure a host. All fields except Settings and Logger are optional.
type Options struct {
	Settings *settings.Serve
	Logger   logr.Logger
	Gate     Gate
	Platform Platform
}

// App is one host.
type App struct {
	fx    *fx.App
	drain *drain
	self  port.Host
	done  chan struct{}
	once  sync.Once
	err   error
}

// startTimeout bounds the start of all components.
const startTimeout = 15 * time.Second

// stopTimeout bounds the stop of all components after the drain.
const stopTimeout = 10 * time.Second

// New listens at the host's addresses and assembles its components. The error is a
// *ListenError if an address is not available, or an *AssemblyError.
func New(o Options) (*App, error) {
	l, err := listen(o)
	if err != nil {
		return nil, err
	}
	a := &App{self: l.self(o.Settings), done: make(chan struct{})}
	a.fx = fx.New(
		fx.Supply(o, l, a.self),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		metricsModule,
		platformModule,
		peerClientModule,
		membershipModule,
		configurationModule,
		schedulerModule,
		ownerModule,
		ordersModule,
		entryModule,
		drainModule,
		gaugeModule,
		serverModule,
		fx.Populate(&a.drain),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
	)
	if err := a.fx.Err(); err != nil {
		l.close()
		return nil, &AssemblyError{Cause: err}
	}
	a.drain.onFinished = func() { go a.finish() }
	return a, nil
}

// Self returns the host's identity.
func (a *App) Self() port.Host { return a.self }

// Start starts all components.
func (a *App) Start(ctx context.Context) error { return a.fx.Start(ctx) }

// Stop performs a planned stop. It returns when no request is in flight and all
// components have stopped, or when the drain timeout has elapsed. If ctx ends first,
// it kills the host and returns the context's error.
func (a *App) Stop(ctx context.Context) error {
	a.drain.start()
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		a.Kill()
		return ctx.Err()
	}
}

// Kill stops all components immediately. It announces nothing, releases no partitions
// and waits for no requests.
func (a *App) Kill() {
	a.drain.abort()
	a.finish()
	<-a.done
}

// Done returns a channel that is closed when the host has stopped, including after a
// drain that an operator started.
func (a *App) Done() <-chan struct{} { return a.done }

func (a *App) finish() {
	a.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		a.err = a.fx.Stop(ctx)
		close(a.done)
	})
}

// AssemblyError reports that the components of a host could not be assembled.
type AssemblyError struct {
	Cause error
}

// Error implements error.
func (e *AssemblyError) Error() string { return "assemble host: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AssemblyError) Unwrap() error { return e.Cause }
