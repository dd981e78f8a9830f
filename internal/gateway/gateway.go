package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/upstream"
)

// Reservation is a part of a program's budget that one turn may spend.
type Reservation interface {
	// Spend counts tokens that were handed to the caller.
	Spend(tokens int64)
	// End gives back what was not spent.
	Release()
}

// Budgets reserves tokens of programs' budgets.
type Budgets interface {
	// Reserve returns a reservation of most tokens out of a program's budget.
	// Its errors are *BudgetSpentError and *BudgetUnknownError.
	Reserve(ctx context.Context, program string, budget, most int64) (Reservation, error)
}

// BudgetSpentError says that a program's budget does not hold another turn.
type BudgetSpentError struct {
	Program       string
	Budget, Spent int64
}

// Error implements error.
func (e *BudgetSpentError) Error() string { return "budget of program " + e.Program + " is spent" }

// BudgetUnknownError says that it can't be told now what a program has spent.
type BudgetUnknownError struct {
	Program string
	// RetryAfter is when the answer may be known.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *BudgetUnknownError) Error() string {
	return "budget of program " + e.Program + " is not known: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BudgetUnknownError) Unwrap() error { return e.Cause }

// Conversations keeps turns, so that they can be continued at any host.
type Conversations interface {
	// Chain returns a turn and all before it. Its errors are *UnknownTurnError and
	// *UncertainTurnError.
	Chain(ctx context.Context, program, turn string) (conversation.Chain, error)
	// Keep makes a turn last that continues a chain; an empty one begins a
	// conversation. It returns an error if the turn may be lost.
	Save(ctx context.Context, before conversation.Chain, t conversation.Turn) error
}

// UnknownTurnError says that there is no such turn.
type UnknownTurnError struct{ Turn string }

// Error implements error.
func (e *UnknownTurnError) Error() string { return "there is no turn " + e.Turn }

// UncertainTurnError says that it can't be told now whether there is such a turn.
type UncertainTurnError struct {
	Turn string
	// RetryAfter is when the answer may be known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UncertainTurnError) Error() string { return "turn " + e.Turn + " can't be looked up now" }

// Quarantine knows content that crashes the targets that run it. The
// fingerprint of a request is only asked for where some content is suspect.
type Quarantine interface {
	// Holds says whether content must not run any more.
	IsQuarantined(fingerprint func() uint64) bool
	// Answered says that a target has answered content whole and with success.
	RecordSuccess(fingerprint func() uint64, target string)
	// Broke says that an answer broke off, as it does when a target crashes.
	RecordInterruption(fingerprint uint64, target upstream.Target)
	// GaveUp says that a request was given up at a target that had just been heard.
	RecordAbandoned(fingerprint uint64, target upstream.Target)
	// HasEnded says the same as Broke, and whether the target refuses connections now. Content
	// that ended its target counts as having done so when it returns.
	ProbeAfterInterruption(ctx context.Context, fingerprint uint64, target upstream.Target) bool
}

// Params are what a gateway is built from.
type Params struct {
	Protocol Protocol
	Tables   *route.Holder
	Fleet    *fleet.Fleet
	Pool     *upstream.Pool
	Budgets  Budgets
	// Conversations keeps turns on routes that ask for it.
	Conversations Conversations
	// Quarantine keeps content away from targets that it would crash.
	Quarantine Quarantine
	// TargetsReadAt returns when the fleet was last brought up to date.
	TargetsReadAt func() time.Time
	Log           logr.Logger
	Scope         tally.Scope
}

// Gateway answers callers' requests. It implements http.Handler.
type Gateway struct {
	protocol Protocol
	tables   *route.Holder
	fleet    *fleet.Fleet
	pool     *upstream.Pool
	budgets  Budgets
	turns    Conversations
	crashes  Quarantine
	readAt   func() time.Time
	log      logr.Logger
	metrics  *metrics
	inFlight atomic.Int64
	// closing says that each answer ends its connection.
	closing atomic.Bool
	bodies  bodyBudget

	silences *silences
}

// New returns a gateway.
func New(p Params) *Gateway {
	return &Gateway{
		protocol: p.Protocol,
		tables:   p.Tables,
		fleet:    p.Fleet,
		pool:     p.Pool,
		budgets:  p.Budgets,
		turns:    p.Conversations,
		crashes:  p.Quarantine,
		readAt:   p.TargetsReadAt,
		log:      p.Log.WithName("gateway"),
		metrics:  newMetrics(p.Scope.SubScope("gateway")),
		silences: newSilences(),
	}
}

// targetsAge is how old the host's view of the targets is; negative if it has
// none.
func (g *Gateway) targetsAge() time.Duration {
	at := g.readAt()
	if at.IsZero() {
		return -1
	}
	return time.Since(at)
}

// InFlight returns how many requests are being answered.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// CloseConnections makes each further answer end its connection, so that
// callers move to other hosts, or stops that.
func (g *Gateway) SetCloseConnections(on bool) { g.closing.Store(on) }

const (
	// unconfiguredRetry is when callers may come back to a host that knows no
	// configuration yet; hosts learn it within about a second of their start.
	unconfiguredRetry = 300 * time.Millisecond
	// noTargetRetry is when callers may come back for a service without
	// targets: targets report within a second of their start.
	noTargetRetry = 500 * time.Millisecond
	// fullRetry is when callers may come back for a service whose targets are
	// all full: about the time of a few requests.
	fullRetry = 200 * time.Millisecond
	// defaultTimeout bounds requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{g: g, w: w, r: r, started: time.Now(), call: g.protocol.ParseCall(r.Header), unwatch: func() {}}
	defer j.finish()
	table := g.tables.Current()
	if table == nil {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "unconfigured", retryAfter: unconfiguredRetry})
		return
	}
	j.version = table.Version
	j.route = table.Match(r.Host, r.URL.EscapedPath())
	if j.route == nil {
		j.refuse(refusal{status: http.StatusNotFound, reason: "no_route"})
		return
	}
	if !j.readBody(table.Limits) {
		return
	}
	defer g.bodies.free(len(j.body))
	j.serve(table)
}

// serve takes a request whose body has been read to its answer.
func (j *job) serve(table *route.Table) {
	j.service = j.route.Service(j.affinity())
	j.setEventTokens(table)
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline())
	defer cancel()
	if j.g.crashes.IsQuarantined(j.fingerprint) {
		j.refuseQuarantined()
		return
	}
	lookup := j.lookUpConversation(ctx)
	if j.route.CarriesPrograms && j.call.Program != "" && j.call.HasBudget {
		if !j.reserve(ctx) {
			return
		}
		defer j.reservation.Release()
	}
	if !j.continueConversation(lookup) {
		return
	}
	defer j.freePrompt()
	j.dispatchUntilAnswered(ctx)
}

// affinity is what requests share that share a prompt prefix.
func (j *job) affinity() string {
	switch {
	case j.route.Kind != route.Stream:
		return j.call.RequestID
	case j.call.Program != "":
		return j.call.Program
	case j.call.Session != "":
		return j.call.Session
	}
	return j.call.RequestID
}

func (j *job) setEventTokens(table *route.Table) {
	if s := table.Service(j.service); s != nil && s.Engine != nil {
		j.eventTokens = s.Engine.EventTokens
	}
}

// deadline is when the final answer is due.
func (j *job) deadline() time.Time {
	timeout := j.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if j.call.TimeLeft > 0 {
		timeout = min(timeout, j.call.TimeLeft)
	}
	return j.started.Add(timeout)
}
