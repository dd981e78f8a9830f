package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

func TestRetriesNeverExceedShareOfLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		attempts, retries := 0, 0
		for _, fail := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "fails") {
			b.Attempt()
			attempts++
			if fail && b.Take() {
				retries++
			}
			if float64(retries) > Burst+Share*float64(attempts) {
				t.Fatalf("%d retries after %d dispatches", retries, attempts)
			}
		}
	})
}

func TestBudgetRefillsWithLoad(t *testing.T) {
	is := is.New(t)
	b := NewBudget()
	for b.Take() {
	}
	is.True(!b.Take())
	for range 20 {
		b.Attempt()
	}
	is.True(b.Take())
}

func TestPauseGrowsAndIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(Pause(1, 1), minPause)
	is.Equal(Pause(2, 1), 2*minPause)
	is.Equal(Pause(60, 1), maxPause)
	is.Equal(Pause(3, 0), time.Duration(0))
}
