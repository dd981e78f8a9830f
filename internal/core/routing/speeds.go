package routing

import "time"

const (
	// initialPrefillRate is assumed until a target has shown its own, in
	// tokens a second.
	initialPrefillRate = 5000.0
	// initialService is the assumed time of a call, in seconds.
	initialService = 1.0
	// minSample is the fewest uncached tokens that tell the prefill rate.
	minSample = 200
	// Rates rise fast and fall slowly, since queueing hides the true one.
	riseGain = 0.3
	fallGain = 0.0002
	meanGain = 0.05
	baseGain = 0.0002
)

// Speeds learns how fast a group of targets is. It is not safe for concurrent
// use. The zero value is ready.
type Speeds struct {
	prefill float64
	base    float64
	service float64
	decode  float64
}

// Observe takes the times and counts of one whole answer.
func (s *Speeds) Observe(uncached int64, first, total time.Duration) {
	if total <= 0 {
		return
	}
	s.service = mean(s.service, total.Seconds())
	s.decode = mean(s.decode, max(total-first, 0).Seconds())
	if first <= 0 {
		return
	}
	if uncached < minSample {
		s.observeBase(first)
		return
	}
	seconds := max(first.Seconds()-s.base, first.Seconds()/2)
	sample := float64(uncached) / seconds
	switch {
	case s.prefill == 0:
		s.prefill = sample
	case sample > s.prefill:
		s.prefill += riseGain * (sample - s.prefill)
	default:
		s.prefill += fallGain * (sample - s.prefill)
	}
}

// Memory adapts the share of the targets' memory that has to stay free of new
// programs. It rises with each believed prefix that a target had evicted and
// falls slowly with each that was found, so that few are lost, whatever else
// fills the memory. It is not safe for concurrent use.
type MemoryReserve struct{ reduction float64 }

const (
	// lostStep and foundStep are in shares of the memory; their ratio is the
	// share of lost prefixes that is borne.
	lostStep  = 0.02
	foundStep = 0.0004
	// lossShare is the share of a believed prefix whose loss counts.
	lossShare = 0.5
	// maxReduction leaves new programs at least half of the memory.
	maxReduction = 0.5
)

// Observe takes the believed and the reported cached tokens of an answer.
func (m *MemoryReserve) Observe(believed, reported float64) {
	if believed < 1 {
		return
	}
	if reported < lossShare*believed {
		m.reduction = min(m.reduction+lostStep, maxReduction)
		return
	}
	m.reduction = max(m.reduction-foundStep, 0)
}

// Reduction returns the share of memory that has to stay free of new programs.
func (m *MemoryReserve) Share() float64 { return m.reduction }

// observeBase follows the least first-token time of calls with hardly any
// prefill.
func (s *Speeds) observeBase(first time.Duration) {
	seconds := first.Seconds()
	if s.base == 0 || seconds < s.base {
		s.base = seconds
		return
	}
	s.base += baseGain * (seconds - s.base)
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + meanGain*(sample-old)
}

// PrefillRate returns the speed of prefill in tokens a second.
func (s *Speeds) PrefillRate() float64 {
	if s.prefill == 0 {
		return initialPrefillRate
	}
	return s.prefill
}

// Service returns the mean time of a call at a target, in seconds.
func (s *Speeds) ServiceTime() float64 {
	if s.service == 0 {
		return initialService
	}
	return s.service
}

// Decode returns the mean time after the first token, in seconds.
func (s *Speeds) DecodeTime() float64 { return s.decode }

// FirstToken returns the time that an idle target takes to the first token.
func (s *Speeds) FirstTokenTime(uncached int64) time.Duration {
	seconds := s.base + float64(uncached)/s.PrefillRate()
	return time.Duration(seconds * float64(time.Second))
}
