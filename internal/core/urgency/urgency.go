// Package urgency orders requests inside engines. Of the turns that wait at an
// engine, those go first whose programs are due first: under a burst, engines
// are shared by many programs, and serving all alike makes all of them late.
package urgency

import "time"

// Level is the priority of a request at an engine. Lower levels go first, and
// preempt others where memory is short.
type Level int

// Default is the level of requests that say nothing of their program.
const Default Level = 5

// Overdue is the level of turns whose programs are late already. They earn
// less than those that can still be on time.
const Overdue Level = 7

// dueWithin are the levels of programs by the time that is left until they
// should be finished. The steps double, as the lengths of programs do.
var dueWithin = []struct {
	left  time.Duration
	level Level
}{
	{400 * time.Millisecond, 2},
	{800 * time.Millisecond, 3},
	{1500 * time.Millisecond, 4},
	{3 * time.Second, 5},
}

// farOff is the level of programs that are due later than all of these.
const farOff Level = 6

// Of returns the level of a turn whose program should be finished in left.
func LevelFor(left time.Duration) Level {
	if left <= 0 {
		return Overdue
	}
	for _, d := range dueWithin {
		if left < d.left {
			return d.level
		}
	}
	return farOff
}
