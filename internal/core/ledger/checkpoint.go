package ledger

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
)

// Checkpoint returns a record body with the complete state of the program.
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
		AsOf:        g.tree.partition.lastOffset,
		Digest:      g.Digest,
		Spent:       g.Spent,
		Version:     g.Version,
	}
	if !g.EndedAt.IsZero() {
		c.EndedMs = g.EndedAt.UnixMilli()
	}
	return c
}

// Checkpoint returns a record body with the tree's budget and program IDs.
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
		AsOf:         t.partition.lastOffset,
		ProgramIds:   slices.Sorted(maps.Keys(t.programs)),
	}
}

// restore applies a checkpoint of a program. A reader that already has this
// version of the program only updates CheckpointedAt. A reader that lacks the
// program or has an older version adopts the checkpoint.
//
// A reader that started after a trim may also have applied records that other
// readers refused, because it lacked the state that they contradict. Such a reader
// therefore adopts every checkpoint unless a later record has changed the program.
func (p *Partition) restore(e Entry, c *record.Checkpoint) Verdict {
	if c.Open == nil || c.Version < 0 {
		return Refused
	}
	t := p.tree(partition.RootKey(c.Open.ProgramId))
	g := t.programs[c.Open.ProgramId]
	if g == nil || g.Version < c.Version || p.isBehind(g.lastOffset, c.AsOf) {
		t.add(programFromCheckpoint(c, e.AppendedAt))
		return Applied
	}
	if g.Version == c.Version && bytes.Equal(g.Digest, c.Digest) {
		g.CheckpointedAt = e.AppendedAt
	}
	return Applied
}

// isBehind reports whether this reader did not read the stream from its start and
// has applied no change after a checkpoint was built. lastOffset is the offset of
// the last record that changed the state in question, asOf the offset up to which
// the checkpoint was built.
func (p *Partition) isBehind(lastOffset, asOf int64) bool {
	return p.firstOffset > 0 && lastOffset <= asOf
}

func programFromCheckpoint(c *record.Checkpoint, at time.Time) *Program {
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
	g.lastOffset = c.AsOf
	return g
}

// restoreTree applies a checkpoint of a tree by the same rules as restore.
func (p *Partition) restoreTree(e Entry, c *record.TreeCheckpoint) Verdict {
	t := p.tree(c.RootKey)
	behind := p.isBehind(t.lastOffset, c.AsOf)
	if !behind && t.Version == c.Version && t.Budget == c.BudgetTokens {
		t.CheckpointedAt = e.AppendedAt
		return Applied
	}
	if !behind && t.Version >= c.Version && t.Budget != 0 {
		return Applied
	}
	if behind {
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

// prune removes the programs that did not exist when the checkpoint was built.
func (t *Tree) prune(c *record.TreeCheckpoint) {
	for id, g := range t.programs {
		if _, ok := slices.BinarySearch(c.ProgramIds, id); !ok && g.lastOffset <= c.AsOf {
			t.remove(g)
		}
	}
}
