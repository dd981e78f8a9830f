package occupancy

import (
	"context"
	"slices"
	"time"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/ratelimit"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/port"
)

const (
	// maxSharedLimits is how many rate limits of other targets an answer carries, drawn
	// at random, so that hosts learn limits that they have not met. It bounds the bytes
	// of an answer.
	maxSharedLimits = 2
	// unansweredDenial is how long a target with a rate limit gets no requests of a host
	// that reaches none of its coordinators.
	unansweredDenial = 200 * time.Millisecond
	// quotaTTL is how long the quota of a target is kept that no host asks for, as that of
	// a target that has gone.
	quotaTTL = time.Minute
)

// Limits holds what a host knows of the rate limits of targets. It is implemented by
// *fleet.Fleet.
type Limits interface {
	Limit(target string) fleet.TargetLimit
	Limits(most int) []fleet.TargetLimit
	ObserveLimit(fleet.TargetLimit) bool
	// Deny keeps a target from being chosen for a time.
	Deny(target string, until time.Time)
}

// quota is what a coordinator keeps for a target that has named a rate limit.
type quota struct {
	// startedAt tells runs of the target apart.
	startedAt int64
	limit     ratelimit.Limit
	granted   ratelimit.Quota
	role      ratelimit.Role
	// usedAt is when a host last told of the limit or asked for a grant.
	usedAt time.Time
}

// askResult is how a coordinator answered a request for admission.
type askResult int

const (
	answered askResult = iota
	// unanswered requests may be sent, since the target names no rate limit.
	unanswered
	// denied requests must not be sent to the target.
	denied
)

// ask asks the coordinator of a target to admit a request. While the target limits its
// rate, the second coordinator is asked if the first does not answer or does not regard rate
// limits, and the request is denied if neither does.
func (s *Service) ask(ctx context.Context, r port.AdmitRequest) (port.AdmitReply, askResult) {
	reply, ok := s.admit(ctx, r)
	if !s.limits.Limit(r.Target).IsLimited {
		// Also without an answer: this host may know something itself.
		s.learnTarget(r.Target, reply.Learned)
		if !ok {
			return reply, unanswered
		}
		return reply, answered
	}
	if !ok || !reply.KnowsRateLimits {
		reply, ok = s.admitAtSecond(ctx, r)
	}
	s.learnTarget(r.Target, reply.Learned)
	switch {
	case ctx.Err() != nil:
		return reply, denied
	case !ok || !reply.KnowsRateLimits:
		s.metrics.uncoordinated.Inc(1)
		s.limits.Deny(r.Target, time.Now().Add(unansweredDenial))
		return reply, denied
	case reply.IsDenied:
		s.metrics.denied.Inc(1)
		s.limits.Deny(r.Target, time.Now().Add(reply.RetryAfter))
		return reply, denied
	}
	return reply, answered
}

// admitAtSecond asks the second coordinator of a target.
func (s *Service) admitAtSecond(ctx context.Context, r port.AdmitRequest) (port.AdmitReply, bool) {
	order := s.order.Order(r.Target, append(s.peers.Hosts(), s.peers.Self()))
	if len(order) < maxCoordinators || ctx.Err() != nil {
		return port.AdmitReply{}, false
	}
	s.mu.Lock()
	isPaused := order[1] != s.peers.Self() && s.paused.IsPaused(order[1], time.Now())
	s.mu.Unlock()
	if isPaused {
		return port.AdmitReply{}, false
	}
	return s.admitAt(ctx, order[1], r)
}

// Permit implements gateway.Placement.
func (s *Service) Permit(ctx context.Context, target string, level int) bool {
	if !s.limits.Limit(target).IsLimited {
		return true
	}
	_, result := s.ask(ctx, port.AdmitRequest{Target: target, Level: level})
	return result != denied
}

// LimitChanged implements gateway.Placement.
func (s *Service) LimitChanged(target string) {
	s.finish(port.FinishRequest{Target: target, Host: s.host})
}

// learn adds what another host knows of rate limits; host is empty if it is not known.
func (s *Service) learn(host string, limits []fleet.TargetLimit) {
	for _, l := range limits {
		if l.ReceivedAt.IsZero() || !s.limits.ObserveLimit(l) {
			continue
		}
		s.metrics.learnedLimits.Inc(1)
		s.log.Info("Rate limit of a target changed.", "target", l.ID, "is_limited", l.IsLimited, "per_second", l.Rate,
			"age_ms", time.Since(l.ReceivedAt).Milliseconds(), "by", "host", "host", host)
	}
}

// observeLimit adds what a host knows of a target's rate limit to its quota, and returns
// the quota; nil if the target has named no limit. The caller holds s.mu.
func (s *Service) observeLimit(target string, l fleet.TargetLimit) *quota {
	q := s.quotas[target]
	if l.ReceivedAt.IsZero() {
		if q != nil && q.startedAt < l.StartedAt {
			// A later run of the target has named no limit.
			delete(s.quotas, target)
			return nil
		}
		return q
	}
	if q == nil || q.startedAt < l.StartedAt {
		if !l.IsLimited {
			return q
		}
		q = &quota{startedAt: l.StartedAt}
		s.quotas[target] = q
	}
	if q.startedAt == l.StartedAt {
		q.limit.Observe(l.Statement)
	}
	q.usedAt = time.Now()
	return q
}

// grant decides under the target's rate limit whether an admitted request may be sent. The
// caller holds s.mu.
func (s *Service) grant(reply *port.AdmitReply, r port.AdmitRequest, known fleet.TargetLimit, now time.Time) {
	s.observeLimit(r.Target, r.RateLimit)
	q := s.observeLimit(r.Target, known)
	if q == nil {
		return
	}
	q.usedAt = now
	reply.RateLimits = append(reply.RateLimits, fleet.TargetLimit{ID: r.Target, StartedAt: q.startedAt, Statement: q.limit.Newest()})
	rate, isLimited := q.limit.Rate()
	switch {
	case !isLimited || !reply.Admitted:
		return
	case r.Host == 0:
		q.granted.Debit()
		return
	}
	s.setRole(r.Target, q, s.standing(r.Target, now))
	d := q.granted.Take(rate, q.role, r.Level, now)
	if d.IsGranted {
		s.metrics.granted.Inc(1)
		return
	}
	reply.Admitted, reply.IsDenied, reply.RetryAfter = false, true, d.RetryAfter
}

func (s *Service) setRole(target string, q *quota, standing ratelimit.Standing) {
	role := standing.Role()
	if role == q.role {
		return
	}
	q.role = role
	s.log.Info("Part in granting requests to a target with a rate limit changed.", "target", target, "role", role.String(),
		"rank", standing.Rank, "is_first_of_recent", standing.IsFirstOfRecent, "age_ms", standing.Age.Milliseconds(), "since_renewal_ms", standing.SinceRenewal.Milliseconds())
}

// standing returns what this host knows of its place in the order of a target. The caller
// holds s.mu.
func (s *Service) standing(target string, now time.Time) ratelimit.Standing {
	self := s.peers.Self()
	others := s.peers.Hosts()
	order := s.order.Order(target, append(others, self))
	s.recordDeparted(others, now)
	standing := ratelimit.Standing{Rank: slices.Index(order, self), Age: now.Sub(s.startedAt), SinceRenewal: now.Sub(s.renewedAt())}
	if len(others) == 0 && standing.Age < ratelimit.RecentTime {
		// The list of hosts may not have been read yet.
		standing.Rank = -1
	}
	recent := []string{self}
	for host := range s.departed {
		recent = append(recent, host)
	}
	standing.IsFirstOfRecent = standing.Rank == 0 && rendezvous.Order(target, recent, func(host string) string { return host })[0] == self
	return standing
}

// recordDeparted updates the hosts that have left lately. The caller holds s.mu.
func (s *Service) recordDeparted(others []string, now time.Time) {
	if !slices.Equal(others, s.known) {
		for _, host := range s.known {
			if !slices.Contains(others, host) {
				s.departed[host] = now
			}
		}
		s.known = slices.Clone(others)
	}
	for host, at := range s.departed {
		if now.Sub(at) > ratelimit.RecentTime || slices.Contains(others, host) {
			delete(s.departed, host)
		}
	}
}

// dropIdleQuotas drops the quotas that no host has asked for lately. The caller holds s.mu.
func (s *Service) dropIdleQuotas(now time.Time) {
	for target, q := range s.quotas {
		if now.Sub(q.usedAt) > quotaTTL {
			delete(s.quotas, target)
		}
	}
}
