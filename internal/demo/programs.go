package demo

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// creches is the number of sub-agents of the reshuffle.
const creches = 3

// inquiry is a program whose owner is killed between two turns and whose
// posting loses its answer.
func (d *demo) inquiry(ctx context.Context) error {
	p, err := d.open(ctx, "inquiry", standin.OrganisationAnnuities, standin.AgentInquiry, "")
	if err != nil {
		return err
	}
	return inOrder(
		func() error { return p.ask(ctx, standin.ModelLarge, "What is my share?") },
		func() error { return p.use(ctx, standin.ServiceLedger, standin.OperationShares) },
		func() error { return d.killOwner(ctx, p) },
		func() error { return p.ask(ctx, standin.ModelLarge, "Pay it out, please.") },
		func() error { return d.post(ctx, p) },
		func() error { return d.caller.End(ctx, p.id) },
	)
}

// inOrder runs steps up to the first that fails.
func inOrder(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// killOwner kills the host that owns a program. The caller starts with that
// host from then on.
func (d *demo) killOwner(ctx context.Context, p *program) error {
	owner, err := d.owner(ctx, p)
	if err != nil {
		return err
	}
	if err := d.cluster.Kill(owner); err != nil {
		return errors.Trace(err)
	}
	d.caller = d.caller.At(owner)
	d.report.event(p.name, fmt.Sprintf("host %d, the owner, is killed", owner))
	return nil
}

// owner returns the index of the host that owns a program.
func (d *demo) owner(ctx context.Context, p *program) (int, error) {
	var document config.Document
	if err := d.caller.Get(ctx, "/v1/config", &document); err != nil {
		return 0, errors.Trace(err)
	}
	var answer struct {
		Partitions []port.PartitionView `json:"partitions"`
	}
	if err := d.caller.Get(ctx, "/v1/partitions", &answer); err != nil {
		return 0, errors.Trace(err)
	}
	wanted := partition.Of(p.id, document.Partitions)
	for _, view := range answer.Partitions {
		if view.Partition == wanted {
			return d.hostIndex(view.Owner)
		}
	}
	return 0, &UnknownOwnerError{Partition: wanted}
}

// UnknownOwnerError says that no host is known to own a partition.
type UnknownOwnerError struct{ Partition uint32 }

// Error implements error.
func (e *UnknownOwnerError) Error() string {
	return fmt.Sprintf("no host is known to own partition %d", e.Partition)
}

func (d *demo) hostIndex(id string) (int, error) {
	for i := range hosts {
		if d.cluster.Self(i).ID == id {
			return i, nil
		}
	}
	return 0, errors.NotFoundf("host %q", id)
}

// post makes a posting whose answer is lost, and sends it once more.
func (d *demo) post(ctx context.Context, p *program) error {
	d.cluster.Platform().Runs.LoseAnswers(standin.ServiceLedger, 1)
	d.report.event(p.name, "the next answer of ledger will be lost")
	again := p.serviceCall(standin.ServiceLedger, standin.OperationPayout)
	if err := p.use(ctx, standin.ServiceLedger, standin.OperationPayout); err != nil {
		return err
	}
	repeated, err := d.caller.Call(ctx, p.id, again)
	if err != nil {
		return errors.Annotate(err, "repeat the posting")
	}
	first := p.answers[len(p.answers)-1]
	d.report.check("the posting sent again has the same answer", string(repeated.Output) == string(first.Output))
	return nil
}

// reshuffle is a program with a sub-agent for each crèche.
func (d *demo) reshuffle(ctx context.Context) error {
	p, err := d.open(ctx, "reshuffle", standin.OrganisationRounds, standin.AgentPlanning, "")
	if err != nil {
		return err
	}
	return inOrder(
		func() error { return p.use(ctx, standin.ServiceRouting, "plan") },
		func() error { return d.subAgents(ctx, p) },
		func() error { return p.ask(ctx, standin.ModelSmall, "Join the new times into one round.") },
		func() error { return p.use(ctx, standin.ServiceBilling, standin.OperationCollection) },
		func() error { return d.caller.End(ctx, p.id) },
	)
}

func (d *demo) subAgents(ctx context.Context, parent *program) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range creches {
		group.Go(func() error { return d.subAgent(ctx, parent, fmt.Sprintf("creche-%d", i+1)) })
	}
	return group.Wait()
}

func (d *demo) subAgent(ctx context.Context, parent *program, name string) error {
	p, err := d.open(ctx, name, standin.OrganisationRounds, standin.AgentPlanning, parent.id)
	if err != nil {
		return err
	}
	return inOrder(
		func() error { return p.ask(ctx, standin.ModelSmall, "When can the van come to "+name+"?") },
		func() error { return p.use(ctx, standin.ServiceBilling, standin.OperationAccount) },
		func() error { return d.caller.End(ctx, p.id) },
	)
}
