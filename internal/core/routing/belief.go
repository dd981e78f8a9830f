package routing

import (
	"math"
	"time"
)

const (
	// maxHolders is how many holders of one program are remembered.
	maxHolders = 4
	// calmHalfLife is the half-life of a belief while the target's memory is
	// not full.
	calmHalfLife = 20 * time.Minute
	// fullHalfLife is the half-life while it is full and evicts.
	fullHalfLife = 2 * time.Minute
	// fullPressure is the share of used memory that counts as full.
	fullPressure = 0.75
)

// Belief is what a host believes of the cache of one program. It is not safe
// for concurrent use.
type CacheLocations struct {
	entries []entry
}

type entry struct {
	target      *Target
	tokens      int64
	at          time.Time
	incarnation uint64
}

// Set records that a target holds tokens, confirmed at a time. An older
// confirmation than the one known changes nothing.
func (b *CacheLocations) Set(t *Target, tokens int64, at time.Time) {
	for i := range b.entries {
		if b.entries[i].target != t {
			continue
		}
		if !at.Before(b.entries[i].at) {
			b.entries[i] = entry{t, tokens, at, t.Incarnation()}
		}
		return
	}
	b.add(entry{t, tokens, at, t.Incarnation()})
}

func (b *CacheLocations) add(e entry) {
	if len(b.entries) < maxHolders {
		b.entries = append(b.entries, e)
		return
	}
	oldest := 0
	for i := range b.entries {
		if b.entries[i].at.Before(b.entries[oldest].at) {
			oldest = i
		}
	}
	b.entries[oldest] = e
}

// Drop records that a target holds nothing any more, as known at a time.
func (b *CacheLocations) Drop(t *Target, at time.Time) { b.Set(t, 0, at) }

// Known says whether anything is recorded about a target.
func (b *CacheLocations) Has(t *Target) bool {
	for i := range b.entries {
		if b.entries[i].target == t {
			return true
		}
	}
	return false
}

// Holders appends the targets that are expected to hold a part of the prompt.
// Beliefs of an earlier incarnation count nothing; the others decay with age,
// and with the accuracy of earlier beliefs about the same target.
func (b *CacheLocations) Holders(now time.Time, buffer []Holder) []Holder {
	for i := range b.entries {
		e := &b.entries[i]
		if e.tokens == 0 || e.target.State() >= Leaving {
			continue
		}
		if known := e.target.Incarnation(); e.incarnation != 0 && known != e.incarnation {
			continue
		}
		buffer = append(buffer, Holder{Target: e.target, Tokens: e.expected(now)})
	}
	return buffer
}

func (e *entry) expected(now time.Time) float64 {
	halfLife := calmHalfLife
	if e.target.Pressure() > fullPressure {
		halfLife = fullHalfLife
	}
	age := now.Sub(e.at)
	confidence := math.Exp2(-float64(age) / float64(halfLife))
	return float64(e.tokens) * confidence * e.target.Accuracy()
}
