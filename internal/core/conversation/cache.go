package conversation

import (
	"container/list"
	"time"
)

// TurnCache is a least recently used cache of turns, bounded in bytes. It is not safe
// for concurrent use.
type TurnCache struct {
	limit int
	bytes int
	turns map[string]*list.Element
	// order holds the turns, the most recently used one at the back.
	order *list.List
	// evicted counts the turns that were removed to stay within the limit.
	evicted int
}

// NewTurnCache returns an empty cache of up to limit bytes. A single turn may exceed
// the limit.
func NewTurnCache(limit int) *TurnCache {
	return &TurnCache{limit: limit, turns: make(map[string]*list.Element), order: list.New()}
}

// Add adds a turn and evicts others if necessary. A turn that the cache already
// contains is not replaced.
func (c *TurnCache) Add(t *Turn) {
	if e := c.turns[t.ID]; e != nil {
		c.order.MoveToBack(e)
		return
	}
	c.turns[t.ID] = c.order.PushBack(t)
	c.bytes += t.Size()
	for c.bytes > c.limit && c.order.Len() > 1 {
		c.remove(c.order.Front())
		c.evicted++
	}
}

func (c *TurnCache) remove(e *list.Element) {
	t := c.order.Remove(e).(*Turn)
	delete(c.turns, t.ID)
	c.bytes -= t.Size()
}

// Chain returns a turn and all turns before it, or nil if the cache does not contain
// all of them.
func (c *TurnCache) Chain(id string) Chain {
	var found []*list.Element
	for id != "" {
		e := c.turns[id]
		if e == nil || len(found) > len(c.turns) {
			return nil
		}
		found = append(found, e)
		id = e.Value.(*Turn).Previous
	}
	chain := make(Chain, len(found))
	for i, e := range found {
		chain[len(found)-1-i] = e.Value.(*Turn)
		c.order.MoveToBack(e)
	}
	return chain
}

// Turn returns a turn, or nil if the cache does not contain it.
func (c *TurnCache) Turn(id string) *Turn {
	if e := c.turns[id]; e != nil {
		return e.Value.(*Turn)
	}
	return nil
}

// Forget removes the turns that ended before a time.
func (c *TurnCache) Forget(before time.Time) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*Turn).EndedAt.Before(before) {
			c.remove(e)
		}
		e = next
	}
}

// Bytes returns the approximate memory of the turns, in bytes.
func (c *TurnCache) Bytes() int { return c.bytes }

// Len returns the number of turns.
func (c *TurnCache) Len() int { return len(c.turns) }

// Evicted returns how many turns were removed to stay within the limit.
func (c *TurnCache) Evicted() int { return c.evicted }
