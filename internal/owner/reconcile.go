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
	// settleTimeout bounds the questions about one tree.
	settleTimeout = time.Second
	// settleAtOnce is how many trees are asked about at once.
	settleAtOnce = 8
)

// startSettling asks the engines what earlier owners have spent of the escrow
// that they left, once they can't use it any more. The caller has the lock.
func (p *part) startSettling() {
	p.settling = make(map[string]chan struct{})
	p.l.Trees(func(t *ledger.Tree) {
		if t.Unsettled > 0 {
			p.settling[t.RootKey] = make(chan struct{})
		}
	})
	if len(p.settling) == 0 {
		return
	}
	epoch, trees := p.l.Epoch, maps.Clone(p.settling)
	p.s.spawn(func() { p.settleAll(epoch, trees) })
}

func (p *part) settleAll(epoch int64, trees map[string]chan struct{}) {
	lease := p.s.p.Settings.SliceLease + p.s.p.Settings.ClockAllowance
	if !sleep(p.s.ctx, lease) {
		return
	}
	var group errgroup.Group
	group.SetLimit(settleAtOnce)
	for key, done := range trees {
		group.Go(func() error {
			p.settleTree(epoch, key)
			p.settlingEnded(key, done)
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
}

// settlingEnded notes that a tree's reconciliation has ended.
func (p *part) settlingEnded(key string, done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settling[key] == done {
		delete(p.settling, key)
	}
	close(done)
}

// treeClaim is what one tree's reconciliation has to know.
type treeClaim struct {
	programID string
	unsettled int64
	baseline  map[string]uint64
	programs  map[string]*requests
}

// requests are a program's request IDs as the engines know them.
type requests struct {
	// recorded have an outcome; running run under the present claim.
	recorded []string
	running  string
}

// claimOf returns what there is to settle, or nil.
func (p *part) claimOf(epoch int64, key string) *treeClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.l.Tree(key)
	if t == nil || t.Unsettled == 0 || p.l.Epoch != epoch || !p.held() {
		return nil
	}
	c := &treeClaim{unsettled: t.Unsettled, baseline: t.Targets, programs: make(map[string]*requests)}
	t.Programs(func(g *ledger.Program) {
		c.programID = g.ID
		c.programs[g.ID] = p.requestsOf(g)
	})
	return c
}

func (p *part) requestsOf(g *ledger.Program) *requests {
	r := &requests{}
	for _, turn := range g.Turns {
		r.recorded = append(r.recorded, engineRequest(g.ID, turn.RequestId))
	}
	if v := p.live[g.ID]; v != nil && v.running != nil {
		r.running = engineRequest(g.ID, v.running.call.RequestID)
	}
	return r
}

func (p *part) settleTree(epoch int64, key string) {
	c := p.claimOf(epoch, key)
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.s.ctx, settleTimeout)
	defer cancel()
	charge, holders, err := p.s.settle(ctx, c)
	if err != nil {
		p.s.count("reconciles_failed")
		p.s.p.Logger.V(1).Info("Escrow stays spent.", "partition", p.id, "error", err.Error())
		return
	}
	p.s.count("reconciles")
	_ = await(p.s.ctx, p.submitAt(epoch, &record.Record{Body: &record.Record_Reconcile{Reconcile: &record.Reconcile{
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
		return 0, &UnknownUsageError{Target: target.Name}
	}
	var sum int64
	for id, r := range c.programs {
		spent, incarnation, err := s.programSpent(ctx, target, id, r)
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

// programSpent cancels the requests without an outcome first, so that their
// spending does not grow any more. One that runs under the present claim is
// left alone; its earlier spending counts too.
func (s *Service) programSpent(ctx context.Context, target port.Target, programID string, r *requests) (int64, uint64, error) {
	usage, _, err := s.p.Engine.ProgramUsage(ctx, target, programID)
	if err != nil {
		return 0, 0, errors.Annotate(err, "usage can't be read")
	}
	for id := range usage {
		if id == r.running || slices.Contains(r.recorded, id) {
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
		if !slices.Contains(r.recorded, id) {
			spent += u.PromptTokens + u.OutputTokens
		}
	}
	return spent, incarnation, nil
}

// awaitSettled waits for a tree's reconciliation, and says whether there was
// one under way.
func (p *part) awaitSettled(ctx context.Context, key string) bool {
	p.mu.Lock()
	done := p.settling[key]
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

// UnsettledError says that a target can't tell what was spent.
type UnknownUsageError struct{ Target string }

// Error implements error.
func (e *UnknownUsageError) Error() string {
	return "target " + e.Target + " may have forgotten its spending"
}
