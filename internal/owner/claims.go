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
	claimPeriod = 250 * time.Millisecond
	// busyHoldDowns is after how many hold-downs a busy partition, too, is
	// given to a preferred host.
	busyHoldDowns = 10
)

// view is the membership as the claim loop needs it.
type view struct {
	self string
	// candidates may become owners.
	candidates []string
	members    map[string]port.Member
	// same says that the candidates are those of the last look.
	same bool
}

func (s *Service) memberView() view {
	v := view{self: s.self.Host, members: make(map[string]port.Member)}
	for _, m := range s.p.Members.Table() {
		v.members[m.ID] = m
		leaving := m.ID == v.self && s.leaving.Load()
		if (m.State == port.MemberAlive || m.State == port.MemberSuspect) && !leaving {
			v.candidates = append(v.candidates, m.ID)
		}
	}
	slices.Sort(v.candidates)
	return v
}

func (v view) first(p uint32) string { return partition.PreferredHost(p, v.candidates) }

// gone says whether the holder of a claim can't come back as that process.
func (v view) gone(holder ledger.Writer) bool {
	m, ok := v.members[holder.Host]
	if !ok {
		return false
	}
	return m.State == port.MemberDead || m.Incarnation > holder.Incarnation
}

// unknown says whether the holder is missing from the view.
func (v view) unknown(holder ledger.Writer) bool {
	_, ok := v.members[holder.Host]
	return !ok
}

// serving says whether the holder of a claim can be taken to serve.
func (v view) serving(holder ledger.Writer) bool {
	m, ok := v.members[holder.Host]
	if !ok || v.gone(holder) {
		return false
	}
	return m.State != port.MemberLeaving
}

func (s *Service) claimLoop() {
	tick := time.NewTicker(claimPeriod)
	defer tick.Stop()
	for {
		members := s.p.Members.Changed()
		s.lookOver()
		select {
		case <-s.ctx.Done():
			return
		case <-members:
		case <-s.changed:
		case <-tick.C:
		}
	}
}

func (s *Service) lookOver() {
	v := s.memberView()
	v.same = slices.Equal(v.candidates, s.candidates)
	s.candidates = v.candidates
	now := time.Now()
	for _, p := range s.layout.Load().parts {
		p.lookOver(v, now)
	}
}

// lookOver claims the partition, gives it back, or leaves it.
func (p *part) lookOver(v view, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !v.same {
		p.first = v.first(p.id)
	}
	if p.held() {
		p.considerRelease(p.first, now)
		return
	}
	if p.first == v.self && p.claiming == nil && p.stream.current.Load() && p.vacant(v, now) {
		p.claim()
	}
}

// vacant says whether the partition may be claimed. A holder that this host
// never heard of may just not be known yet, so that it is waited for.
func (p *part) vacant(v view, now time.Time) bool {
	if p.l.Epoch == 0 || p.l.Released || v.gone(p.l.Holder) {
		return true
	}
	if p.l.Holder.Host == v.self && p.l.Holder.Incarnation != p.s.self.Incarnation {
		return true
	}
	if !v.unknown(p.l.Holder) {
		p.missing = time.Time{}
		return false
	}
	if p.missing.IsZero() {
		p.missing = now
	}
	return now.Sub(p.missing) >= p.s.p.Settings.HoldDown
}

func (p *part) claim() {
	r := p.submit(&record.Record{
		Body: &record.Record_Claim{Claim: &record.Claim{Targets: p.s.engineIncarnations()}},
	})
	p.claiming = r
	p.s.spawn(func() { p.awaitClaim(r) })
}

// awaitClaim waits for a claim to be seen. One that could not be written for
// a while is taken back, since the holder may have returned meanwhile.
func (p *part) awaitClaim(r *pending) {
	ctx, cancel := context.WithTimeout(p.s.ctx, p.s.p.Settings.HoldDown)
	defer cancel()
	err := await(ctx, r)
	if err == nil || ctx.Err() == nil || p.stream.writer.abandon(r, func(ledger.Verdict) { p.claimEnded() }) {
		p.claimEnded()
	}
}

func (p *part) claimEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claiming = nil
	p.signal()
	p.s.claimsChanged()
}

// considerRelease gives the partition to a host that has been preferred for
// the hold-down. Calls under way may go on for a while longer first.
func (p *part) considerRelease(first string, now time.Time) {
	if first == "" || first == p.s.self.Host {
		p.preferred = time.Time{}
		return
	}
	if p.preferred.IsZero() {
		p.preferred = now
	}
	hold := p.s.p.Settings.HoldDown
	waited := now.Sub(p.preferred)
	if p.releasing || waited < hold {
		return
	}
	if p.busy == 0 || waited >= busyHoldDowns*hold {
		p.releasing = true
		p.s.spawn(func() { p.giveBack(p.s.ctx) })
	}
}

// giveBack lets what is under way finish and appends a release. It returns
// without one if the calls outlast the drain timeout.
func (p *part) giveBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.s.p.Settings.DrainTimeout)
	defer cancel()
	if !p.awaitIdle(ctx) {
		p.keep()
		return
	}
	p.mu.Lock()
	if !p.held() || p.busy > 0 {
		p.mu.Unlock()
		p.keep()
		return
	}
	r := p.submit(&record.Record{Body: &record.Record_Release{Release: &record.Release{}}})
	p.mu.Unlock()
	if await(p.s.ctx, r) != nil {
		p.keep()
	}
}

// keep takes new work again.
func (p *part) keep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releasing = false
	p.preferred = time.Time{}
	p.signal()
}

func (p *part) awaitIdle(ctx context.Context) bool {
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
func (p *part) begin() { p.busy++ }

func (p *part) finishLocked() {
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
	s.spawn(func() { s.releaseAll(ctx, l, done) })
	select {
	case <-done:
		return s.released(l)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) releaseAll(ctx context.Context, l *layout, done chan struct{}) {
	defer close(done)
	finished := make(chan struct{}, len(l.parts))
	for _, p := range l.parts {
		s.spawn(func() {
			p.leave(ctx)
			finished <- struct{}{}
		})
	}
	for range l.parts {
		<-finished
	}
}

// leave gives the partition back, again and again until it succeeds.
func (p *part) leave(ctx context.Context) {
	for ctx.Err() == nil && p.s.ctx.Err() == nil {
		p.mu.Lock()
		free := !p.held() && p.claiming == nil
		p.releasing = p.held()
		p.mu.Unlock()
		if free {
			return
		}
		p.giveBack(ctx)
		sleep(ctx, retryPauseMin)
	}
}

func (s *Service) released(l *layout) error {
	for _, p := range l.parts {
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
