// Package conversation holds the turns of conversations on a host: a cache of turns,
// the chains that turns form, and the encoding of turns as records of the shared log.
// It does no I/O.
package conversation

import "time"

// Turn is one turn of a conversation with its complete answer. It is immutable.
type Turn struct {
	// ID is the ID of the request that ran the turn.
	ID string
	// Previous is the ID of the turn that this one continues. It is empty if Input
	// contains all earlier turns.
	Previous string
	Program  string
	// Organisation is the one whose caller ran the turn; empty if it is not known.
	Organisation string
	// Partition is the partition of the log that holds the turn's record.
	Partition int
	EndedAt   time.Time
	// ChainStartedAt is when the first turn of the chain ended. Turns that a later
	// one repeats in its input do not count.
	ChainStartedAt time.Time
	Input          []byte
	// Output is the data of each event, followed by a line feed.
	Output []byte
}

// turnOverhead is the approximate memory of a turn without its texts, in bytes.
const turnOverhead = 256

// Size returns the approximate memory of the turn, in bytes.
func (t *Turn) Size() int {
	return turnOverhead + len(t.ID) + len(t.Previous) + len(t.Program) + len(t.Organisation) + len(t.Input) + len(t.Output)
}

// Chain is a turn and all turns that it continues, the oldest first.
type Chain []*Turn

// Last returns the newest turn. The chain must not be empty.
func (c Chain) Last() *Turn { return c[len(c)-1] }

// IsOpenTo reports whether an organisation may continue the chain: no turn of it belongs to another
// one. Turns whose organisation is not known, such as those of the earlier build, are open to all,
// because refusing them would lose them.
func (c Chain) IsOpenTo(organisation string) bool {
	for _, t := range c {
		if t.Organisation != "" && t.Organisation != organisation {
			return false
		}
	}
	return true
}

// Size returns the length of the chain's prompt, in bytes.
func (c Chain) Size() int {
	n := 0
	for _, t := range c {
		n += len(t.Input) + len(t.Output)
	}
	return n
}

// Prompt returns the prompt of a turn that continues the chain: the input and the
// output of each turn, followed by the new input.
func (c Chain) Prompt(input []byte) []byte {
	b := make([]byte, 0, c.Size()+len(input))
	for _, t := range c {
		b = append(b, t.Input...)
		b = append(b, t.Output...)
	}
	return append(b, input...)
}

// IsComplete reports whether each turn of the chain continues the one before it, and
// the first one continues none. An empty chain is not complete.
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

// Next returns the turn that continues the chain in partition t.Partition; an empty
// chain begins a conversation. If the earlier turns are in another partition, or the
// chain started more than maxAge ago and its records may soon be trimmed, the turn
// contains the earlier turns in its input and starts a new chain.
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

// Relocate returns a copy of the turn for another partition. Its input contains all
// earlier turns of the chain. The chain holds the turns before t.
func (c Chain) Relocate(t *Turn, partition int) *Turn {
	copied := *t
	copied.Partition = partition
	if t.Previous != "" {
		copied.Previous, copied.ChainStartedAt = "", t.EndedAt
		copied.Input = c.Prompt(t.Input)
	}
	return &copied
}
