package experiment

import (
	"slices"
	"sync"
	"time"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// Outcome is what one run measured.
type Outcome struct {
	// Programs is how many arrived, Finished how many ended within their
	// deadlines, Abandoned how many of the others had had a call served.
	Programs, Finished, Abandoned int
	// Mean and P95 are the latency of whole programs; one that did not finish
	// counts with its deadline.
	Mean, P95 time.Duration
	// Quiet is the p95 latency of the quiet organisation.
	QuietP95 time.Duration
	// Ideal is the mean latency without any wait and with all prefixes cached.
	Ideal time.Duration
	// FirstToken is the p95 from a call's arrival to its first token.
	FirstTokenP95 time.Duration
	// HostWait is the p95 wait of a call for its grant.
	HostWaitP95 time.Duration
	// LongestWait is the longest wait of a call of a program under way.
	LongestWait time.Duration
	// Recomputed counts prompt tokens computed again.
	RecomputedTokens int64
	// Evicted is the part of Recomputed at targets that had held the prefix.
	EvictedTokens int64
	Dispatches    int
	Retries       int
	Refusals      map[fault.Type]int
	// PoisonCrashes counts targets that poisoned content crashed.
	PoisonCrashes int
	// Saturated is the share of the time in which all engine slots are taken.
	SaturatedShare float64
	// HeldAfterEnd is how many programs' caches were left 5 s after the end.
	HeldAfterEnd int
}

// tally collects the measurements of a run.
type tally struct {
	mu       sync.Mutex
	latency  []time.Duration
	quiet    []time.Duration
	waits    []time.Duration
	ideal    []time.Duration
	first    []time.Duration
	o        Outcome
	started  map[string]bool
	refusals map[fault.Type]int
}

func (t *tally) retried() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Retries++
}

func (t *tally) refused(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusals == nil {
		t.refusals = make(map[fault.Type]int)
	}
	t.refusals[fault.Of(err).Type]++
}

func (t *tally) saturated(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.SaturatedShare = share
}

func (t *tally) waited(d time.Duration, underWay bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits = append(t.waits, d)
	if underWay {
		t.o.LongestWait = max(t.o.LongestWait, d)
	}
}

func (t *tally) firstToken(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = append(t.first, d)
}

func (t *tally) dispatched(r port.Result, p *program) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Dispatches++
	if r.Err == nil {
		if t.started == nil {
			t.started = make(map[string]bool)
		}
		t.started[p.root] = true
		return
	}
	if p.poisoned && r.Err.Failure == port.FailureBroken {
		t.o.PoisonCrashes++
	}
}

// computed counts what was computed beyond the new input of a call.
func (t *tally) computed(u port.Usage, input int64, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held {
		t.o.EvictedTokens += max(0, u.PromptTokens-u.CachedTokens-input)
	}
	t.o.RecomputedTokens += max(0, u.PromptTokens-u.CachedTokens-input)
}

func (t *tally) ended(p *program, latency time.Duration, err error) {
	if p.poisoned {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Programs++
	if err == nil && latency <= p.allowed {
		t.o.Finished++
	} else {
		latency = p.allowed
		if t.started[p.root] {
			t.o.Abandoned++
		}
	}
	t.latency = append(t.latency, latency)
	t.ideal = append(t.ideal, p.ideal())
	if p.organisation == organisationRounds {
		t.quiet = append(t.quiet, latency)
	}
}

func (t *tally) outcome() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.o
	o.Mean = mean(t.latency)
	o.P95 = quantile(t.latency, 0.95)
	o.QuietP95 = quantile(t.quiet, 0.95)
	o.FirstTokenP95 = quantile(t.first, 0.95)
	o.Ideal = mean(t.ideal)
	o.HostWaitP95 = quantile(t.waits, 0.95)
	o.Refusals = t.refusals
	return o
}

func mean(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}
