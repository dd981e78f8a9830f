package conversation

import (
	"container/list"
	"time"
)

// Book is what a host remembers of turns, bounded in bytes. It is not safe for
// concurrent use.
type TurnCache struct {
	limit int
	bytes int
	turns map[string]*list.Element
	// order holds the turns, the one that was used last at the back.
	order *list.List
	// evicted counts the turns that were dropped for want of room.
	evicted int
}

// NewBook returns an empty book that holds up to limit bytes.
func NewTurnCache(limit int) *TurnCache {
	return &TurnCache{limit: limit, turns: make(map[string]*list.Element), order: list.New()}
}

// Add takes a turn. One that is known already stays as it is.
func (b *TurnCache) Add(t *Turn) {
	if e := b.turns[t.ID]; e != nil {
		b.order.MoveToBack(e)
		return
	}
	b.turns[t.ID] = b.order.PushBack(t)
	b.bytes += t.Size()
	for b.bytes > b.limit && b.order.Len() > 1 {
		b.drop(b.order.Front())
		b.evicted++
	}
}

func (b *TurnCache) drop(e *list.Element) {
	t := b.order.Remove(e).(*Turn)
	delete(b.turns, t.ID)
	b.bytes -= t.Size()
}

// Chain returns a turn and all before it, or nil if one of them is not known.
func (b *TurnCache) Chain(id string) Chain {
	var found []*list.Element
	for id != "" {
		e := b.turns[id]
		if e == nil || len(found) > len(b.turns) {
			return nil
		}
		found = append(found, e)
		id = e.Value.(*Turn).Previous
	}
	chain := make(Chain, len(found))
	for i, e := range found {
		chain[len(found)-1-i] = e.Value.(*Turn)
		b.order.MoveToBack(e)
	}
	return chain
}

// Turn returns a turn, or nil.
func (b *TurnCache) Turn(id string) *Turn {
	if e := b.turns[id]; e != nil {
		return e.Value.(*Turn)
	}
	return nil
}

// Forget drops the turns that ended before a time.
func (b *TurnCache) Forget(before time.Time) {
	for e := b.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*Turn).EndedAt.Before(before) {
			b.drop(e)
		}
		e = next
	}
}

// Bytes is about the memory that the turns take.
func (b *TurnCache) Bytes() int { return b.bytes }

// Len returns how many turns are known.
func (b *TurnCache) Len() int { return len(b.turns) }

// Evicted returns how many turns were dropped for want of room.
func (b *TurnCache) Evicted() int { return b.evicted }
