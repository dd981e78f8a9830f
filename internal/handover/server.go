package handover

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/handover"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/port"
)

// maxTaken limits the requests of other hosts that a host serves at once. They take about 100 KB
// each, a quarter of the memory of a small host in all.
const maxTaken = 256

// Server takes requests of other hosts. It implements port.HandoverServer.
type Server struct {
	params ServerParams
	log    logr.Logger
	scope  tally.Scope
	taken  atomic.Int64
}

var _ port.HandoverServer = (*Server)(nil)

// ServerParams are the dependencies of a Server.
type ServerParams struct {
	// State returns what the host believes of its path to the targets.
	State func() reach.State
	// IsReady reports whether the host serves callers.
	IsReady func() bool
	// View returns what the host decides by. Newest returns the version of the newest configuration that other
	// hosts have stated.
	View   func() handover.View
	Newest func() int64
	// MaxTargetsLag is how much older than that of the sender the host's view of the targets may be.
	MaxTargetsLag time.Duration
	// Serve answers a request without passing it on.
	Serve  func(w http.ResponseWriter, r *http.Request, from port.HandoverSender)
	Logger logr.Logger
	Scope  tally.Scope
}

// NewServer returns a server.
func NewServer(p ServerParams) *Server {
	return &Server{params: p, log: p.Logger.WithName("handover"), scope: p.Scope.SubScope("handover")}
}

// Admit implements port.HandoverServer.
func (s *Server) Admit(from port.HandoverSender) (port.HandoverDecision, int64, func()) {
	taken := s.taken.Add(1)
	release := func() { s.taken.Add(-1) }
	decision := port.HandoverTaken
	view := s.params.View()
	switch {
	case !s.params.IsReady():
		decision = port.HandoverLeaving
	case s.params.State() != reach.Connected:
		decision = port.HandoverCutOff
	case view.Configuration < s.params.Newest() || view.IsOutdated(from.View, s.params.MaxTargetsLag):
		decision = port.HandoverOutdated
	case taken > maxTaken:
		decision = port.HandoverBusy
	}
	s.scope.Tagged(map[string]string{"decision": decision.String()}).Counter("asked").Inc(1)
	if decision != port.HandoverTaken {
		s.log.Info("Request of another host was not taken.", "host", from.Host, "decision", decision.String(), "in_progress", taken-1,
			"config", view.Configuration, "host_config", from.View.Configuration, "targets_age_ms", view.TargetsAge.Milliseconds(), "host_targets_age_ms", from.View.TargetsAge.Milliseconds())
	}
	return decision, view.Configuration, release
}

// ServeHandover implements port.HandoverServer.
func (s *Server) ServeHandover(w http.ResponseWriter, r *http.Request, from port.HandoverSender) {
	s.params.Serve(w, r, from)
}
