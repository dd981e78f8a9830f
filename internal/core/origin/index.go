package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/core/fleet"
)

// Stream is the hash of the request ID of a stream.
type Stream uint64

// StreamOf returns the stream that a request has begun.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Start says which release runs a stream.
type Start struct {
	Stream  Stream
	Release fleet.Release
	// Change counts how often the release has changed before the first event.
	Change uint32
	// At is when the stream was sent to the release.
	At time.Time
}

// Index holds the starts of streams. It is not safe for concurrent use.
type Index struct {
	limit  int
	starts map[Stream]start
	// releases holds the releases of all starts; starts refer to them by position, since
	// there are few.
	releases []fleet.Release
}

type start struct {
	at      int64
	release int32
	change  uint32
}

// NewIndex returns an index for up to limit starts.
func NewIndex(limit int) *Index { return &Index{limit: limit, starts: make(map[Stream]start)} }

// Put adds a start, unless a later one of the stream is known. It returns false if the index is
// full.
func (x *Index) Put(s Start) bool {
	old, isKnown := x.starts[s.Stream]
	if isKnown && old.change > s.Change {
		return true
	}
	if !isKnown && len(x.starts) >= x.limit {
		return false
	}
	x.starts[s.Stream] = start{at: s.At.UnixNano(), release: x.position(s.Release), change: s.Change}
	return true
}

func (x *Index) position(r fleet.Release) int32 {
	for i, known := range x.releases {
		if known == r {
			return int32(i)
		}
	}
	x.releases = append(x.releases, r)
	return int32(len(x.releases) - 1)
}

// Get returns the start of a stream, or false if it is not known.
func (x *Index) Get(s Stream) (Start, bool) {
	found, isKnown := x.starts[s]
	if !isKnown {
		return Start{}, false
	}
	return x.export(s, found), true
}

func (x *Index) export(s Stream, v start) Start {
	return Start{Stream: s, Release: x.releases[v.release], Change: v.change, At: time.Unix(0, v.at)}
}

// Of returns the starts of a service's streams.
func (x *Index) Of(service string) []Start {
	var list []Start
	for s, v := range x.starts {
		if x.releases[v.release].Service == service {
			list = append(list, x.export(s, v))
		}
	}
	return list
}

// Delete removes the start of a stream.
func (x *Index) Delete(s Stream) { delete(x.starts, s) }

// Expire removes the starts before a time.
func (x *Index) Expire(before time.Time) {
	limit := before.UnixNano()
	for s, v := range x.starts {
		if v.at < limit {
			delete(x.starts, s)
		}
	}
	if len(x.starts) == 0 {
		x.releases = nil
	}
}

// Len returns the number of starts.
func (x *Index) Len() int { return len(x.starts) }
