package owner

import (
	"context"

	"github.com/juju/errors"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// sliceCalls is how many calls like the last one a new slice covers.
const sliceCalls = 2

// reserve takes need tokens of the tree's escrow. It asks for a further slice
// and waits for it only if the escrow is too small.
func (p *part) reserve(ctx context.Context, r *running, need int64) error {
	reconciled := false
	for {
		done, slice, err := p.tryReserve(r, need)
		if done {
			return nil
		}
		if slice != nil {
			if err := await(ctx, slice); err != nil && !isRefused(err) {
				return sliceFault(ctx, err)
			}
			continue
		}
		if reconciled || !p.reconcile(ctx, r) {
			return err
		}
		reconciled = true
	}
}

func sliceFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return logUnavailable(fault.NotRun).WithCause(err)
	}
	return err
}

// tryReserve reserves at once, or returns a slice on its way to wait for, or
// the refusal.
func (p *part) tryReserve(r *running, need int64) (bool, *pending, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := partition.RootKey(r.call.ProgramID)
	t := p.l.Tree(key)
	g := p.l.Program(r.call.ProgramID)
	if p.l.Epoch != r.epoch || !p.held() || t == nil || g == nil {
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
	return false, p.askSlice(t, g.ID, out, need), nil
}

func (p *part) overBudget(key string) error {
	f := fault.New(fault.BudgetExceeded, fault.NotRun, "the call may need more than the budget has left")
	if p.reserved[key] > 0 {
		// Some of what others have reserved comes back.
		f = f.WithRetryAfter(retryAfter)
	}
	return f
}

// askSlice returns the tree's slice on its way, or asks for one.
func (p *part) askSlice(t *ledger.Tree, programID string, out, need int64) *pending {
	p.s.count("slices_awaited")
	return p.sendOnce("slice/"+t.RootKey, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{
		ProgramId: programID,
		Granted:   min(t.Budget, t.Spent+t.Unsettled+out+need+p.sliceSize(need)),
	}}})
}

func (p *part) sliceSize(need int64) int64 {
	return max(p.s.p.Settings.SliceTokens, sliceCalls*need)
}

// nextSlice returns the escrow to grant with a turn, so that the next call
// finds its slice in the log. The caller has the lock.
func (p *part) nextSlice(programID string, charge, need int64) int64 {
	key := partition.RootKey(programID)
	t := p.l.Tree(key)
	if t == nil || need == 0 {
		return 0
	}
	others := max(0, p.reserved[key]-need)
	return min(t.Budget, t.Spent+t.Unsettled+charge+others+p.sliceSize(need))
}

// unreserve gives reserved tokens back, unless the partition was lost since.
func (p *part) unreserve(epoch int64, key string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.l.Epoch != epoch {
		return
	}
	p.reserved[key] -= amount
	if p.reserved[key] <= 0 {
		delete(p.reserved, key)
	}
}

// settlement is what the engines say about a tree's unsettled escrow.
type settlement struct {
	charge  int64
	holders map[string][]string
}

// reconcile asks the engines what an earlier owner has spent of the unsettled
// escrow, and records it. Where one engine can't tell, all of it stays spent.
func (p *part) reconcile(ctx context.Context, r *running) bool {
	p.mu.Lock()
	t := p.l.Tree(partition.RootKey(r.call.ProgramID))
	if t == nil || t.Unsettled == 0 || p.l.Epoch != r.epoch {
		p.mu.Unlock()
		return false
	}
	unsettled, baseline := t.Unsettled, t.Targets
	recorded := p.recordedRequests(t)
	p.mu.Unlock()
	s, err := p.s.settle(ctx, recorded, baseline)
	if err != nil {
		p.s.count("reconciles_failed")
		p.s.p.Logger.V(1).Info("Escrow stays unsettled.", "partition", p.id, "error", err.Error())
		return false
	}
	return p.recordSettlement(ctx, r, unsettled, s)
}

// recordedRequests returns, for each program of a tree, the request IDs that
// have an outcome.
func (p *part) recordedRequests(t *ledger.Tree) map[string]map[string]bool {
	recorded := make(map[string]map[string]bool)
	t.Programs(func(g *ledger.Program) {
		ids := make(map[string]bool, len(g.Turns))
		for _, turn := range g.Turns {
			ids[turn.RequestId] = true
		}
		recorded[g.ID] = ids
	})
	return recorded
}

// settle sums up what requests without an outcome have spent. Each is
// cancelled first, so that its spending does not grow any more.
func (s *Service) settle(ctx context.Context, recorded map[string]map[string]bool, baseline map[string]uint64) (settlement, error) {
	result := settlement{holders: make(map[string][]string)}
	for _, target := range s.engineTargets() {
		known, ok := baseline[target.Name]
		if !ok {
			return result, &UnsettledError{Target: target.Name}
		}
		for id, ids := range recorded {
			spent, err := s.spentAt(ctx, target, known, id, ids)
			if err != nil {
				return result, err
			}
			if spent > 0 {
				result.charge += spent
				result.holders[id] = append(result.holders[id], target.Name)
			}
		}
	}
	return result, nil
}

func (s *Service) spentAt(ctx context.Context, target port.Target, baseline uint64, programID string, recorded map[string]bool) (int64, error) {
	first, _, err := s.p.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, errors.Annotate(err, "usage can't be read")
	}
	for id := range first {
		if recorded[id] {
			continue
		}
		if err := s.p.Engine.Cancel(ctx, target, id); err != nil {
			return 0, errors.Annotate(err, "call can't be cancelled")
		}
	}
	usage, incarnation, err := s.p.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, errors.Annotate(err, "usage can't be read")
	}
	if incarnation != baseline {
		return 0, &UnsettledError{Target: target.Name}
	}
	var spent int64
	for id, u := range usage {
		if !recorded[id] {
			spent += u.PromptTokens + u.OutputTokens
		}
	}
	return spent, nil
}

func (p *part) recordSettlement(ctx context.Context, r *running, unsettled int64, s settlement) bool {
	sent := p.submitAt(r.epoch, &record.Record{Body: &record.Record_Reconcile{Reconcile: &record.Reconcile{
		ProgramId: r.call.ProgramID,
		Unsettled: unsettled,
		Charge:    s.charge,
		Holders:   s.holders[r.call.ProgramID],
	}}})
	err := await(ctx, sent)
	return err == nil || isRefused(err)
}

// UnsettledError says that a target can't tell what was spent.
type UnsettledError struct{ Target string }

// Error implements error.
func (e *UnsettledError) Error() string {
	return "target " + e.Target + " may have forgotten its spending"
}
