package admission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is how fast used service is forgotten.
	shareHalfLife = time.Minute
	// shareMargin is the part of its share up to which a firm is entitled.
	shareMargin = 0.75
	// newRoom is the multiple of its share that a firm's running calls may
	// fill before its new programs have to wait.
	newRoom = 2
	// leastUse is the service, in slots, below which a firm counts as absent.
	leastUse = 0.01
)

// Shares accounts the service that each firm uses at a group of targets, and
// tells which firms use less than their shares. It is not safe for concurrent
// use.
type Shares struct {
	firms map[string]*use
}

type use struct {
	weight float64
	// seconds is the decayed sum of service time, as of at.
	seconds float64
	at      time.Time
	running int
}

// NewShares returns an empty account.
func NewShares() *Shares { return &Shares{firms: make(map[string]*use)} }

// Begin counts a call of a firm in.
func (s *Shares) Begin(now time.Time, firm string, weight int) {
	u := s.firms[firm]
	if u == nil {
		s.forget(now)
		u = &use{at: now}
		s.firms[firm] = u
	}
	u.weight = float64(max(weight, 1))
	u.running++
}

// End counts a call out and accounts its service.
func (s *Shares) End(now time.Time, firm string, service time.Duration) {
	u := s.firms[firm]
	if u == nil {
		return
	}
	u.running--
	u.seconds = u.decayed(now) + service.Seconds()
	u.at = now
}

func (u *use) decayed(now time.Time) float64 {
	return u.seconds * math.Exp2(-float64(now.Sub(u.at))/float64(shareHalfLife))
}

// slots is the mean number of slots in use that a decayed sum stands for.
func (u *use) slots(now time.Time) float64 {
	return u.decayed(now) * math.Ln2 / shareHalfLife.Seconds()
}

func (s *Shares) forget(now time.Time) {
	for name, u := range s.firms {
		if u.running <= 0 && u.slots(now) < leastUse {
			delete(s.firms, name)
		}
	}
}

// Entitled says whether a firm uses clearly less than its share of the slots
// that this host may use, among the firms that use any. A new program also has
// to fit into the share at once, since a flood begins before it is accounted.
func (s *Shares) Entitled(now time.Time, firm string, weight int, slots float64, isNew bool) bool {
	own := float64(max(weight, 1))
	total := own
	used, running := 0.0, 0
	for name, u := range s.firms {
		switch {
		case name == firm:
			used, running = u.slots(now), u.running
		case u.running > 0 || u.slots(now) >= leastUse:
			total += u.weight
		}
	}
	share := slots * own / total
	if isNew && float64(running) >= newRoom*share {
		return false
	}
	return used < shareMargin*share
}
