package ledger

import (
	"bytes"
	"slices"
	"time"

	"yuccausher/internal/gen/record"
)

// ProgramState is the state of a program.
type ProgramState string

// Program states.
const (
	Open    ProgramState = "open"
	Ended   ProgramState = "ended"
	Stopped ProgramState = "stopped"
)

// Program is the state of one program with its history.
type Program struct {
	ID   string
	Open *record.Open
	// OpenedAt and EndedAt are the log's append times of the open and end
	// records. EndedAt is zero while the program is open.
	OpenedAt time.Time
	EndedAt  time.Time
	State    ProgramState
	// Reason is why the program was stopped; it is empty otherwise.
	Reason string
	// Turns holds the turn with seq n at index n-1.
	Turns []*record.Turn
	// Digest is the digest of the latest turn.
	Digest []byte
	// Spent is the program's share of its tree's spending, in tokens.
	Spent int64
	// Intent is the intent of a non-idempotent call without an outcome, or nil.
	Intent *record.Intent
	// IntentEpoch is the epoch of the claim under which the intent was written.
	IntentEpoch int64
	// Holders lists the targets that may hold KV cache for the program.
	// UnknownHolders is set if further targets may, because an owner was lost
	// before it recorded them.
	Holders        []string
	UnknownHolders bool
	// DispatchedSeq is the seq of the last call that was, or may have been,
	// dispatched to a target before it had an outcome. Calls with an intent are
	// recorded in Intent instead.
	DispatchedSeq int64
	// lastOffset is the offset of the last record that changed the program.
	lastOffset int64
	tree       *Tree
	// Version counts the changes of the program. CheckpointedAt is the append
	// time of the latest record that held the complete state when it was applied:
	// a checkpoint or the open record.
	Version        int64
	CheckpointedAt time.Time
}

func newProgram(o *record.Open, at time.Time) *Program {
	return &Program{ID: o.ProgramId, Open: o, OpenedAt: at, CheckpointedAt: at, State: Open}
}

// NextSeq returns the seq of the first call without an outcome.
func (g *Program) NextSeq() int64 { return int64(len(g.Turns)) + 1 }

// Turn returns the turn with that seq, or nil.
func (g *Program) Turn(seq int64) *record.Turn {
	if seq < 1 || seq >= g.NextSeq() {
		return nil
	}
	return g.Turns[seq-1]
}

// MayHaveBeenDispatched reports whether the call with that seq has no outcome
// but may have reached a target.
func (g *Program) MayHaveBeenDispatched(seq int64) bool {
	return seq == g.NextSeq() && seq == g.DispatchedSeq
}

// Repeats returns the number of consecutive latest turns that have the given
// fingerprint.
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

// turn appends a turn. It accepts one in any state of the program, because a call
// may complete after the program has ended.
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
	g.addHolders(t.Holders)
	g.Version++
	return Applied
}

func (g *Program) addHolders(targets []string) {
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

// acknowledgeEviction applies an acknowledgement of an eviction. One without a
// target means that no target holds cache left by an earlier owner.
func (g *Program) acknowledgeEviction(r *record.EvictAcked) bool {
	if r.Target == "" {
		g.UnknownHolders = false
		return true
	}
	g.Holders = slices.DeleteFunc(g.Holders, func(t string) bool { return t == r.Target })
	return true
}
