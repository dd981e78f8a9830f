package ledger

import (
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
)

// Tree is a root program and its descendants, which share one budget. All
// amounts are tokens. Spent + Unsettled <= Granted <= Budget holds unless a
// target used more than was reserved.
type Tree struct {
	RootKey      string
	Organisation string
	Budget       int64
	// Spent is the settled spending.
	Spent int64
	// Granted is the escrow: the total that owners may have reserved so far.
	Granted int64
	// Unsettled is the part of earlier owners' escrow that may have been spent.
	Unsettled int64
	// Targets is the baseline for settling: the engines' incarnations from
	// before the unsettled part was reserved.
	Targets map[string]uint64
	// Version counts the changes of the tree. CheckpointedAt is the append time
	// of the latest record that held the tree's complete budget when it was
	// applied: a checkpoint or the root's open record.
	Version        int64
	CheckpointedAt time.Time

	// lastOffset is the offset of the last record that changed the tree or its
	// set of programs.
	lastOffset int64
	partition  *Partition
	programs   map[string]*Program
	// requests maps organisation and request ID to the ID of the program that
	// the request created.
	requests map[string]string
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

// ProgramForRequest returns the ID of the program that a request of an
// organisation created, or "" if there is none.
func (t *Tree) ProgramForRequest(organisation, requestID string) string {
	return t.requests[requestKey(organisation, requestID)]
}

// Free returns the escrow that is neither spent nor unsettled.
func (t *Tree) Free() int64 { return t.Granted - t.Spent - t.Unsettled }

// setLastOffset notes that the record at offset changed the tree and all its
// programs.
func (t *Tree) setLastOffset(offset int64) {
	t.lastOffset = offset
	for _, g := range t.programs {
		g.lastOffset = offset
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

// markUnsettled treats the free escrow of the last owner as possibly spent until
// a reconcile record settles it. If an earlier part is still unsettled, its older
// baseline is kept, because it also covers the escrow reserved since then.
func (t *Tree) markUnsettled(targets map[string]uint64) {
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

// markOwnerLost notes for each open program that the last owner was lost: it may
// have used unrecorded targets and dispatched the next call. It does nothing if
// lost is false, that is, if the owner released the partition.
func (t *Tree) markOwnerLost(lost bool) {
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

func (t *Tree) returnUnspent() {
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
	t.lastOffset = e.Offset
	if g := t.programs[s.ProgramId]; g != nil {
		g.Spent += s.Charge
		g.DispatchedSeq = max(g.DispatchedSeq, s.LeftSeq)
		g.addHolders(s.Holders)
		g.lastOffset = e.Offset
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
	t.lastOffset = e.Offset
	if g := t.programs[r.ProgramId]; g != nil {
		g.addHolders(r.Holders)
		g.lastOffset = e.Offset
		g.Version++
	}
	return Applied
}

// turn applies a turn to its program and charges the tree. If the program is not
// known yet, the tree is charged nevertheless, because the program's checkpoint
// may follow the tree's in the stream; the verdict is Refused then.
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
		g.lastOffset = e.Offset
	}
	if v == Applied || g == nil {
		t.lastOffset = e.Offset
		t.charge(r.Charge, r.Granted)
	}
	return v
}

// Programs calls visit for each program of the tree, in no particular order.
func (t *Tree) Programs(visit func(*Program)) {
	for _, g := range t.programs {
		visit(g)
	}
}

// OpenBudgets returns, for each organisation, the total budget in tokens of its
// trees that have an open program.
func (p *Partition) OpenBudgets() map[string]int64 {
	budgets := make(map[string]int64)
	for _, t := range p.trees {
		if t.isOpen() {
			budgets[t.Organisation] += t.Budget
		}
	}
	return budgets
}

func (t *Tree) isOpen() bool {
	for _, g := range t.programs {
		if g.State == Open {
			return true
		}
	}
	return false
}
