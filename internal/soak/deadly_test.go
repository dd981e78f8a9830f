package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"yuccausher/internal/testutil"
)

const (
	// deadlyContent begins each content that ends the replicas that run it.
	deadlyContent = "deadly-"
	deadlySuffix  = "/deadly"
	deadlyPause   = 100 * time.Millisecond
	// deadlyLife is how long it takes until the next content comes beside those before it.
	deadlyLife = 2 * time.Second
	// deadlyElsewhere is one in how many times a content comes to any host, and not to its own.
	deadlyElsewhere = 8
	// restartAfterDeath is how long a replica is away that was ended by it.
	restartAfterDeath = 300 * time.Millisecond
	// stableTime is how long after a disturbance, and after the third end, the limit on the
	// repeats of such content begins to apply.
	stableTime = 3 * time.Second
)

func isDeadly(path string) bool { return strings.HasSuffix(path, deadlySuffix) }

// sendDeadly brings contents, most times each to a host of its own, until ctx ends: each second time
// the newest one, and otherwise any. New ones come while bringsNew is set.
func (c *callers) sendDeadly(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	paths := []string{"/posting", "/lookup"}
	newest, since := 0, time.Now()
	for ; ctx.Err() == nil; time.Sleep(deadlyPause) {
		if c.bringsNew.Load() && time.Since(since) > deadlyLife {
			newest, since = newest+1, time.Now()
		}
		at := newest
		if random.IntN(2) == 0 {
			at = random.IntN(newest + 1)
		}
		h := c.world.hosts[at%len(c.world.hosts)]
		if random.IntN(deadlyElsewhere) == 0 {
			h = c.world.hosts[random.IntN(len(c.world.hosts))]
		}
		id := strconv.FormatUint(random.Uint64(), 36)
		content := deadlyContent + strconv.Itoa(at)
		c.mu.Lock()
		c.prompts[id] = content
		c.mu.Unlock()
		c.note(c.post(ctx, transport, h, paths[at%len(paths)]+deadlySuffix, id, content, http.Header{}), "", "")
	}
}

// died starts another replica in the place of one that a content has ended.
func (w *world) died(id, content string) {
	w.mu.Lock()
	w.deaths[content] = append(w.deaths[content], time.Now())
	at := slices.IndexFunc(w.targets, func(t *target) bool { return t.replica != nil && t.replica.ID() == id })
	w.mu.Unlock()
	if at >= 0 {
		w.restart(w.targets[at], restartAfterDeath)
	}
}

// checkAllDeaths holds the ends of replicas by each content against the limit.
func (w *world) checkAllDeaths(t *testing.T, healedAt time.Time) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for content, deaths := range w.deaths {
		t.Logf("%s ended %d replicas", content, len(deaths))
		checkDeaths(t, content, deaths, healedAt)
	}
}

// checkDeaths holds the ends of replicas by one content against the limit, which begins to hold
// when the faults are over.
func checkDeaths(r reporter, content string, deaths []time.Time, healedAt time.Time) {
	r.Helper()
	ends := make([]testutil.TargetEnd, len(deaths))
	for i, at := range deaths {
		ends[i] = testutil.TargetEnd{At: at, IsDisturbed: at.Sub(healedAt) <= stableTime}
	}
	if err := testutil.CheckRepeats(ends, stableTime); err != nil {
		r.Errorf("%s: %v", content, err)
	}
}

// refuseNew makes all targets refuse new connections of a host, whose open ones live on, until
// the returned function is called. The limits on what hosts send apply all the while.
func (w *world) refuseNew(host int) (reopen func()) {
	for _, t := range w.targets {
		t.paths[host].refuseNew()
	}
	return func() {
		for _, t := range w.targets {
			w.must(t.paths[host].reopen())
		}
	}
}
