package standin

import (
	"slices"
	"time"

	"yuccausher/internal/port"
)

const (
	keptEvents = 4096
	// lossStep spreads the lost events evenly over the sequence.
	lossStep  = 619
	lossScale = 1000
)

// eventLog keeps the last cache events of an engine.
type eventLog struct {
	delay  time.Duration
	loss   float64
	seq    uint64
	events []lateEvent
}

type lateEvent struct {
	visibleAt time.Time
	event     port.CacheEvent
}

// add numbers an event and keeps it, unless it is one of the lost.
func (l *eventLog) add(event port.CacheEvent) {
	l.seq++
	event.Seq = l.seq
	if float64(l.seq*lossStep%lossScale) < l.loss*lossScale {
		return
	}
	l.events = append(l.events, lateEvent{time.Now().Add(l.delay), event})
	if len(l.events) > keptEvents {
		l.events = l.events[len(l.events)-keptEvents:]
	}
}

// after returns the events after seq that can be seen at now.
func (l *eventLog) after(seq uint64, now time.Time) []port.CacheEvent {
	var out []port.CacheEvent
	for _, e := range l.events {
		if e.event.Seq > seq && !e.visibleAt.After(now) {
			out = append(out, e.event)
		}
	}
	return out
}

// last returns the sequence number of the newest event that can be seen at now.
func (l *eventLog) last(now time.Time) uint64 {
	for _, e := range slices.Backward(l.events) {
		if !e.visibleAt.After(now) {
			return e.event.Seq
		}
	}
	return 0
}
