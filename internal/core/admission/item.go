// Package admission orders the calls that wait for a group of targets.
// Organisations share the targets by weight. Inside an organisation each call
// has a due time, and the earliest due goes first: the due time is the arrival
// plus bounded penalties, so that every call ages at the same rate and none
// starves.
package admission

import (
	"math"
	"time"
)

// The penalties, which bound by how much a call can be overtaken.
const (
	// classPenalty is added per level of class priority.
	classPenalty = 5 * time.Second
	// maxClassLevels bounds the sum of the class penalties.
	maxClassLevels = 12
	// newPenalty puts programs under way before new ones.
	newPenalty = 5 * time.Minute
	// attainedPenalty is added per doubling of the attained tokens.
	attainedPenalty = 500 * time.Millisecond
	// attainedUnit is the attained service, in tokens, of the first doubling.
	attainedUnit = 1000
	// maxLife bounds the penalty of a new program for its expected life.
	maxLife = 2 * time.Minute
	// maxAttainedLevels bounds the sum of the attained-service penalties.
	maxAttainedLevels = 16
)

// MaxPenalty is the most by which a call's due time lies after its arrival.
const MaxPenalty = maxClassLevels*classPenalty + newPenalty + maxLife + maxAttainedLevels*attainedPenalty

// Item is one waiting call.
type Item struct {
	Organisation string
	// Weight is the organisation's share; less than one counts as one.
	Weight int
	// Class is the priority of the class; a lower value goes first.
	Class int
	// UnderWay says that the program has had a call served.
	ProgramStarted bool
	// Entitled says that the organisation uses less than its share. Its new
	// programs need not wait for programs under way.
	Entitled bool
	// AttainedTokens is what the program has been served so far.
	AttainedTokens int64
	Arrived        time.Time
	// Deadline is zero where there is none.
	Deadline time.Time
	// Service is how long the call is expected to take at a target.
	ServiceTime time.Duration
	// Life is how long programs of this kind usually live. Among new programs
	// the shorter go first.
	Lifetime time.Duration
	// Value is the caller's own.
	Value any

	due   time.Time
	order uint64
}

// IsFresh says whether the call has to wait for programs under way.
func (i *Item) IsDeferred() bool { return !i.ProgramStarted && !i.Entitled }

// Rank computes when an item is due. It is asked once, when the item comes.
type Rank func(*Item) time.Time

// Arrival is the order first come, first served.
func Arrival(i *Item) time.Time { return i.Arrived }

// Due is the order of this package: arrival plus penalties. A deadline brings
// a call of a program under way forward to the latest time at which it can
// start and still end in time. The deadline of a new program says little about
// its first call, and brings nothing forward.
func Due(i *Item) time.Time {
	due := i.Arrived.Add(Penalty(i))
	if i.Deadline.IsZero() || i.IsDeferred() {
		return due
	}
	latest := i.Deadline.Add(-2 * i.ServiceTime)
	if latest.Before(due) {
		return latest
	}
	return due
}

// Penalty returns by how much an item is due after its arrival.
func Penalty(i *Item) time.Duration {
	level := min(max(i.Class, 0), maxClassLevels)
	p := time.Duration(level) * classPenalty
	if i.IsDeferred() {
		p += newPenalty + min(i.Lifetime, maxLife)
	}
	doublings := math.Log2(1 + float64(max(i.AttainedTokens, 0))/attainedUnit)
	doublings = min(doublings, maxAttainedLevels)
	return p + time.Duration(doublings*float64(attainedPenalty))
}

func before(a, b *Item) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.order < b.order
}
