// Package conversation decides what a host remembers of conversations: turns, the
// chains that they form, and the records in which turns are kept. It does no I/O.
package conversation

import "time"

// Turn is one turn of a conversation that was answered whole. It does not change.
type Turn struct {
	// ID is the request that ran the turn.
	ID string
	// Previous is the turn that this one continues. It is empty if Input holds all
	// that came before.
	Previous string
	Program  string
	// Part is the partition of the log that holds the turn's record.
	Partition int
	EndedAt   time.Time
	// StartedAt is when the oldest turn ended that has a record of its own in the
	// chain.
	ChainStartedAt time.Time
	Input          []byte
	// Output is the data of each event and a line feed after it.
	Output []byte
}

// turnOverhead is about what a turn takes beside its texts, in bytes.
const turnOverhead = 256

// Size is about the memory that the turn takes, in bytes.
func (t *Turn) Size() int {
	return turnOverhead + len(t.ID) + len(t.Previous) + len(t.Program) + len(t.Input) + len(t.Output)
}

// Chain is a turn with all that come before it, the oldest first.
type Chain []*Turn

// Last returns the turn to which the chain leads.
func (c Chain) Last() *Turn { return c[len(c)-1] }

// Size is the length of the prompt that the chain makes, in bytes.
func (c Chain) Size() int {
	n := 0
	for _, t := range c {
		n += len(t.Input) + len(t.Output)
	}
	return n
}

// Prompt returns what a target is to be given for a turn that continues the
// chain: the input and the output of each turn, and then the new input.
func (c Chain) Prompt(input []byte) []byte {
	b := make([]byte, 0, c.Size()+len(input))
	for _, t := range c {
		b = append(b, t.Input...)
		b = append(b, t.Output...)
	}
	return append(b, input...)
}

// IsWhole says whether the turns of the chain follow each other and the first one
// continues none.
func (c Chain) IsComplete() bool {
	if len(c) == 0 {
		return false
	}
	previous := ""
	for _, t := range c {
		if t.Previous != previous {
			return false
		}
		previous = t.ID
	}
	return true
}

// Next returns the turn that continues the chain in a partition; an empty chain
// begins a conversation. The turn repeats all before it in its input where its
// predecessors are in another partition, or began longer than maxAge ago, so that
// their records may be dropped.
func (c Chain) Next(t Turn, now time.Time, maxAge time.Duration) *Turn {
	t.EndedAt, t.ChainStartedAt = now, now
	if len(c) == 0 {
		return &t
	}
	last := c.Last()
	if last.Partition != t.Partition || now.Sub(last.ChainStartedAt) > maxAge {
		t.Input = c.Prompt(t.Input)
		return &t
	}
	t.Previous, t.ChainStartedAt = last.ID, last.ChainStartedAt
	return &t
}

// In returns the turn as the same one kept in another partition. What came before
// it goes with it.
func (c Chain) Relocate(t *Turn, part int) *Turn {
	moved := *t
	moved.Partition = part
	if t.Previous != "" {
		moved.Previous, moved.ChainStartedAt = "", t.EndedAt
		moved.Input = c.Prompt(t.Input)
	}
	return &moved
}
