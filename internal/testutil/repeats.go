package testutil

import (
	"strconv"
	"time"
)

const (
	// endsBeforeLimit is how many targets content must have ended for the limit on its
	// repeats to apply.
	endsBeforeLimit = 3
	// maxRepeats is how often the content may reach a target while the limit applies.
	maxRepeats = 3
)

// TargetEnd is the end of a target that ran content which ends every target that runs it.
type TargetEnd struct {
	At time.Time
	// IsDisturbed is set if the limit does not apply to the host that sent the content, since
	// the host or the store had been disturbed shortly before.
	IsDisturbed bool
}

// CheckRepeats checks the users' limit on content that ends targets. The ends are in the order of
// time. The limit applies from window after the third end on. The error is a *RepeatsError.
func CheckRepeats(ends []TargetEnd, window time.Duration) error {
	if len(ends) < endsBeforeLimit {
		return nil
	}
	third := ends[endsBeforeLimit-1].At
	late := 0
	for _, e := range ends[endsBeforeLimit:] {
		if !e.IsDisturbed && (window == 0 || e.At.Sub(third) > window) {
			late++
		}
	}
	if late <= maxRepeats {
		return nil
	}
	return &RepeatsError{Ends: len(ends), Late: late, Window: window}
}

// RepeatsError reports that content was sent to targets too often.
type RepeatsError struct {
	// Ends is how many targets the content has ended, Late how many of them by repeats to which
	// the limit applies.
	Ends, Late int
	Window     time.Duration
}

// Error implements error.
func (e *RepeatsError) Error() string {
	return "content ended " + strconv.Itoa(e.Ends) + " targets, " + strconv.Itoa(e.Late) + " of them through undisturbed hosts later than " + e.Window.String() + " after the third end"
}
