package testutil

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The check reports the fourth repeat through undisturbed hosts that comes later than the window.
func TestRepeatsAreCounted(t *testing.T) {
	const window = 3 * time.Second
	start := time.Now()
	endsAt := func(isDisturbed bool, seconds ...int) []TargetEnd {
		var ends []TargetEnd
		for _, s := range seconds {
			ends = append(ends, TargetEnd{At: start.Add(time.Duration(s) * time.Second), IsDisturbed: isDisturbed})
		}
		return ends
	}
	for name, c := range map[string]struct {
		ends     []TargetEnd
		window   time.Duration
		isBroken bool
	}{
		"none":                       {nil, window, false},
		"three repeats":              {endsAt(false, 0, 0, 0, 1, 4, 4, 4), window, false},
		"four repeats":               {endsAt(false, 0, 0, 0, 1, 4, 4, 4, 4), window, true},
		"within the window":          {endsAt(false, 0, 0, 0, 1, 2, 3, 3, 3), window, false},
		"through disturbed hosts":    {endsAt(true, 0, 0, 0, 4, 4, 4, 4, 4), window, false},
		"four repeats at once":       {endsAt(false, 0, 0, 0, 0, 0, 0, 0), 0, true},
		"three repeats, no time off": {endsAt(false, 0, 0, 0, 0, 0, 0), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CheckRepeats(c.ends, c.window) != nil, c.isBroken)
		})
	}
}
