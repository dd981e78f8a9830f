package owner

import (
	"context"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// callsPerSlice is the minimum size of a new slice, as a multiple of the
	// tokens that the last call needed.
	callsPerSlice = 2
	// minSlicesPerBudget limits a slice to this fraction of the budget unless
	// its calls need more, because unspent escrow is unsettled after an owner
	// is lost.
	minSlicesPerBudget = 4
)

// reserve reserves need tokens of the tree's escrow. If the escrow is too small,
// it requests a further slice and waits for it. It returns a *fault.Fault or
// *port.NotOwnerError if the tokens cannot be reserved.
func (p *partitionState) reserve(ctx context.Context, r *running, need int64) error {
	for {
		done, slice, err := p.tryReserve(r, need)
		if err != nil && p.awaitReconcile(ctx, partition.RootKey(r.call.ProgramID)) {
			continue
		}
		if done || err != nil {
			return err
		}
		if err := await(ctx, slice); err != nil && !isRefused(err) {
			return sliceFault(ctx, err)
		}
	}
}

func sliceFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return logUnavailable(fault.NotRun).WithCause(err)
	}
	return err
}

// tryReserve reserves need tokens without blocking. It returns true if they are
// reserved, a pending slice to wait for, or the refusal.
func (p *partitionState) tryReserve(r *running, need int64) (bool, *pending, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := partition.RootKey(r.call.ProgramID)
	t := p.ledger.Tree(key)
	g := p.ledger.Program(r.call.ProgramID)
	if p.ledger.Epoch != r.epoch || !p.held() || t == nil || g == nil {
		return false, nil, &port.NotOwnerError{Partition: p.id}
	}
	if g.Open.Parent != "" && g.Open.BudgetTokens > 0 && g.Spent+need > g.Open.BudgetTokens {
		return false, nil, p.overBudget(key)
	}
	out := p.reserved[key]
	if t.Free()-out >= need {
		p.reserved[key] += need
		return true, nil, nil
	}
	if t.Spent+t.Unsettled+out+need > t.Budget {
		return false, nil, p.overBudget(key)
	}
	return false, p.requestSlice(t, g.ID, out, need), nil
}

func (p *partitionState) overBudget(key string) error {
	f := fault.New(fault.BudgetExceeded, fault.NotRun, "the call may need more than the budget has left")
	if p.reserved[key] > 0 {
		// Running calls return the part of their reservation that they don't use.
		f = f.WithRetryAfter(retryAfter)
	}
	return f
}

// requestSlice returns the tree's pending slice and submits one if there is none.
func (p *partitionState) requestSlice(t *ledger.Tree, programID string, out, need int64) *pending {
	p.service.count("slices_awaited")
	return p.submitOnce("slice/"+t.RootKey, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{
		ProgramId: programID,
		Granted:   min(t.Budget, t.Spent+t.Unsettled+out+need+p.service.sliceSize(t.Budget, need)),
	}}})
}

// sliceSize returns the size of the next slice in tokens, for calls that need
// need tokens each.
func (s *Service) sliceSize(budget, need int64) int64 {
	return max(min(s.params.Settings.SliceTokens, budget/minSlicesPerBudget), callsPerSlice*need)
}

// nextSlice returns the escrow in tokens to grant with a turn, so that the next
// call need not wait for a slice. It returns 0 for calls that need no tokens. The
// caller holds p.mu.
func (p *partitionState) nextSlice(programID string, charge, need int64) int64 {
	key := partition.RootKey(programID)
	t := p.ledger.Tree(key)
	if t == nil || need == 0 {
		return 0
	}
	others := max(0, p.reserved[key]-need)
	return min(t.Budget, t.Spent+t.Unsettled+charge+others+p.service.sliceSize(t.Budget, need))
}

// unreserve returns reserved tokens, unless the partition's epoch has changed
// since they were reserved.
func (p *partitionState) unreserve(epoch int64, key string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ledger.Epoch != epoch {
		return
	}
	p.reserved[key] -= amount
	if p.reserved[key] <= 0 {
		delete(p.reserved, key)
	}
}
