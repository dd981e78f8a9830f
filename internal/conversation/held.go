package conversation

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/port"
)

// heldTTL is how long events are held after the latest one. Callers take streams up within their deadline.
const heldTTL = 30 * time.Second

// heldKey identifies an attempt at one host. A request that is handed over goes on under its ID after another event.
type heldKey struct{ stream, attempt, resumedAfter string }

// heldEvents holds what this host knows of the events of streams that callers may take up, up to a number of bytes. The
// streams that have been silent longest yield.
type heldEvents struct {
	limit int

	mu       sync.Mutex
	bytes    int
	byKey    map[heldKey]*list.Element
	byStream map[string][]heldKey
	// order holds the attempts, the one with the latest event at the back.
	order *list.List
}

type heldAttempt struct {
	conversation.Held
	key heldKey
	at  time.Time
}

func newHeldEvents(limit int) *heldEvents {
	return &heldEvents{limit: limit, byKey: make(map[heldKey]*list.Element), byStream: make(map[string][]heldKey), order: list.New()}
}

// add adds events of an attempt that follow those that are held already. It returns how many events of the stream are
// held then.
func (h *heldEvents) add(e port.AttemptEvents, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := heldKey{e.Stream, e.ID, e.ResumedAfter}
	element := h.byKey[key]
	if element == nil {
		t, ok := conversation.RestoreTranscript(e.Events, e.ResumedAfter)
		if e.From != 0 || !ok {
			return 0
		}
		element = h.order.PushBack(&heldAttempt{Held: conversation.Held{Attempt: e.Attempt, Transcript: t}, key: key})
		h.byKey[key] = element
		h.byStream[e.Stream] = append(h.byStream[e.Stream], key)
		h.bytes += t.Size()
	}
	a := element.Value.(*heldAttempt)
	if have := a.Transcript.Len(); e.From <= have {
		for _, event := range e.Events[min(have-e.From, len(e.Events)):] {
			before := a.Transcript.Size()
			a.Transcript.Append(event)
			h.bytes += a.Transcript.Size() - before
		}
	}
	a.at = now
	h.order.MoveToBack(element)
	held := a.Transcript.Len()
	h.expire(now)
	return held
}

// expire drops attempts that have ended long ago or exceed the limit. The caller holds h.mu.
func (h *heldEvents) expire(now time.Time) {
	for e := h.order.Front(); e != nil; e = h.order.Front() {
		a := e.Value.(*heldAttempt)
		if h.bytes <= h.limit && now.Sub(a.at) < heldTTL {
			return
		}
		h.order.Remove(e)
		delete(h.byKey, a.key)
		h.bytes -= a.Transcript.Size()
		keys := slices.DeleteFunc(h.byStream[a.key.stream], func(k heldKey) bool { return k == a.key })
		if len(keys) == 0 {
			delete(h.byStream, a.key.stream)
			continue
		}
		h.byStream[a.key.stream] = keys
	}
}

// find returns what is held of a stream.
func (h *heldEvents) find(stream string, now time.Time) []conversation.Held {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	var held []conversation.Held
	for _, key := range h.byStream[stream] {
		a := h.byKey[key].Value.(*heldAttempt)
		held = append(held, conversation.Held{Attempt: a.Attempt, Transcript: a.Transcript.Clone()})
	}
	return held
}

// size returns the memory of the held events, in bytes.
func (h *heldEvents) size(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	return h.bytes
}
