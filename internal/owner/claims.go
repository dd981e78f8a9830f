package owner

import (
	"context"
	"slices"
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// claimInterval is the interval at which claims are evaluated without a
	// change of the membership or of a claim.
	claimInterval = 250 * time.Millisecond
	// maxBusyHoldDowns is the number of hold-downs after which a partition with
	// calls in flight is released to its preferred host as well.
	maxBusyHoldDowns = 10
)

// membershipView is the membership as the claim loop needs it.
type membershipView struct {
	self string
	// candidates are the sorted IDs of the hosts that may become owners.
	candidates []string
	members    map[string]port.Member
	// candidatesUnchanged is set if the candidates equal those of the previous
	// evaluation.
	candidatesUnchanged bool
}

func (s *Service) membershipView() membershipView {
	v := membershipView{self: s.self.Host, members: make(map[string]port.Member)}
	for _, m := range s.params.Members.Table() {
		v.members[m.ID] = m
		leaving := m.ID == v.self && s.leaving.Load()
		if (m.State == port.MemberAlive || m.State == port.MemberSuspect) && !leaving {
			v.candidates = append(v.candidates, m.ID)
		}
	}
	slices.Sort(v.candidates)
	return v
}

func (v membershipView) preferredHost(p uint32) string {
	return partition.PreferredHost(p, v.candidates)
}

// terminated reports whether the process that holds a claim has ended: its host
// is dead or has a later incarnation.
func (v membershipView) terminated(holder ledger.Writer) bool {
	m, ok := v.members[holder.Host]
	if !ok {
		return false
	}
	return m.State == port.MemberDead || m.Incarnation > holder.Incarnation
}

// isUnknown reports whether the holder is missing from the view.
func (v membershipView) isUnknown(holder ledger.Writer) bool {
	_, ok := v.members[holder.Host]
	return !ok
}

// isServing reports whether the holder of a claim is expected to serve calls.
func (v membershipView) isServing(holder ledger.Writer) bool {
	m, ok := v.members[holder.Host]
	if !ok || v.terminated(holder) {
		return false
	}
	return m.State != port.MemberLeaving
}

func (s *Service) claimLoop() {
	tick := time.NewTicker(claimInterval)
	defer tick.Stop()
	for {
		members := s.params.Members.Changed()
		s.evaluateClaims()
		select {
		case <-s.ctx.Done():
			return
		case <-members:
		case <-s.changed:
		case <-tick.C:
		}
	}
}

func (s *Service) evaluateClaims() {
	v := s.membershipView()
	v.candidatesUnchanged = slices.Equal(v.candidates, s.candidates)
	s.candidates = v.candidates
	now := time.Now()
	for _, p := range s.layout.Load().partitions {
		p.evaluateClaim(v, now)
	}
}

// evaluateClaim claims the partition, releases it, or does nothing.
func (p *partitionState) evaluateClaim(v membershipView, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !v.candidatesUnchanged {
		p.preferredHost = v.preferredHost(p.id)
	}
	if p.held() {
		p.maybeRelease(p.preferredHost, now)
		return
	}
	if p.preferredHost == v.self && p.claiming == nil && p.stream.caughtUp.Load() && p.claimable(v, now) {
		p.claim()
	}
}

// claimable reports whether the partition may be claimed. A holder that is missing
// from the membership may not have been received yet, so it has to be missing for
// the hold-down. The caller holds p.mu.
func (p *partitionState) claimable(v membershipView, now time.Time) bool {
	if p.ledger.Epoch == 0 || p.ledger.Released || v.terminated(p.ledger.Holder) {
		return true
	}
	if p.ledger.Holder.Host == v.self && p.ledger.Holder.Incarnation != p.service.self.Incarnation {
		return true
	}
	if !v.isUnknown(p.ledger.Holder) {
		p.holderUnknownSince = time.Time{}
		return false
	}
	if p.holderUnknownSince.IsZero() {
		p.holderUnknownSince = now
	}
	return now.Sub(p.holderUnknownSince) >= p.service.params.Settings.HoldDown
}

func (p *partitionState) claim() {
	r := p.submit(&record.Record{
		Body: &record.Record_Claim{Claim: &record.Claim{Targets: p.service.engineIncarnations()}},
	})
	p.claiming = r
	p.service.spawn(func() { p.awaitClaim(r) })
}

// awaitClaim waits until a claim is read back from the stream. It abandons a claim
// that was not written within the hold-down, since the holder may have returned
// meanwhile.
func (p *partitionState) awaitClaim(r *pending) {
	ctx, cancel := context.WithTimeout(p.service.ctx, p.service.params.Settings.HoldDown)
	defer cancel()
	err := await(ctx, r)
	if err == nil || ctx.Err() == nil || p.stream.writer.abandon(r, func(ledger.Verdict) { p.claimEnded() }) {
		p.claimEnded()
	}
}

func (p *partitionState) claimEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claiming = nil
	p.signal()
	p.service.claimsChanged()
}

// maybeRelease releases the partition to a host that has been preferred for the
// hold-down. While calls are in flight, it waits for maxBusyHoldDowns hold-downs.
// The caller holds p.mu.
func (p *partitionState) maybeRelease(first string, now time.Time) {
	if first == "" || first == p.service.self.Host {
		p.preferredSince = time.Time{}
		return
	}
	if p.preferredSince.IsZero() {
		p.preferredSince = now
	}
	hold := p.service.params.Settings.HoldDown
	waited := now.Sub(p.preferredSince)
	if p.releasing || waited < hold {
		return
	}
	if p.busy == 0 || waited >= maxBusyHoldDowns*hold {
		p.releasing = true
		p.service.spawn(func() { p.drainAndRelease(p.service.ctx) })
	}
}

// drainAndRelease waits until the partition is idle and appends a release. If the
// calls outlast the drain timeout, the partition is kept.
func (p *partitionState) drainAndRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.service.params.Settings.DrainTimeout)
	defer cancel()
	if !p.awaitIdle(ctx) {
		p.cancelRelease()
		return
	}
	p.mu.Lock()
	if !p.held() || p.busy > 0 {
		p.mu.Unlock()
		p.cancelRelease()
		return
	}
	r := p.submit(&record.Record{Body: &record.Record_Release{Release: &record.Release{}}})
	p.mu.Unlock()
	if await(p.service.ctx, r) != nil {
		p.cancelRelease()
	}
}

// cancelRelease lets the partition accept new work again.
func (p *partitionState) cancelRelease() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releasing = false
	p.preferredSince = time.Time{}
	p.signal()
}

func (p *partitionState) awaitIdle(ctx context.Context) bool {
	for {
		p.mu.Lock()
		idle := p.busy == 0 || !p.held()
		wake := p.wake
		p.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-wake:
		}
	}
}

// beginWork counts work as in flight. The caller holds p.mu and calls endWork
// later, also with p.mu held.
func (p *partitionState) beginWork() { p.busy++ }

func (p *partitionState) endWork() {
	p.busy--
	if p.busy == 0 {
		p.signal()
	}
}

// Release performs a planned stop: the host makes no further claims, finishes the
// work in flight and releases its partitions. It returns when all releases have
// been read back from the stream, with the context's error, or with a *HeldError
// if a partition is still held.
func (s *Service) Release(ctx context.Context) error {
	s.leaving.Store(true)
	l := s.layout.Load()
	if l == nil {
		return nil
	}
	done := make(chan struct{})
	s.spawn(func() { s.releasePartitions(ctx, l, done) })
	select {
	case <-done:
		return s.checkReleased(l)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) releasePartitions(ctx context.Context, l *layout, done chan struct{}) {
	defer close(done)
	finished := make(chan struct{}, len(l.partitions))
	for _, p := range l.partitions {
		s.spawn(func() {
			p.releaseUntilDone(ctx)
			finished <- struct{}{}
		})
	}
	for range l.partitions {
		<-finished
	}
}

// releaseUntilDone releases the partition and retries until it succeeds or the
// context ends.
func (p *partitionState) releaseUntilDone(ctx context.Context) {
	for ctx.Err() == nil && p.service.ctx.Err() == nil {
		p.mu.Lock()
		free := !p.held() && p.claiming == nil
		p.releasing = p.held()
		p.mu.Unlock()
		if free {
			return
		}
		p.drainAndRelease(ctx)
		sleep(ctx, retryPauseMin)
	}
}

func (s *Service) checkReleased(l *layout) error {
	for _, p := range l.partitions {
		p.mu.Lock()
		held := p.held()
		p.mu.Unlock()
		if held {
			return &HeldError{Partition: p.id}
		}
	}
	return nil
}

// HeldError reports that a planned stop could not release a partition.
type HeldError struct{ Partition uint32 }

// Error implements error.
func (e *HeldError) Error() string { return "partition is still held" }
