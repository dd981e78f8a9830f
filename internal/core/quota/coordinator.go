package quota

import (
	"math"
	"time"
)

const (
	// maxWant bounds the permits of one reply. It is above what all callers of a host have in
	// progress.
	maxWant = 1 << 16
	// minRetryAfter is the shortest time until there is room in a reply, less than a message takes.
	minRetryAfter = time.Millisecond
	// processBits is the size of the lower half of Report.Epoch.
	processBits = 32
)

// Coordinator holds the token bucket of one organisation. It charges permits when it grants
// them, and requests that hosts have admitted otherwise when they are reported. For hosts that
// do not report it charges their equal share. They may use it without asking, or the other coordinator
// may have granted it. It is not safe for concurrent use.
type Coordinator struct {
	tolerance Tolerance
	limit     Limit
	// tokens is negative while more has been admitted than there was room for.
	tokens    float64
	updatedAt time.Time
	usedAt    time.Time
	// askedAt is when a host last asked for permits.
	askedAt   time.Time
	reporters map[string]*reporter
	// other is the other coordinator. It was last reached at reachedAt, and since reachedSince without
	// a gap of pairTime.
	other                   string
	reachedAt, reachedSince time.Time
}

// reporter is what a coordinator knows of one host.
type reporter struct {
	epoch, seq uint64
	total      int64
	// lent is charged for permits that the host has not reported as used or unused, held the part
	// of it that no request was waiting for. reserved is charged for its share while it was silent.
	lent, held, reserved float64
	heardAt              time.Time
	polledAt             time.Time
	// isKnown is set once the host has reported.
	isKnown bool
}

// NewCoordinator returns the state of an organisation. hosts are all hosts. since is from when on
// they would have reported to this host; without reports since then, the bucket has refilled from
// empty. A zero time says that they would not: the bucket is empty.
func NewCoordinator(t Tolerance, l Limit, hosts []string, since, now time.Time) *Coordinator {
	l = l.bounded()
	c := &Coordinator{tolerance: t, limit: l, updatedAt: now, usedAt: now, reporters: make(map[string]*reporter)}
	if !since.IsZero() {
		// A part of the spare lets the first requests after a start pass.
		c.tokens = min(t.spare(l)/2+l.PerSecond*max(now.Sub(since).Seconds(), 0), t.capacity(l))
	}
	c.SetHosts(hosts, now)
	return c
}

// SetHosts sets all hosts. What a host that has left was charged for stays charged.
func (c *Coordinator) SetHosts(hosts []string, now time.Time) {
	c.Advance(now)
	present := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		present[host] = true
		if c.reporters[host] == nil {
			c.reporters[host] = &reporter{heardAt: now}
		}
	}
	for host := range c.reporters {
		if !present[host] {
			delete(c.reporters, host)
		}
	}
}

// Advance refills the bucket. It must be called regularly: after a gap the coordinator was frozen
// and does not know what others have granted, so that the bucket is empty.
func (c *Coordinator) Advance(now time.Time) {
	passed := now.Sub(c.updatedAt)
	if passed <= 0 {
		return
	}
	wasFrozen := passed > freezeTime
	n := float64(max(len(c.reporters), 1))
	share := c.limit.PerSecond / n
	refill := c.limit.PerSecond * passed.Seconds()
	for _, r := range c.reporters {
		if wasFrozen {
			// What was not used may have been granted by the other coordinator.
			r.lent, r.held, r.reserved = 0, 0, 0
		} else if c.isSilent(r, now) {
			silent := min(now.Sub(r.heardAt)-pairTime, passed).Seconds()
			r.reserved += share * silent
			refill -= share * silent
		}
	}
	if wasFrozen {
		c.tokens = min(c.tokens, 0)
	} else {
		c.add(max(refill, 0))
	}
	c.updatedAt = now
}

// add adds tokens up to the size of the bucket. Permits that are not used yet, as far as the spare, are a
// part of it. Reserves that there would have been no room for are dropped.
func (c *Coordinator) add(tokens float64) {
	reserved, held := 0.0, 0.0
	for _, h := range c.reporters {
		reserved += h.reserved
		held += h.held
	}
	size := c.limit.Burst + max(c.tolerance.spare(c.limit)-held, 0)
	c.tokens = min(c.tokens+tokens, size)
	if room := max(size-c.tokens, 0); reserved > room {
		for _, h := range c.reporters {
			h.reserved *= room / reserved
		}
	}
}

// Limit returns the newest limit that the coordinator knows.
func (c *Coordinator) Limit() Limit { return c.limit }

// SetLimit applies a limit of a newer version.
func (c *Coordinator) SetLimit(l Limit, now time.Time) {
	if l.Version <= c.limit.Version {
		return
	}
	c.Advance(now)
	// A caller may use a higher burst at once.
	raised := max(l.bounded().Burst-c.limit.Burst, 0)
	c.limit = l.bounded()
	c.add(raised)
}

// Report counts what a host reports and grants permits.
func (c *Coordinator) Report(host string, r Report, now time.Time) Reply {
	c.SetLimit(r.Limit, now)
	c.Advance(now)
	h := c.reporters[host]
	if h == nil {
		h = &reporter{heardAt: now}
		c.reporters[host] = h
	}
	if h.isKnown && h.epoch == r.Epoch && r.Seq <= h.seq {
		return Reply{RetryAfter: minRetryAfter, IsPartial: true} // overtaken by a later report
	}
	c.settle(h, r, now)
	if r.Want > 0 || r.Total != r.Base {
		c.usedAt = now
	}
	return c.grant(h, r, now)
}

// settle charges what the host has admitted since its last report and returns what it was charged for
// and has not used.
func (c *Coordinator) settle(h *reporter, r Report, now time.Time) {
	admitted := float64(r.Total - r.Base)
	refund := h.reserved
	switch {
	case h.isKnown && h.epoch == r.Epoch:
		admitted = float64(r.Total - h.total)
		refund += h.lent
	case h.isKnown && h.epoch>>processBits != r.Epoch>>processBits:
		// The process has ended: what it had may be used.
		refund = 0
	case h.isKnown:
		refund += h.lent
	}
	floor := -c.tolerance.margin(c.limit)
	if !h.isKnown || now.Sub(h.heardAt) > silenceTime {
		// The report is late: the bucket has refilled while the requests were admitted.
		floor = 0
	}
	for _, other := range c.reporters {
		if other != h {
			floor -= other.reserved
		}
	}
	before := c.tokens
	*h = reporter{epoch: r.Epoch, seq: r.Seq, total: r.Total, lent: float64(r.Holding), held: float64(r.Holding), heardAt: now, polledAt: h.polledAt, isKnown: true}
	c.add(refund - admitted - float64(r.Holding))
	c.tokens = max(c.tokens, min(before, floor))
}

// Regrant decides once more on the newest report of a host.
func (c *Coordinator) Regrant(host string, r Report, now time.Time) Reply {
	c.Advance(now)
	h := c.reporters[host]
	if h == nil || h.epoch != r.Epoch || h.seq != r.Seq {
		return Reply{RetryAfter: minRetryAfter, IsPartial: true}
	}
	return c.grant(h, r, now)
}

// Heard records that a host has nothing to report of the organisation. process is the upper half of
// its epochs.
func (c *Coordinator) Heard(host string, process uint64, now time.Time) {
	c.Advance(now)
	h := c.reporters[host]
	if h == nil {
		return
	}
	refund := h.reserved + h.lent
	h.reserved, h.lent, h.held, h.heardAt = 0, 0, 0, now
	if !h.isKnown || h.epoch>>processBits == process {
		c.add(refund)
	}
}

// standing returns the part of the hosts that are silent, and the permits that hosts hold for later requests.
func (c *Coordinator) standing(now time.Time) (silentPart, held float64) {
	silent := 0
	for _, h := range c.reporters {
		if c.isSilent(h, now) {
			silent++
		}
		held += h.held
	}
	return float64(silent) / float64(max(len(c.reporters), 1)), held
}

// grant grants permits while there are tokens that no silent host may use. Permits that are expected
// to be used soon are granted up to the spare, so that they leave the burst to others.
func (c *Coordinator) grant(h *reporter, r Report, now time.Time) Reply {
	if r.Want <= 0 && r.Extra <= 0 {
		return Reply{}
	}
	c.askedAt = now
	silentPart, held := c.standing(now)
	spare := c.tolerance.spare(c.limit)
	available := c.tokens - silentPart*c.limit.Burst
	want := min(max(r.Want, 0), maxWant)
	granted := min(float64(want), max(math.Floor(available), 0))
	extra := min(max(r.Extra, 0), maxWant)
	if granted == float64(want) {
		advance := min(float64(extra), max(math.Floor(min(available-granted-spare, spare-held)), 0))
		granted += advance
		h.held += advance
	}
	c.tokens -= granted
	h.lent += granted
	reply := Reply{Granted: int64(granted)}
	if reply.Granted < want {
		reply.IsPartial = silentPart > 0
		reply.RetryAfter = c.retryAfter(1-(available-granted), 1-silentPart)
	}
	return reply
}

// retryAfter returns how long it takes until missing tokens are there.
func (c *Coordinator) retryAfter(missing, heardPart float64) time.Duration {
	perSecond := c.limit.PerSecond * heardPart
	wait := c.tolerance.Window.Seconds()
	if perSecond > 0 {
		wait = min(missing/perSecond, wait)
	}
	return max(time.Duration(wait*float64(time.Second)), minRetryAfter)
}

// SetOther sets the other coordinator; empty if there is none.
func (c *Coordinator) SetOther(host string) {
	if host != c.other {
		c.other, c.reachedAt, c.reachedSince = host, time.Time{}, time.Time{}
	}
}

// Reached records that the other coordinator has answered what was sent at a time.
func (c *Coordinator) Reached(host string, sent time.Time) {
	if host != c.other || !sent.After(c.reachedAt) {
		return
	}
	if sent.Sub(c.reachedAt) > pairTime {
		c.reachedSince = sent
	}
	c.reachedAt = sent
}

// isSilent reports whether a host may have been admitting requests that this coordinator does not
// know of: by its share, or by permits of the other coordinator while that is not reached.
func (c *Coordinator) isSilent(h *reporter, now time.Time) bool {
	silence := now.Sub(h.heardAt)
	switch {
	case silence <= pairTime:
		return false
	case silence > silenceTime:
		return true
	case len(c.reporters) == 1:
		return false
	}
	return now.Sub(c.reachedAt) > pairTime || h.heardAt.Before(c.reachedSince)
}

// Poll returns the hosts that the coordinator should ask for reports, since what it reserves for them
// is needed. The result is in no order.
func (c *Coordinator) Poll(now time.Time) []string {
	if now.Sub(c.askedAt) > silenceTime {
		return nil
	}
	quiet := 0
	for _, h := range c.reporters {
		if now.Sub(h.heardAt) > pairTime {
			quiet++
		}
	}
	quietPart := float64(quiet) / float64(max(len(c.reporters), 1))
	if quiet == 0 || c.tokens-quietPart*c.limit.Burst >= max(c.tolerance.spare(c.limit)/2, 1) {
		return nil
	}
	var hosts []string
	for host, h := range c.reporters {
		isQuiet := c.isSilent(h, now) || now.Sub(h.heardAt) > silenceTime-pollAhead
		isDue := isQuiet && now.Sub(h.polledAt) >= pollInterval
		if isDue || host == c.other && now.Sub(h.polledAt) >= pairInterval {
			h.polledAt = now
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// IdleFor returns the time since a host last admitted or asked for requests.
func (c *Coordinator) IdleFor(now time.Time) time.Duration { return now.Sub(c.usedAt) }
