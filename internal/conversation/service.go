// Package conversation keeps the turns of conversations, so that each can be
// continued at any host for as long as the configuration says. A turn is appended
// to the shared log before its answer ends, so that each turn that a caller has got
// whole is in the log. Hosts remember the turns that they ran or looked up; the home
// of a partition also remembers those that others append to it.
package conversation

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// topic holds the turns.
	topic = "conversations"
	// sweepInterval is how often turns that are too old are forgotten, and partitions
	// that are away are tried.
	sweepInterval = 200 * time.Millisecond
	// readOwnInterval is how often a host looks of which partitions it is the home.
	readOwnInterval = 100 * time.Millisecond
	// keepSlack is for how long turns are kept beyond the time that is promised.
	keepSlack = 15 * time.Second
)

// Params are what a service is built from.
type Params struct {
	Log port.SharedLog
	// Partitions is how many partitions of the log carry the turns. All hosts must
	// agree on it.
	Partitions int
	// RecordBytes and CallBytes bound a record and the records of one append.
	RecordBytes, CallBytes int
	// Hosts are the other hosts.
	Peers port.ConversationPeers
	// Retention returns for how long a turn must be kept; zero while no route keeps
	// conversations.
	Retention func() time.Duration
	// MemoryBytes bounds what is remembered.
	MemoryBytes int
	Logger      logr.Logger
	Scope       tally.Scope
}

// Service keeps turns. It implements gateway.Conversations and port.ConversationServer.
type Service struct {
	params  Params
	log     logr.Logger
	metrics *metrics
	orders  rendezvous.PartitionCache
	parts   []*part
	// probed is the partition that was tried last while the log is away.
	probed int
	// searches, copies and ownReads bound how many of these run at once.
	searches, copies, ownReads chan struct{}

	mu   sync.Mutex
	book *conversation.TurnCache
	// shunned holds the hosts that did not answer, and until when they are asked last.
	shunned map[string]time.Time
	// reach is that of the whole log.
	reach conversation.Availability
	// triedAt is when an append was begun last.
	triedAt time.Time
	// othersAwayUntil is until when the other hosts count as not reaching the log.
	othersAwayUntil time.Time
	// usual is the mean time of an append.
	usual time.Duration

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

var (
	_ gateway.Conversations   = (*Service)(nil)
	_ port.ConversationServer = (*Service)(nil)
)

// New returns a service.
func New(p Params) *Service {
	s := &Service{
		params:   p,
		log:      p.Logger.WithName("conversation"),
		metrics:  newMetrics(p.Scope.SubScope("conversation")),
		searches: make(chan struct{}, maxSearches),
		copies:   make(chan struct{}, maxCopies),
		ownReads: make(chan struct{}, maxOwnReads),
		shunned:  make(map[string]time.Time),
		book:     conversation.NewTurnCache(p.MemoryBytes),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for i := range p.Partitions {
		s.parts = append(s.parts, newPart(s, i))
	}
	return s
}

// Start starts to look after what is remembered.
func (s *Service) Start(context.Context) error {
	s.done.Go(s.maintain)
	s.done.Go(s.readOwn)
	return nil
}

// Stop ends the work in the background.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

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
		s.metrics.remembered(s.book)
		s.mu.Unlock()
		s.probe()
		for _, p := range s.parts {
			p.trim(now, 2*retention+2*keepSlack)
		}
	}
}

// readOwn reads the partitions of which this host is the home, one after the other,
// as it becomes that. After a start of all hosts each partition is so read once, and
// before it is asked for.
func (s *Service) readOwn() {
	for s.ctx.Err() == nil {
		tail.Sleep(s.ctx, readOwnInterval)
		if s.params.Retention() == 0 || !s.params.Peers.IsKnown() {
			continue
		}
		for _, p := range s.parts {
			isHome := s.order(p.name.Part)[0] == s.params.Peers.Self()
			if isHome && !p.isOwn && !p.isAway() {
				// One that fails is read again with the next round.
				p.isOwn = p.catchUp(s.ctx) == nil
			}
			p.isOwn = p.isOwn && isHome
		}
	}
}

// probe tries partitions that are away, so that the host knows when they answer
// again. While the whole log is away, one partition after the other is tried: those
// that this host has used may not be all.
func (s *Service) probe() {
	if s.isAway() {
		s.probed = (s.probed + 1) % len(s.parts)
		s.parts[s.probed].probe(s.ctx)
		return
	}
	for _, p := range s.parts {
		if p.isAway() {
			p.probe(s.ctx)
		}
	}
}

// partOf returns the partition that holds the turns of a program. All hosts must
// agree on the number of partitions.
func (s *Service) partOf(program string) int {
	return int(partition.OfKey(program, uint32(len(s.parts))))
}

// partAfter returns the partition that takes the turns of another one while that can't
// be written.
func (s *Service) partAfter(part int) int { return (part + 1) % len(s.parts) }

// order returns the hosts in the order in which they look after a partition.
func (s *Service) order(part int) []string {
	return s.orders.Order(part, append(s.params.Peers.Hosts(), s.params.Peers.Self()))
}

// others returns the first other hosts of a partition's order.
func (s *Service) others(part, most int) []string {
	var list []string
	for _, host := range s.order(part) {
		if host != s.params.Peers.Self() && len(list) < most {
			list = append(list, host)
		}
	}
	return list
}

// recall returns a chain out of memory, or nil.
func (s *Service) recall(turn string) conversation.Chain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Chain(turn)
}

func (s *Service) remember(turns ...*conversation.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range turns {
		s.book.Add(t)
	}
}

// isAway says whether the log answers this host for no partition.
func (s *Service) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.IsUnavailable(time.Now())
}

// observe takes what came of a call to the log.
func (s *Service) observe(part *part, begun time.Time, err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wasAway := s.reach.IsUnavailable(now)
	if err == nil {
		if wasAway {
			s.log.Info("Shared log answers again.", "away", s.reach.FailingFor(now).String())
		}
		s.reach.Answered(now)
		part.reach.Answered(now)
		return
	}
	s.reach.Failed(begun)
	part.reach.Failed(begun)
	if !wasAway && s.reach.IsUnavailable(now) {
		s.log.Info("Shared log is away.", "partition", part.name.Part, "cause", err.Error())
	}
}
