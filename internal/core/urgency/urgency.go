// Package urgency sets the priority of requests inside engines. Among the turns that
// wait at an engine, those of the program that is due first run first. In a burst
// many programs share an engine, and serving all of them equally makes all late.
package urgency

import "time"

// Level is the priority of a request at an engine. Lower levels run first, and
// preempt others if memory is short.
type Level int

// Default is the level of requests without information about their program.
const Default Level = 5

// Overdue is the level of turns whose programs are already late. They are worth less
// than those that can still finish on time, and run after them.
const Overdue Level = 7

// levelsByTimeLeft holds the levels by the time left until a program should be
// finished, each up to the given time. The times double from level to level, like
// the lengths of programs.
var levelsByTimeLeft = []struct {
	left  time.Duration
	level Level
}{
	{400 * time.Millisecond, 2},
	{800 * time.Millisecond, 3},
	{1500 * time.Millisecond, 4},
	{3 * time.Second, 5},
}

// distantLevel is the level of programs that are due later than all of these.
const distantLevel Level = 6

// LevelFor returns the level of a turn whose program should be finished in left.
func LevelFor(left time.Duration) Level {
	if left <= 0 {
		return Overdue
	}
	for _, d := range levelsByTimeLeft {
		if left < d.left {
			return d.level
		}
	}
	return distantLevel
}
