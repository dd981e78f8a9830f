package routing

import "time"

const (
	// initialPrefillRate is assumed until a rate was observed, in tokens per second.
	initialPrefillRate = 5000.0
	// initialService is the duration of a call that is assumed until one was
	// observed, in seconds.
	initialService = 1.0
	// minUncached is the minimum number of uncached tokens of a call from which the
	// prefill rate is estimated.
	minUncached = 200
	// The weights of one sample. The prefill rate rises fast and falls slowly, since
	// queueing makes the observed rate lower than the actual one.
	riseGain = 0.3
	fallGain = 0.0002
	meanGain = 0.05
	baseGain = 0.0002
)

// Speeds estimates the speed of a group of targets. It is not safe for concurrent
// use. The zero value is ready to use.
type Speeds struct {
	prefill float64
	base    float64
	service float64
	decode  float64
}

// Observe updates the estimates with one complete answer: its number of uncached
// prompt tokens, its time to the first token, and its total time.
func (s *Speeds) Observe(uncached int64, first, total time.Duration) {
	if total <= 0 {
		return
	}
	s.service = mean(s.service, total.Seconds())
	s.decode = mean(s.decode, max(total-first, 0).Seconds())
	if first <= 0 {
		return
	}
	if uncached < minUncached {
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

// MemoryReserve adapts the share of the targets' memory that new programs must leave
// free. The share rises with each expected prefix that a target had evicted and falls
// slowly with each that it still held, so that few are lost regardless of what else
// uses the memory. It is not safe for concurrent use.
type MemoryReserve struct{ share float64 }

const (
	// lossIncrease and foundDecrease are shares of the memory. Their ratio sets the
	// share of lost prefixes at which the reserve is stable.
	lossIncrease  = 0.02
	foundDecrease = 0.0004
	// lossShare is the share of an expected prefix below which it counts as lost.
	lossShare = 0.5
	// maxMemoryReserve leaves at least half of the memory to new programs.
	maxMemoryReserve = 0.5
)

// Observe updates the reserve with the expected and the reported number of cached
// tokens of an answer.
func (m *MemoryReserve) Observe(expected, reported float64) {
	if expected < 1 {
		return
	}
	if reported < lossShare*expected {
		m.share = min(m.share+lossIncrease, maxMemoryReserve)
		return
	}
	m.share = max(m.share-foundDecrease, 0)
}

// Share returns the share of memory that new programs must leave free.
func (m *MemoryReserve) Share() float64 { return m.share }

// observeBase updates the base time to the first token, which is the lowest one of
// calls with little prefill. It rises slowly.
func (s *Speeds) observeBase(first time.Duration) {
	seconds := first.Seconds()
	if s.base == 0 || seconds < s.base {
		s.base = seconds
		return
	}
	s.base += baseGain * (seconds - s.base)
}

// mean returns the moving average with a new sample.
func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + meanGain*(sample-old)
}

// PrefillRate returns the prefill speed in tokens per second.
func (s *Speeds) PrefillRate() float64 {
	if s.prefill == 0 {
		return initialPrefillRate
	}
	return s.prefill
}

// ServiceTime returns the mean duration of a call at a target, in seconds.
func (s *Speeds) ServiceTime() float64 {
	if s.service == 0 {
		return initialService
	}
	return s.service
}

// DecodeTime returns the mean time after the first token, in seconds.
func (s *Speeds) DecodeTime() float64 { return s.decode }

// FirstTokenTime returns the expected time to the first token at an idle target.
func (s *Speeds) FirstTokenTime(uncached int64) time.Duration {
	seconds := s.base + float64(uncached)/s.PrefillRate()
	return time.Duration(seconds * float64(time.Second))
}
