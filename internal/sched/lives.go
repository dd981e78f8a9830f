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
// call to their end, and how many tokens they hold at last. Child programs are not
// counted.
type lives struct {
	mu    sync.Mutex
	begun *lru.Cache[string, life]
	mean  map[string]usual
}

// usual is the mean program of an agent.
type usual struct {
	life   time.Duration
	tokens int64
}

type life struct {
	agent  string
	since  time.Time
	tokens int64
}

func newLives() *lives {
	begun, _ := lru.New[string, life](beliefCapacity)
	return &lives{begun: begun, mean: make(map[string]usual)}
}

func (l *lives) begin(work port.Work, now time.Time) {
	if work.Turns > 0 || work.ProgramID != work.RootID {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun.ContainsOrAdd(work.ProgramID, life{agent: work.Agent, since: now})
}

// served notes how many tokens a program holds after a call.
func (l *lives) served(program string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.begun.Peek(program)
	if !ok {
		return
	}
	known.tokens = tokens
	l.begun.Add(program, known)
}

func (l *lives) end(program string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.begun.Peek(program)
	if !ok {
		return
	}
	l.begun.Remove(program)
	if known.tokens == 0 {
		return
	}
	length := now.Sub(known.since)
	old, ok := l.mean[known.agent]
	if !ok {
		old = usual{length, known.tokens}
	}
	old.life += time.Duration(lifeGain * float64(length-old.life))
	old.tokens += int64(lifeGain * float64(known.tokens-old.tokens))
	l.mean[known.agent] = old
}

// usual returns the mean life and tokens of an agent's programs; zero if none
// is known.
func (l *lives) usual(agent string) (time.Duration, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.mean[agent]
	return known.life, known.tokens
}
