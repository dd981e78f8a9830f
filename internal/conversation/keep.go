package conversation

import (
	"context"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	// firstHedge, minHedge and maxHedge bound when an append that has not been
	// answered is tried in another way, at first and as a multiple of the usual time.
	firstHedge  = 60 * time.Millisecond
	minHedge    = 40 * time.Millisecond
	maxHedge    = 500 * time.Millisecond
	hedgeFactor = 4
	// usualGain is the weight of one append in the usual time.
	usualGain = 0.2
	// lateAppend is when an append counts as failing until it is answered.
	lateAppend = 300 * time.Millisecond
	// tryPause is the pause after all ways of an append have failed.
	tryPause = 50 * time.Millisecond
	// failingPause is how far apart a host's appends are while all calls fail.
	failingPause = 100 * time.Millisecond
	// appenders is how many other hosts are asked to append a turn.
	appenders = 2
	// appendPatience bounds an append for another host.
	appendPatience = 350 * time.Millisecond
	// copyTimeout bounds the copy of a turn to another host.
	copyTimeout = 300 * time.Millisecond
	// maxCopies bounds how many turns are copied to other hosts at once.
	maxCopies = 64
	// awayMemory is for how long other hosts that did not reach the log are not asked
	// again.
	awayMemory = 400 * time.Millisecond
)

// errAway says that the log does not answer.
var errAway = errors.New("shared log is away")

// Keep implements gateway.Conversations. It returns when the turn is in the log. One
// that only hosts knew of would be lost if all of them ended while the log is away.
func (s *Service) Save(ctx context.Context, before conversation.Chain, t conversation.Turn) error {
	started := time.Now()
	key := t.Program
	if key == "" {
		key = t.ID
	}
	t.Partition = s.partOf(key)
	turn := before.Next(t, started, s.params.Retention())
	kept, how, err := s.secure(ctx, before, turn)
	if err == nil {
		s.remember(kept)
		s.copyHome(kept)
	}
	s.metrics.kept(how, time.Since(started))
	if err != nil || how != ownAppend {
		s.log.Info("Turn was not appended at once.", "turn", turn.ID, "program", turn.Program, "partition", turn.Partition, "kept", string(how),
			"bytes", turn.Size(), "ms", time.Since(started).Milliseconds(), "cause", fault.Text(err))
	}
	return err
}

// copyHome tells the home of the turn's partition of it, so that it need not read
// it in the log.
func (s *Service) copyHome(t *conversation.Turn) {
	home := s.order(t.Partition)[0]
	if home == s.params.Peers.Self() {
		return
	}
	select {
	case s.copies <- struct{}{}:
	default:
		return
	}
	s.done.Go(func() {
		defer func() { <-s.copies }()
		ctx, cancel := context.WithTimeout(s.ctx, copyTimeout)
		defer cancel()
		if _, err := s.params.Peers.Keep(ctx, home, t, port.KeepCopy); err != nil {
			s.metrics.copyFailures.Inc(1)
			s.log.V(1).Info("Home did not take a turn.", "host", home, "turn", t.ID, "cause", err.Error())
		}
	})
}

// method says how a turn was kept.
type method string

const (
	notKept        method = "not"
	ownAppend      method = "in the log"
	peerAppend     method = "by another host"
	otherPartition method = "in another partition"
)

// attempt is one append that would bring a turn into the log.
type attempt struct {
	method method
	// turn is the turn as it is kept.
	turn *conversation.Turn
	run  func(context.Context, *conversation.Turn) error
}

// secure brings a turn into the log, for as long as ctx allows. It returns the turn
// as it was kept.
func (s *Service) secure(ctx context.Context, before conversation.Chain, t *conversation.Turn) (*conversation.Turn, method, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		if a := s.try(ctx, s.attempts(before, t)); a != nil {
			return a.turn, a.method, nil
		}
		if ctx.Err() != nil {
			return nil, notKept, errors.Trace(ctx.Err())
		}
		timer := time.NewTimer(tryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// attempts lists the appends that would bring a turn into the log, the usual one
// first. While the log is away for this host, only others are asked.
func (s *Service) attempts(before conversation.Chain, t *conversation.Turn) []attempt {
	var list []attempt
	own := attempt{method: ownAppend, turn: t, run: s.append}
	mayTry := s.mayTry()
	isPartAway := s.parts[t.Partition].isAway()
	if mayTry && !isPartAway {
		list = append(list, own)
	}
	if !s.areOthersAway() {
		for _, host := range s.others(t.Partition, appenders) {
			list = append(list, attempt{method: peerAppend, turn: t, run: func(ctx context.Context, t *conversation.Turn) error {
				return s.appendAt(ctx, host, t)
			}})
		}
	}
	if mayTry && !isPartAway {
		list = append(list, own)
	}
	if mayTry && len(s.parts) > 1 {
		list = append(list, attempt{method: otherPartition, turn: before.Relocate(t, s.partAfter(t.Partition)), run: s.append})
	}
	return list
}

// mayTry says whether the host appends turns itself now. While all calls fail, the
// turns that wait take turns, since calls that are refused are priced as well.
func (s *Service) mayTry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.reach.IsUnavailable(now) || s.reach.FailingFor(now) > 0 && now.Sub(s.triedAt) < failingPause {
		return false
	}
	s.triedAt = now
	return true
}

// try makes the attempts one after the other. One that takes long runs on beside
// the next, and the first success counts. It returns nil if there is none.
func (s *Service) try(ctx context.Context, attempts []attempt) *attempt {
	type ended struct {
		attempt *attempt
		err     error
	}
	results := make(chan ended, len(attempts))
	next, open := 0, 0
	hedge := time.NewTicker(s.hedge())
	defer hedge.Stop()
	start := func() {
		if next == len(attempts) {
			return
		}
		a := &attempts[next]
		next++
		open++
		s.done.Go(func() { results <- ended{attempt: a, err: a.run(ctx, a.turn)} })
	}
	start()
	for open > 0 {
		select {
		case r := <-results:
			open--
			if r.err == nil {
				return r.attempt
			}
			start()
		case <-hedge.C:
			start()
		case <-ctx.Done():
			return nil
		}
		if s.isAway() && next >= len(attempts) {
			return nil
		}
	}
	return nil
}

// hedge is how long an append may take before another way is tried beside it.
func (s *Service) hedge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usual == 0 {
		return firstHedge
	}
	return min(max(hedgeFactor*s.usual, minHedge), maxHedge)
}

// append appends a turn to its partition.
func (s *Service) append(ctx context.Context, t *conversation.Turn) error {
	records, err := conversation.Encode(t, s.params.RecordBytes)
	if err != nil {
		s.metrics.invalid.Inc(1)
		return err
	}
	for len(records) > 0 {
		n := fitting(records, s.params.CallBytes)
		if err := s.parts[t.Partition].append(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// fitting returns how many of the records go into one call, one at least.
func fitting(records [][]byte, callBytes int) int {
	size := 0
	for i, r := range records {
		size += len(r) + lengthBytes
		if size > callBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// lengthBytes is what a record takes in a call beside its content.
const lengthBytes = 4

// append appends the records of one call.
func (p *part) append(ctx context.Context, records [][]byte) error {
	s := p.service
	begun := time.Now()
	late := time.AfterFunc(lateAppend, func() { s.observe(p, begun, errLate) })
	defer late.Stop()
	offset, err := s.params.Log.Append(ctx, p.name, records)
	took := time.Since(begun)
	if err != nil && ctx.Err() != nil {
		return err
	}
	s.observe(p, begun, err)
	s.metrics.appends(err)
	s.mu.Lock()
	if s.usual == 0 {
		s.usual = took
	}
	s.usual += time.Duration(usualGain * float64(took-s.usual))
	s.mu.Unlock()
	if err != nil {
		return err
	}
	for _, r := range records {
		s.metrics.appendedBytes.Inc(int64(len(r)))
	}
	p.noteAppend(offset, time.Now())
	return nil
}

// appendAt asks another host to append a turn.
func (s *Service) appendAt(ctx context.Context, host string, t *conversation.Turn) error {
	ctx, cancel := context.WithTimeout(ctx, appendPatience)
	defer cancel()
	kept, err := s.params.Peers.Keep(ctx, host, t, port.KeepAppend)
	if err != nil {
		return err
	}
	if !kept {
		s.mu.Lock()
		s.othersAwayUntil = time.Now().Add(awayMemory)
		s.mu.Unlock()
		return errAway
	}
	return nil
}

func (s *Service) areOthersAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.othersAwayUntil)
}

// KeepHere implements port.ConversationServer.
func (s *Service) KeepLocal(ctx context.Context, t *conversation.Turn, c port.KeepMode) bool {
	if t.Partition < 0 || t.Partition >= len(s.parts) {
		return false
	}
	if c == port.KeepCopy {
		s.remember(t)
		return true
	}
	if s.parts[t.Partition].isAway() || !s.mayTry() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, appendPatience)
	defer cancel()
	if err := s.append(ctx, t); err != nil {
		s.log.Info("A turn of another host was not appended.", "turn", t.ID, "partition", t.Partition, "cause", err.Error())
		return false
	}
	s.remember(t)
	return true
}
