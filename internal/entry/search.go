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

// The limits of a search for an owner.
const (
	// maxAttempts is the maximum number of attempts at one request.
	maxAttempts = 64
	// searchTimeout bounds the time without an owner. It restarts after each attempt
	// that took longer than maxPause, since a refusal is faster.
	searchTimeout = 10 * time.Second
	minPause      = 10 * time.Millisecond
	maxPause      = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a fault.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// request describes a request that is routed.
type request struct {
	op string
	// key is the root key of the program.
	key string
	// id is the request ID, if there is one.
	id      string
	timeout time.Duration
	// grace is added to the timeout when waiting for the owner.
	grace time.Duration
	// notRunHolds is set if a new owner's statement that the request did not run also
	// covers an earlier owner that failed.
	notRunHolds bool
	// callerGone reports whether the caller has disconnected; nil means never.
	callerGone func() bool
}

// search holds the state of the attempts at one request.
type search struct {
	router    *Router
	request   request
	partition uint32
	attempts  int
	// hint is the owner that the last answer named, or "".
	hint string
	// visited is the set of hosts tried since the last pause.
	visited map[string]bool
	// unresolved is the set of hosts that may have run the request and did not answer.
	unresolved     map[string]bool
	backoff        *backoff.ExponentialBackOff
	giveUpAt       time.Time
	attemptStarted time.Time
	lastErr        error
}

func (r *Router) newSearch(req request, partitions uint32) *search {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minPause
	b.MaxInterval = maxPause
	return &search{
		router:     r,
		request:    req,
		partition:  partition.OfKey(req.key, partitions),
		hint:       r.members.Self().ID,
		visited:    make(map[string]bool),
		unresolved: make(map[string]bool),
		backoff:    b,
		giveUpAt:   time.Now().Add(searchTimeout),
	}
}

// route calls do with the owner of the request's partition until there is an outcome or
// the search ends. Its errors are of type *fault.Fault.
func route[T any](ctx context.Context, r *Router, req request, do func(context.Context, port.Programs) (T, error)) (T, error) {
	var zero T
	snapshot := r.config.Current()
	if snapshot == nil {
		return zero, noConfigFault(req.id)
	}
	ctx, cancel := context.WithTimeout(ctx, req.timeout+req.grace)
	defer cancel()
	s := r.newSearch(req, snapshot.Document.Partitions)
	for s.attempts < maxAttempts {
		host := s.nextHost()
		out, err := attempt(ctx, s, host, do)
		if err == nil {
			return out, nil
		}
		if final := s.handleError(ctx, host, err); final != nil {
			return zero, final
		}
		if !s.pause(ctx) {
			break
		}
	}
	return zero, s.exhaustedFault(ctx)
}

// attempt calls do once, with this host's programs or a peer's.
func attempt[T any](ctx context.Context, s *search, host string, do func(context.Context, port.Programs) (T, error)) (T, error) {
	s.attempts++
	s.attemptStarted = time.Now()
	s.visited[host] = true
	r := s.router
	if host == "" {
		var zero T
		return zero, &port.NotOwnerError{Partition: s.partition}
	}
	if host == r.members.Self().ID {
		return do(ctx, r.local)
	}
	ctx, stop := r.contextWhileAlive(ctx, host)
	defer stop()
	out, err := do(ctx, r.peers.Programs(host))
	r.metrics.forwarded(s.request.op, time.Since(s.attemptStarted))
	return out, err
}

// nextHost returns the host to try: the one named as owner unless it is known to be dead,
// or else the preferred host of the partition among the alive ones. It returns "" if there
// is none.
func (s *search) nextHost() string {
	members := s.router.members
	if s.hint != "" && (s.hint == members.Self().ID || isPresent(members, s.hint)) {
		return s.hint
	}
	return partition.PreferredHost(s.partition, aliveHosts(members))
}

// handleError returns the final outcome if err is one. Otherwise it prepares the next
// attempt and returns nil.
func (s *search) handleError(ctx context.Context, host string, err error) error {
	s.lastErr = err
	if time.Since(s.attemptStarted) > maxPause {
		s.giveUpAt = time.Now().Add(searchTimeout)
	}
	var notOwner *port.NotOwnerError
	var broken *port.PeerError
	switch {
	case errors.As(err, &notOwner):
		s.handleNotOwner(host, notOwner)
		return nil
	case s.request.callerGone != nil && s.request.callerGone():
		return s.fault(fault.OutcomeUnknown, fault.Unknown, "caller has gone")
	case errors.As(err, &broken):
		s.handlePeerError(ctx, host, broken)
		return nil
	}
	return s.correctRun(host, fault.Of(err))
}

// handleNotOwner records that host is not the owner, and the owner that it named.
func (s *search) handleNotOwner(host string, e *port.NotOwnerError) {
	self := s.router.members.Self().ID
	if s.attempts > 1 || e.Owner == self {
		s.router.metrics.retried(reasonNotOwner)
	}
	if e.MayHaveRun {
		s.unresolved[host] = true
	}
	s.hint = e.Owner
	if e.Owner == host {
		s.hint = ""
	}
}

// handlePeerError records that the connection to host failed.
func (s *search) handlePeerError(ctx context.Context, host string, e *port.PeerError) {
	s.hint = ""
	reason := reasonUnreachable
	if e.Sent {
		s.unresolved[host] = true
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
	s.router.log.V(1).Info("Request to peer failed; retrying.", "host", host,
		"op", s.request.op, "request", s.request.id, "cause", e.Error())
}

// correctRun changes a fault's run from not_run to unknown if another host may have run
// the request without a record.
func (s *search) correctRun(host string, f *fault.Fault) *fault.Fault {
	if f.RequestID == "" {
		f = f.WithRequest(s.request.id)
	}
	if f.Run != fault.NotRun || s.request.notRunHolds {
		return f
	}
	for other := range s.unresolved {
		if other != host {
			f = f.WithCause(f.Unwrap())
			f.Run = fault.Unknown
			return f
		}
	}
	return f
}

// pause waits before the next attempt. It returns false if the search has ended. It does
// not wait if the next host has not been tried since the last pause.
func (s *search) pause(ctx context.Context) bool {
	if ctx.Err() != nil || !time.Now().Before(s.giveUpAt) {
		return false
	}
	if host := s.nextHost(); host != "" && !s.visited[host] {
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

// exhaustedFault returns the outcome of a search that found no owner in time, and counts
// it.
func (s *search) exhaustedFault(ctx context.Context) error {
	s.router.metrics.exhausted.Inc(1)
	run := fault.NotRun
	if len(s.unresolved) > 0 {
		run = fault.Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return s.fault(fault.Timeout, run, "no owner answered in time")
	case run == fault.Unknown:
		return s.fault(fault.OutcomeUnknown, run, "owner was lost and no other answered")
	}
	return s.fault(fault.NotReady, run, "no host owns the partition now")
}

func (s *search) fault(t fault.Type, run fault.Run, message string) *fault.Fault {
	return fault.New(t, run, "%s", message).
		WithRequest(s.request.id).
		WithRetryAfter(jitteredRetryAfter()).
		WithCause(s.lastErr)
}

// jitteredRetryAfter returns a random Retry-After time within the bounds.
func jitteredRetryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}
