package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// The bounds of a search for an owner.
const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 64
	// searchTimeout bounds the time without an owner, counted anew after
	// each attempt that took longer than a refusal does.
	searchTimeout = 10 * time.Second
	firstPause    = 10 * time.Millisecond
	longestPause  = 500 * time.Millisecond
	// shortestReturn and longestReturn bound the advice when to come back.
	shortestReturn = 500 * time.Millisecond
	longestReturn  = 1500 * time.Millisecond
)

// request describes what is routed.
type request struct {
	op string
	// key is the root key of the program.
	key string
	// id is the request ID, if there is one.
	id      string
	timeout time.Duration
	// allowance is added to the timeout while waiting for the owner.
	allowance time.Duration
	// proofSurvives says that the promise of a new owner that the request
	// did not run also covers an owner that was lost.
	proofSurvives bool
	// gone says whether the caller has gone; nil means never.
	gone func() bool
}

// search is the state of the attempts at one request.
type search struct {
	router    *Router
	request   request
	partition uint32
	attempts  int
	// hint is the owner that the last answer named.
	hint string
	// visited are the hosts asked since the last pause.
	visited map[string]bool
	// lost are the hosts that may have got the request and did not answer.
	lost    map[string]bool
	backoff *backoff.ExponentialBackOff
	giveUp  time.Time
	asked   time.Time
	last    error
}

func (r *Router) newSearch(req request, partitions uint32) *search {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
	return &search{
		router:    r,
		request:   req,
		partition: partition.OfKey(req.key, partitions),
		hint:      r.members.Self().ID,
		visited:   make(map[string]bool),
		lost:      make(map[string]bool),
		backoff:   b,
		giveUp:    time.Now().Add(searchTimeout),
	}
}

// route runs do against the owner of the request's partition, wherever it is,
// until it gets an outcome or the search ends.
func route[T any](ctx context.Context, r *Router, req request, do func(context.Context, port.Programs) (T, error)) (T, error) {
	var zero T
	snapshot := r.config.Current()
	if snapshot == nil {
		return zero, errNoConfig(req.id)
	}
	ctx, cancel := context.WithTimeout(ctx, req.timeout+req.allowance)
	defer cancel()
	s := r.newSearch(req, snapshot.Document.Partitions)
	for s.attempts < maxAttempts {
		host := s.next()
		out, err := attempt(ctx, s, host, do)
		if err == nil {
			return out, nil
		}
		if final := s.settle(ctx, host, err); final != nil {
			return zero, final
		}
		if !s.pause(ctx) {
			break
		}
	}
	return zero, s.exhausted(ctx)
}

// attempt runs do once, at this host or another.
func attempt[T any](ctx context.Context, s *search, host string, do func(context.Context, port.Programs) (T, error)) (T, error) {
	s.attempts++
	s.asked = time.Now()
	s.visited[host] = true
	r := s.router
	if host == "" {
		var zero T
		return zero, &port.NotOwnerError{Partition: s.partition}
	}
	if host == r.members.Self().ID {
		return do(ctx, r.local)
	}
	ctx, stop := r.whileAlive(ctx, host)
	defer stop()
	out, err := do(ctx, r.peers.Programs(host))
	r.metrics.forwarded(s.request.op, time.Since(s.asked))
	return out, err
}

// next returns the host to ask: the one that was named as owner unless it is
// known to be dead, else the first of the alive ones.
func (s *search) next() string {
	members := s.router.members
	if s.hint != "" && (s.hint == members.Self().ID || isPresent(members, s.hint)) {
		return s.hint
	}
	return partition.PreferredHost(s.partition, alive(members))
}

// settle returns the final outcome if err is one, and otherwise prepares the
// next attempt.
func (s *search) settle(ctx context.Context, host string, err error) error {
	s.last = err
	if time.Since(s.asked) > longestPause {
		s.giveUp = time.Now().Add(searchTimeout)
	}
	var notOwner *port.NotOwnerError
	var broken *port.PeerError
	switch {
	case errors.As(err, &notOwner):
		s.moved(host, notOwner)
		return nil
	case s.request.gone != nil && s.request.gone():
		return s.answer(fault.OutcomeUnknown, fault.Unknown, "caller has gone")
	case errors.As(err, &broken):
		s.broke(ctx, host, broken)
		return nil
	}
	return s.honest(host, fault.Of(err))
}

// moved notes that host is not the owner.
func (s *search) moved(host string, e *port.NotOwnerError) {
	self := s.router.members.Self().ID
	if s.attempts > 1 || e.Owner == self {
		s.router.metrics.retried(reasonNotOwner)
	}
	if e.MayHaveRun {
		s.lost[host] = true
	}
	s.hint = e.Owner
	if e.Owner == host {
		s.hint = ""
	}
}

// broke notes that the connection to host failed.
func (s *search) broke(ctx context.Context, host string, e *port.PeerError) {
	s.hint = ""
	reason := reasonUnreachable
	if e.Sent {
		s.lost[host] = true
		reason = reasonBroken
	}
	if ctx.Err() != nil {
		return
	}
	var dead *HostLostError
	if errors.As(e, &dead) {
		reason = reasonHostLost
	}
	s.router.metrics.retried(reason)
	s.router.log.V(1).Info("Peer failed. Trying again.", "host", host,
		"op", s.request.op, "request", s.request.id, "cause", e.Error())
}

// honest takes back the promise of one owner that a request did not run, if
// another owner may have run it and left no record.
func (s *search) honest(host string, f *fault.Fault) *fault.Fault {
	if f.RequestID == "" {
		f = f.WithRequest(s.request.id)
	}
	if f.Run != fault.NotRun || s.request.proofSurvives {
		return f
	}
	for other := range s.lost {
		if other != host {
			f = f.WithCause(f.Unwrap())
			f.Run = fault.Unknown
			return f
		}
	}
	return f
}

// pause waits before the next attempt. It returns false when the search is
// over. A host that was just named and not yet asked is asked at once.
func (s *search) pause(ctx context.Context) bool {
	if ctx.Err() != nil || !time.Now().Before(s.giveUp) {
		return false
	}
	if host := s.next(); host != "" && !s.visited[host] {
		return true
	}
	clear(s.visited)
	t := time.NewTimer(s.backoff.NextBackOff())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exhausted returns the outcome of a search that found no owner in time.
func (s *search) exhausted(ctx context.Context) error {
	s.router.metrics.exhausted.Inc(1)
	run := fault.NotRun
	if len(s.lost) > 0 {
		run = fault.Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return s.answer(fault.Timeout, run, "no owner answered in time")
	case run == fault.Unknown:
		return s.answer(fault.OutcomeUnknown, run, "owner was lost and no other answered")
	}
	return s.answer(fault.NotReady, run, "no host owns the partition now")
}

func (s *search) answer(t fault.Type, run fault.Run, message string) *fault.Fault {
	return fault.New(t, run, "%s", message).
		WithRequest(s.request.id).
		WithRetryAfter(comeBack()).
		WithCause(s.last)
}

// comeBack returns a jittered time after which a caller may try again.
func comeBack() time.Duration {
	return shortestReturn + rand.N(longestReturn-shortestReturn)
}
