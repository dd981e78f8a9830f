// Package metrics reports tally metrics in Prometheus' text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix = "yuccausher"
	// reportInterval is how late a metric may be at the handler.
	reportInterval = 500 * time.Millisecond
)

// Metrics is the root scope of one host with the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a root scope with a registry of its own, so that several hosts
// can run in one process; beside it stand the process's own processor time and
// memory. A metric that can't be registered goes to onError.
func New(onError func(error)) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(collectors.NewGoCollector())
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  onError,
	})
	sanitize := prometheus.DefaultSanitizerOpts
	sanitize.ValueCharacters.Characters = tally.UnderscoreDashCharacters
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports for the last time and stops.
func (m *Metrics) Close() error { return m.closer.Close() }
