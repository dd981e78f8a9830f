package ledger

import (
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
)

// Tree is a root program with all its child programs, which spend one budget.
// Spent + Unsettled <= Granted <= Budget, unless a target used more than was
// reserved. All amounts are tokens.
type Tree struct {
	RootKey      string
	Organisation string
	Budget       int64
	// Spent is settled.
	Spent int64
	// Granted is the escrow: what the owner may have let out in all.
	Granted int64
	// Unsettled is the part of earlier owners' escrow whose use is unknown.
	Unsettled int64
	// Targets are the engines' incarnations from before the unsettled part
	// was let out.
	Targets map[string]uint64
	// Version counts the changes; SavedAt is when the log last got it whole.
	Version        int64
	CheckpointedAt time.Time

	// touched is the offset of the last record that changed the tree or its
	// set of programs.
	touched   int64
	partition *Partition
	programs  map[string]*Program
	requests  map[string]string
}

func newTree(p *Partition, rootKey string) *Tree {
	return &Tree{
		RootKey:   rootKey,
		partition: p,
		programs:  make(map[string]*Program),
		requests:  make(map[string]string),
	}
}

func requestKey(organisation, requestID string) string { return organisation + "\x00" + requestID }

// Find returns the program that an organisation's request created, or "".
func (t *Tree) ProgramForRequest(organisation, requestID string) string {
	return t.requests[requestKey(organisation, requestID)]
}

// Free returns the escrow that is neither spent nor in doubt.
func (t *Tree) Free() int64 { return t.Granted - t.Spent - t.Unsettled }

// touch notes that a record changed the tree, and all its programs with it.
func (t *Tree) touch(offset int64) {
	t.touched = offset
	for _, g := range t.programs {
		g.touched = offset
	}
}

func (t *Tree) add(g *Program) {
	g.tree = t
	t.programs[g.ID] = g
	t.requests[requestKey(g.Open.Firm, g.Open.RequestId)] = g.ID
}

func (t *Tree) remove(g *Program) {
	delete(t.programs, g.ID)
	delete(t.requests, requestKey(g.Open.Firm, g.Open.RequestId))
}

// unsettle counts the free escrow of the last owner as spent until somebody
// finds out. An older baseline proves more than a newer one.
func (t *Tree) unsettle(targets map[string]uint64) {
	free := t.Free()
	if free <= 0 {
		return
	}
	if t.Unsettled == 0 {
		t.Targets = targets
	}
	t.Unsettled += free
	t.Version++
}

func (t *Tree) stray(lost bool) {
	if !lost {
		return
	}
	for _, g := range t.programs {
		if g.State == Open {
			g.UnknownHolders = true
			g.DispatchedSeq = g.NextSeq()
			g.Version++
		}
	}
}

func (t *Tree) returnSlice() {
	t.Granted = t.Spent + t.Unsettled
	t.Version++
}

func (t *Tree) charge(amount, granted int64) {
	t.Spent += amount
	t.Granted = max(t.Granted, min(granted, t.Budget), t.Spent+t.Unsettled)
	t.Version++
}

func (p *Partition) slice(e Entry, s *record.Slice) Verdict {
	t := p.trees[partition.RootKey(s.ProgramId)]
	if t == nil || s.Charge < 0 {
		return Refused
	}
	t.charge(s.Charge, s.Granted)
	t.touched = e.Offset
	if g := t.programs[s.ProgramId]; g != nil {
		g.Spent += s.Charge
		g.DispatchedSeq = max(g.DispatchedSeq, s.LeftSeq)
		g.hold(s.Holders)
		g.touched = e.Offset
		g.Version++
	}
	return Applied
}

func (p *Partition) reconcile(e Entry, r *record.Reconcile) Verdict {
	t := p.trees[partition.RootKey(r.ProgramId)]
	if t == nil || r.Unsettled != t.Unsettled || r.Charge < 0 {
		return Refused
	}
	t.Granted -= t.Unsettled
	t.Unsettled = 0
	t.Targets = nil
	t.Spent += r.Charge
	t.Granted = max(t.Granted+r.Charge, t.Spent)
	t.Version++
	t.touched = e.Offset
	if g := t.programs[r.ProgramId]; g != nil {
		g.hold(r.Holders)
		g.touched = e.Offset
		g.Version++
	}
	return Applied
}

// turn charges the tree even where the program is not known yet, since its
// checkpoint may come later than the tree's.
func (p *Partition) turn(e Entry, r *record.Turn) Verdict {
	t := p.trees[partition.RootKey(r.ProgramId)]
	if t == nil || r.Charge < 0 {
		return Refused
	}
	g := t.programs[r.ProgramId]
	v := Refused
	if g != nil {
		v = g.turn(r)
	}
	if v == Applied {
		g.touched = e.Offset
	}
	if v == Applied || g == nil {
		t.touched = e.Offset
		t.charge(r.Charge, r.Granted)
	}
	return v
}

// Programs calls visit for each program of the tree, in no order.
func (t *Tree) Programs(visit func(*Program)) {
	for _, g := range t.programs {
		visit(g)
	}
}

// Holdings returns, for each organisation, the budgets of all trees with an
// open program.
func (p *Partition) OpenBudgets() map[string]int64 {
	held := make(map[string]int64)
	for _, t := range p.trees {
		if t.isOpen() {
			held[t.Organisation] += t.Budget
		}
	}
	return held
}

func (t *Tree) isOpen() bool {
	for _, g := range t.programs {
		if g.State == Open {
			return true
		}
	}
	return false
}
