package sched

import (
	"sync"
	"time"

	"yuccausher/internal/port"
)

const (
	// defaultPause is the assumed pause of an agent before the first measurement.
	defaultPause = 5 * time.Second
	// pauseGain is the weight of a new pause in an agent's moving average.
	pauseGain = 0.1
	// maxPausingPrograms is the maximum number of pausing programs that are tracked.
	maxPausingPrograms = maxTrackedPrograms
)

// pauses tracks the programs that wait for their callers between two calls, and
// estimates the length of such pauses per agent.
type pauses struct {
	mu      sync.Mutex
	mean    map[string]time.Duration
	pausing map[string]pause
}

type pause struct {
	work  port.Work
	since time.Time
}

func newPauses() *pauses {
	return &pauses{mean: make(map[string]time.Duration), pausing: make(map[string]pause)}
}

func (p *pauses) begin(work port.Work, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pausing) >= maxPausingPrograms {
		return
	}
	p.pausing[work.ProgramID] = pause{work: work, since: now}
}

// resume ends the pause of a program, if there is one, and updates the agent's mean.
func (p *pauses) resume(work port.Work, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.pausing[work.ProgramID]
	if !ok {
		return
	}
	delete(p.pausing, work.ProgramID)
	length := now.Sub(known.since)
	old, ok := p.mean[work.Agent]
	if !ok {
		p.mean[work.Agent] = length
		return
	}
	p.mean[work.Agent] = old + time.Duration(pauseGain*float64(length-old))
}

func (p *pauses) forget(program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pausing, program)
}

// expected returns the expected remaining length of a pause. Pauses are heavy-tailed, so
// one that has lasted longer than the mean is expected to last as long again.
func (p *pauses) expected(k pause, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.mean[k.work.Agent]
	if !ok {
		mean = defaultPause
	}
	return max(mean, now.Sub(k.since))
}

// list returns the current pauses.
func (p *pauses) list() []pause {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]pause, 0, len(p.pausing))
	for _, k := range p.pausing {
		all = append(all, k)
	}
	return all
}
