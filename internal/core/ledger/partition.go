package ledger

import (
	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
)

// Partition is the state of one partition.
type Partition struct {
	ID uint32
	// Epoch is the offset of the latest valid claim plus one, or 0 without one.
	Epoch int64
	// Holder is the process that wrote the latest valid claim.
	Holder Writer
	// Released is set once the holder has released the partition.
	Released bool
	// Targets maps engines to their incarnations, as recorded by the latest valid
	// claim or by a later hold record.
	Targets map[string]uint64

	trees map[string]*Tree
	// lastOffset is the offset of the last record that was applied.
	lastOffset int64
	// firstOffset is the first offset that was read. provenEpoch is the latest
	// epoch of a claim before it that a later record has proven to be valid.
	firstOffset, provenEpoch int64
}

// NewPartition returns an empty partition whose stream is read from firstOffset
// on.
func NewPartition(id uint32, firstOffset int64) *Partition {
	return &Partition{ID: id, firstOffset: firstOffset, trees: make(map[string]*Tree)}
}

// Apply applies the next record of the partition and returns its verdict.
func (p *Partition) Apply(e Entry) Verdict {
	v := p.apply(e)
	p.lastOffset = e.Offset
	return v
}

func (p *Partition) apply(e Entry) Verdict {
	if _, ok := e.Record.Body.(*record.Record_Quarantine); ok {
		return Applied
	}
	p.adoptEarlierClaim(e)
	if e.Record.Epoch != p.Epoch {
		return Void
	}
	if c := e.Record.GetClaim(); c != nil {
		p.claim(e, c)
		return Applied
	}
	if p.Released || e.Writer() != p.Holder {
		return Void
	}
	return p.applyHeld(e)
}

// adoptEarlierClaim corrects the epoch of a reader that starts after a trim. A
// record under a claim from before firstOffset proves that claim valid. If it is
// later than the claim proven so far, everything applied so far was void and is
// discarded.
func (p *Partition) adoptEarlierClaim(e Entry) {
	epoch := e.Record.Epoch
	if epoch > p.firstOffset || epoch <= p.provenEpoch {
		return
	}
	p.provenEpoch = epoch
	p.Epoch = epoch
	p.Released = false
	p.Targets = nil
	p.Holder = e.Writer()
	p.trees = make(map[string]*Tree)
}

func (p *Partition) claim(e Entry, c *record.Claim) {
	for _, t := range p.trees {
		t.markUnsettled(p.Targets)
		t.markOwnerLost(!p.Released)
		t.setLastOffset(e.Offset)
	}
	p.Epoch = e.Offset + 1
	p.Holder = e.Writer()
	p.Released = false
	p.Targets = c.Targets
}

func (p *Partition) applyHeld(e Entry) Verdict {
	switch b := e.Record.Body.(type) {
	case *record.Record_Release:
		p.release(e)
		return Applied
	case *record.Record_Hold:
		p.Targets = b.Hold.Targets
		return Applied
	case *record.Record_Open:
		return p.open(e, b.Open)
	case *record.Record_Checkpoint:
		return p.restore(e, b.Checkpoint)
	case *record.Record_TreeCheckpoint:
		return p.restoreTree(e, b.TreeCheckpoint)
	case *record.Record_Slice:
		return p.slice(e, b.Slice)
	case *record.Record_Reconcile:
		return p.reconcile(e, b.Reconcile)
	case *record.Record_Turn:
		return p.turn(e, b.Turn)
	}
	return p.applyProgram(e)
}

func (p *Partition) release(e Entry) {
	p.Released = true
	for _, t := range p.trees {
		t.returnUnspent()
		t.setLastOffset(e.Offset)
	}
}

func (p *Partition) applyProgram(e Entry) Verdict {
	switch b := e.Record.Body.(type) {
	case *record.Record_Intent:
		return p.withProgram(e, b.Intent.ProgramId, func(g *Program) bool { return g.intend(e, b.Intent) })
	case *record.Record_Undispatched:
		return p.withProgram(e, b.Undispatched.ProgramId, func(g *Program) bool { return g.undispatch(b.Undispatched) })
	case *record.Record_End:
		return p.withProgram(e, b.End.ProgramId, func(g *Program) bool { return g.end(e, b.End) })
	case *record.Record_EvictAcked:
		return p.withProgram(e, b.EvictAcked.ProgramId, func(g *Program) bool { return g.acknowledgeEviction(b.EvictAcked) })
	case *record.Record_Forget:
		return p.forget(e, b.Forget)
	}
	return Garbage
}

func (p *Partition) withProgram(e Entry, id string, change func(*Program) bool) Verdict {
	g := p.Program(id)
	if g == nil || !change(g) {
		return Refused
	}
	g.Version++
	g.lastOffset = e.Offset
	return Applied
}

// Program returns the program with an ID, or nil.
func (p *Partition) Program(id string) *Program {
	t := p.trees[partition.RootKey(id)]
	if t == nil {
		return nil
	}
	return t.programs[id]
}

// Tree returns the tree of programs under a root key, or nil.
func (p *Partition) Tree(rootKey string) *Tree { return p.trees[rootKey] }

// Trees calls visit for each tree, in no particular order.
func (p *Partition) Trees(visit func(*Tree)) {
	for _, t := range p.trees {
		visit(t)
	}
}

// Programs calls visit for each program, in no particular order.
func (p *Partition) Programs(visit func(*Program)) {
	for _, t := range p.trees {
		for _, g := range t.programs {
			visit(g)
		}
	}
}

// Len returns the number of programs.
func (p *Partition) Len() int {
	n := 0
	for _, t := range p.trees {
		n += len(t.programs)
	}
	return n
}

func (p *Partition) tree(rootKey string) *Tree {
	t := p.trees[rootKey]
	if t == nil {
		t = newTree(p, rootKey)
		p.trees[rootKey] = t
	}
	return t
}

func (p *Partition) open(e Entry, o *record.Open) Verdict {
	key := partition.RootKey(o.ProgramId)
	t := p.trees[key]
	if t != nil && t.ProgramForRequest(o.Firm, o.RequestId) != "" {
		return Refused
	}
	if o.Parent == "" {
		return p.openRoot(e, key, o)
	}
	if t == nil || t.programs[o.Parent] == nil {
		return Refused
	}
	t.add(newProgram(o, e.AppendedAt))
	t.setLastOffset(e.Offset)
	return Applied
}

func (p *Partition) openRoot(e Entry, key string, o *record.Open) Verdict {
	t := p.trees[key]
	if t != nil && len(t.programs) > 0 {
		return Refused
	}
	t = newTree(p, key)
	t.Budget = o.BudgetTokens
	t.Granted = min(o.Slice, o.BudgetTokens)
	t.Organisation = o.Firm
	t.CheckpointedAt = e.AppendedAt
	t.add(newProgram(o, e.AppendedAt))
	t.setLastOffset(e.Offset)
	p.trees[key] = t
	return Applied
}

func (p *Partition) forget(e Entry, f *record.Forget) Verdict {
	g := p.Program(f.ProgramId)
	if g == nil || g.State == Open {
		return Refused
	}
	t := p.trees[partition.RootKey(g.ID)]
	t.remove(g)
	t.lastOffset = e.Offset
	if len(t.programs) == 0 {
		delete(p.trees, t.RootKey)
	}
	return Applied
}
