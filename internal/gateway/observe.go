package gateway

import (
	"time"

	"yuccausher/internal/core/targetload"
)

// maxWriteShare is the share of a stream's time that may pass in writing to the caller. A slow
// caller holds up the target, so that the times of the events are the caller's.
const maxWriteShare = 0.1

// streamTimes are the times of the events of one stream from a target.
type streamTimes struct {
	first, last time.Time
	events      int
	// writing is the time spent in writing to the caller.
	writing time.Duration
}

// received records an event.
func (t *streamTimes) received(now time.Time) {
	if t.events == 0 {
		t.first = now
	}
	t.last = now
	t.events++
}

// sample returns what the stream shows of its target; false if too little.
func (t *streamTimes) sample(first time.Duration) (targetload.Sample, bool) {
	span := t.last.Sub(t.first)
	if t.events < targetload.MinEvents || t.writing.Seconds() > maxWriteShare*span.Seconds() {
		return targetload.Sample{}, false
	}
	return targetload.Sample{First: first, Gap: span / time.Duration(t.events-1), Events: t.events}, true
}

// observeStream tells the placement what a complete stream shows of its target.
func (j *job) observeStream(t *streamTimes, first time.Duration) {
	if !j.hasEngine || j.place.Observe == nil {
		return
	}
	if s, ok := t.sample(first); ok {
		s.PromptTokens = j.call.PromptTokens
		if j.place.Index == 0 {
			s.CachedTokens = j.call.PrivateTokens
		}
		j.place.Observe(s)
	}
}

// observeRefusal tells the placement that a target has refused the request as full.
func (j *job) observeRefusal() {
	if j.hasEngine && j.place.Observe != nil {
		j.place.Observe(targetload.Sample{IsRefused: true})
	}
}
