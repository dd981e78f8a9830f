// Package retention decides what becomes of a program's KV cache while the
// program pauses for a tool: it is kept, exported or evicted.
package retention

import "time"

// Action is what becomes of the cache.
type Action int

// The actions.
const (
	Keep Action = iota
	Export
	Evict
)

// String names the action.
func (a Action) String() string {
	switch a {
	case Export:
		return "export"
	case Evict:
		return "evict"
	}
	return "keep"
}

// highWater is the share of memory in use above which held memory costs.
const highWater = 0.7

// Cache describes the cache of one program at one target.
type Cache struct {
	// Tokens is what the target holds for the program.
	Tokens int64
	// UsedTokens and CapacityTokens are the target's memory, all programs.
	UsedTokens     int64
	CapacityTokens int64
	// Pause is how long the program is expected to pause from now on.
	Pause time.Duration
	// PrefillRate is the target's speed in tokens a second.
	PrefillRate float64
	// ExportRate is the speed of an export or import in tokens a second;
	// zero means that the target can do neither.
	ExportRate float64
	// LatencyWeight and CacheWeight are the agent's. Both zero count as one.
	LatencyWeight float64
	CacheWeight   float64
}

// Decide compares the cost of holding the memory over the pause with that of
// building the cache again. Memory costs nothing below the high-water mark;
// above it, each held token displaces another program's, which has to be
// computed again once per turnover of the memory.
func Decide(c Cache) Action {
	if c.Tokens <= 0 || c.CapacityTokens <= 0 || c.PrefillRate <= 0 {
		return Keep
	}
	weightOfRebuild := c.LatencyWeight + c.CacheWeight
	if weightOfRebuild <= 0 {
		weightOfRebuild = 1
	}
	hold := holdingCost(c)
	rebuild := weightOfRebuild * float64(c.Tokens) / c.PrefillRate
	if hold <= rebuild {
		return Keep
	}
	if c.ExportRate > c.PrefillRate && hold > weightOfRebuild*exportCost(c) {
		return Export
	}
	return Evict
}

// holdingCost is in seconds of prefill that other programs lose.
func holdingCost(c Cache) float64 {
	pressure := (float64(c.UsedTokens)/float64(c.CapacityTokens) - highWater) / (1 - highWater)
	if pressure <= 0 {
		return 0
	}
	turnover := float64(c.CapacityTokens) / c.PrefillRate
	lost := float64(c.Tokens) * min(pressure, 1) * c.Pause.Seconds() / turnover
	return lost / c.PrefillRate
}

// exportCost is in seconds, out and back in.
func exportCost(c Cache) float64 { return 2 * float64(c.Tokens) / c.ExportRate }
