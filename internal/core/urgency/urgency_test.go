package urgency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProgramsDueSoonerGetLowerLevels(t *testing.T) {
	is := is.New(t)
	last := Level(0)
	for _, left := range []time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, time.Minute} {
		is.True(LevelFor(left) > last)
		last = LevelFor(left)
	}
	is.True(LevelFor(0) > last)
	is.Equal(LevelFor(-time.Second), Overdue)
}

// A request of a less urgent organisation must not run before one of a more urgent organisation
// because its program is due sooner, and within an organisation the order by due time must stay.
func TestPriorityDecidesBeforeTheTimeLeft(t *testing.T) {
	is := is.New(t)
	for count := 1; count <= levels; count++ {
		last := Level(-1)
		for rank := range count {
			b := Band{Rank: rank, Count: count}
			is.True(b.Level(firstLevel) > last)
			last = b.Level(firstLevel)
			for l := Level(firstLevel); l <= Overdue; l++ {
				is.True(b.Level(l) >= last)
				last = b.Level(l)
			}
			is.True(last < levels)
		}
	}
	// With one priority nothing is lost of the order by due time.
	one := Band{Count: 1}
	for l := Level(firstLevel); l < Overdue; l++ {
		is.True(one.Level(l) < one.Level(l+1))
	}
	is.Equal(Band{}.Level(Default), Default)
	is.True(Band{Rank: 30, Count: 31}.Level(Overdue) < levels)
}
