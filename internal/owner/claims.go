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
	// claimPeriod is how often claims are looked over without a reason.
	claimInterval = 250 * time.Millisecond
	// busyHoldDowns is after how many hold-downs a busy partition, too, is
	// given to a preferred host.
	maxBusyHoldDowns = 10
)

// view is the membership as the claim loop needs it.
type membershipView struct {
	self string
	// candidates may become owners.
	candidates []string
	members    map[string]port.Member
	// same says that the candidates are those of the last look.
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

// gone says whether the holder of a claim can't come back as that process.
func (v membershipView) terminated(holder ledger.Writer) bool {
	m, ok := v.members[holder.Host]
	if !ok {
		return false
	}
	return m.State == port.MemberDead || m.Incarnation > holder.Incarnation
}

// unknown says whether the holder is missing from the view.
func (v membershipView) isUnknown(holder ledger.Writer) bool {
	_, ok := v.members[holder.Host]
	return !ok
}

// serving says whether the holder of a claim can be taken to serve.
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

// lookOver claims the partition, gives it back, or leaves it.
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

// vacant says whether the partition may be claimed. A holder that this host
// never heard of may just not be known yet, so that it is waited for.
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

// awaitClaim waits for a claim to be seen. One that could not be written for
// a while is taken back, since the holder may have returned meanwhile.
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

// considerRelease gives the partition to a host that has been preferred for
// the hold-down. Calls under way may go on for a while longer first.
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

// giveBack lets what is under way finish and appends a release. It returns
// without one if the calls outlast the drain timeout.
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

// keep takes new work again.
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

// begin notes work under way. The caller has the lock and calls
// finishLocked later.
func (p *partitionState) beginWork() { p.busy++ }

func (p *partitionState) endWork() {
	p.busy--
	if p.busy == 0 {
		p.signal()
	}
}

// Release is the planned stop: this host claims nothing more, finishes what
// is under way and gives its partitions back. It returns when all releases
// were seen, or with the context's error.
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

// leave gives the partition back, again and again until it succeeds.
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

// HeldError says that a planned stop could not give a partition back.
type HeldError struct{ Partition uint32 }

// Error implements error.
func (e *HeldError) Error() string { return "partition is still held" }
