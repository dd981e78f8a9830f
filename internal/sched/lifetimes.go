package sched

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yuccausher/internal/port"
)

// lifetimeGain is the weight of one program in its agent's mean lifetime and tokens.
const lifetimeGain = 0.05

// lifetimes estimates, per agent, the time from a program's first call to its end and
// the number of tokens that it holds after its last call. Child programs are not
// counted.
type lifetimes struct {
	mu      sync.Mutex
	started *lru.Cache[string, startedProgram]
	means   map[string]meanProgram
}

// meanProgram holds the mean lifetime and the mean final tokens of an agent's programs.
type meanProgram struct {
	lifetime time.Duration
	tokens   int64
}

type startedProgram struct {
	agent     string
	startedAt time.Time
	tokens    int64
}

func newLifetimes() *lifetimes {
	begun, _ := lru.New[string, startedProgram](maxTrackedPrograms)
	return &lifetimes{started: begun, means: make(map[string]meanProgram)}
}

func (l *lifetimes) begin(work port.Work, now time.Time) {
	if work.Turns > 0 || work.ProgramID != work.RootID {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started.ContainsOrAdd(work.ProgramID, startedProgram{agent: work.Agent, startedAt: now})
}

// recordTokens records the number of tokens that a program holds after a call.
func (l *lifetimes) recordTokens(program string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.started.Peek(program)
	if !ok {
		return
	}
	known.tokens = tokens
	l.started.Add(program, known)
}

func (l *lifetimes) end(program string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.started.Peek(program)
	if !ok {
		return
	}
	l.started.Remove(program)
	if known.tokens == 0 {
		return
	}
	length := now.Sub(known.startedAt)
	old, ok := l.means[known.agent]
	if !ok {
		old = meanProgram{length, known.tokens}
	}
	old.lifetime += time.Duration(lifetimeGain * float64(length-old.lifetime))
	old.tokens += int64(lifetimeGain * float64(known.tokens-old.tokens))
	l.means[known.agent] = old
}

// mean returns the mean lifetime and tokens of an agent's programs, or zeros if none has
// ended yet.
func (l *lifetimes) mean(agent string) (time.Duration, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.means[agent]
	return known.lifetime, known.tokens
}
