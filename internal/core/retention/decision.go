// Package retention decides whether a program's KV cache is kept, exported or evicted
// while the program pauses for a tool.
package retention

import "time"

// Action is what is done with the cache.
type Action int

// The actions on a cache.
const (
	Keep Action = iota
	Export
	Evict
)

// String returns the action in lower case.
func (a Action) String() string {
	switch a {
	case Export:
		return "export"
	case Evict:
		return "evict"
	}
	return "keep"
}

// highWaterMark is the share of memory in use above which holding a cache has a cost.
const highWaterMark = 0.7

// Cache describes the cache of one program at one target.
type Cache struct {
	// Tokens is the number of tokens that the target holds for the program.
	Tokens int64
	// UsedTokens and CapacityTokens are the used and the total memory of the target
	// for all programs, in tokens.
	UsedTokens     int64
	CapacityTokens int64
	// Pause is the expected remaining time of the pause.
	Pause time.Duration
	// PrefillRate is the prefill speed of the target, in tokens per second.
	PrefillRate float64
	// ExportRate is the speed of an export or import, in tokens per second. It is
	// zero if the target supports neither.
	ExportRate float64
	// LatencyWeight and CacheWeight are those of the agent. Their sum weighs the cost
	// of a rebuild; it counts as one if both are zero.
	LatencyWeight float64
	CacheWeight   float64
}

// Decide compares the cost of holding the cache during the pause with the cost of
// rebuilding or exporting it. Holding costs nothing below the high-water mark. Above
// it, each held token displaces a token of another program, which has to be computed
// again once per turnover of the memory.
func Decide(c Cache) Action {
	if c.Tokens <= 0 || c.CapacityTokens <= 0 || c.PrefillRate <= 0 {
		return Keep
	}
	rebuildWeight := c.LatencyWeight + c.CacheWeight
	if rebuildWeight <= 0 {
		rebuildWeight = 1
	}
	hold := holdingCost(c)
	rebuild := rebuildWeight * float64(c.Tokens) / c.PrefillRate
	if hold <= rebuild {
		return Keep
	}
	if c.ExportRate > c.PrefillRate && hold > rebuildWeight*exportCost(c) {
		return Export
	}
	return Evict
}

// holdingCost returns the prefill time that other programs lose, in seconds.
func holdingCost(c Cache) float64 {
	pressure := (float64(c.UsedTokens)/float64(c.CapacityTokens) - highWaterMark) / (1 - highWaterMark)
	if pressure <= 0 {
		return 0
	}
	turnover := float64(c.CapacityTokens) / c.PrefillRate
	lost := float64(c.Tokens) * min(pressure, 1) * c.Pause.Seconds() / turnover
	return lost / c.PrefillRate
}

// exportCost returns the time of an export and a later import, in seconds.
func exportCost(c Cache) float64 { return 2 * float64(c.Tokens) / c.ExportRate }
