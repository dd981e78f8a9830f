package occupancyrpc

import (
	"math"
	"time"

	"yuccausher/internal/core/targetload"
	"yuccausher/internal/gen/occupancy"
	"yuccausher/internal/port"
)

// learnedToWire returns the message of an estimate; nil if it says nothing.
func learnedToWire(l port.Learned) *occupancy.Learned {
	if l.Estimate == (targetload.Estimate{}) {
		return nil
	}
	return &occupancy.Learned{
		StartedAt:       l.StartedAt,
		Limit:           uint32(l.Limit),
		EventsPerSecond: l.EventsPerSecond,
		AgeMs:           uint32(min(max(l.Age.Milliseconds(), 0), math.MaxUint32)),
	}
}

// learnedFromWire returns the estimate of a message; the zero value if there is none or its
// rate is no number.
func learnedFromWire(m *occupancy.Learned) port.Learned {
	if m == nil || !(m.EventsPerSecond >= 0) || math.IsInf(m.EventsPerSecond, 0) {
		return port.Learned{}
	}
	return port.Learned{
		StartedAt: m.StartedAt,
		Estimate: targetload.Estimate{
			Limit:           int(m.Limit),
			EventsPerSecond: m.EventsPerSecond,
			Age:             milliseconds(m.AgeMs),
		},
	}
}

// observationToWire returns the message of a sample; nil if it says nothing.
func observationToWire(o port.Observation) *occupancy.Observation {
	if o.Sample == (targetload.Sample{}) {
		return nil
	}
	return &occupancy.Observation{
		StartedAt:    o.StartedAt,
		FirstUs:      microseconds(o.First),
		GapUs:        microseconds(o.Gap),
		Events:       count(int64(o.Events)),
		PromptTokens: count(o.PromptTokens),
		CachedTokens: count(o.CachedTokens),
		InProgress:   count(int64(o.InProgress)),
		IsRefused:    o.IsRefused,
	}
}

func observationFromWire(m *occupancy.Observation) port.Observation {
	if m == nil {
		return port.Observation{}
	}
	return port.Observation{
		StartedAt: m.StartedAt,
		Sample: targetload.Sample{
			First:        time.Duration(m.FirstUs) * time.Microsecond,
			Gap:          time.Duration(m.GapUs) * time.Microsecond,
			Events:       int(m.Events),
			PromptTokens: int64(m.PromptTokens),
			CachedTokens: int64(m.CachedTokens),
			InProgress:   int(m.InProgress),
			IsRefused:    m.IsRefused,
		},
	}
}

// count returns a number as messages hold it.
func count(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func microseconds(d time.Duration) uint32 { return count(d.Microseconds()) }
