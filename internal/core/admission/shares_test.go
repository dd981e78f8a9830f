package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// use lets an organisation use one slot for a while, and returns the time after
// it.
func useSlot(s *Shares, organisation string, now time.Time, seconds int) time.Time {
	for range seconds {
		s.Begin(now, organisation, 1)
		now = now.Add(time.Second)
		s.End(now, organisation, time.Second)
	}
	return now
}

func TestOrganisationIsEntitledBelowItsShare(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	is.True(s.Entitled(start, "quiet", 1, 2, true)) // nobody uses anything
	now := useSlot(s, "loud", start, 300)
	is.True(s.Entitled(now, "loud", 1, 2, false))  // one slot of two, alone
	is.True(!s.Entitled(now, "loud", 1, 1, false)) // one slot of one
	is.True(s.Entitled(now, "quiet", 1, 1, true))  // nothing of a half
	s.Begin(now, "quiet", 1)
	is.True(!s.Entitled(now, "loud", 1, 2, false)) // one slot of its half of two
	is.True(s.Entitled(now, "loud", 3, 2, false))  // of three quarters
	later := now.Add(10 * shareHalfLife)
	is.True(s.Entitled(later, "loud", 1, 2, false)) // it is forgotten
}

func TestFloodIsNotEntitledBeforeItIsAccounted(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	for range 10 {
		s.Begin(start, "loud", 1)
	}
	is.True(!s.Entitled(start, "loud", 1, 5, true))
	is.True(s.Entitled(start, "loud", 1, 5, false))
	is.True(s.Entitled(start, "quiet", 1, 5, true))
}

func TestEntriesTellTheWaitOfNewPrograms(t *testing.T) {
	is := is.New(t)
	var e EntryRate
	is.Equal(e.Wait(start, 5), time.Duration(0)) // nothing is known
	now := start
	for range 50 {
		now = now.Add(2 * time.Second)
		e.Served(now, 3)
	}
	wait := e.Wait(now, 5)
	is.True(wait > 9*time.Second && wait <= 10*time.Second)
	is.Equal(e.Wait(now.Add(4*time.Second), 5), 20*time.Second) // none came in for 4 s
	is.Equal(e.Wait(now, 0), time.Duration(0))
	for range 50 {
		e.Served(now, 0) // nobody waits any more
	}
	is.True(e.Wait(now, 5) < time.Second)
}
