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
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/core/route"
	"yuccausher/internal/core/targetload"
	"yuccausher/internal/memory"
	"yuccausher/internal/upstream"
)

// maxTotalAnswerBytes limits what the host keeps of the answers of all targets. It is a small
// part of a host's memory, since buffers that grow take up to three times as much for a while.
const maxTotalAnswerBytes = 12 << 20

// Reservation is the part of a program's budget that one turn may spend, in tokens.
type Reservation interface {
	// Limit returns how many tokens are reserved.
	Limit() int64
	// Spend counts tokens that were sent to the caller.
	Spend(tokens int64)
	// Release returns the unspent tokens to the budget. It does not wait.
	Release()
	// Settle releases the reservation and waits until the spent tokens are recorded and
	// the others are free, also if this host ends. It may be called again after an error.
	Settle(ctx context.Context) error
}

// Budgets reserves tokens from the budgets of programs.
type Budgets interface {
	// ReservePart reserves maxTokens tokens from a program's budget, which is budget tokens
	// in total. While the spending of programs can't be recorded it may reserve fewer, but at least
	// minTokens. It returns *BudgetSpentError or *BudgetUnknownError.
	ReservePart(ctx context.Context, program string, budget, minTokens, maxTokens int64) (Reservation, error)
}

// BudgetSpentError reports that a program's budget has too few tokens left for
// another turn. Budget and Spent are in tokens.
type BudgetSpentError struct {
	Program       string
	Budget, Spent int64
}

// Error implements error.
func (e *BudgetSpentError) Error() string { return "budget of program " + e.Program + " is spent" }

// BudgetUnknownError reports that the spending of a program can't be determined
// at present.
type BudgetUnknownError struct {
	Program string
	// RetryAfter is the time after which the spending may be known.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *BudgetUnknownError) Error() string {
	return "budget of program " + e.Program + " is not known: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BudgetUnknownError) Unwrap() error { return e.Cause }

// Conversations stores turns so that any host can continue them.
type Conversations interface {
	// Chain returns a turn and all turns before it. It returns *UnknownTurnError or
	// *UncertainTurnError.
	Chain(ctx context.Context, program, turn string) (conversation.Chain, error)
	// Save stores a turn that continues the chain before; an empty chain starts a
	// conversation. The turn has said what the transcript holds. It returns an error if the turn may be lost.
	Save(ctx context.Context, before conversation.Chain, t conversation.Turn, said *conversation.Transcript) error
	// Record copies the events of a stream that callers may take up to other hosts while they are sent.
	// The transcript holds those that earlier attempts have brought.
	Record(program string, a conversation.Attempt, before *conversation.Transcript) Recorder
	// TakeUp returns what the caller of an attempt has got of a stream, up to the event after which the attempt
	// goes on. It returns *UncertainTurnError if that is not known.
	TakeUp(ctx context.Context, program string, a conversation.Attempt, after string) (*conversation.Transcript, error)
}

// Recorder copies the events of one stream.
type Recorder interface {
	// Append adds an event that is about to be sent to the caller. It waits until another host has got it, for
	// some milliseconds at most.
	Append(e conversation.Event)
	// Close tells that no more events follow.
	Close()
}

// UnknownTurnError reports that a turn does not exist.
type UnknownTurnError struct{ Turn string }

// Error implements error.
func (e *UnknownTurnError) Error() string { return "there is no turn " + e.Turn }

// UncertainTurnError reports that it can't be determined at present whether a turn
// exists.
type UncertainTurnError struct {
	Turn string
	// RetryAfter is the time after which a lookup may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UncertainTurnError) Error() string { return "turn " + e.Turn + " can't be looked up now" }

// Place is the target chosen for one dispatch.
type Place struct {
	// Index is that of the chosen candidate.
	Index int
	// Asked is how many candidates were compared, InProgress how many other requests
	// of all hosts the chosen one had.
	Asked, InProgress int
	// IsDenied is set if the rate limits of all candidates leave no room for the request.
	// The other fields mean nothing then.
	IsDenied bool
	// Finish reports how the dispatch ended. It must be called once.
	Finish func(occupancy.Result)
	// Observe takes what the dispatch showed of the target's speed. It may be called once,
	// before Finish. It is nil if nobody wants to know.
	Observe func(targetload.Sample)
}

// PlaceRequest describes a dispatch that is to be placed.
type PlaceRequest struct {
	// Candidates are the possible targets in the order of preference, at least one.
	Candidates []fleet.Member
	// CachedTokens is the part of the prompt that the first candidate has probably
	// cached for this program alone.
	CachedTokens int64
	// TTL is the longest duration of the dispatch.
	TTL time.Duration
	// Level is the urgency of the request; 0 is the most urgent.
	Level int
}

// Placement spreads the requests of all hosts over targets.
type Placement interface {
	// Place chooses one of the candidates.
	Place(ctx context.Context, r PlaceRequest) Place
	// Permit reports whether the rate limit of a target leaves room for a request. level is
	// its urgency; 0 is the most urgent.
	Permit(ctx context.Context, target string, level int) bool
	// LimitChanged reports that an answer shows that a target has begun or ceased to limit
	// its rate.
	LimitChanged(target string)
}

// Origins finds out which software version began a stream.
type Origins interface {
	// Record records that a target of a release is about to run a resumable stream. Its error is
	// an *UnannouncedReleaseError if other hosts can't know of the release yet, so that no
	// target of it may run the stream.
	//
	// isRecorded is set if the host that has passed the request on may have recorded another
	// release for it. If it returns another error, only the release that was recorded before may run
	// the stream.
	Record(ctx context.Context, requestID string, r fleet.Release, isRecorded bool) error
	// Forget drops what this host has recorded for a stream that another host begins, so that
	// lookups here find what that host has recorded.
	Forget(requestID string)
	// Lookup returns the version of a service's targets that began a stream. Its error is an
	// *UnknownOriginError.
	Lookup(ctx context.Context, service, requestID string) (string, error)
}

// UnknownOriginError reports that it can't be determined at present which software version began
// a stream.
type UnknownOriginError struct {
	// RetryAfter is the time after which a lookup may succeed.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnknownOriginError) Error() string {
	return "software version that began the stream is not known: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOriginError) Unwrap() error { return e.Cause }

// UnannouncedReleaseError reports that a stream can't begin at a release that other hosts can't know
// of yet.
type UnannouncedReleaseError struct {
	Release fleet.Release
	Cause   error
}

// Error implements error.
func (e *UnannouncedReleaseError) Error() string {
	return "version " + e.Release.Version + " of " + e.Release.Service + " is not announced: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnannouncedReleaseError) Unwrap() error { return e.Cause }

// Quarantine records content that crashes the targets that run it. Methods that
// take the fingerprint or the features of a request as a function call it only if some
// feature is suspect. The others take its content and its other features.
type Quarantine interface {
	// Blocks returns a feature of a request for which it must no longer run.
	Blocks(features func() []poison.Feature) (poison.Feature, bool)
	// RecordSuccessOf records that a target has answered a request completely and
	// successfully. It returns the number of crash marks that this has cleared.
	RecordSuccessOf(features func() []poison.Feature, target string) int
	// RecordInterruption records that an answer was interrupted, as happens when a
	// target crashes.
	RecordInterruption(fingerprint uint64, target upstream.Target, features ...poison.Feature)
	// RecordAbandoned records that a request was abandoned at a target from which
	// this host had received data shortly before.
	RecordAbandoned(fingerprint uint64, target upstream.Target, features ...poison.Feature)
	// IsUnsettled reports whether content was interrupted at a target, and neither this host nor
	// another one can tell whether the target has crashed.
	IsUnsettled(fingerprint func() uint64) bool
	// RecordAnswer records that a target has answered a request that was sent at a time.
	RecordAnswer(target upstream.Target, sent time.Time)
	// ProbeAfterInterruption does the same as RecordInterruption and reports whether
	// the target refuses connections now. If it does, the crash has been counted
	// against the content by the time the method returns. isOutOfReach is set if this host
	// reaches neither the target nor others.
	ProbeAfterInterruption(ctx context.Context, fingerprint uint64, target upstream.Target, features ...poison.Feature) (hasCrashed, isOutOfReach bool)
	// ProbeAfterUnframedAnswer does the same for an answer that ended with its
	// connection, as the answer of a target does that crashes.
	ProbeAfterUnframedAnswer(ctx context.Context, fingerprint uint64, target upstream.Target, features ...poison.Feature) bool
}

// Params are the dependencies of a gateway.
type Params struct {
	Protocol Protocol
	Tables   *route.Holder
	Fleet    *fleet.Fleet
	Pool     *upstream.Pool
	Budgets  Budgets
	// Placement spreads requests with a prompt over targets.
	Placement Placement
	// Conversations stores turns of routes that keep conversations.
	Conversations Conversations
	// Origins keeps streams at the software version that began them.
	Origins Origins
	// Reach knows whether the host has a path to the targets. While it has none, Handover passes
	// requests on to other hosts.
	Reach    Reach
	Handover Handover
	// Quarantine blocks content that crashes targets.
	Quarantine Quarantine
	// Quotas keeps organisations to their limits; nil means that no limit is judged.
	Quotas Quotas
	// TargetsReadAt returns when the fleet was last updated; the zero time if never.
	TargetsReadAt func() time.Time
	// RefreshTargets reads the targets at once.
	RefreshTargets func(context.Context) error
	// BodyBytes limits the bodies of all requests in progress, in bytes; zero means a default.
	BodyBytes int64
	Log       logr.Logger
	Scope     tally.Scope
}

// Gateway answers requests of callers. It implements http.Handler.
type Gateway struct {
	protocol      Protocol
	tables        *route.Holder
	fleet         *fleet.Fleet
	pool          *upstream.Pool
	budgets       Budgets
	placement     Placement
	conversations Conversations
	origins       Origins
	reach         Reach
	handover      Handover
	quarantine    Quarantine
	quotas        Quotas
	targetsReadAt func() time.Time
	// refreshTargets reads the targets at once.
	refreshTargets func(context.Context) error
	// refreshFailedAt is when that has failed last.
	refreshFailedAt atomic.Pointer[time.Time]
	log             logr.Logger
	metrics         *metrics
	inFlight        atomic.Int64
	// closing is set while every answer closes its connection.
	closing atomic.Bool
	bodies  *bodyBudget
	// answers is the memory for what targets have sent and callers have not got yet.
	answers *memory.Budget

	// waiting holds the requests that wait for targets, in configurations with organisations.
	waiting *waitingRooms

	silentRetries *silentRetryBudget
	stopping      stopping
}

func New(p Params) *Gateway {
	g := &Gateway{
		protocol:       p.Protocol,
		tables:         p.Tables,
		fleet:          p.Fleet,
		pool:           p.Pool,
		budgets:        p.Budgets,
		placement:      p.Placement,
		conversations:  p.Conversations,
		origins:        p.Origins,
		reach:          p.Reach,
		handover:       p.Handover,
		quarantine:     p.Quarantine,
		quotas:         p.Quotas,
		targetsReadAt:  p.TargetsReadAt,
		refreshTargets: p.RefreshTargets,
		log:            p.Log.WithName("gateway"),
		metrics:        newMetrics(p.Scope.SubScope("gateway")),
		bodies:         newBodyBudget(p.BodyBytes),
		silentRetries:  newSilentRetryBudget(),
		answers:        memory.NewBudget(maxTotalAnswerBytes),
		waiting:        newWaitingRooms(p.Fleet.Available, newBodyBudget(p.BodyBytes).limit),
	}
	p.Pool.SetMemory(g.answers)
	g.stopping.givenUp, g.stopping.giveUp = context.WithCancel(context.Background())
	return g
}

// targetsAge returns the age of the host's view of the targets; negative if the
// host has none.
func (g *Gateway) targetsAge() time.Duration {
	at := g.targetsReadAt()
	if at.IsZero() {
		return -1
	}
	return time.Since(at)
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// SetCloseConnections sets whether every further answer closes its connection, so
// that callers move to other hosts.
func (g *Gateway) SetCloseConnections(on bool) { g.closing.Store(on) }

const (
	// unconfiguredRetryAfter is sent to callers while the host has no configuration.
	// Hosts receive it within about a second of their start.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// noTargetRetryAfter is sent to callers of a service without targets. Targets
	// report within a second of their start.
	noTargetRetryAfter = 500 * time.Millisecond
	// fullRetryAfter is sent to callers of a service whose targets are all full. It is
	// about the duration of a few requests.
	fullRetryAfter = 200 * time.Millisecond
	// defaultTimeout limits requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, sender{}) }

// serve answers a request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, s sender) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{g: g, memory: g.answers.NewShare(), w: w, r: r, sender: s, started: time.Now(), call: g.protocol.ParseCall(r.Header)}
	defer j.report()
	defer j.memory.Release()
	table := g.tables.Current()
	if table == nil {
		j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "unconfigured", retryAfter: unconfiguredRetryAfter})
		return
	}
	j.tableVersion = table.Version
	if s.isHost && j.isOutdated() {
		j.refuseByConfiguration(refusal{})
		return
	}
	j.route = table.Match(r.Host, r.URL.EscapedPath())
	if j.route == nil {
		j.refuseByConfiguration(refusal{status: http.StatusNotFound, reason: "no_route"})
		return
	}
	if !j.identify(table) {
		return
	}
	j.band.Rank, j.band.Count = table.PriorityRank(j.priority())
	if !j.readBody(table.Limits) {
		return
	}
	since(&j.times.body, j.started)
	defer g.bodies.release(j.bodyHeld)
	j.serve(table)
}

// serve answers a request whose body has been read.
func (j *job) serve(table *route.Table) {
	j.service = j.route.Service(j.affinity())
	j.setEventTokens(table)
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline())
	defer cancel()
	ctx, release := j.g.limitToStop(ctx)
	defer release()
	if !j.fitsBeforeStop(time.Now()) {
		j.refuseStopping()
		return
	}
	if f, isBlocked := j.quarantinedFeature(); isBlocked {
		j.refuseQuarantined(f)
		return
	}
	if !j.admit(ctx) {
		return
	}
	defer j.settleAdmission()
	if j.mustHandOver(ctx) {
		j.handOver(ctx)
		return
	}
	if !j.bindOrigin(ctx) {
		return
	}
	lookup := j.startChainLookup(ctx)
	if j.route.CarriesPrograms && j.call.Program != "" && j.call.HasBudget {
		if !j.reserve(ctx) {
			return
		}
		defer j.releaseReservation()
	}
	if !j.prependConversation(lookup) {
		return
	}
	defer j.releasePrompt()
	if !j.openTranscript(ctx) {
		return
	}
	defer j.closeRecorder()
	j.dispatchUntilAnswered(ctx)
}

// affinity returns a key that is equal for requests which share a prompt prefix.
func (j *job) affinity() string {
	switch {
	case j.route.Kind != route.Stream:
		return j.call.RequestID
	case j.call.Program != "":
		return j.call.Program
	case j.call.Session != "":
		return j.call.Session
	case j.call.Resumes != "":
		return j.call.Resumes
	}
	return j.call.RequestID
}

func (j *job) setEventTokens(table *route.Table) {
	if s := table.Service(j.service); s != nil && s.Engine != nil {
		j.eventTokens, j.hasEngine = s.Engine.EventTokens, true
	}
}

// deadline returns the time at which the final answer is due.
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
