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

// levels is the number of levels that engines tell apart, from 0 on.
const levels = 10

// firstLevel and usedLevels are the range of the levels that LevelFor returns.
const (
	firstLevel = 2
	usedLevels = int(Overdue) - firstLevel + 1
)

// Band is the range of levels of the requests with one priority. Requests of a more urgent band run
// before all others at an engine; within a band, the level by the time left orders them.
type Band struct {
	// Rank is that of the priority among Count different ones, 0 for the most urgent. The zero
	// Band means that there are no priorities.
	Rank, Count int
}

// Level returns the level within the band for a level by the time left. Levels that the band is too
// narrow to tell apart become one.
func (b Band) Level(l Level) Level {
	if b.Count <= 0 {
		return l
	}
	rank := min(max(b.Rank, 0), b.Count-1)
	first := rank * levels / b.Count
	width := max((rank+1)*levels/b.Count-first, 1)
	step := min(max(int(l)-firstLevel, 0), usedLevels-1)
	return Level(first + step*width/usedLevels)
}
