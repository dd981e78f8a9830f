package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// locate returns the partition of a root key, locked, once this host holds it
// and takes new work there. It waits for a claim of this host for a bounded
// time, for a release on its way as long as the context lasts, and otherwise
// answers *port.NotOwnerError.
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

// awaitWake waits for a change, for a moment at most, and says whether the
// context lives on.
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

// drains says whether the holder lets calls finish before it gives the
// partition back, which takes as long as they do.
func (p *partitionState) isDraining(v membershipView) bool {
	if p.held() {
		return p.releasing
	}
	m, ok := v.members[p.ledger.Holder.Host]
	return ok && !p.ledger.Released && m.State == port.MemberLeaving && m.Incarnation == p.ledger.Holder.Incarnation
}

// elsewhere returns the error that names another owner, or nil if this host
// is about to own the partition or to give it back.
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

// UnclaimedError says that a partition had no owner in time.
type UnclaimedError struct{ part *partitionState }

// Error implements error.
func (e *UnclaimedError) Error() string { return "partition is not claimed" }

func (s *Service) unclaimed(p *partitionState) error {
	s.count("calls_without_claim")
	f := fault.New(fault.LogUnavailable, fault.NotRun, "the partition is not claimed yet")
	return f.WithRetryAfter(retryAfter).WithCause(&UnclaimedError{part: p})
}

// unclaimedCall corrects the refusal of a call that found no owner: the same
// request may have been sent before.
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

// runOf says what is known of a call without an owner. A holder that gave the
// partition back left nothing in flight; one that was lost may yet dispatch.
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
