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
		is.True(Of(left) > last)
		last = Of(left)
	}
	is.True(Of(0) > last)
	is.Equal(Of(-time.Second), Overdue)
}
