package standin

import (
	"slices"
	"sync"

	"yuccausher/internal/port"
)

// KVStore is a small place outside the engines that keeps exported KV caches.
type KVStore struct {
	mu       sync.Mutex
	prefixes map[string]prefix
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{prefixes: make(map[string]prefix)}
}

func (s *KVStore) put(program string, p prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefixes[program] = p
}

func (s *KVStore) get(program string) (prefix, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.prefixes[program]
	return p, ok
}

// kvEntry is the KV cache of one program.
type kvEntry struct {
	prefix  prefix
	tokens  int64
	pins    int
	usedSeq uint64
}

// kvCache is the KV memory of one engine, in tokens. Programs that are not
// running are evicted, the least recently used first.
type kvCache struct {
	capacity int64
	// used is what the entries and the running requests hold.
	used    int64
	entries map[string]*kvEntry
	uses    uint64
	// changed is told of each entry that is stored or evicted.
	changed func(event port.CacheEvent)
}

func newKVCache(capacity int64, changed func(port.CacheEvent)) *kvCache {
	return &kvCache{capacity: capacity, entries: make(map[string]*kvEntry), changed: changed}
}

// cached returns how many tokens of a prompt the program's entry holds.
func (c *kvCache) cached(program string, p prefix) int64 {
	e := c.entries[program]
	if e == nil {
		return 0
	}
	return e.prefix.common(p)
}

// reserve makes room for a request of the program and pins its entry. It
// returns false, and changes nothing but evictions, if there is no room.
func (c *kvCache) reserve(program string, tokens int64) bool {
	e := c.entry(program)
	e.pins++
	for c.used+tokens > c.capacity {
		if !c.evictOldest() {
			c.unpin(program)
			return false
		}
	}
	c.used += tokens
	return true
}

// release gives a reservation back and stores the prefix that was computed.
func (c *kvCache) release(program string, tokens int64, computed prefix) {
	c.used -= tokens
	c.store(program, computed)
	c.unpin(program)
}

func (c *kvCache) entry(program string) *kvEntry {
	e := c.entries[program]
	if e == nil {
		e = &kvEntry{}
		c.entries[program] = e
	}
	return e
}

func (c *kvCache) unpin(program string) {
	e := c.entries[program]
	e.pins--
	if e.pins == 0 && e.tokens == 0 {
		delete(c.entries, program)
	}
}

// store keeps a prefix for a program as its most recent one.
func (c *kvCache) store(program string, p prefix) {
	e := c.entry(program)
	c.uses++
	c.used += p.tokens() - e.tokens
	e.prefix, e.tokens, e.usedSeq = p, p.tokens(), c.uses
	c.changed(port.CacheEvent{ProgramID: program, Tokens: e.tokens})
}

// evict drops a program's entry. It says whether there was one to drop.
func (c *kvCache) evict(program string) bool {
	e := c.entries[program]
	if e == nil || e.pins > 0 {
		return false
	}
	delete(c.entries, program)
	c.used -= e.tokens
	c.changed(port.CacheEvent{ProgramID: program, Tokens: e.tokens, Evicted: true})
	return true
}

func (c *kvCache) evictOldest() bool {
	var oldest string
	var found *kvEntry
	for program, e := range c.entries {
		if e.pins > 0 {
			continue
		}
		if found == nil || e.usedSeq < found.usedSeq {
			oldest, found = program, e
		}
	}
	return found != nil && c.evict(oldest)
}

// programs returns the programs with an entry, sorted.
func (c *kvCache) programs() []string {
	names := make([]string, 0, len(c.entries))
	for program := range c.entries {
		names = append(names, program)
	}
	slices.Sort(names)
	return names
}
