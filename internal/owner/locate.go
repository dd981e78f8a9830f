package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// locate returns the partition of a root key, locked, once this host holds it and
// accepts new work for it. It waits up to Settings.ClaimWait for a claim of this
// host and, without that limit, for a release in progress. If another host is the
// owner, it returns *port.NotOwnerError.
func (s *Service) locate(ctx context.Context, rootKey string) (*partitionState, error) {
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	l := s.layout.Load()
	p := l.partitions[partition.OfKey(rootKey, uint32(len(l.partitions)))]
	limit := time.Now().Add(s.params.Settings.ClaimWait)
	for {
		p.mu.Lock()
		if p.held() && !p.releasing {
			return p, nil
		}
		wake, v := p.wake, s.membershipView()
		err := p.otherOwner(v)
		draining := p.isDraining(v)
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if draining {
			limit = time.Now().Add(s.params.Settings.ClaimWait)
		}
		if !awaitWake(ctx, wake) || !time.Now().Before(limit) {
			return nil, s.unclaimed(p)
		}
	}
}

func (s *Service) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.params.Settings.ClaimWait)
	defer cancel()
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return notReady()
	}
}

// awaitWake waits for a change, but no longer than claimInterval. It returns false
// if the context has ended.
func awaitWake(ctx context.Context, wake <-chan struct{}) bool {
	moment := time.NewTimer(claimInterval)
	defer moment.Stop()
	select {
	case <-wake:
	case <-moment.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// isDraining reports whether the holder is waiting for calls to finish before it
// releases the partition.
func (p *partitionState) isDraining(v membershipView) bool {
	if p.held() {
		return p.releasing
	}
	m, ok := v.members[p.ledger.Holder.Host]
	return ok && !p.ledger.Released && m.State == port.MemberLeaving && m.Incarnation == p.ledger.Holder.Incarnation
}

// otherOwner returns a *port.NotOwnerError that names another host, or nil if this
// host holds the partition, is about to claim it or is releasing it to its
// preferred host.
func (p *partitionState) otherOwner(v membershipView) error {
	if p.held() && !p.service.leaving.Load() {
		return nil
	}
	if p.held() {
		return &port.NotOwnerError{Partition: p.id, Owner: v.preferredHost(p.id)}
	}
	if p.ledger.Epoch > 0 && !p.ledger.Released && p.ledger.Holder.Host != v.self && v.isServing(p.ledger.Holder) {
		return &port.NotOwnerError{Partition: p.id, Owner: p.ledger.Holder.Host}
	}
	if first := v.preferredHost(p.id); first != v.self {
		return &port.NotOwnerError{Partition: p.id, Owner: first}
	}
	return nil
}

// UnclaimedError reports that a partition was not claimed in time.
type UnclaimedError struct{ part *partitionState }

// Error implements error.
func (e *UnclaimedError) Error() string { return "partition is not claimed" }

func (s *Service) unclaimed(p *partitionState) error {
	s.count("calls_without_claim")
	f := fault.New(fault.LogUnavailable, fault.NotRun, "the partition is not claimed yet")
	return f.WithRetryAfter(retryAfter).WithCause(&UnclaimedError{part: p})
}

// unclaimedCall sets the run of a refusal for want of an owner, since an earlier
// attempt of the same request may have run.
func unclaimedCall(err error, call port.Call) error {
	var u *UnclaimedError
	f, ok := fault.As(err)
	if !ok || !errors.As(err, &u) {
		return err
	}
	f = f.WithRequest(call.RequestID)
	f.Run = u.part.runWithoutOwner(call)
	return f
}

// runWithoutOwner reports whether a call may have run whose partition has no owner.
// A holder that released the partition has nothing in flight; a holder that was
// lost may still dispatch.
func (p *partitionState) runWithoutOwner(call port.Call) fault.Run {
	if p.stream.isStale() || !p.stream.caughtUp.Load() {
		return fault.Unknown
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.ledger.Program(call.ProgramID)
	switch {
	case g != nil && g.Turn(call.Seq) != nil:
		return fault.Ran
	case g != nil && (g.Intent != nil || p.mayHaveBeenDispatched(g, call)):
		return fault.Unknown
	case p.ledger.Epoch == 0 || p.ledger.Released:
		return fault.NotRun
	}
	return fault.Unknown
}
