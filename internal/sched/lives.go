package sched

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yuccausher/internal/port"
)

// lifeGain is the weight of one program in its agent's mean life.
const lifeGain = 0.05

// lives learns how long the programs of an agent usually take from their first
// call to their end. Sub-agents are not counted.
type lives struct {
	mu    sync.Mutex
	begun *lru.Cache[string, life]
	mean  map[string]time.Duration
}

type life struct {
	agent string
	since time.Time
}

func newLives() *lives {
	begun, _ := lru.New[string, life](beliefCapacity)
	return &lives{begun: begun, mean: make(map[string]time.Duration)}
}

func (l *lives) begin(work port.Work, now time.Time) {
	if work.Turns > 0 || work.ProgramID != work.RootID {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun.ContainsOrAdd(work.ProgramID, life{agent: work.Agent, since: now})
}

func (l *lives) end(program string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.begun.Peek(program)
	if !ok {
		return
	}
	l.begun.Remove(program)
	length := now.Sub(known.since)
	old, ok := l.mean[known.agent]
	if !ok {
		l.mean[known.agent] = length
		return
	}
	l.mean[known.agent] = old + time.Duration(lifeGain*float64(length-old))
}

// usual returns the mean life of an agent's programs; zero if none is known.
func (l *lives) usual(agent string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean[agent]
}
