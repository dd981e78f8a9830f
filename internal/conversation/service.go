// Package conversation keeps the turns of conversations, so that any host can continue
// a conversation for as long as the configuration says. A turn is appended to the
// shared log before its answer ends, so every turn whose answer a caller received in
// full is in the log. Each host caches the turns that it ran or looked up; the
// preferred host of a partition (the first one in rendezvous order) also caches those
// that other hosts append to it.
package conversation

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/background"
	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// topic is the topic of the log that contains the turns.
	topic = "conversations"
	// sweepInterval is how often expired turns are removed from memory and unavailable
	// partitions are probed.
	sweepInterval = 200 * time.Millisecond
	// preferredInterval is how often a host checks for which partitions it is the
	// preferred host.
	preferredInterval = 100 * time.Millisecond
	// keepSlack is how long turns are kept beyond the promised retention.
	keepSlack = 15 * time.Second
	// heldShare is the part of the memory for turns that events of streams may take, one in so many.
	heldShare = 4
)

// Params are the dependencies and settings of a service.
type Params struct {
	Log port.SharedLog
	// Partitions is the number of partitions that contain turns. All hosts must agree
	// on it.
	Partitions int
	// RecordBytes limits the size of a record, CallBytes the total size of the records
	// of one append.
	RecordBytes, CallBytes int
	// Peers reaches the other hosts.
	Peers port.ConversationPeers
	// Retention returns how long a turn must be kept; zero while no route keeps
	// conversations.
	Retention func() time.Duration
	// MemoryBytes limits the size of the cached turns.
	MemoryBytes int
	Logger      logr.Logger
	Scope       tally.Scope
}

// Service keeps turns. It implements gateway.Conversations and port.ConversationServer.
type Service struct {
	params    Params
	log       logr.Logger
	metrics   *metrics
	hostOrder rendezvous.PartitionCache
	parts     []*part
	// probedPart is the partition that was probed last while the whole log is
	// unavailable.
	probedPart int
	// searches, copies and fallbackReads are semaphores that limit how many of these
	// operations run at once.
	searches, copies, fallbackReads chan struct{}
	// held are the events of streams that callers may take up.
	held *heldEvents

	mu   sync.Mutex
	book *conversation.TurnCache
	// excludedUntil maps hosts that did not answer to the end of their exclusion. Until
	// then they are asked last.
	excludedUntil map[string]time.Time
	// reach tracks whether the log answers this host for any partition.
	reach conversation.Availability
	// lastAppendAt is when this host last started an append.
	lastAppendAt time.Time
	// relays chooses the hosts that append turns for this one.
	relays conversation.Relays
	// meanAppend is the exponentially weighted mean duration of an append; zero before
	// the first one.
	meanAppend time.Duration

	ctx  context.Context
	stop context.CancelFunc
	done background.Group
}

var (
	_ gateway.Conversations   = (*Service)(nil)
	_ port.ConversationServer = (*Service)(nil)
)

// New returns a service. Call Start to run its background work.
func New(p Params) *Service {
	s := &Service{
		params:        p,
		log:           p.Logger.WithName("conversation"),
		metrics:       newMetrics(p.Scope.SubScope("conversation")),
		searches:      make(chan struct{}, maxSearches),
		copies:        make(chan struct{}, maxCopies),
		fallbackReads: make(chan struct{}, maxFallbackReads),
		excludedUntil: make(map[string]time.Time),
		book:          conversation.NewTurnCache(p.MemoryBytes),
		held:          newHeldEvents(p.MemoryBytes / heldShare),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for i := range p.Partitions {
		s.parts = append(s.parts, newPart(s, i))
	}
	return s
}

// Start starts the background work: expiry, trimming, probes and preloading of
// partitions.
func (s *Service) Start(context.Context) error {
	s.done.Go(s.maintain)
	s.done.Go(s.readPreferred)
	return nil
}

// Stop stops the background work and waits for all operations to end.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// maintain expires cached turns, probes unavailable partitions and trims the log, until
// the service is stopped.
func (s *Service) maintain() {
	for s.ctx.Err() == nil {
		tail.Sleep(s.ctx, sweepInterval)
		now := time.Now()
		retention := s.params.Retention()
		if retention == 0 {
			continue
		}
		s.mu.Lock()
		s.book.Forget(now.Add(-2*retention - keepSlack))
		s.metrics.updateMemory(s.book)
		s.mu.Unlock()
		s.metrics.heldBytes.Update(float64(s.held.size(now)))
		s.probe()
		for _, p := range s.parts {
			p.trim(now, 2*retention+2*keepSlack)
		}
	}
}

// readPreferred reads each partition for which this host becomes the preferred host,
// one partition at a time. After a simultaneous restart of all hosts, each partition is
// thus read by one host, before its turns are looked up.
func (s *Service) readPreferred() {
	for s.ctx.Err() == nil {
		tail.Sleep(s.ctx, preferredInterval)
		if s.params.Retention() == 0 || !s.params.Peers.IsKnown() {
			continue
		}
		for _, p := range s.parts {
			isPreferred := s.order(p.name.Part)[0] == s.params.Peers.Self()
			if isPreferred && !p.isPreloaded && !p.isUnavailable() {
				// A read that fails is repeated in the next round.
				p.isPreloaded = p.catchUp(port.InBackground(s.ctx)) == nil
			}
			p.isPreloaded = p.isPreloaded && isPreferred
		}
	}
}

// probe reads from unavailable partitions to detect that they answer again. While the
// whole log is unavailable, one partition per call is probed, in turn: the failure may
// be limited to the partitions that this host has used.
func (s *Service) probe() {
	if s.isUnavailable() {
		s.probedPart = (s.probedPart + 1) % len(s.parts)
		s.parts[s.probedPart].probe(s.ctx)
		return
	}
	for _, p := range s.parts {
		if p.isUnavailable() {
			p.probe(s.ctx)
		}
	}
}

// partOf returns the partition that contains the turns of a program. All hosts must
// agree on the number of partitions.
func (s *Service) partOf(program string) int {
	return int(partition.OfKey(program, uint32(len(s.parts))))
}

// nextPart returns the partition that receives the turns of another one while that one
// can't be written.
func (s *Service) nextPart(part int) int { return (part + 1) % len(s.parts) }

// order returns all hosts in rendezvous order for a partition, the preferred host
// first.
func (s *Service) order(part int) []string {
	return s.hostOrder.Order(part, append(s.params.Peers.Hosts(), s.params.Peers.Self()))
}

// peers returns up to limit other hosts, the first ones of the partition's order.
func (s *Service) peers(part, limit int) []string {
	var list []string
	for _, host := range s.order(part) {
		if host != s.params.Peers.Self() && len(list) < limit {
			list = append(list, host)
		}
	}
	return list
}

// cachedChain returns the chain of a turn from memory, or nil.
func (s *Service) cachedChain(turn string) conversation.Chain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Chain(turn)
}

func (s *Service) cache(turns ...*conversation.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range turns {
		s.book.Add(t)
	}
}

// isUnavailable reports whether the log answers this host for no partition.
func (s *Service) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.IsUnavailable(time.Now())
}

// throttledTolerance is how long after its last answer a log that makes this host call less often
// still counts as available.
const throttledTolerance = time.Second

// observe records the outcome of a call to the log and the time at which it started.
func (s *Service) observe(part *part, started time.Time, err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if port.IsThrottled(err) && s.reach.HasAnsweredWithin(throttledTolerance, now) {
		return
	}
	wasUnavailable := s.reach.IsUnavailable(now)
	if err == nil {
		if wasUnavailable {
			s.log.Info("Shared log is available again.", "away", s.reach.FailingFor(now).String())
		}
		s.reach.Answered(now)
		part.reach.Answered(now)
		return
	}
	s.reach.Failed(started)
	part.reach.Failed(started)
	if !wasUnavailable && s.reach.IsUnavailable(now) {
		s.log.Info("Shared log is unavailable.", "partition", part.name.Part, "cause", err.Error())
	}
}
