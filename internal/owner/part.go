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
type part struct {
	id     uint32
	s      *Service
	stream *stream

	mu sync.Mutex
	l  *ledger.Partition
	// first is the host that should own the partition, as last looked over.
	first string
	// wake is closed and made again when the ownership changes.
	wake chan struct{}
	// claiming is this host's claim on its way.
	claiming *pending
	// releasing keeps new work out while the partition is given back.
	releasing bool
	// Since when another host is preferred, and the holder not known; zero
	// times mean that it is not so.
	preferred, missing time.Time
	live               map[string]*live
	reserved           map[string]int64
	// sent holds records on their way that must not be sent twice at once.
	sent map[string]*pending
	// settling holds the trees whose escrow is being reconciled; a channel is
	// closed when that has ended.
	settling map[string]chan struct{}
	// restated is when the log last got the claim or said it again.
	restated time.Time
	// holdings is what organisations hold here, or nil if it has to be summed
	// up.
	holdings map[string]int64
	// busy counts calls under way and records on their way.
	busy int
}

// live is what is under way for one program.
type live struct {
	running *running
	// left is the seq of a call that left for a target, while the record that
	// says so is on its way.
	left int64
	// unsettled counts records that may yet show up and were given up.
	unsettled int
	// waiting counts calls ahead of their turn.
	waiting  int
	evicting bool
	// wake is closed and made again when something has ended.
	wake chan struct{}
}

func newPart(s *Service, id uint32, t *stream) *part {
	return &part{
		id:       id,
		s:        s,
		stream:   t,
		l:        ledger.NewPartition(id, 0),
		wake:     make(chan struct{}),
		live:     make(map[string]*live),
		reserved: make(map[string]int64),
		sent:     make(map[string]*pending),
	}
}

// held says whether this process holds the claim. The caller has the lock.
func (p *part) held() bool {
	return p.l.Epoch > 0 && !p.l.Released && p.s.isSelf(p.l.Holder)
}

func (p *part) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// of returns what is under way for a program. The caller has the lock.
func (p *part) of(id string) *live {
	v := p.live[id]
	if v == nil {
		v = &live{wake: make(chan struct{})}
		p.live[id] = v
	}
	return v
}

// signalProgram wakes the calls that wait for a program and drops what is
// idle. The caller has the lock.
func (p *part) signalProgram(id string) {
	v := p.live[id]
	if v == nil {
		return
	}
	close(v.wake)
	v.wake = make(chan struct{})
	if v.running == nil && v.unsettled == 0 && v.waiting == 0 && !v.evicting {
		delete(p.live, id)
	}
}

// submit sends a record under the present claim. The caller has the lock.
func (p *part) submit(r *record.Record) *pending {
	r.Partition = p.id
	r.Epoch = p.l.Epoch
	return p.stream.writer.submit(r)
}

// submitAt sends a record under an earlier claim; it is void by then if the
// partition was lost meanwhile.
func (p *part) submitAt(epoch int64, r *record.Record) *pending {
	r.Partition = p.id
	r.Epoch = epoch
	return p.stream.writer.submit(r)
}

// sendOnce sends a record unless the one under the same key is on its way,
// and returns the one on its way. The caller has the lock.
func (p *part) sendOnce(key string, r *record.Record) *pending {
	if old := p.sent[key]; old != nil {
		return old
	}
	sent := p.submit(r)
	p.sent[key] = sent
	p.begin()
	p.s.spawn(func() { p.awaitSent(key, sent) })
	return sent
}

func (p *part) awaitSent(key string, r *pending) {
	_ = await(p.s.ctx, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent[key] == r {
		delete(p.sent, key)
	}
	p.finishLocked()
}

// lostSince says whether the claim of that epoch has ended.
func (p *part) lostSince(epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.l.Epoch != epoch || !p.held()
}

// apply takes the next record of the partition.
func (p *part) apply(e ledger.Entry) ledger.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	had := p.held()
	epoch := p.l.Epoch
	v := p.l.Apply(e)
	if changesHoldings(e.Record) {
		p.holdings = nil
	}
	if v == ledger.Diverged {
		p.s.count("history_diverged")
		p.s.p.Logger.Info("Turn does not continue its history.", "partition", p.id, "offset", e.Offset)
	}
	if p.l.Epoch != epoch || e.Record.GetRelease() != nil {
		p.ownership(had)
	}
	if end := e.Record.GetEnd(); end != nil && v == ledger.Applied {
		p.ended(end.ProgramId)
	}
	return v
}

// restart begins anew after records were trimmed unread.
func (p *part) restart(floor int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	had := p.held()
	p.l = ledger.NewPartition(p.id, floor)
	p.holdings = nil
	p.ownership(had)
}

// ownership follows a change of the claim. The caller has the lock.
func (p *part) ownership(had bool) {
	p.preferred = time.Time{}
	p.missing = time.Time{}
	if had && !p.held() {
		p.lose()
	}
	if p.held() {
		p.gain()
	}
	p.signal()
	p.s.claimsChanged()
}

// lose stops what is under way: its records would be void.
func (p *part) lose() {
	p.s.count("partitions_lost")
	p.releasing = false
	for _, v := range p.live {
		if v.running != nil {
			v.running.cancelUnlessLeft()
		}
	}
}

// gain takes over the programs: intents in doubt are settled first.
func (p *part) gain() {
	p.s.count("partitions_claimed")
	p.releasing = false
	p.reserved = make(map[string]int64)
	p.sent = make(map[string]*pending)
	p.restated = time.Now()
	p.startSettling()
	p.l.Programs(func(g *ledger.Program) {
		if g.Intent != nil {
			p.startResolve(g)
		}
	})
}

func (p *part) view() port.PartitionView {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := port.PartitionView{
		Partition: p.id,
		Stream:    p.stream.name,
		Owner:     p.l.Holder.Host,
		Epoch:     p.l.Epoch,
		State:     "other",
		Programs:  p.l.Len(),
	}
	switch {
	case p.held() && p.releasing:
		v.State = "releasing"
	case p.held():
		v.State = "owned"
	case p.claiming != nil:
		v.State = "claiming"
	case p.l.Epoch == 0 || p.l.Released:
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
