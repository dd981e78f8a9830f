// Package quota decides which requests of an organisation are within its limit over all
// hosts. Coordinators hold a token bucket for the organisation and grant permits from it;
// hosts use the permits and report what they have admitted.
package quota

import (
	"math"
	"time"
)

const (
	// MaxPerSecond and MaxBurst bound limits, so that sums of permits stay exact in a float64.
	MaxPerSecond = 1e9
	MaxBurst     = 1e9
	// silenceTime is how long after its last report a host counts as reachable, while the two
	// coordinators reach each other. A host that reaches no coordinator uses its share only after
	// this time.
	silenceTime = 2 * time.Second
	// pairTime is the same while the two coordinators do not reach each other, and how long they
	// count as reaching each other. Until then both may grant the whole limit, which takes
	// 0.3 s x limit of the 0.5 s x limit of the users' tolerance.
	pairTime = 300 * time.Millisecond
	// pairInterval is how often a coordinator asks the other one for reports, and pollInterval
	// how often it asks the same silent host, at most.
	pairInterval = 140 * time.Millisecond
	pollInterval = 200 * time.Millisecond
	// pollAhead is how long before a host counts as silent it is asked: two calls of Poll and an answer.
	// Without it, 5% of the hosts were silent at any time, and their part of the burst lay unused.
	pollAhead = 300 * time.Millisecond
	// permitTime is how long a permit is valid, from when it was asked for. A host that
	// was frozen for longer holds none.
	permitTime = 500 * time.Millisecond
	// freezeTime is the gap between two calls of a coordinator from which on it counts as
	// frozen. Its service calls it every 100 ms.
	freezeTime = 1500 * time.Millisecond
	// spareParts is the number of parts of the tolerance, of which one is added to the
	// bucket. It makes up for permits that other hosts hold and do not use. The other parts are
	// for requests that a coordinator does not know of yet.
	spareParts = 4
)

// Limit is the limit of an organisation.
type Limit struct {
	// PerSecond is in requests per second over all hosts; Burst is in requests.
	PerSecond, Burst float64
	// Version is that of the configuration that states the limit.
	Version int64
}

// IsLimited reports whether there is a limit.
func (l Limit) IsLimited() bool { return l.PerSecond > 0 }

// bounded returns the limit with numbers that can be calculated with.
func (l Limit) bounded() Limit {
	l.PerSecond, l.Burst = bound(l.PerSecond, MaxPerSecond), bound(l.Burst, MaxBurst)
	return l
}

func bound(v, most float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return min(max(v, 0), most)
}

// Tolerance is by how much a limit may be exceeded.
type Tolerance struct {
	// Window is the sliding time over which requests are counted; no limit is judged if it
	// is zero.
	Window time.Duration
	// Over is a part of what the limit allows in a window, Slack a number of requests.
	Over, Slack float64
}

// Most returns the most requests that may reach targets in any window.
func (t Tolerance) Most(l Limit) float64 {
	return l.PerSecond*t.Window.Seconds() + l.Burst + t.margin(l)
}

// margin returns how many requests more than the limit allows may reach targets in a window.
func (t Tolerance) margin(l Limit) float64 {
	return t.Over*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Slack
}

// spare returns what the bucket holds in addition to the burst.
func (t Tolerance) spare(l Limit) float64 { return max(t.margin(l)/spareParts, 1) }

// capacity returns the size of the bucket.
func (t Tolerance) capacity(l Limit) float64 { return l.Burst + t.spare(l) }

// Report is what a host tells a coordinator about one organisation.
type Report struct {
	Organisation string
	Limit        Limit
	// Epoch identifies the run of the host that reports. The upper half is that of the
	// process, the lower half that of its state of the organisation.
	Epoch uint64
	// Seq orders the reports of one host to one coordinator.
	Seq uint64
	// Total is how many requests the host has admitted since it started; Base is the part of
	// it that the coordinator need not count if it does not know the host.
	Base, Total int64
	// Holding is how many unused permits of the coordinator the host holds.
	Holding int64
	// Want is how many requests wait for a permit, Extra how many are expected soon.
	Want, Extra int64
}

// Reply is the answer of a coordinator to a Report.
type Reply struct {
	// Granted is a number of permits.
	Granted int64
	// RetryAfter is when there will be room, if fewer than wanted are granted.
	RetryAfter time.Duration
	// IsPartial is set if room is reserved for hosts that the coordinator has not heard of,
	// so that another coordinator may have more.
	IsPartial bool
}
