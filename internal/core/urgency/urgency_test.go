package urgency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProgramsThatAreDueSoonerGoFirst(t *testing.T) {
	is := is.New(t)
	last := Level(0)
	for _, left := range []time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, time.Minute} {
		is.True(LevelFor(left) > last)
		last = LevelFor(left)
	}
	is.True(LevelFor(0) > last)
	is.Equal(LevelFor(-time.Second), Overdue)
}
