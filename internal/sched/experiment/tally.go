package experiment

import (
	"slices"
	"sync"
	"time"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// Outcome holds the measurements of one run.
type Outcome struct {
	// Programs is the number of arrivals, Finished that of programs that ended within
	// their deadlines, Abandoned that of the others with at least one served call.
	Programs, Finished, Abandoned int
	// Mean and P95 are latencies of complete programs. A program that did not finish
	// counts with its timeout.
	Mean, P95 time.Duration
	// QuietP95 is the p95 latency of the quiet organisation.
	QuietP95 time.Duration
	// Ideal is the mean latency without any wait and with all prefixes cached.
	Ideal time.Duration
	// FirstTokenP95 is the p95 from a call's arrival to its first token.
	FirstTokenP95 time.Duration
	// HostWaitP95 is the p95 wait of a call for its grant.
	HostWaitP95 time.Duration
	// LongestWait is the longest wait of a call of a started program.
	LongestWait time.Duration
	// RecomputedTokens is the number of prompt tokens that were computed again.
	RecomputedTokens int64
	// EvictedTokens is the part of RecomputedTokens at targets that had held the
	// prefix.
	EvictedTokens int64
	Dispatches    int
	Retries       int
	Refusals      map[fault.Type]int
	// PoisonCrashes is the number of target crashes by poisoned content.
	PoisonCrashes int
	// SaturatedShare is the share of the time in which all engine slots are taken.
	SaturatedShare float64
	// HeldAfterEnd is the number of programs whose caches remained 5 s after the end.
	HeldAfterEnd int
}

// measurements collects the measurements of a run. It is safe for concurrent use.
type measurements struct {
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

func (t *measurements) retried() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Retries++
}

func (t *measurements) refused(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusals == nil {
		t.refusals = make(map[fault.Type]int)
	}
	t.refusals[fault.Of(err).Type]++
}

func (t *measurements) saturated(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.SaturatedShare = share
}

func (t *measurements) waited(d time.Duration, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits = append(t.waits, d)
	if started {
		t.o.LongestWait = max(t.o.LongestWait, d)
	}
}

func (t *measurements) firstToken(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = append(t.first, d)
}

func (t *measurements) dispatched(r port.Result, p *program) {
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

// computed records the prompt tokens that were computed in addition to the new input of a
// call.
func (t *measurements) computed(u port.Usage, input int64, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held {
		t.o.EvictedTokens += max(0, u.PromptTokens-u.CachedTokens-input)
	}
	t.o.RecomputedTokens += max(0, u.PromptTokens-u.CachedTokens-input)
}

func (t *measurements) ended(p *program, latency time.Duration, err error) {
	if p.poisoned {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Programs++
	if err == nil && latency <= p.timeout {
		t.o.Finished++
	} else {
		latency = p.timeout
		if t.started[p.root] {
			t.o.Abandoned++
		}
	}
	t.latency = append(t.latency, latency)
	t.ideal = append(t.ideal, p.idealLatency())
	if p.organisation == organisationRounds {
		t.quiet = append(t.quiet, latency)
	}
}

func (t *measurements) outcome() Outcome {
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
