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
	finders = 3
	// hedgeTime is when the next host is asked while one has not answered. A host that
	// has just started may take that long to read its partition; asking others sooner
	// makes all of them read it.
	hedgeTime = 250 * time.Millisecond
	// shunTime is for how long a host that did not answer is asked last.
	shunTime = 2 * time.Second
	// maxOwnReads bounds how many partitions a host reads at once for which others
	// should answer.
	maxOwnReads = 2
	// findPatience bounds the search for a turn.
	findPatience = 1500 * time.Millisecond
	// maxSearches bounds how many turns are searched for in all partitions at once.
	maxSearches = 8
	// uncertainRetry is when callers may come back for a turn that can't be found now.
	uncertainRetry = 150 * time.Millisecond
)

// Chain implements gateway.Conversations.
func (s *Service) Chain(ctx context.Context, program, turn string) (conversation.Chain, error) {
	if chain := s.recall(turn); chain != nil {
		s.metrics.local.Inc(1)
		return chain, nil
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, findPatience)
	defer cancel()
	home := s.partOf(program)
	a := s.ask(ctx, port.TurnQuery{Turn: turn, Part: home})
	scope := "partition"
	switch a.finding {
	case port.TurnMissing:
		scope = "all partitions"
		a = s.askAll(ctx, turn, a, home)
	case port.TurnUncertain:
		// Turns are kept in the next partition while their own can't be written. A search
		// of all of them for each turn would keep a log busy that is only coming back.
		if next := s.ask(ctx, port.TurnQuery{Turn: turn, Part: s.partAfter(home)}); next.finding == port.TurnFound {
			scope = "next partition"
			a = next
		}
	}
	s.log.Info("Looked for a turn.", "turn", turn, "program", program, "partition", home, "by", scope, "host", a.host,
		"finding", a.finding.String(), "turns", len(a.chain), "ms", time.Since(started).Milliseconds(),
		"last_partition", a.part, "cause", fault.Text(a.cause))
	s.metrics.looked(a.finding, scope)
	switch {
	case a.finding == port.TurnFound:
		s.remember(a.chain...)
		return a.chain, nil
	case a.finding == port.TurnMissing:
		return nil, &gateway.UnknownTurnError{Turn: turn}
	}
	return nil, &gateway.UncertainTurnError{Turn: turn, RetryAfter: uncertainRetry}
}

// answer is what a host says of a turn.
type answer struct {
	finding port.Finding
	chain   conversation.Chain
	host    string
	part    int
	// isAnswered says that a host has said that it is uncertain.
	isAnswered bool
	// cause says why it is uncertain.
	cause error
}

// ask asks the hosts that look after a partition, and reads it itself if none of
// them can tell.
func (s *Service) ask(ctx context.Context, q port.TurnQuery) answer {
	if !s.params.Peers.IsKnown() {
		return answer{finding: port.TurnUncertain, part: q.Part, cause: errHostsUnknown}
	}
	hosts, areThere := s.finders(q.Part, time.Now())
	a := answer{finding: port.TurnUncertain, part: q.Part, cause: errFindersShunned}
	if areThere {
		a = s.askInTurn(ctx, q, hosts)
	}
	isReadByThem := a.finding != port.TurnUncertain || a.isAnswered
	if isReadByThem || ctx.Err() != nil || slices.Contains(hosts, s.params.Peers.Self()) {
		return a
	}
	select {
	case s.ownReads <- struct{}{}:
		defer func() { <-s.ownReads }()
		return s.askHost(ctx, s.params.Peers.Self(), q)
	default:
		return a
	}
}

// errHostsUnknown says that the process has started and knows no other hosts yet.
var errHostsUnknown = errors.New("hosts are not known yet")

// errFindersShunned says that none of the hosts that look after a partition has
// answered lately.
var errFindersShunned = errors.New("no host that looks after the partition answers")

// finders returns the hosts that are asked for the turns of a partition, and whether
// any of them has answered lately. Those that have not come last.
func (s *Service) finders(part int, now time.Time) (hosts []string, areThere bool) {
	order := s.order(part)
	hosts = slices.Clone(order[:min(finders, len(order))])
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(hosts, func(a, b string) int {
		return compareBool(now.Before(s.shunned[a]), now.Before(s.shunned[b]))
	})
	return hosts, !now.Before(s.shunned[hosts[0]])
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
func (s *Service) shun(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.shunned, func(_ string, until time.Time) bool { return now.After(until) })
	s.shunned[host] = now.Add(shunTime)
}

// askInTurn asks hosts until one of them can tell. The next one is asked when one
// can't, or has not answered for some time.
func (s *Service) askInTurn(ctx context.Context, q port.TurnQuery, hosts []string) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(hosts))
	next, open := 0, 0
	start := func() {
		if next == len(hosts) {
			return
		}
		host := hosts[next]
		next++
		open++
		s.done.Go(func() { answers <- s.askHost(ctx, host, q) })
	}
	start()
	hedge := time.NewTicker(hedgeTime)
	defer hedge.Stop()
	last := answer{finding: port.TurnUncertain, part: q.Part}
	for open > 0 {
		select {
		case a := <-answers:
			open--
			if a.finding != port.TurnUncertain {
				return a
			}
			a.isAnswered = a.isAnswered || last.isAnswered
			last = a
			start()
		case <-hedge.C:
			s.shun(hosts[next-1])
			start()
		case <-ctx.Done():
			last.cause = ctx.Err()
			return last
		}
	}
	return last
}

func (s *Service) askHost(ctx context.Context, host string, q port.TurnQuery) answer {
	if host == s.params.Peers.Self() {
		finding, chain, err := s.find(ctx, q)
		return answer{finding: finding, chain: chain, host: host, part: q.Part, isAnswered: err == nil, cause: err}
	}
	finding, chain, err := s.params.Peers.Find(ctx, host, q)
	if err != nil && ctx.Err() == nil {
		s.shun(host)
	}
	return answer{finding: finding, chain: chain, host: host, part: q.Part, isAnswered: err == nil, cause: err}
}

// askAll looks for a turn in the partitions other than the one in which it should
// be: it may belong to another program, or have been kept while that one was away.
func (s *Service) askAll(ctx context.Context, turn string, at answer, except int) answer {
	select {
	case s.searches <- struct{}{}:
		defer func() { <-s.searches }()
	default:
		return answer{finding: port.TurnUncertain, cause: errManySearches}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(s.parts))
	for part := range s.parts {
		if part != except {
			s.done.Go(func() { answers <- s.ask(ctx, port.TurnQuery{Turn: turn, Part: part}) })
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
var errManySearches = errors.New("too many searches at once")

// FindHere implements port.ConversationServer.
func (s *Service) FindLocal(ctx context.Context, q port.TurnQuery) (port.Finding, conversation.Chain) {
	finding, chain, err := s.find(ctx, q)
	if err != nil {
		s.log.V(1).Info("A turn can't be looked up for another host.", "turn", q.Turn, "partition", q.Part, "cause", err.Error())
	}
	return finding, chain
}

// find looks for a turn in memory, and then in the log. The error says why it is
// uncertain.
func (s *Service) find(ctx context.Context, q port.TurnQuery) (port.Finding, conversation.Chain, error) {
	if q.Part < 0 || q.Part >= len(s.parts) {
		return port.TurnUncertain, nil, errors.Errorf("no partition %d", q.Part)
	}
	if chain := s.recall(q.Turn); chain != nil {
		return port.TurnFound, chain, nil
	}
	p := s.parts[q.Part]
	if p.isAway() {
		return port.TurnUncertain, nil, errAway
	}
	if err := p.catchUp(ctx); err != nil {
		return port.TurnUncertain, nil, err
	}
	if chain := s.recall(q.Turn); chain != nil {
		return port.TurnFound, chain, nil
	}
	if s.hasEvicted() {
		chain, err := p.scan(ctx, q.Turn)
		switch {
		case err != nil:
			return port.TurnUncertain, nil, err
		case chain != nil:
			return port.TurnFound, chain, nil
		}
	}
	if s.isKnownIn(q.Turn, q.Part) {
		s.log.Error(errGap, "A conversation has a gap.", "turn", q.Turn, "partition", q.Part)
		return port.TurnUncertain, nil, errGap
	}
	return port.TurnMissing, nil, nil
}

var errGap = errors.New("an earlier turn is missing")

func (s *Service) hasEvicted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Evicted() > 0
}

// isKnownIn says whether a turn is known to be in a partition.
func (s *Service) isKnownIn(turn string, part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.book.Turn(turn)
	return t != nil && t.Partition == part
}
