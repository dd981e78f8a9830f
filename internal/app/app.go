// Package app puts the parts of one host together as fx modules. Several
// hosts can run in one process.
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

// Gate stands between a host and all that it reaches, so that one host of a
// process can be frozen or killed.
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

// Options are what a host is built from. All but Settings and Logger may be
// left out.
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

// startTimeout bounds the start of all parts.
const startTimeout = 15 * time.Second

// stopTimeout bounds the stop of all parts after the drain.
const stopTimeout = 10 * time.Second

// New listens at the host's addresses and puts its parts together.
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

// Start starts all parts.
func (a *App) Start(ctx context.Context) error { return a.fx.Start(ctx) }

// Stop makes a planned stop: it returns when nothing is in flight any more
// and all parts have ended, or when ctx or the drain timeout ends.
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

// Kill ends all parts at once: nothing is announced, released or finished.
func (a *App) Kill() {
	a.drain.abort()
	a.finish()
	<-a.done
}

// Done is closed when the host has ended, also by an operator's drain.
func (a *App) Done() <-chan struct{} { return a.done }

func (a *App) finish() {
	a.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		a.err = a.fx.Stop(ctx)
		close(a.done)
	})
}

// AssemblyError says that the parts of a host don't fit together.
type AssemblyError struct {
	Cause error
}

// Error implements error.
func (e *AssemblyError) Error() string { return "host can't be put together: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AssemblyError) Unwrap() error { return e.Cause }
