package owner

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// part is one partition at this host: its replayed state, and what is under
// way if the host owns it. mu guards all fields below it and is never held
// across I/O.
type partitionState struct {
	id      uint32
	service *Service
	stream  *stream

	mu     sync.Mutex
	ledger *ledger.Partition
	// first is the host that should own the partition, as last looked over.
	preferredHost string
	// wake is closed and made again when the ownership changes.
	wake chan struct{}
	// claiming is this host's claim on its way.
	claiming *pending
	// releasing keeps new work out while the partition is given back.
	releasing bool
	// Since when another host is preferred, and the holder not known; zero
	// times mean that it is not so.
	preferredSince, holderUnknownSince time.Time
	activities                         map[string]*programActivity
	reserved                           map[string]int64
	// sent holds records on their way that must not be sent twice at once.
	inFlight map[string]*pending
	// settling holds the trees whose escrow is being reconciled; a channel is
	// closed when that has ended.
	reconciling map[string]chan struct{}
	// restated is when the log last got the claim or said it again.
	claimRestatedAt time.Time
	// holdings is what organisations hold here, or nil if it has to be summed
	// up.
	openBudgets map[string]int64
	// busy counts calls under way and records on their way.
	busy int
}

// live is what is under way for one program.
type programActivity struct {
	running *running
	// left is the seq of a call that left for a target, while the record that
	// says so is on its way.
	dispatchedSeq int64
	// unsettled counts records that may yet show up and were given up.
	unresolvedRecords int
	// waiting counts calls ahead of their turn.
	earlyCalls int
	evicting   bool
	// wake is closed and made again when something has ended.
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

// held says whether this process holds the claim. The caller has the lock.
func (p *partitionState) held() bool {
	return p.ledger.Epoch > 0 && !p.ledger.Released && p.service.isSelf(p.ledger.Holder)
}

func (p *partitionState) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// of returns what is under way for a program. The caller has the lock.
func (p *partitionState) activityOf(id string) *programActivity {
	v := p.activities[id]
	if v == nil {
		v = &programActivity{wake: make(chan struct{})}
		p.activities[id] = v
	}
	return v
}

// signalProgram wakes the calls that wait for a program and drops what is
// idle. The caller has the lock.
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

// submit sends a record under the present claim. The caller has the lock.
func (p *partitionState) submit(r *record.Record) *pending {
	r.Partition = p.id
	r.Epoch = p.ledger.Epoch
	return p.stream.writer.submit(r)
}

// submitAt sends a record under an earlier claim; it is void by then if the
// partition was lost meanwhile.
func (p *partitionState) submitAt(epoch int64, r *record.Record) *pending {
	r.Partition = p.id
	r.Epoch = epoch
	return p.stream.writer.submit(r)
}

// sendOnce sends a record unless the one under the same key is on its way,
// and returns the one on its way. The caller has the lock.
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

// lostSince says whether the claim of that epoch has ended.
func (p *partitionState) ownershipLost(epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Epoch != epoch || !p.held()
}

// apply takes the next record of the partition.
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

// restart begins anew after records were trimmed unread.
func (p *partitionState) reset(floor int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasHeld := p.held()
	p.ledger = ledger.NewPartition(p.id, floor)
	p.openBudgets = nil
	p.ownershipChanged(wasHeld)
}

// ownership follows a change of the claim. The caller has the lock.
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

// lose stops what is under way: its records would be void.
func (p *partitionState) onOwnershipLost() {
	p.service.count("partitions_lost")
	p.releasing = false
	for _, v := range p.activities {
		if v.running != nil {
			v.running.cancelUnlessDispatched()
		}
	}
}

// gain takes over the programs: intents in doubt are settled first.
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

// await waits until a record was seen and counts.
func await(ctx context.Context, r *pending) error {
	select {
	case <-r.done:
		return verdictError(r)
	case <-ctx.Done():
		return ctx.Err()
	}
}
