package ledger

import (
	"bytes"
	"slices"
	"time"

	"yuccausher/internal/gen/record"
)

// ProgramState is the state of a program.
type ProgramState string

// The states of a program.
const (
	Open    ProgramState = "open"
	Ended   ProgramState = "ended"
	Stopped ProgramState = "stopped"
)

// Program is one program with its history.
type Program struct {
	ID   string
	Open *record.Open
	// OpenedAt and EndedAt are the platform's times.
	OpenedAt time.Time
	EndedAt  time.Time
	State    ProgramState
	// Reason says why the program was stopped.
	Reason string
	// Turns holds the outcome of seq n at index n-1.
	Turns  []*record.Turn
	Digest []byte
	// Spent is the program's own part of its tree's spending, in tokens.
	Spent int64
	// Intent stands while a non-idempotent call has no outcome.
	Intent *record.Intent
	// IntentEpoch is the claim under which the intent was written.
	IntentEpoch int64
	// Holders are the targets that may hold KV cache for the program. Strays
	// says that an owner was lost that may have used further ones.
	Holders        []string
	UnknownHolders bool
	// LeftSeq is the seq of the last call that left for a target, or may have,
	// without an outcome. Calls under an intent are not among them.
	DispatchedSeq int64
	// touched is the offset of the last record that changed the program.
	touched int64
	tree    *Tree
	// Version counts the changes; SavedAt is when the log last got it whole.
	Version        int64
	CheckpointedAt time.Time
}

func newProgram(o *record.Open, at time.Time) *Program {
	return &Program{ID: o.ProgramId, Open: o, OpenedAt: at, CheckpointedAt: at, State: Open}
}

// Next returns the seq of the call that has no outcome yet.
func (g *Program) NextSeq() int64 { return int64(len(g.Turns)) + 1 }

// Turn returns the outcome of seq, or nil.
func (g *Program) Turn(seq int64) *record.Turn {
	if seq < 1 || seq >= g.NextSeq() {
		return nil
	}
	return g.Turns[seq-1]
}

// MayHaveLeft says whether a call of that seq may have been at a target though
// it has no outcome.
func (g *Program) MayHaveBeenDispatched(seq int64) bool {
	return seq == g.NextSeq() && seq == g.DispatchedSeq
}

// Repeats returns how many of the latest calls had the same content.
func (g *Program) Repeats(fingerprint []byte) int64 {
	var n int64
	for _, t := range slices.Backward(g.Turns) {
		if !bytes.Equal(t.Fingerprint, fingerprint) {
			break
		}
		n++
	}
	return n
}

func (g *Program) intend(e Entry, i *record.Intent) bool {
	if g.State != Open || g.Intent != nil || i.Seq != g.NextSeq() {
		return false
	}
	g.Intent = i
	g.IntentEpoch = e.Record.Epoch
	return true
}

func (g *Program) undispatch(u *record.Undispatched) bool {
	if g.Intent == nil || g.Intent.Seq != u.Seq {
		return false
	}
	g.Intent = nil
	return true
}

// turn takes an outcome in any state, since a call may end after its program.
func (g *Program) turn(t *record.Turn) Verdict {
	if t.Seq != g.NextSeq() {
		return Refused
	}
	if g.Intent != nil && g.Intent.RequestId != t.RequestId {
		return Refused
	}
	if !bytes.Equal(t.Digest, TurnDigest(g, t.Input, t.Output)) {
		return Diverged
	}
	g.Turns = append(g.Turns, t)
	g.Digest = t.Digest
	g.Spent += t.Charge
	g.Intent = nil
	g.hold(t.Holders)
	g.Version++
	return Applied
}

func (g *Program) hold(targets []string) {
	for _, t := range targets {
		if !slices.Contains(g.Holders, t) {
			g.Holders = append(g.Holders, t)
		}
	}
}

func (g *Program) end(e Entry, r *record.End) bool {
	if g.State != Open {
		return false
	}
	g.State = Ended
	if r.Reason != "" {
		g.State = Stopped
	}
	g.Reason = r.Reason
	g.EndedAt = e.AppendedAt
	return true
}

// evicted takes an acknowledgement. One without a target says that no target
// holds anything that an earlier owner left.
func (g *Program) evicted(r *record.EvictAcked) bool {
	if r.Target == "" {
		g.UnknownHolders = false
		return true
	}
	g.Holders = slices.DeleteFunc(g.Holders, func(t string) bool { return t == r.Target })
	return true
}
