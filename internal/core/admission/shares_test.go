package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runCalls has an organisation use one slot for a number of seconds, and returns the
// time afterwards.
func runCalls(s *Shares, organisation string, now time.Time, seconds int) time.Time {
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
	is.True(s.Entitled(start, "quiet", 1, 2, true)) // no organisation uses any slots
	now := runCalls(s, "loud", start, 300)
	is.True(s.Entitled(now, "loud", 1, 2, false))  // it uses one of its two slots, without others
	is.True(!s.Entitled(now, "loud", 1, 1, false)) // it uses its only slot
	is.True(s.Entitled(now, "quiet", 1, 1, true))  // it uses nothing of its half
	s.Begin(now, "quiet", 1)
	is.True(!s.Entitled(now, "loud", 1, 2, false)) // it uses one slot; its share is half of two
	is.True(s.Entitled(now, "loud", 3, 2, false))  // its share is three quarters of two
	later := now.Add(10 * shareHalfLife)
	is.True(s.Entitled(later, "loud", 1, 2, false)) // its use has decayed
}

func TestBurstIsNotEntitledBeforeItsServiceIsCounted(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	for range 10 {
		s.Begin(start, "loud", 1)
	}
	is.True(!s.Entitled(start, "loud", 1, 5, true))
	is.True(s.Entitled(start, "loud", 1, 5, false))
	is.True(s.Entitled(start, "quiet", 1, 5, true))
}

func TestEntryRateEstimatesWaitOfNewPrograms(t *testing.T) {
	is := is.New(t)
	var e EntryRate
	is.Equal(e.Wait(start, 5), time.Duration(0)) // no program was served yet
	now := start
	for range 50 {
		now = now.Add(2 * time.Second)
		e.Served(now, 3)
	}
	wait := e.Wait(now, 5)
	is.True(wait > 9*time.Second && wait <= 10*time.Second)
	is.Equal(e.Wait(now.Add(4*time.Second), 5), 20*time.Second) // no program was served for 4 s
	is.Equal(e.Wait(now, 0), time.Duration(0))
	for range 50 {
		e.Served(now, 0) // no other program waits
	}
	is.True(e.Wait(now, 5) < time.Second)
}
