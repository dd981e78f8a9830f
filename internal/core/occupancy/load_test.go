package occupancy

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The load of a request is the mean over its time. The number at its start would attribute
// the time per event to another load.
func TestMeanLoadIsThatOfTheTimeOfTheRequest(t *testing.T) {
	is := is.New(t)
	var c Counter
	now := time.Unix(1000, 0)
	c.Admit(1, 0, time.Minute, now)
	c.Admit(2, 0, time.Minute, now.Add(time.Second))
	c.Admit(3, 0, 2*time.Second, now.Add(2*time.Second)) // is never finished
	c.Finish(2, 1, Answered, now.Add(3*time.Second))
	load, ok := c.MeanLoad(1, now.Add(8*time.Second))
	is.True(ok)
	is.True(math.Abs(load-(8+2+2)/8.0) < 1e-9)
	_, ok = c.MeanLoad(2, now.Add(8*time.Second))
	is.True(!ok)
}

// A target that fails or refuses each request at once must not get more requests than one
// that answers. Its failures come from one host, so that it is not suspect.
func TestTargetThatFailsAtOnceGetsNoMoreRequestsThanOthers(t *testing.T) {
	for _, fault := range []string{"failed", "refused"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			const answerTime, perSecond, seconds = 400 * time.Millisecond, 50, 20
			counters := make([]Counter, 3)
			got := make([]int, len(counters))
			type running struct {
				target int
				id     uint64
				ends   time.Time
			}
			var active []running
			start := time.Unix(1000, 0)
			for id := range uint64(perSecond * seconds) {
				now := start.Add(time.Duration(id) * time.Second / perSecond)
				for len(active) > 0 && !active[0].ends.After(now) {
					counters[active[0].target].Finish(active[0].id, 1, Answered, active[0].ends)
					active = active[1:]
				}
				replies := make([]Reply, len(counters))
				for i := range counters {
					replies[i] = counters[i].Admit(id, 1, time.Minute, now) // over the limit mostly
					if replies[i].Admitted {
						counters[i].Finish(id, 1, Inconclusive, now)
					}
				}
				target := LeastOccupied(replies)
				counters[target].Admit(id, 0, time.Minute, now)
				got[target]++
				switch {
				case target > 0:
					active = append(active, running{target, id, now.Add(answerTime)})
				case fault == "failed":
					counters[0].Finish(id, 1, Failed, now.Add(time.Millisecond))
				default:
					counters[0].Hold(id, now.Add(time.Millisecond))
				}
			}
			t.Logf("requests %v", got)
			is.True(got[0] <= min(got[1], got[2]))
		})
	}
}
