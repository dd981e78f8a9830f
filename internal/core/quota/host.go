package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// extraTime is the time for which a host asks for permits in advance: the interval of its
	// reports and a round trip, several times, since requests come at random.
	extraTime = 400 * time.Millisecond
	// rateTime is the time constant of a host's mean rate of requests.
	rateTime = 2 * time.Second
	// freePart is the part of the slack that hosts without coordinators may use in a window
	// before coordinators reserve their shares. The rest is for late reports.
	freePart = 0.25
)

// Host is what one host knows of one organisation. It is not safe for concurrent use.
type Host struct {
	tolerance Tolerance
	limit     Limit
	epoch     uint64
	total     int64
	links     []*link
	// coordinators are the two hosts that count all requests.
	coordinators []string
	// rate is the mean number of requests a second, admitted or not.
	rate     float64
	countAt  time.Time
	usedAt   time.Time
	fallback share
	// reachedAt is when one of the two coordinators was last reached, or has asked for a report.
	reachedAt time.Time
}

// link is the state between the host and one coordinator.
type link struct {
	coordinator string
	// seq is that of the newest report, acknowledged that of the newest one answered.
	seq, acknowledged uint64
	// base is the total that the coordinator has counted.
	base int64
	// holding is the number of unused permits, which are valid until expiresAt.
	holding   int64
	expiresAt time.Time
	// charged is how many permits the host holds as the coordinator knows.
	charged int64
}

// share is what a host may admit while it reaches no coordinator.
type share struct {
	tokens    float64
	updatedAt time.Time
	// contactAt is when a coordinator was last reached, or has asked for a report.
	contactAt time.Time
}

// NewHost returns the state of an organisation. epoch identifies it, see Report.
func NewHost(t Tolerance, epoch uint64, now time.Time) *Host {
	return &Host{tolerance: t, epoch: epoch, countAt: now, usedAt: now}
}

// SetLimit applies a limit of the same or a newer version.
func (h *Host) SetLimit(l Limit) {
	if l.Version >= h.limit.Version {
		h.limit = l.bounded()
	}
}

// Count counts a request for the mean rate.
func (h *Host) Count(now time.Time) {
	h.usedAt = now
	h.rate = h.rateAt(now) + 1/rateTime.Seconds()
	h.countAt = now
}

func (h *Host) rateAt(now time.Time) float64 {
	return h.rate * math.Exp(-max(now.Sub(h.countAt).Seconds(), 0)/rateTime.Seconds())
}

// Take uses a permit. It returns false if the host holds none.
func (h *Host) Take(now time.Time) bool {
	for _, l := range h.links {
		if l.holding > 0 && now.Before(l.expiresAt) {
			l.holding--
			h.total++
			return true
		}
	}
	return false
}

// Cancel takes back a request that was admitted and has not run.
func (h *Host) Cancel() { h.total-- }

// Report returns the next report to a coordinator.
// Permits in advance are asked for only if isActing is set, so that one coordinator at a time grants them.
func (h *Host) Report(coordinator string, want int64, isActing bool, now time.Time) Report {
	l := h.link(coordinator)
	l.expire(now)
	l.seq++
	var extra int64
	if isActing {
		extra = int64(math.Round(h.rateAt(now) * extraTime.Seconds()))
	}
	return Report{
		Limit: h.limit,
		Epoch: h.epoch,
		Seq:   l.seq,
		Base:  l.base,
		Total: h.total,

		Holding: l.holding,
		Want:    want,
		Extra:   max(extra-l.holding, 0),
	}
}

// Answered applies the reply to a report that was sent at a time. It returns false if the reply was
// overtaken by a later report, so that its permits are lost.
func (h *Host) Answered(coordinator string, r Report, reply Reply, sent, now time.Time) bool {
	h.contact(coordinator, now)
	l := h.link(coordinator)
	if r.Seq > l.acknowledged {
		l.acknowledged, l.base = r.Seq, r.Total
	}
	if r.Seq != l.seq {
		return false
	}
	l.charged = r.Holding + reply.Granted
	l.holding += reply.Granted
	if reply.Granted > 0 || l.expiresAt.Before(sent.Add(permitTime)) {
		l.expiresAt = sent.Add(permitTime)
	}
	l.expire(now)
	return true
}

// Collected returns the report that a coordinator has asked for.
func (h *Host) Collected(coordinator string, now time.Time) Report {
	h.contact(coordinator, now)
	return h.Report(coordinator, 0, false, now)
}

// IsDue reports whether the host has something to tell a coordinator.
func (h *Host) IsDue(coordinator string, now time.Time) bool {
	l := h.link(coordinator)
	l.expire(now)
	return l.acknowledged != l.seq || h.total != l.base || l.holding != l.charged
}

// Retain drops the links to all hosts that are not candidates. The first ones are the coordinators, which
// count all requests from now on.
func (h *Host) Retain(candidates []string, coordinators int) {
	h.links = slices.DeleteFunc(h.links, func(l *link) bool { return !slices.Contains(candidates, l.coordinator) })
	h.coordinators = candidates[:min(coordinators, len(candidates))]
	for _, c := range h.coordinators {
		h.link(c)
	}
}

// IdleFor returns the time since the last request.
func (h *Host) IdleFor(now time.Time) time.Duration { return now.Sub(h.usedAt) }

// link returns the link to a coordinator. What was admitted before there was one is not reported.
func (h *Host) link(coordinator string) *link {
	for _, l := range h.links {
		if l.coordinator == coordinator {
			return l
		}
	}
	l := &link{coordinator: coordinator, base: h.total}
	h.links = append(h.links, l)
	return l
}

func (l *link) expire(now time.Time) {
	if !now.Before(l.expiresAt) {
		l.holding = 0
	}
}

// contact records that a coordinator knows of the host, and reserves nothing for it for a while.
func (h *Host) contact(coordinator string, now time.Time) {
	h.fallback.contactAt = now
	if slices.Contains(h.coordinators, coordinator) {
		h.reachedAt = now
	}
}

// MayAskOthers reports whether the host may ask candidates behind the two coordinators. These reserve
// its share from then on.
func (h *Host) MayAskOthers(now time.Time) bool { return now.Sub(h.reachedAt) > silenceTime }

// TakeShare admits a request by the host's equal share of the limit, while no coordinator is
// reached. hosts is the number of all hosts. Since the share of a host is mostly less than one
// request, fractions are a probability; draw is uniform in [0, 1). If it returns false, there may be
// room after the returned time.
func (h *Host) TakeShare(hosts int, draw float64, now time.Time) (bool, time.Duration) {
	n := float64(max(hosts, 1))
	perSecond := h.limit.PerSecond / n
	s := &h.fallback
	from := s.contactAt.Add(silenceTime)
	window := h.tolerance.Window.Seconds()
	free := h.tolerance.Slack * freePart / n
	if s.updatedAt.Before(from) {
		s.tokens = min(s.tokens+free*min(from.Sub(s.updatedAt).Seconds()/window, 1), free)
		s.updatedAt = from
	}
	if passed := now.Sub(s.updatedAt); passed > 0 {
		s.tokens = min(s.tokens+perSecond*passed.Seconds(), h.limit.Burst/n+free)
		s.updatedAt = now
	}
	tokens := s.tokens
	s.tokens = max(tokens-1, 0)
	if tokens >= 1 || draw < tokens {
		h.total++
		return true, 0
	}
	wait := h.tolerance.Window
	if perSecond > 0 {
		wait = min(time.Duration(min((1-tokens)/perSecond, wait.Seconds())*float64(time.Second)), wait)
	}
	return false, max(wait, minRetryAfter)
}

// IsHolding reports whether the host holds permits of any coordinator.
func (h *Host) IsHolding(now time.Time) bool {
	for _, l := range h.links {
		if l.expire(now); l.holding > 0 {
			return true
		}
	}
	return false
}
