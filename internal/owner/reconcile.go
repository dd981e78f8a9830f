package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// reconcileTimeout bounds the requests to the engines for one tree.
	reconcileTimeout = time.Second
	// maxConcurrentReconciles bounds the trees reconciled at the same time.
	maxConcurrentReconciles = 8
)

// startReconciling starts the reconciliation of unsettled escrow: once earlier
// owners cannot use it any more, the engines are asked how much of it was spent.
// The caller holds p.mu.
func (p *partitionState) startReconciling() {
	p.reconciling = make(map[string]chan struct{})
	p.ledger.Trees(func(t *ledger.Tree) {
		if t.Unsettled > 0 {
			p.reconciling[t.RootKey] = make(chan struct{})
		}
	})
	if len(p.reconciling) == 0 {
		return
	}
	epoch, trees := p.ledger.Epoch, maps.Clone(p.reconciling)
	p.service.spawn(func() { p.reconcileAll(epoch, trees) })
}

func (p *partitionState) reconcileAll(epoch int64, trees map[string]chan struct{}) {
	lease := p.service.params.Settings.SliceLease + p.service.params.Settings.ClockAllowance
	if !sleep(p.service.ctx, lease) {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReconciles)
	for key, done := range trees {
		group.Go(func() error {
			p.reconcileTree(epoch, key)
			p.reconcileEnded(key, done)
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
}

// reconcileEnded wakes the calls that wait for a tree's reconciliation.
func (p *partitionState) reconcileEnded(key string, done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reconciling[key] == done {
		delete(p.reconciling, key)
	}
	close(done)
}

// reconcileInput is the input of one tree's reconciliation. baseline holds the
// engines' incarnations from before the unsettled escrow was reserved.
type reconcileInput struct {
	programID string
	unsettled int64
	baseline  map[string]uint64
	programs  map[string]*programRequests
}

// programRequests are a program's request IDs in the form sent to engines.
type programRequests struct {
	// recorded requests have an outcome; running runs under the present claim.
	recorded []string
	running  string
}

// reconcileInputOf returns the input of a tree's reconciliation, or nil if there is
// nothing to reconcile or the claim has ended.
func (p *partitionState) reconcileInputOf(epoch int64, key string) *reconcileInput {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.ledger.Tree(key)
	if t == nil || t.Unsettled == 0 || p.ledger.Epoch != epoch || !p.held() {
		return nil
	}
	c := &reconcileInput{unsettled: t.Unsettled, baseline: t.Targets, programs: make(map[string]*programRequests)}
	t.Programs(func(g *ledger.Program) {
		c.programID = g.ID
		c.programs[g.ID] = p.requestsOf(g)
	})
	return c
}

func (p *partitionState) requestsOf(g *ledger.Program) *programRequests {
	r := &programRequests{}
	for _, turn := range g.Turns {
		r.recorded = append(r.recorded, engineRequest(g.ID, turn.RequestId))
	}
	if v := p.activities[g.ID]; v != nil && v.running != nil {
		r.running = engineRequest(g.ID, v.running.call.RequestID)
	}
	return r
}

func (p *partitionState) reconcileTree(epoch int64, key string) {
	c := p.reconcileInputOf(epoch, key)
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.service.ctx, reconcileTimeout)
	defer cancel()
	charge, holders, err := p.service.engineSpending(ctx, c)
	if err != nil {
		p.service.count("reconciles_failed")
		p.service.params.Logger.V(1).Info("Reconciliation failed; unsettled escrow stays charged.", "partition", p.id, "error", err.Error())
		return
	}
	p.service.count("reconciles")
	_ = await(p.service.ctx, p.submitAt(epoch, &record.Record{Body: &record.Record_Reconcile{Reconcile: &record.Reconcile{
		ProgramId: c.programID,
		Unsettled: c.unsettled,
		Charge:    charge,
		Holders:   holders,
	}}}))
}

// engineSpending returns the tokens that requests without an outcome have spent at
// all engines, and the engines that may hold KV cache because of them. It returns an
// error if any engine cannot report its part.
func (s *Service) engineSpending(ctx context.Context, c *reconcileInput) (int64, []string, error) {
	targets := s.engineTargets()
	spent := make([]int64, len(targets))
	group, ctx := errgroup.WithContext(ctx)
	for i, target := range targets {
		group.Go(func() error {
			var err error
			spent[i], err = s.treeSpending(ctx, target, c)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, nil, err
	}
	var charge int64
	var holders []string
	for i, target := range targets {
		charge += spent[i]
		if spent[i] > 0 {
			holders = append(holders, target.Name)
		}
	}
	return charge, holders, nil
}

func (s *Service) treeSpending(ctx context.Context, target port.Target, c *reconcileInput) (int64, error) {
	baseline, ok := c.baseline[target.Name]
	if !ok {
		return 0, &UnknownUsageError{Target: target.Name}
	}
	var sum int64
	for id, r := range c.programs {
		spent, incarnation, err := s.programSpending(ctx, target, id, r)
		if err != nil {
			return 0, err
		}
		if incarnation != baseline {
			return 0, &UnknownUsageError{Target: target.Name}
		}
		sum += spent
	}
	return sum, nil
}

// programSpending returns the tokens that a program's requests without an outcome
// have spent at a target, and the target's incarnation. It first cancels those
// requests so that their spending does not grow any more. The request that runs
// under the present claim is not cancelled; its spending so far counts too.
func (s *Service) programSpending(ctx context.Context, target port.Target, programID string, r *programRequests) (int64, uint64, error) {
	usage, _, err := s.params.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, 0, errors.Annotate(err, "read program usage")
	}
	for id := range usage {
		if id == r.running || slices.Contains(r.recorded, id) {
			continue
		}
		if err := s.params.Engine.Cancel(ctx, target, id); err != nil {
			return 0, 0, errors.Annotate(err, "cancel call")
		}
	}
	usage, incarnation, err := s.params.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, 0, errors.Annotate(err, "read program usage")
	}
	var spent int64
	for id, u := range usage {
		if !slices.Contains(r.recorded, id) {
			spent += u.PromptTokens + u.OutputTokens
		}
	}
	return spent, incarnation, nil
}

// awaitReconcile waits for a tree's reconciliation. It returns false if none was in
// progress or the context ended.
func (p *partitionState) awaitReconcile(ctx context.Context, key string) bool {
	p.mu.Lock()
	done := p.reconciling[key]
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// UnknownUsageError reports that a target cannot report what was spent.
type UnknownUsageError struct{ Target string }

// Error implements error.
func (e *UnknownUsageError) Error() string {
	return "target " + e.Target + " may have lost its usage data in a restart"
}
