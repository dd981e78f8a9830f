package ledger

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
)

// Checkpoint returns a record body that holds the whole program.
func (g *Program) Checkpoint() *record.Checkpoint {
	c := &record.Checkpoint{
		Open:        g.Open,
		OpenedMs:    g.OpenedAt.UnixMilli(),
		Turns:       g.Turns[:len(g.Turns):len(g.Turns)],
		State:       string(g.State),
		Reason:      g.Reason,
		Intent:      g.Intent,
		IntentEpoch: g.IntentEpoch,
		Holders:     slices.Clone(g.Holders),
		Strays:      g.UnknownHolders,
		LeftSeq:     g.DispatchedSeq,
		AsOf:        g.tree.partition.offset,
		Digest:      g.Digest,
		Spent:       g.Spent,
		Version:     g.Version,
	}
	if !g.EndedAt.IsZero() {
		c.EndedMs = g.EndedAt.UnixMilli()
	}
	return c
}

// Checkpoint returns a record body that holds the tree's budget.
func (t *Tree) Checkpoint() *record.TreeCheckpoint {
	return &record.TreeCheckpoint{
		RootKey:      t.RootKey,
		Firm:         t.Organisation,
		BudgetTokens: t.Budget,
		Spent:        t.Spent,
		Granted:      t.Granted,
		Unsettled:    t.Unsettled,
		Targets:      t.Targets,
		Version:      t.Version,
		AsOf:         t.partition.offset,
		ProgramIds:   slices.Sorted(maps.Keys(t.programs)),
	}
}

// restore takes a checkpoint. A reader that has the program already only
// notes that the log has it whole, if nothing has changed since it was made.
// A reader that came later takes the newest version. It may also have counted
// records that the others refused, as it lacked the state that refused them,
// so that it takes a checkpoint that no record has overtaken in any case.
func (p *Partition) restore(e Entry, c *record.Checkpoint) Verdict {
	if c.Open == nil || c.Version < 0 {
		return Refused
	}
	t := p.tree(partition.RootKey(c.Open.ProgramId))
	g := t.programs[c.Open.ProgramId]
	if g == nil || g.Version < c.Version || p.isLate(g.touched, c.AsOf) {
		t.add(programOf(c, e.AppendedAt))
		return Applied
	}
	if g.Version == c.Version && bytes.Equal(g.Digest, c.Digest) {
		g.CheckpointedAt = e.AppendedAt
	}
	return Applied
}

// isLate says whether a reader did not read the stream from its begin, and
// has met no record since a checkpoint was built.
func (p *Partition) isLate(touched, asOf int64) bool { return p.floor > 0 && touched <= asOf }

func programOf(c *record.Checkpoint, at time.Time) *Program {
	g := newProgram(c.Open, at)
	g.OpenedAt = time.UnixMilli(c.OpenedMs)
	if c.EndedMs != 0 {
		g.EndedAt = time.UnixMilli(c.EndedMs)
	}
	g.State = ProgramState(c.State)
	g.Reason = c.Reason
	g.Turns = c.Turns
	g.Digest = c.Digest
	g.Spent = c.Spent
	g.Intent = c.Intent
	g.IntentEpoch = c.IntentEpoch
	g.Holders = c.Holders
	g.UnknownHolders = c.Strays
	g.DispatchedSeq = c.LeftSeq
	g.Version = c.Version
	g.touched = c.AsOf
	return g
}

func (p *Partition) restoreTree(e Entry, c *record.TreeCheckpoint) Verdict {
	t := p.tree(c.RootKey)
	late := p.isLate(t.touched, c.AsOf)
	if !late && t.Version == c.Version && t.Budget == c.BudgetTokens {
		t.CheckpointedAt = e.AppendedAt
		return Applied
	}
	if !late && t.Version >= c.Version && t.Budget != 0 {
		return Applied
	}
	if late {
		t.prune(c)
	}
	t.Organisation = c.Firm
	t.Budget = c.BudgetTokens
	t.Spent = c.Spent
	t.Granted = c.Granted
	t.Unsettled = c.Unsettled
	t.Targets = c.Targets
	t.Version = c.Version
	t.CheckpointedAt = e.AppendedAt
	return Applied
}

// prune drops the programs that the tree did not have when the checkpoint was
// built.
func (t *Tree) prune(c *record.TreeCheckpoint) {
	for id, g := range t.programs {
		if _, ok := slices.BinarySearch(c.ProgramIds, id); !ok && g.touched <= c.AsOf {
			t.remove(g)
		}
	}
}
