package routing

import (
	"math"
	"time"
)

const (
	// maxHolders is the maximum number of targets recorded for one program.
	maxHolders = 4
	// normalHalfLife is the half-life of the confidence in a location while the
	// target's memory is not full.
	normalHalfLife = 20 * time.Minute
	// fullHalfLife is the half-life while the memory is full and the target evicts.
	fullHalfLife = 2 * time.Minute
	// fullPressure is the share of used memory above which it counts as full.
	fullPressure = 0.75
)

// CacheLocations records which targets hold cached tokens of one program, as far as a
// host knows. It is not safe for concurrent use.
type CacheLocations struct {
	locations []location
}

type location struct {
	target      *Target
	tokens      int64
	at          time.Time
	incarnation uint64
}

// Set records that a target held a number of tokens at a time. It is ignored if a
// later record of the target exists. Beyond maxHolders targets, the oldest record
// is replaced.
func (c *CacheLocations) Set(t *Target, tokens int64, at time.Time) {
	for i := range c.locations {
		if c.locations[i].target != t {
			continue
		}
		if !at.Before(c.locations[i].at) {
			c.locations[i] = location{t, tokens, at, t.Incarnation()}
		}
		return
	}
	c.add(location{t, tokens, at, t.Incarnation()})
}

func (c *CacheLocations) add(l location) {
	if len(c.locations) < maxHolders {
		c.locations = append(c.locations, l)
		return
	}
	oldest := 0
	for i := range c.locations {
		if c.locations[i].at.Before(c.locations[oldest].at) {
			oldest = i
		}
	}
	c.locations[oldest] = l
}

// Drop records that a target held no tokens at a time.
func (c *CacheLocations) Drop(t *Target, at time.Time) { c.Set(t, 0, at) }

// Has reports whether there is a record of a target, even one of zero tokens.
func (c *CacheLocations) Has(t *Target) bool {
	for i := range c.locations {
		if c.locations[i].target == t {
			return true
		}
	}
	return false
}

// Holders appends to buffer the targets that probably hold a part of the prompt, with
// the expected number of tokens. Records of an earlier incarnation of a target are
// ignored. The expected number decreases with the age of the record and with the
// inaccuracy of earlier estimates for the same target.
func (c *CacheLocations) Holders(now time.Time, buffer []Holder) []Holder {
	for i := range c.locations {
		l := &c.locations[i]
		if l.tokens == 0 || l.target.State() >= Leaving {
			continue
		}
		if current := l.target.Incarnation(); l.incarnation != 0 && current != l.incarnation {
			continue
		}
		buffer = append(buffer, Holder{Target: l.target, Tokens: l.expectedTokens(now)})
	}
	return buffer
}

func (l *location) expectedTokens(now time.Time) float64 {
	halfLife := normalHalfLife
	if l.target.Pressure() > fullPressure {
		halfLife = fullHalfLife
	}
	age := now.Sub(l.at)
	confidence := math.Exp2(-float64(age) / float64(halfLife))
	return float64(l.tokens) * confidence * l.target.Accuracy()
}
