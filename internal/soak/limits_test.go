package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"yuccausher/internal/standin/replica"
)

const (
	// namedLimit is the rate limit that targets name after the faults, in requests per
	// second.
	namedLimit = 3
	// limitWindow is the time over which requests are counted, limitFactor how many times
	// the limit may arrive in it, and limitSlack how many requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitTexts are what targets name as their rate limits while there are faults.
var limitTexts = []string{"1", "2.5", "20", "0", "NaN", "-1", "1e300", "many"}

// limitRate makes a target name a rate limit, or text that is none, for a while.
func (j *injector) limitRate(d time.Duration) {
	j.world.mu.Lock()
	r := j.target().replica
	j.world.mu.Unlock()
	text := limitTexts[j.random.IntN(len(limitTexts))]
	if r != nil {
		j.during(d, func() { r.NameLimit(text) }, func() { r.NameLimit("") })
	}
}

// examineLimits makes a target of each kind name a limit and holds what arrives there
// against the bound.
func (w *world) examineLimits(r reporter, random *rand.Rand) {
	r.Helper()
	var limited []*replica.Replica
	w.mu.Lock()
	for _, at := range []int{random.IntN(modelTargets), modelTargets + random.IntN(appTargets)} {
		if target := w.targets[at]; target.replica != nil {
			limited = append(limited, target.replica)
		}
	}
	w.mu.Unlock()
	for _, target := range limited {
		target.NameLimit(strconv.Itoa(namedLimit))
	}
	time.Sleep(stableTime)
	from := time.Now()
	time.Sleep(limitWindow)
	for _, target := range limited {
		arrived := 0
		for _, at := range target.Arrivals() {
			if at.After(from) && at.Sub(from) <= limitWindow {
				arrived++
			}
		}
		if float64(arrived) > limitFactor*limitWindow.Seconds()*namedLimit+limitSlack {
			r.Errorf("target %s got %d requests within %v at a limit of %d a second", target.ID(), arrived, limitWindow, namedLimit)
		}
		target.NameLimit("")
	}
	time.Sleep(time.Second)
}
