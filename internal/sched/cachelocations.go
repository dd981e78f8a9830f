package sched

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// cacheLocations records the targets that probably hold the caches of programs, for the
// most recently used programs. It is safe for concurrent use.
type cacheLocations struct {
	mu       sync.Mutex
	programs *lru.Cache[string, *routing.CacheLocations]
}

func newCacheLocations() *cacheLocations {
	programs, _ := lru.New[string, *routing.CacheLocations](maxTrackedPrograms)
	return &cacheLocations{programs: programs}
}

func (b *cacheLocations) set(program string, t *routing.Target, tokens int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(program).Set(t, tokens, at)
}

func (b *cacheLocations) get(program string) *routing.CacheLocations {
	known, ok := b.programs.Get(program)
	if !ok {
		known = &routing.CacheLocations{}
		b.programs.Add(program, known)
	}
	return known
}

// event records a cache event that a target reported. Events of untracked programs are
// ignored.
func (b *cacheLocations) event(t *routing.Target, e port.CacheEvent, at time.Time) {
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

func (b *cacheLocations) forget(program string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.programs.Remove(program)
}

// holders appends to buffer the targets of a pool that probably hold a part of the
// prompt. work.CachedAt is used for targets without a record. The caller holds the
// pool's lock.
func (b *cacheLocations) holders(work port.Work, p *pool, now time.Time, buffer []routing.Holder) []routing.Holder {
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
		if t := p.routeNamed(name); t != nil && !known.Has(t) {
			known.Set(t, tokens, now)
		}
	}
	return known.Holders(now, buffer)
}
