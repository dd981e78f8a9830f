package admission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is how fast used service is forgotten.
	shareHalfLife = time.Minute
	// shareMargin is the part of its share up to which an organisation is
	// entitled.
	shareMargin = 0.75
	// newRoom is the multiple of its share that an organisation's running calls
	// may fill before its new programs have to wait.
	newRoom = 2
	// leastUse is the service, in slots, below which an organisation counts as
	// absent.
	leastUse = 0.01
)

// Shares accounts the service that each organisation uses at a group of
// targets, and tells which organisations use less than their shares. It is not
// safe for concurrent use.
type Shares struct {
	organisations map[string]*use
}

type use struct {
	weight float64
	// seconds is the decayed sum of service time, as of at.
	seconds float64
	at      time.Time
	running int
}

// NewShares returns an empty account.
func NewShares() *Shares { return &Shares{organisations: make(map[string]*use)} }

// Begin counts a call of an organisation in.
func (s *Shares) Begin(now time.Time, organisation string, weight int) {
	u := s.organisations[organisation]
	if u == nil {
		s.forget(now)
		u = &use{at: now}
		s.organisations[organisation] = u
	}
	u.weight = float64(max(weight, 1))
	u.running++
}

// End counts a call out and accounts its service.
func (s *Shares) End(now time.Time, organisation string, service time.Duration) {
	u := s.organisations[organisation]
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
	for name, u := range s.organisations {
		if u.running <= 0 && u.slots(now) < leastUse {
			delete(s.organisations, name)
		}
	}
}

// Entitled says whether an organisation uses clearly less than its share of the
// slots that this host may use, among the organisations that use any. A new
// program also has to fit into the share at once, since a flood begins before
// it is accounted.
func (s *Shares) Entitled(now time.Time, organisation string, weight int, slots float64, isNew bool) bool {
	own := float64(max(weight, 1))
	total := own
	used, running := 0.0, 0
	for name, u := range s.organisations {
		switch {
		case name == organisation:
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
