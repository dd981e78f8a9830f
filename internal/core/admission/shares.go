package admission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the half-life of used service.
	shareHalfLife = time.Minute
	// entitledShare is the part of its share below which an organisation is entitled.
	entitledShare = 0.75
	// newProgramFactor is the multiple of its share at which the running calls of an
	// organisation end the entitlement of its new programs.
	newProgramFactor = 2
	// minSlots is the mean number of used slots below which an organisation without
	// running calls counts as absent.
	minSlots = 0.01
)

// Shares tracks the service that each organisation uses at a group of targets, and
// determines which organisations use less than their shares. It is not safe for
// concurrent use.
type Shares struct {
	organisations map[string]*usage
}

type usage struct {
	weight float64
	// seconds is the decayed sum of service time, as of at.
	seconds float64
	at      time.Time
	running int
}

// NewShares returns shares without any used service.
func NewShares() *Shares { return &Shares{organisations: make(map[string]*usage)} }

// Begin counts a call of an organisation as running.
func (s *Shares) Begin(now time.Time, organisation string, weight int) {
	u := s.organisations[organisation]
	if u == nil {
		s.dropIdle(now)
		u = &usage{at: now}
		s.organisations[organisation] = u
	}
	u.weight = float64(max(weight, 1))
	u.running++
}

// End removes a running call and adds its service time.
func (s *Shares) End(now time.Time, organisation string, service time.Duration) {
	u := s.organisations[organisation]
	if u == nil {
		return
	}
	u.running--
	u.seconds = u.decayed(now) + service.Seconds()
	u.at = now
}

func (u *usage) decayed(now time.Time) float64 {
	return u.seconds * math.Exp2(-float64(now.Sub(u.at))/float64(shareHalfLife))
}

// slots returns the mean number of used slots that corresponds to the decayed sum.
func (u *usage) slots(now time.Time) float64 {
	return u.decayed(now) * math.Ln2 / shareHalfLife.Seconds()
}

func (s *Shares) dropIdle(now time.Time) {
	for name, u := range s.organisations {
		if u.running <= 0 && u.slots(now) < minSlots {
			delete(s.organisations, name)
		}
	}
}

// Entitled reports whether an organisation uses clearly less than its share of the
// slots that this host may use. Only organisations that use any slots have a share. For
// a new program, the running calls of the organisation are limited as well, because
// calls of a burst start before their service time is counted.
func (s *Shares) Entitled(now time.Time, organisation string, weight int, slots float64, isNew bool) bool {
	own := float64(max(weight, 1))
	total := own
	used, running := 0.0, 0
	for name, u := range s.organisations {
		switch {
		case name == organisation:
			used, running = u.slots(now), u.running
		case u.running > 0 || u.slots(now) >= minSlots:
			total += u.weight
		}
	}
	share := slots * own / total
	if isNew && float64(running) >= newProgramFactor*share {
		return false
	}
	return used < entitledShare*share
}
