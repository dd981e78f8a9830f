package conversation

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/fault"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// lookupHosts is how many hosts, the first of a partition's order, serve lookups of
	// its turns.
	lookupHosts = 3
	// hedgeTime is how long a host may take to answer before the next one is asked as
	// well. Small hosts need that long to read a partition when all have just started;
	// asking others sooner makes all of them read it.
	hedgeTime = 500 * time.Millisecond
	// exclusionTime is how long a host that did not answer is asked last.
	exclusionTime = 2 * time.Second
	// maxFallbackReads limits how many partitions a host reads at once in place of the
	// hosts that serve their lookups.
	maxFallbackReads = 2
	// lookupTimeout limits the lookup of a turn.
	lookupTimeout = 1500 * time.Millisecond
	// maxSearches limits how many turns are searched for in all partitions at once.
	maxSearches = 8
	// uncertainRetry is when callers may retry after a lookup that was uncertain.
	uncertainRetry = 150 * time.Millisecond
)

// Chain implements gateway.Conversations.
func (s *Service) Chain(ctx context.Context, program, turn string) (conversation.Chain, error) {
	if chain := s.cachedChain(turn); chain != nil {
		s.metrics.memoryHits.Inc(1)
		return chain, nil
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	ownPart := s.partOf(program)
	a := s.lookUpIn(ctx, port.TurnQuery{Turn: turn, Part: ownPart})
	scope := "partition"
	switch a.finding {
	case port.TurnMissing:
		scope = "all partitions"
		a = s.lookUpEverywhere(ctx, turn, a, ownPart)
	case port.TurnUncertain:
		// Turns are kept in the next partition while their own can't be written.
		// Searching all partitions for each turn would overload a log that is just
		// recovering.
		if next := s.lookUpIn(ctx, port.TurnQuery{Turn: turn, Part: s.nextPart(ownPart)}); next.finding == port.TurnFound {
			scope = "next partition"
			a = next
		}
	}
	s.log.Info("Turn was looked up.", "turn", turn, "program", program, "partition", ownPart, "by", scope, "host", a.host,
		"finding", a.finding.String(), "turns", len(a.chain), "ms", time.Since(started).Milliseconds(),
		"last_partition", a.part, "cause", fault.Text(a.cause))
	s.metrics.countLookup(a.finding, scope)
	switch {
	case a.finding == port.TurnFound:
		s.cache(a.chain...)
		return a.chain, nil
	case a.finding == port.TurnMissing:
		return nil, &gateway.UnknownTurnError{Turn: turn}
	}
	return nil, &gateway.UncertainTurnError{Turn: turn, RetryAfter: uncertainRetry}
}

// lookupResult is the result of a lookup at a host.
type lookupResult struct {
	finding port.Finding
	chain   conversation.Chain
	host    string
	part    int
	// hasReply is true if a host replied, even if it replied that it can't tell.
	hasReply bool
	// cause is the reason for an uncertain result.
	cause error
}

// lookUpIn asks the hosts that serve lookups of a partition. If none of them replies,
// this host reads the partition itself, unless it is one of them or maxFallbackReads
// such reads are running.
func (s *Service) lookUpIn(ctx context.Context, q port.TurnQuery) lookupResult {
	if !s.params.Peers.IsKnown() {
		return lookupResult{finding: port.TurnUncertain, part: q.Part, cause: errHostsUnknown}
	}
	hosts, isAnyAvailable := s.lookupOrder(q.Part, time.Now())
	a := lookupResult{finding: port.TurnUncertain, part: q.Part, cause: errLookupHostsExcluded}
	if isAnyAvailable {
		a = s.lookUpHedged(ctx, q, hosts)
	}
	hasAnswer := a.finding != port.TurnUncertain || a.hasReply
	if hasAnswer || ctx.Err() != nil || slices.Contains(hosts, s.params.Peers.Self()) {
		return a
	}
	select {
	case s.fallbackReads <- struct{}{}:
		defer func() { <-s.fallbackReads }()
		return s.lookUpAt(ctx, s.params.Peers.Self(), q)
	default:
		return a
	}
}

// errHostsUnknown means that the process has just started and has not read the list of
// hosts.
var errHostsUnknown = errors.New("list of hosts has not been read yet")

// errLookupHostsExcluded means that all hosts that serve lookups of a partition are
// excluded.
var errLookupHostsExcluded = errors.New("all hosts that serve lookups of the partition are excluded")

// lookupOrder returns the hosts to ask for the turns of a partition, excluded ones
// last, and whether at least one of them is not excluded.
func (s *Service) lookupOrder(part int, now time.Time) (hosts []string, isAnyAvailable bool) {
	order := s.order(part)
	hosts = slices.Clone(order[:min(lookupHosts, len(order))])
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(hosts, func(a, b string) int {
		return compareBool(now.Before(s.excludedUntil[a]), now.Before(s.excludedUntil[b]))
	})
	return hosts, !now.Before(s.excludedUntil[hosts[0]])
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// exclude makes a host be asked last for exclusionTime.
func (s *Service) exclude(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.excludedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	s.excludedUntil[host] = now.Add(exclusionTime)
}

// lookUpHedged asks hosts one after the other until one of them returns a certain
// result. The next one is asked if a host can't tell or has not answered within
// hedgeTime.
func (s *Service) lookUpHedged(ctx context.Context, q port.TurnQuery, hosts []string) lookupResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan lookupResult, len(hosts))
	next, pending := 0, 0
	start := func() {
		if next == len(hosts) {
			return
		}
		host := hosts[next]
		next++
		pending++
		s.done.Go(func() { answers <- s.lookUpAt(ctx, host, q) })
	}
	start()
	hedge := time.NewTicker(hedgeTime)
	defer hedge.Stop()
	last := lookupResult{finding: port.TurnUncertain, part: q.Part}
	for pending > 0 {
		select {
		case a := <-answers:
			pending--
			if a.finding != port.TurnUncertain {
				return a
			}
			a.hasReply = a.hasReply || last.hasReply
			last = a
			start()
		case <-hedge.C:
			s.exclude(hosts[next-1])
			start()
		case <-ctx.Done():
			last.cause = ctx.Err()
			return last
		}
	}
	return last
}

func (s *Service) lookUpAt(ctx context.Context, host string, q port.TurnQuery) lookupResult {
	if host == s.params.Peers.Self() {
		finding, chain, err := s.lookUpLocal(ctx, q)
		return lookupResult{finding: finding, chain: chain, host: host, part: q.Part, hasReply: err == nil, cause: err}
	}
	finding, chain, err := s.params.Peers.Find(ctx, host, q)
	if err != nil && ctx.Err() == nil {
		s.exclude(host)
	}
	return lookupResult{finding: finding, chain: chain, host: host, part: q.Part, hasReply: err == nil, cause: err}
}

// lookUpEverywhere searches the partitions other than except for a turn: it may belong
// to another program, or may have been kept while its own partition was unavailable. If
// no partition contains it, it returns the last uncertain result, or else at.
func (s *Service) lookUpEverywhere(ctx context.Context, turn string, at lookupResult, except int) lookupResult {
	select {
	case s.searches <- struct{}{}:
		defer func() { <-s.searches }()
	default:
		return lookupResult{finding: port.TurnUncertain, cause: errTooManySearches}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan lookupResult, len(s.parts))
	for part := range s.parts {
		if part != except {
			s.done.Go(func() { answers <- s.lookUpIn(ctx, port.TurnQuery{Turn: turn, Part: part}) })
		}
	}
	for range len(s.parts) - 1 {
		a := <-answers
		switch {
		case a.finding == port.TurnFound:
			return a
		case a.finding == port.TurnUncertain:
			at = a
		}
	}
	return at
}

// errTooManySearches means that maxSearches searches of all partitions are running.
var errTooManySearches = errors.New("too many concurrent searches of all partitions")

// FindLocal implements port.ConversationServer.
func (s *Service) FindLocal(ctx context.Context, q port.TurnQuery) (port.Finding, conversation.Chain) {
	finding, chain, err := s.lookUpLocal(ctx, q)
	if err != nil {
		s.log.V(1).Info("Turn could not be looked up for another host.", "turn", q.Turn, "partition", q.Part, "cause", err.Error())
	}
	return finding, chain
}

// lookUpLocal looks a turn up in memory and then in the log. The error is the reason
// for an uncertain result.
func (s *Service) lookUpLocal(ctx context.Context, q port.TurnQuery) (port.Finding, conversation.Chain, error) {
	if q.Part < 0 || q.Part >= len(s.parts) {
		return port.TurnUncertain, nil, errors.Errorf("partition %d does not exist", q.Part)
	}
	if chain := s.cachedChain(q.Turn); chain != nil {
		return port.TurnFound, chain, nil
	}
	p := s.parts[q.Part]
	if p.isUnavailable() {
		return port.TurnUncertain, nil, errUnavailable
	}
	if err := p.catchUp(ctx); err != nil {
		return port.TurnUncertain, nil, err
	}
	if chain := s.cachedChain(q.Turn); chain != nil {
		return port.TurnFound, chain, nil
	}
	if s.hasEvictions() {
		chain, err := p.scan(ctx, q.Turn)
		switch {
		case err != nil:
			return port.TurnUncertain, nil, err
		case chain != nil:
			return port.TurnFound, chain, nil
		}
	}
	if s.isCachedIn(q.Turn, q.Part) {
		s.log.Error(errGap, "Conversation has a gap.", "turn", q.Turn, "partition", q.Part)
		return port.TurnUncertain, nil, errGap
	}
	return port.TurnMissing, nil, nil
}

// errGap means that a turn exists but its chain is incomplete.
var errGap = errors.New("an earlier turn of the chain is missing")

// hasEvictions reports whether turns have been evicted from memory.
func (s *Service) hasEvictions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Evicted() > 0
}

// isCachedIn reports whether a turn is cached and belongs to a partition.
func (s *Service) isCachedIn(turn string, part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.book.Turn(turn)
	return t != nil && t.Partition == part
}
