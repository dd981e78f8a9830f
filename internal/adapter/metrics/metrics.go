// Package metrics exposes tally metrics in the Prometheus text format.
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
	// reportInterval is the maximum delay before a change shows at the handler.
	reportInterval = 500 * time.Millisecond
)

// Metrics holds the root scope of one host and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a root scope with its own registry, so that several hosts can run in
// one process. The registry also exports Go runtime and process metrics, such as
// CPU time and memory. onError is called with the error if a metric can't be
// registered.
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

// Close reports the metrics a last time and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
