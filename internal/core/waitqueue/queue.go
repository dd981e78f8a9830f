// Package waitqueue orders the requests that wait at a host for a service whose targets are full. It
// responds to the requests that this host has in progress and in the queue: those of an organisation
// that sends many times its usual load wait behind those of the others.
package waitqueue

import (
	"cmp"
	"maps"
	"math"
	"time"
)

// Request is a waiting request.
type Request struct {
	Organisation string
	// Priority is that of the organisation, RoutePriority that of the route; 0 is the most urgent.
	Priority, RoutePriority int
	// HasBegun is set if a turn of the request's program has run.
	HasBegun bool
	// Due is the last time at which the request may begin to run.
	Due time.Time
	// Bytes is the memory that the request holds while it waits.
	Bytes int

	// order is that of the arrival, which stays the same if the request waits again.
	order uint64
	// retryAt is when a request that was refused by all targets may be taken again.
	retryAt time.Time
}

// Limits bounds a queue.
type Limits struct {
	Requests, Bytes int
}

const (
	// minMeasured is how long requests must have waited before the rate at which requests end says how
	// long others will wait. A burst before that ends faster than the first requests show.
	minMeasured = 300 * time.Millisecond
	// rateMemory is the time over which the rate is measured, so that it follows targets that become
	// slower or leave.
	rateMemory = 2 * time.Second
	// shareHalfLife is the half-life of the requests that have ended. Organisations exceed their usual load
	// for seconds.
	shareHalfLife = time.Second
	// retryPause is how long a request that was refused by all targets lets others try. It has to be
	// longer than the interval in which requests are taken.
	retryPause = 40 * time.Millisecond
)

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	waiting []*Request
	bytes   int
	// shares are what organisations use of the service.
	shares  map[string]*share
	running int
	arrived uint64
	// measuredAt is the start of the measurement of the rate; zero while nothing waits. ended is how
	// many requests have ended since.
	measuredAt time.Time
	ended      float64
}

// share is what an organisation uses of the service through this host.
type share struct {
	// running is the number of requests in progress.
	running int
	// ended is the number of requests that have ended, halved for each shareHalfLife, as of at. A host has
	// room for few requests at once, so that those in progress alone don't tell organisations apart.
	ended float64
	at    time.Time
}

// load returns what an organisation uses of the service.
func (s *share) load(now time.Time) float64 {
	return float64(s.running) + s.ended*math.Exp2(-now.Sub(s.at).Seconds()/shareHalfLife.Seconds())
}

// minLoad is the load below which an organisation is forgotten. It is a tenth of one request.
const minLoad = 0.1

// New returns an empty queue.
func New(l Limits) *Queue { return &Queue{limits: l, shares: make(map[string]*share)} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// IsIdle reports whether the queue has neither waiting requests nor ones in progress.
func (q *Queue) IsIdle() bool { return len(q.waiting) == 0 && q.running == 0 }

// Begin counts a request that need not wait as in progress.
func (q *Queue) Begin(organisation string, now time.Time) {
	s := q.shares[organisation]
	if s == nil {
		maps.DeleteFunc(q.shares, func(_ string, s *share) bool { return s.load(now) < minLoad })
		s = &share{at: now}
		q.shares[organisation] = s
	}
	s.running++
	q.running++
}

// End removes a request in progress. hasRun is set if a target has run it.
func (q *Queue) End(organisation string, hasRun bool, now time.Time) {
	s := q.shares[organisation]
	if s == nil || s.running == 0 {
		return
	}
	s.running--
	q.running--
	if !hasRun {
		return
	}
	s.ended, s.at = s.load(now)-float64(s.running)+1, now
	if q.measuredAt.IsZero() {
		return
	}
	q.ended++
	// Halving both keeps the rate and lets it follow changes.
	if elapsed := now.Sub(q.measuredAt); elapsed > rateMemory {
		q.measuredAt, q.ended = now.Add(-elapsed/2), q.ended/2
	}
}

// Outcome is what becomes of a request that is added.
type Outcome struct {
	// IsRefused is set if the request does not wait: it would be late, or the queue is full of requests
	// before it.
	IsRefused bool
	// RetryAfter is when there will be room for a request that is refused; zero if it is not known.
	RetryAfter time.Duration
	// Displaced are the waiting requests that the request has displaced.
	Displaced []*Request
}

// Add adds a request. Targets refuse a request again that was taken before; such a request keeps its
// place.
func (q *Queue) Add(r *Request, now time.Time) Outcome {
	if r.order == 0 {
		q.arrived++
		r.order = q.arrived
	} else {
		r.retryAt = now.Add(retryPause)
	}
	if len(q.waiting) == 0 {
		q.measuredAt, q.ended = now, 0
	}
	wait := q.Wait(r, now)
	if now.Add(q.leastWait(r, now)).After(r.Due) {
		q.stopIfEmpty()
		return Outcome{IsRefused: true, RetryAfter: wait}
	}
	q.waiting = append(q.waiting, r)
	q.bytes += r.Bytes
	var o Outcome
	for len(q.waiting) > q.limits.Requests || q.bytes > q.limits.Bytes {
		last := q.last(now)
		q.Remove(last)
		if last == r {
			o.IsRefused, o.RetryAfter = true, wait
			break
		}
		o.Displaced = append(o.Displaced, last)
	}
	return o
}

// Remove removes a waiting request, for example because its caller has gone. It returns false if the
// request does not wait.
func (q *Queue) Remove(r *Request) bool {
	for i, w := range q.waiting {
		if w == r {
			q.waiting[i] = q.waiting[len(q.waiting)-1]
			q.waiting[len(q.waiting)-1] = nil
			q.waiting = q.waiting[:len(q.waiting)-1]
			q.bytes -= r.Bytes
			q.stopIfEmpty()
			return true
		}
	}
	return false
}

func (q *Queue) stopIfEmpty() {
	if len(q.waiting) == 0 {
		q.measuredAt = time.Time{}
	}
}

// Take removes up to n requests, the first in order, and counts them as in progress.
func (q *Queue) Take(n int, now time.Time) []*Request {
	var taken []*Request
	loads := q.loads(now)
	for len(taken) < n {
		var first *Request
		for _, r := range q.waiting {
			if !now.Before(r.retryAt) && (first == nil || compare(r, first, loads) < 0) {
				first = r
			}
		}
		if first == nil {
			break
		}
		q.Remove(first)
		q.Begin(first.Organisation, now)
		loads[first.Organisation]++
		taken = append(taken, first)
	}
	return taken
}

// loads returns what each organisation uses of the service.
func (q *Queue) loads(now time.Time) map[string]float64 {
	loads := make(map[string]float64, len(q.shares))
	for organisation, s := range q.shares {
		loads[organisation] = s.load(now)
	}
	return loads
}

// last returns the last waiting request in order.
func (q *Queue) last(now time.Time) *Request {
	loads := q.loads(now)
	// What an organisation has waiting counts as used, so that the one with the most loses its last.
	for _, r := range q.waiting {
		loads[r.Organisation]++
	}
	last := q.waiting[0]
	for _, r := range q.waiting[1:] {
		if compare(r, last, loads) > 0 {
			last = r
		}
	}
	return last
}

// compare orders requests: by priority; the organisation with the least load first, which with equal
// shares is the one furthest below its share; programs that have begun first; the one that is due
// first; the one that has arrived first.
func compare(a, b *Request, loads map[string]float64) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.RoutePriority, b.RoutePriority),
		cmp.Compare(loads[a.Organisation], loads[b.Organisation]),
		compareBool(b.HasBegun, a.HasBegun),
		a.Due.Compare(b.Due),
		cmp.Compare(a.order, b.order),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Wait returns how long a request is expected to wait: the time in which as many requests end as are
// before it, and one more. It is zero while that is not known.
func (q *Queue) Wait(r *Request, now time.Time) time.Duration {
	// An end is assumed for now, so that the wait stays finite while none ends.
	return q.waitFor(r, q.ended+1, now)
}

// leastWait returns how long a request waits at least, as far as the measurement shows: the number of
// ends is taken two standard deviations higher. Requests are refused by it, since few ends in a short
// time are often chance.
func (q *Queue) leastWait(r *Request, now time.Time) time.Duration {
	return q.waitFor(r, q.ended+2*math.Sqrt(q.ended+1), now)
}

// waitFor returns the wait if a number of requests have ended since the measurement began.
func (q *Queue) waitFor(r *Request, ended float64, now time.Time) time.Duration {
	elapsed := now.Sub(q.measuredAt)
	if q.measuredAt.IsZero() || elapsed < minMeasured {
		return 0
	}
	return time.Duration(elapsed.Seconds() / ended * float64(q.ahead(r, now)+1) * float64(time.Second))
}

// ahead returns how many waiting requests will be taken before r: those of its own organisation, or of
// more urgent priorities, that are before it, and of each other organisation of its priority as many as
// bring that one to the load that its own will then have.
func (q *Queue) ahead(r *Request, now time.Time) int {
	loads := q.loads(now)
	n, own := 0, 0
	others := make(map[string]int)
	for _, w := range q.waiting {
		urgency := cmp.Or(cmp.Compare(w.Priority, r.Priority), cmp.Compare(w.RoutePriority, r.RoutePriority))
		switch {
		case urgency < 0:
			n++
		case urgency > 0:
		case w.Organisation == r.Organisation:
			if compare(w, r, loads) < 0 {
				own++
			}
		default:
			others[w.Organisation]++
		}
	}
	level := loads[r.Organisation] + float64(own)
	for organisation, waiting := range others {
		n += min(waiting, max(int(level-loads[organisation])+1, 0))
	}
	return n + own
}
