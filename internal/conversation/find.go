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
	// finders is how many hosts of a partition's order are asked for a turn.
	lookupHosts = 3
	// hedgeTime is when the next host is asked while one has not answered. A host that
	// has just started may take that long to read its partition; asking others sooner
	// makes all of them read it.
	hedgeTime = 250 * time.Millisecond
	// shunTime is for how long a host that did not answer is asked last.
	exclusionTime = 2 * time.Second
	// maxOwnReads bounds how many partitions a host reads at once for which others
	// should answer.
	maxFallbackReads = 2
	// findPatience bounds the search for a turn.
	lookupTimeout = 1500 * time.Millisecond
	// maxSearches bounds how many turns are searched for in all partitions at once.
	maxSearches = 8
	// uncertainRetry is when callers may come back for a turn that can't be found now.
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
	home := s.partOf(program)
	a := s.lookUpIn(ctx, port.TurnQuery{Turn: turn, Part: home})
	scope := "partition"
	switch a.finding {
	case port.TurnMissing:
		scope = "all partitions"
		a = s.lookUpEverywhere(ctx, turn, a, home)
	case port.TurnUncertain:
		// Turns are kept in the next partition while their own can't be written. A search
		// of all of them for each turn would keep a log busy that is only coming back.
		if next := s.lookUpIn(ctx, port.TurnQuery{Turn: turn, Part: s.nextPart(home)}); next.finding == port.TurnFound {
			scope = "next partition"
			a = next
		}
	}
	s.log.Info("Looked for a turn.", "turn", turn, "program", program, "partition", home, "by", scope, "host", a.host,
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

// answer is what a host says of a turn.
type lookupResult struct {
	finding port.Finding
	chain   conversation.Chain
	host    string
	part    int
	// isAnswered says that a host has said that it is uncertain.
	hasReply bool
	// cause says why it is uncertain.
	cause error
}

// ask asks the hosts that look after a partition, and reads it itself if none of
// them can tell.
func (s *Service) lookUpIn(ctx context.Context, q port.TurnQuery) lookupResult {
	if !s.params.Peers.IsKnown() {
		return lookupResult{finding: port.TurnUncertain, part: q.Part, cause: errHostsUnknown}
	}
	hosts, areThere := s.lookupOrder(q.Part, time.Now())
	a := lookupResult{finding: port.TurnUncertain, part: q.Part, cause: errLookupHostsExcluded}
	if areThere {
		a = s.lookUpHedged(ctx, q, hosts)
	}
	isReadByThem := a.finding != port.TurnUncertain || a.hasReply
	if isReadByThem || ctx.Err() != nil || slices.Contains(hosts, s.params.Peers.Self()) {
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

// errHostsUnknown says that the process has started and knows no other hosts yet.
var errHostsUnknown = errors.New("hosts are not known yet")

// errFindersShunned says that none of the hosts that look after a partition has
// answered lately.
var errLookupHostsExcluded = errors.New("no host that looks after the partition answers")

// finders returns the hosts that are asked for the turns of a partition, and whether
// any of them has answered lately. Those that have not come last.
func (s *Service) lookupOrder(part int, now time.Time) (hosts []string, areThere bool) {
	order := s.order(part)
	hosts = slices.Clone(order[:min(lookupHosts, len(order))])
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(hosts, func(a, b string) int {
		return compareBool(now.Before(s.excludedUntil[a]), now.Before(s.excludedUntil[b]))
	})
	return hosts, !now.Before(s.excludedUntil[hosts[0]])
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// shun makes a host be asked last for some time.
func (s *Service) exclude(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.excludedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	s.excludedUntil[host] = now.Add(exclusionTime)
}

// askInTurn asks hosts until one of them can tell. The next one is asked when one
// can't, or has not answered for some time.
func (s *Service) lookUpHedged(ctx context.Context, q port.TurnQuery, hosts []string) lookupResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan lookupResult, len(hosts))
	next, open := 0, 0
	start := func() {
		if next == len(hosts) {
			return
		}
		host := hosts[next]
		next++
		open++
		s.done.Go(func() { answers <- s.lookUpAt(ctx, host, q) })
	}
	start()
	hedge := time.NewTicker(hedgeTime)
	defer hedge.Stop()
	last := lookupResult{finding: port.TurnUncertain, part: q.Part}
	for open > 0 {
		select {
		case a := <-answers:
			open--
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

// askAll looks for a turn in the partitions other than the one in which it should
// be: it may belong to another program, or have been kept while that one was away.
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

// errManySearches says that other turns are being searched for in all partitions.
var errTooManySearches = errors.New("too many searches at once")

// FindHere implements port.Archivist.
func (s *Service) FindLocal(ctx context.Context, q port.TurnQuery) (port.Finding, conversation.Chain) {
	finding, chain, err := s.lookUpLocal(ctx, q)
	if err != nil {
		s.log.V(1).Info("A turn can't be looked up for another host.", "turn", q.Turn, "partition", q.Part, "cause", err.Error())
	}
	return finding, chain
}

// find looks for a turn in memory, and then in the log. The error says why it is
// uncertain.
func (s *Service) lookUpLocal(ctx context.Context, q port.TurnQuery) (port.Finding, conversation.Chain, error) {
	if q.Part < 0 || q.Part >= len(s.parts) {
		return port.TurnUncertain, nil, errors.Errorf("no partition %d", q.Part)
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
		s.log.Error(errGap, "A conversation has a gap.", "turn", q.Turn, "partition", q.Part)
		return port.TurnUncertain, nil, errGap
	}
	return port.TurnMissing, nil, nil
}

var errGap = errors.New("an earlier turn is missing")

func (s *Service) hasEvictions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Evicted() > 0
}

// isKnownIn says whether a turn is known to be in a partition.
func (s *Service) isCachedIn(turn string, part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.book.Turn(turn)
	return t != nil && t.Part == part
}
