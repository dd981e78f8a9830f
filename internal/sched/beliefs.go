package sched

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// beliefs holds what is believed of the caches of programs.
type beliefs struct {
	mu       sync.Mutex
	programs *lru.Cache[string, *routing.CacheLocations]
}

func newBeliefs() *beliefs {
	programs, _ := lru.New[string, *routing.CacheLocations](beliefCapacity)
	return &beliefs{programs: programs}
}

func (b *beliefs) set(program string, t *routing.Target, tokens int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(program).Set(t, tokens, at)
}

func (b *beliefs) get(program string) *routing.CacheLocations {
	known, ok := b.programs.Get(program)
	if !ok {
		known = &routing.CacheLocations{}
		b.programs.Add(program, known)
	}
	return known
}

// event takes a target's cache event, which may be as old as the last poll.
func (b *beliefs) event(t *routing.Target, e port.CacheEvent, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.programs.Peek(e.ProgramID)
	if !ok {
		return
	}
	if e.Evicted {
		known.Drop(t, at)
		return
	}
	known.Set(t, e.Tokens, at)
}

func (b *beliefs) forget(program string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.programs.Remove(program)
}

// holders appends the targets of a pool that are expected to hold a part of
// the prompt. What the work itself says counts where nothing better is known.
func (b *beliefs) holders(work port.Work, p *pool, now time.Time, buffer []routing.Holder) []routing.Holder {
	if !p.isModel() {
		return buffer
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.programs.Get(work.ProgramID)
	if !ok && len(work.CachedAt) == 0 {
		return buffer
	}
	if !ok {
		known = b.get(work.ProgramID)
	}
	for name, tokens := range work.CachedAt {
		if t := p.named(name); t != nil && !known.Has(t) {
			known.Set(t, tokens, now)
		}
	}
	return known.Holders(now, buffer)
}
