// Package admission orders the calls that wait for a group of targets. Organisations
// share the targets by weight. Within an organisation, the call with the earliest due
// time is served first. The due time is the arrival time plus bounded penalties, so
// that all calls age at the same rate and none starves.
package admission

import (
	"math"
	"time"
)

// The penalties. Their bounds limit how long later calls can be served before a call.
const (
	// classPenalty is added per level of class priority.
	classPenalty = 5 * time.Second
	// maxClassLevels is the maximum number of class penalties of a call.
	maxClassLevels = 12
	// newPenalty orders new programs after started ones.
	newPenalty = 5 * time.Minute
	// attainedPenalty is added per doubling of the tokens that the program was
	// already served.
	attainedPenalty = 500 * time.Millisecond
	// attainedUnit is the number of tokens at the first doubling.
	attainedUnit = 1000
	// maxLife is the maximum penalty of a new program for its expected duration.
	maxLife = 2 * time.Minute
	// maxAttainedLevels is the maximum number of doublings that are counted.
	maxAttainedLevels = 16
)

// MaxPenalty is the maximum time from a call's arrival to its due time.
const MaxPenalty = maxClassLevels*classPenalty + newPenalty + maxLife + maxAttainedLevels*attainedPenalty

// Item is one waiting call.
type Item struct {
	Organisation string
	// Weight is the organisation's weight; values below one count as one.
	Weight int
	// Class is the priority of the call's class; lower values are served first.
	Class int
	// ProgramStarted is set if a call of the program was already served.
	ProgramStarted bool
	// Entitled is set if the organisation uses less than its share. Its new programs
	// do not wait for started programs.
	Entitled bool
	// AttainedTokens is the number of tokens that the program was already served.
	AttainedTokens int64
	Arrived        time.Time
	// Deadline is zero if there is none.
	Deadline time.Time
	// ServiceTime is the expected duration of the call at a target.
	ServiceTime time.Duration
	// Lifetime is the usual duration of programs of this kind. Shorter new programs
	// are served first.
	Lifetime time.Duration
	// Value is arbitrary data of the user of the queue.
	Value any

	due   time.Time
	order uint64
}

// IsDeferred reports whether the call waits for started programs.
func (i *Item) IsDeferred() bool { return !i.ProgramStarted && !i.Entitled }

// Rank returns the due time of an item. It is called once per item added to a queue,
// and for each call of Ahead.
type Rank func(*Item) time.Time

// Arrival ranks items by arrival: first come, first served.
func Arrival(i *Item) time.Time { return i.Arrived }

// Due ranks items by arrival plus penalties. A deadline moves the due time of a call
// forward, to the deadline minus twice the service time, so that it can still end in
// time. Deferred calls are not moved forward, since the deadline of a new program says
// little about its first call.
func Due(i *Item) time.Time {
	due := i.Arrived.Add(Penalty(i))
	if i.Deadline.IsZero() || i.IsDeferred() {
		return due
	}
	latestStart := i.Deadline.Add(-2 * i.ServiceTime)
	if latestStart.Before(due) {
		return latestStart
	}
	return due
}

// Penalty returns the time from an item's arrival to its due time, without regard to
// its deadline.
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

// isDueBefore orders items by due time, and by insertion if that is equal.
func isDueBefore(a, b *Item) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.order < b.order
}
