package conversation

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	// initialHedge, minHedge, maxHedge and hedgeFactor determine when an unanswered
	// append is hedged by another attempt: after hedgeFactor times the mean append
	// time, within minHedge and maxHedge. Until the first append has ended it is
	// initialHedge.
	initialHedge = 60 * time.Millisecond
	minHedge     = 40 * time.Millisecond
	maxHedge     = 500 * time.Millisecond
	hedgeFactor  = 4
	// meanAppendGain is the weight of one append in the mean append time.
	meanAppendGain = 0.2
	// slowAppend is the time after which an unanswered append counts as failing until
	// it is answered.
	slowAppend = 300 * time.Millisecond
	// retryPause is the pause after all attempts to append a turn have failed.
	retryPause = 50 * time.Millisecond
	// failingInterval is the minimum time between appends of a host while all calls to
	// the log fail.
	failingInterval = 100 * time.Millisecond
	// maxAppendPeers is how many other hosts are asked to append a turn in one round.
	maxAppendPeers = 4
	// peerAppendTimeout limits an append on behalf of another host.
	peerAppendTimeout = 350 * time.Millisecond
	// copyTimeout limits sending a copy of a turn to another host.
	copyTimeout = 300 * time.Millisecond
	// maxCopies limits how many turns are copied to other hosts at once.
	maxCopies = 64
)

// errUnavailable means that the log does not answer.
var errUnavailable = errors.New("shared log is unavailable")

// Save implements gateway.Conversations. It returns nil only after the turn has been
// appended to the log: a turn that only hosts have in memory would be lost if all of
// them stopped while the log is unavailable.
func (s *Service) Save(ctx context.Context, before conversation.Chain, t conversation.Turn, said *conversation.Transcript) error {
	started := time.Now()
	t.Output = said.Output()
	t.Partition = s.partOf(keyOf(t.Program, t.ID))
	turn := before.Next(t, started, s.params.Retention())
	kept, how, err := s.persist(ctx, before, turn)
	if err == nil {
		s.cache(kept)
		s.copyToPreferred(kept)
	}
	s.metrics.countKept(how, time.Since(started))
	if err != nil || how != ownAppend {
		s.log.Info("Turn needed a fallback append or was not kept.", "turn", turn.ID, "program", turn.Program, "partition", turn.Partition, "kept", string(how),
			"bytes", turn.Size(), "ms", time.Since(started).Milliseconds(), "cause", fault.Text(err))
	}
	return err
}

// copyToPreferred sends the turn to the preferred host of its partition in the
// background, so that this host need not read it from the log. It does nothing if
// maxCopies copies are running.
func (s *Service) copyToPreferred(t *conversation.Turn) {
	preferred := s.order(t.Partition)[0]
	if preferred == s.params.Peers.Self() {
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
		if _, err := s.params.Peers.Keep(ctx, preferred, t, port.KeepCopy); err != nil {
			s.metrics.copyFailures.Inc(1)
			s.log.V(1).Info("Turn could not be copied to the preferred host.", "host", preferred, "turn", t.ID, "cause", err.Error())
		}
	})
}

// method is the way in which a turn was kept.
type method string

const (
	notKept        method = "not"
	ownAppend      method = "in the log"
	peerAppend     method = "by another host"
	otherPartition method = "in another partition"
)

// attempt is one way to append a turn to the log.
type attempt struct {
	method method
	// turn is the turn as this attempt would append it.
	turn *conversation.Turn
	run  func(context.Context, *conversation.Turn) error
}

// persist appends a turn to the log and retries until ctx ends. It returns the turn as
// it was appended, which may be in another partition, or the error of ctx.
func (s *Service) persist(ctx context.Context, before conversation.Chain, t *conversation.Turn) (*conversation.Turn, method, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		if a := s.runHedged(ctx, s.attempts(before, t)); a != nil {
			return a.turn, a.method, nil
		}
		if ctx.Err() != nil {
			return nil, notKept, errors.Trace(ctx.Err())
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// attempts lists the ways to append a turn, the usual one first: by this host, by
// another host, by this host again, and to the next partition. While this host can't
// reach the log, only other hosts are asked.
func (s *Service) attempts(before conversation.Chain, t *conversation.Turn) []attempt {
	var list []attempt
	own := attempt{method: ownAppend, turn: t, run: s.append}
	mayAppend := s.allowAppend()
	isPartUnavailable := s.parts[t.Partition].isUnavailable()
	if mayAppend && !isPartUnavailable {
		list = append(list, own)
	}
	for _, host := range s.chooseRelays(t.Partition) {
		list = append(list, attempt{method: peerAppend, turn: t, run: func(ctx context.Context, t *conversation.Turn) error {
			return s.appendAt(ctx, host, t)
		}})
	}
	if mayAppend && !isPartUnavailable {
		list = append(list, own)
	}
	if mayAppend && len(s.parts) > 1 {
		list = append(list, attempt{method: otherPartition, turn: before.Relocate(t, s.nextPart(t.Partition)), run: s.append})
	}
	return list
}

// allowAppend reports whether this host may start an append now. While all calls to the
// log fail, it allows one append per failingInterval for all waiting turns, because
// refused calls are billed as well.
func (s *Service) allowAppend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.reach.IsUnavailable(now) || s.reach.FailingFor(now) > 0 && now.Sub(s.lastAppendAt) < failingInterval {
		return false
	}
	s.lastAppendAt = now
	return true
}

// runHedged runs the attempts one after the other. It starts the next one as soon as
// the last one has failed or is slow; slow ones continue in parallel. It returns the
// first attempt that succeeds, or nil if all have failed, if ctx ends, or if only
// appends of this host are left and the log is unavailable to it.
func (s *Service) runHedged(ctx context.Context, attempts []attempt) *attempt {
	type ended struct {
		attempt *attempt
		err     error
	}
	results := make(chan ended, len(attempts))
	next, pending, pendingAtPeers := 0, 0, 0
	hedge := time.NewTicker(s.hedgeDelay())
	defer hedge.Stop()
	start := func() {
		if next == len(attempts) {
			return
		}
		a := &attempts[next]
		next++
		pending++
		if a.method == peerAppend {
			pendingAtPeers++
		}
		s.done.Go(func() { results <- ended{attempt: a, err: a.run(ctx, a.turn)} })
	}
	start()
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.attempt.method == peerAppend {
				pendingAtPeers--
			}
			if r.err == nil {
				return r.attempt
			}
			start()
		case <-hedge.C:
			start()
		case <-ctx.Done():
			return nil
		}
		if s.isUnavailable() && next >= len(attempts) && pendingAtPeers == 0 {
			return nil
		}
	}
	return nil
}

// hedgeDelay returns how long an append may take before the next attempt starts beside
// it.
func (s *Service) hedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanAppend == 0 {
		return initialHedge
	}
	return min(max(hedgeFactor*s.meanAppend, minHedge), maxHedge)
}

// append appends a turn to its partition, in as many calls as its size needs.
func (s *Service) append(ctx context.Context, t *conversation.Turn) error {
	records, err := conversation.Encode(t, s.params.RecordBytes)
	if err != nil {
		s.metrics.invalid.Inc(1)
		return err
	}
	for len(records) > 0 {
		n := countFitting(records, s.params.CallBytes)
		if err := s.parts[t.Partition].append(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// countFitting returns how many of the records fit into one call, at least one.
func countFitting(records [][]byte, callBytes int) int {
	size := 0
	for i, r := range records {
		size += len(r) + lengthBytes
		if size > callBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// lengthBytes is the overhead of a record in a call.
const lengthBytes = 4

// append appends the records of one call and observes the outcome.
func (p *part) append(ctx context.Context, records [][]byte) error {
	s := p.service
	started := time.Now()
	late := time.AfterFunc(slowAppend, func() { s.observe(p, started, errNoAnswerYet) })
	defer late.Stop()
	offset, err := s.params.Log.Append(ctx, p.name, records)
	duration := time.Since(started)
	if err != nil && ctx.Err() != nil {
		return err
	}
	s.observe(p, started, err)
	s.metrics.countAppend(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if s.meanAppend == 0 {
		s.meanAppend = duration
	}
	s.meanAppend += time.Duration(meanAppendGain * float64(duration-s.meanAppend))
	s.mu.Unlock()
	for _, r := range records {
		s.metrics.appendedBytes.Inc(int64(len(r)))
	}
	p.recordAppend(offset, time.Now())
	return nil
}

// chooseRelays returns the hosts that this host asks to append turns to a partition.
func (s *Service) chooseRelays(part int) []string {
	hosts := s.peers(part, math.MaxInt)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays.Choose(hosts, time.Now(), maxAppendPeers)
}

// appendAt asks another host to append a turn. It returns errUnavailable if that host
// can't.
func (s *Service) appendAt(ctx context.Context, host string, t *conversation.Turn) error {
	callCtx, cancel := context.WithTimeout(ctx, peerAppendTimeout)
	defer cancel()
	kept, err := s.params.Peers.Keep(callCtx, host, t, port.KeepAppend)
	if err == nil && !kept {
		err = errUnavailable
	}
	if err != nil && ctx.Err() != nil {
		// Another attempt has succeeded or the caller no longer waits.
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.relays.Failed(host, time.Now())
		return err
	}
	s.relays.Succeeded(host)
	return nil
}

// KeepLocal implements port.ConversationServer.
func (s *Service) KeepLocal(ctx context.Context, t *conversation.Turn, mode port.KeepMode) bool {
	if t.Partition < 0 || t.Partition >= len(s.parts) {
		return false
	}
	if mode == port.KeepCopy {
		s.cache(t)
		return true
	}
	if s.parts[t.Partition].isUnavailable() || !s.allowAppend() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerAppendTimeout)
	defer cancel()
	if err := s.append(ctx, t); err != nil {
		s.log.Info("Turn of another host could not be appended.", "turn", t.ID, "partition", t.Partition, "cause", err.Error())
		return false
	}
	s.cache(t)
	return true
}
