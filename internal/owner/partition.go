package owner

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// partitionState is one partition at this host: its replayed state and, if the host
// owns it, the work in flight. mu guards all fields below it and is never held
// across I/O.
type partitionState struct {
	id      uint32
	service *Service
	stream  *stream

	mu     sync.Mutex
	ledger *ledger.Partition
	// preferredHost is the host that should own the partition, as of the last
	// evaluation of the claims.
	preferredHost string
	// wake is closed and replaced when the ownership changes or the partition
	// becomes idle.
	wake chan struct{}
	// claiming is this host's pending claim.
	claiming *pending
	// releasing is set while the partition is being released; new work is not
	// accepted then.
	releasing bool
	// preferredSince is when another host became the preferred one.
	// holderUnknownSince is when the holder was first missing from the membership.
	// Both are zero if that is not the case.
	preferredSince, holderUnknownSince time.Time
	// activities holds the programs with work in flight, by program ID.
	activities map[string]*programActivity
	// reserved is the escrow in tokens reserved by calls, by root key.
	reserved map[string]int64
	// inFlight holds pending records of which only one may be in flight, by key.
	inFlight map[string]*pending
	// reconciling holds the root keys of the trees whose escrow is being
	// reconciled. A channel is closed when its tree's reconciliation has ended.
	reconciling map[string]chan struct{}
	// claimRestatedAt is when the claim was applied or last restated.
	claimRestatedAt time.Time
	// openBudgets caches the total budget in tokens of the open programs of each
	// organisation. It is nil if it has to be computed again.
	openBudgets map[string]int64
	// busy counts the calls and records in flight.
	busy int
}

// programActivity is the work in flight for one program.
type programActivity struct {
	running *running
	// dispatchedSeq is the seq of the last call that was dispatched and ended
	// without an outcome. It is set before the record of that is confirmed.
	dispatchedSeq int64
	// unresolvedRecords counts records that no call waits for and that may still
	// be applied.
	unresolvedRecords int
	// earlyCalls counts the calls that wait for an earlier one.
	earlyCalls int
	evicting   bool
	// wake is closed and replaced when a part of the activity has ended.
	wake chan struct{}
}

func newPartitionState(s *Service, id uint32, t *stream) *partitionState {
	return &partitionState{
		id:         id,
		service:    s,
		stream:     t,
		ledger:     ledger.NewPartition(id, 0),
		wake:       make(chan struct{}),
		activities: make(map[string]*programActivity),
		reserved:   make(map[string]int64),
		inFlight:   make(map[string]*pending),
	}
}

// held reports whether this process holds the claim. The caller holds p.mu.
func (p *partitionState) held() bool {
	return p.ledger.Epoch > 0 && !p.ledger.Released && p.service.isSelf(p.ledger.Holder)
}

func (p *partitionState) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// activityOf returns the activity of a program and creates it on first use. The
// caller holds p.mu.
func (p *partitionState) activityOf(id string) *programActivity {
	v := p.activities[id]
	if v == nil {
		v = &programActivity{wake: make(chan struct{})}
		p.activities[id] = v
	}
	return v
}

// signalProgram wakes the calls that wait for a program and removes its activity if
// it is idle. The caller holds p.mu.
func (p *partitionState) signalProgram(id string) {
	v := p.activities[id]
	if v == nil {
		return
	}
	close(v.wake)
	v.wake = make(chan struct{})
	if v.running == nil && v.unresolvedRecords == 0 && v.earlyCalls == 0 && !v.evicting {
		delete(p.activities, id)
	}
}

// submit submits a record under the present claim. The caller holds p.mu.
func (p *partitionState) submit(r *record.Record) *pending {
	r.Partition = p.id
	r.Epoch = p.ledger.Epoch
	return p.stream.writer.submit(r)
}

// submitAt submits a record under the claim of an epoch. The record is void if that
// claim has ended.
func (p *partitionState) submitAt(epoch int64, r *record.Record) *pending {
	r.Partition = p.id
	r.Epoch = epoch
	return p.stream.writer.submit(r)
}

// submitOnce returns the record in flight under a key and submits r if there is
// none. The caller holds p.mu.
func (p *partitionState) submitOnce(key string, r *record.Record) *pending {
	if old := p.inFlight[key]; old != nil {
		return old
	}
	sent := p.submit(r)
	p.inFlight[key] = sent
	p.beginWork()
	p.service.spawn(func() { p.awaitInFlight(key, sent) })
	return sent
}

func (p *partitionState) awaitInFlight(key string, r *pending) {
	_ = await(p.service.ctx, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[key] == r {
		delete(p.inFlight, key)
	}
	p.endWork()
}

// ownershipLost reports whether this process's claim of that epoch has ended.
func (p *partitionState) ownershipLost(epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Epoch != epoch || !p.held()
}

// apply applies the next record of the partition and returns its verdict.
func (p *partitionState) apply(e ledger.Entry) ledger.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasHeld := p.held()
	epoch := p.ledger.Epoch
	v := p.ledger.Apply(e)
	if changesOpenBudgets(e.Record) {
		p.openBudgets = nil
	}
	if v == ledger.Diverged {
		p.service.count("history_diverged")
		p.service.params.Logger.Info("Turn does not continue its history.", "partition", p.id, "offset", e.Offset)
	}
	if p.ledger.Epoch != epoch || e.Record.GetRelease() != nil {
		p.ownershipChanged(wasHeld)
	}
	if end := e.Record.GetEnd(); end != nil && v == ledger.Applied {
		p.onProgramEnded(end.ProgramId)
	}
	return v
}

// reset replaces the state by an empty one that starts at offset floor, after
// records were trimmed before they were read.
func (p *partitionState) reset(floor int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasHeld := p.held()
	p.ledger = ledger.NewPartition(p.id, floor)
	p.openBudgets = nil
	p.ownershipChanged(wasHeld)
}

// ownershipChanged reacts to a change of the claim. wasHeld says whether this
// process held the claim before. The caller holds p.mu.
func (p *partitionState) ownershipChanged(wasHeld bool) {
	p.preferredSince = time.Time{}
	p.holderUnknownSince = time.Time{}
	if wasHeld && !p.held() {
		p.onOwnershipLost()
	}
	if p.held() {
		p.onOwnershipGained()
	}
	p.signal()
	p.service.claimsChanged()
}

// onOwnershipLost cancels the calls in flight, because their records would be void.
// Non-idempotent calls that were dispatched continue. The caller holds p.mu.
func (p *partitionState) onOwnershipLost() {
	p.service.count("partitions_lost")
	p.releasing = false
	for _, v := range p.activities {
		if v.running != nil {
			v.running.cancelUnlessDispatched()
		}
	}
}

// onOwnershipGained takes over the programs. It starts the reconciliation of
// unsettled escrow and the resolution of intents in doubt. The caller holds p.mu.
func (p *partitionState) onOwnershipGained() {
	p.service.count("partitions_claimed")
	p.releasing = false
	p.reserved = make(map[string]int64)
	p.inFlight = make(map[string]*pending)
	p.claimRestatedAt = time.Now()
	p.startReconciling()
	p.ledger.Programs(func(g *ledger.Program) {
		if g.Intent != nil {
			p.startResolve(g)
		}
	})
}

func (p *partitionState) view() port.PartitionView {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := port.PartitionView{
		Partition: p.id,
		Stream:    p.stream.name,
		Owner:     p.ledger.Holder.Host,
		Epoch:     p.ledger.Epoch,
		State:     "other",
		Programs:  p.ledger.Len(),
	}
	switch {
	case p.held() && p.releasing:
		v.State = "releasing"
	case p.held():
		v.State = "owned"
	case p.claiming != nil:
		v.State = "claiming"
	case p.ledger.Epoch == 0 || p.ledger.Released:
		v.State = "unclaimed"
		v.Owner = ""
	}
	return v
}

// await waits until a record was read back and returns nil if it was applied. It
// returns *port.NotOwnerError for a void record, *VerdictError for other verdicts,
// or the context's error.
func await(ctx context.Context, r *pending) error {
	select {
	case <-r.done:
		return verdictError(r)
	case <-ctx.Done():
		return ctx.Err()
	}
}
