package owner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// settleTimeout bounds the questions about one tree.
	settleTimeout = time.Second
	// settleAtOnce is how many trees are asked about at once.
	settleAtOnce = 8
)

// startSettling asks the engines what earlier owners have spent of the escrow
// that they left. No call of such a tree is dispatched before that has ended.
// The caller has the lock.
func (p *part) startSettling() {
	p.settling = make(map[string]chan struct{})
	var trees []*treeClaim
	p.l.Trees(func(t *ledger.Tree) {
		if t.Unsettled > 0 {
			c := p.claimOf(t)
			p.settling[t.RootKey] = c.done
			trees = append(trees, c)
		}
	})
	if len(trees) > 0 {
		p.s.spawn(func() { p.settleAll(trees) })
	}
}

// treeClaim is what one tree's reconciliation has to know.
type treeClaim struct {
	epoch     int64
	programID string
	unsettled int64
	baseline  map[string]uint64
	// recorded holds, for each program, the engines' request IDs with an outcome.
	recorded map[string][]string
	done     chan struct{}
}

func (p *part) claimOf(t *ledger.Tree) *treeClaim {
	c := &treeClaim{
		epoch:     p.l.Epoch,
		unsettled: t.Unsettled,
		baseline:  t.Targets,
		recorded:  make(map[string][]string),
		done:      make(chan struct{}),
	}
	t.Programs(func(g *ledger.Program) {
		var ids []string
		for _, turn := range g.Turns {
			ids = append(ids, engineRequest(g.ID, turn.RequestId))
		}
		c.recorded[g.ID] = ids
		c.programID = g.ID
	})
	return c
}

func (p *part) settleAll(trees []*treeClaim) {
	var group errgroup.Group
	group.SetLimit(settleAtOnce)
	for _, c := range trees {
		group.Go(func() error {
			defer close(c.done)
			p.settleTree(c)
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
}

func (p *part) settleTree(c *treeClaim) {
	ctx, cancel := context.WithTimeout(p.s.ctx, settleTimeout)
	defer cancel()
	charge, holders, err := p.s.settle(ctx, c)
	if err != nil {
		p.s.count("reconciles_failed")
		p.s.p.Logger.V(1).Info("Escrow stays spent.", "partition", p.id, "error", err.Error())
		return
	}
	p.s.count("reconciles")
	_ = await(p.s.ctx, p.submitAt(c.epoch, &record.Record{Body: &record.Record_Reconcile{Reconcile: &record.Reconcile{
		ProgramId: c.programID,
		Unsettled: c.unsettled,
		Charge:    charge,
		Holders:   holders,
	}}}))
}

// settle sums up what requests without an outcome have spent, and names the
// engines that hold something of them. If one engine can't tell, none counts.
func (s *Service) settle(ctx context.Context, c *treeClaim) (int64, []string, error) {
	targets := s.engineTargets()
	spent := make([]int64, len(targets))
	group, ctx := errgroup.WithContext(ctx)
	for i, target := range targets {
		group.Go(func() error {
			var err error
			spent[i], err = s.spentAt(ctx, target, c)
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

func (s *Service) spentAt(ctx context.Context, target port.Target, c *treeClaim) (int64, error) {
	baseline, ok := c.baseline[target.Name]
	if !ok {
		return 0, &UnsettledError{Target: target.Name}
	}
	var sum int64
	for id, recorded := range c.recorded {
		spent, incarnation, err := s.programSpent(ctx, target, id, recorded)
		if err != nil {
			return 0, err
		}
		if incarnation != baseline {
			return 0, &UnsettledError{Target: target.Name}
		}
		sum += spent
	}
	return sum, nil
}

// programSpent cancels the requests without an outcome first, so that their
// spending does not grow any more.
func (s *Service) programSpent(ctx context.Context, target port.Target, programID string, recorded []string) (int64, uint64, error) {
	usage, _, err := s.p.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, 0, errors.Annotate(err, "usage can't be read")
	}
	for id := range usage {
		if slices.Contains(recorded, id) {
			continue
		}
		if err := s.p.Engine.Cancel(ctx, target, id); err != nil {
			return 0, 0, errors.Annotate(err, "call can't be cancelled")
		}
	}
	usage, incarnation, err := s.p.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, 0, errors.Annotate(err, "usage can't be read")
	}
	var spent int64
	for id, u := range usage {
		if !slices.Contains(recorded, id) {
			spent += u.PromptTokens + u.OutputTokens
		}
	}
	return spent, incarnation, nil
}

// awaitSettled waits until a tree's reconciliation has ended.
func (p *part) awaitSettled(ctx context.Context, key string) error {
	p.mu.Lock()
	done := p.settling[key]
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// UnsettledError says that a target can't tell what was spent.
type UnsettledError struct{ Target string }

// Error implements error.
func (e *UnsettledError) Error() string {
	return "target " + e.Target + " may have forgotten its spending"
}
