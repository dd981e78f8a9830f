package ledger

import (
	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
)

// Partition is the state of one partition.
type Partition struct {
	ID uint32
	// Epoch is the offset of the latest valid claim plus one; zero: none.
	Epoch int64
	// Holder wrote that claim.
	Holder Writer
	// Released says that the holder gave the partition back.
	Released bool
	// Targets holds the engines' incarnations at the claim or later.
	Targets map[string]uint64

	trees map[string]*Tree
	// offset is that of the last record of the partition.
	offset int64
	// floor is the first offset that was read. base is the latest epoch from
	// before it that some record has shown.
	floor, base int64
}

// NewPartition returns a partition whose stream is read from offset floor on.
func NewPartition(id uint32, floor int64) *Partition {
	return &Partition{ID: id, floor: floor, trees: make(map[string]*Tree)}
}

// Apply takes the next record of the partition.
func (p *Partition) Apply(e Entry) Verdict {
	v := p.apply(e)
	p.offset = e.Offset
	return v
}

func (p *Partition) apply(e Entry) Verdict {
	if _, ok := e.Record.Body.(*record.Record_Quarantine); ok {
		return Applied
	}
	p.rebase(e)
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

// rebase corrects the epoch of a reader that did not see the first records.
// A record under a claim from before the floor proves that claim. If it is
// later than the one taken so far, all that was taken so far was void.
func (p *Partition) rebase(e Entry) {
	epoch := e.Record.Epoch
	if epoch > p.floor || epoch <= p.base {
		return
	}
	p.base = epoch
	p.Epoch = epoch
	p.Released = false
	p.Targets = nil
	p.Holder = e.Writer()
	p.trees = make(map[string]*Tree)
}

func (p *Partition) claim(e Entry, c *record.Claim) {
	for _, t := range p.trees {
		t.unsettle(p.Targets)
		t.stray(!p.Released)
		t.touch(e.Offset)
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
		t.returnSlice()
		t.touch(e.Offset)
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
		return p.withProgram(e, b.EvictAcked.ProgramId, func(g *Program) bool { return g.evicted(b.EvictAcked) })
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
	g.touched = e.Offset
	return Applied
}

// Program returns a program, or nil.
func (p *Partition) Program(id string) *Program {
	t := p.trees[partition.RootKey(id)]
	if t == nil {
		return nil
	}
	return t.programs[id]
}

// Tree returns the tree of programs under a root key, or nil.
func (p *Partition) Tree(rootKey string) *Tree { return p.trees[rootKey] }

// Trees calls visit for each tree, in no order.
func (p *Partition) Trees(visit func(*Tree)) {
	for _, t := range p.trees {
		visit(t)
	}
}

// Programs calls visit for each program, in no order.
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
	t.touch(e.Offset)
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
	t.touch(e.Offset)
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
	t.touched = e.Offset
	if len(t.programs) == 0 {
		delete(p.trees, t.RootKey)
	}
	return Applied
}
