package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// deadlyContent ends each replica that runs it.
	deadlyContent = "deadly"
	deadlySuffix  = "/deadly"
	deadlyPause   = 150 * time.Millisecond
	// restartAfterDeath is how long a replica is away that was ended by it.
	restartAfterDeath = 300 * time.Millisecond
	// stableTime is how long after a disturbance, and after the third end, the content
	// may end more than a few replicas; maxLateDeaths is how many afterwards.
	stableTime    = 3 * time.Second
	maxLateDeaths = 3
)

func isDeadly(path string) bool { return strings.HasSuffix(path, deadlySuffix) }

// sendDeadly brings the same content to one host after the other until ctx ends, by the
// same path.
func (c *callers) sendDeadly(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	path := []string{"/posting", "/lookup"}[random.IntN(2)] + deadlySuffix
	for ctx.Err() == nil {
		h := c.world.hosts[random.IntN(len(c.world.hosts))]
		id := strconv.FormatUint(random.Uint64(), 36)
		c.mu.Lock()
		c.prompts[id] = deadlyContent
		c.mu.Unlock()
		c.note(c.post(ctx, transport, h, path, id, deadlyContent, http.Header{}), "", "")
		time.Sleep(deadlyPause)
	}
}

// died starts another replica in the place of one that the content has ended.
func (w *world) died(id string) {
	w.mu.Lock()
	w.deaths = append(w.deaths, time.Now())
	at := slices.IndexFunc(w.targets, func(t *target) bool { return t.replica != nil && t.replica.ID() == id })
	w.mu.Unlock()
	if at >= 0 {
		w.restart(w.targets[at], restartAfterDeath)
	}
}

func (w *world) deathTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.deaths)
}

// checkDeaths holds the ends of replicas against the bound, which begins to hold when
// the faults are over.
func checkDeaths(r reporter, deaths []time.Time, healedAt time.Time) {
	r.Helper()
	if len(deaths) < 3 {
		return
	}
	from := healedAt
	if third := deaths[2]; third.After(from) {
		from = third
	}
	late := 0
	for _, at := range deaths[3:] {
		if at.Sub(from) > stableTime {
			late++
		}
	}
	if late > maxLateDeaths {
		r.Errorf("the same content ended %d replicas, %d of them more than %v after the faults and the third end", len(deaths), late, stableTime)
	}
}
