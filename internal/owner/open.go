package owner

import (
	"context"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// Open creates a program, or returns the program that the same request created.
func (s *Service) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	if err := s.validateSpec(&spec); err != nil {
		return port.ProgramView{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.params.Settings.CallTimeout)
	defer cancel()
	key := partition.NewRootKey(spec.Organisation, spec.RequestID)
	if spec.Parent != "" {
		key = partition.RootKey(spec.Parent)
	}
	return lookUp(ctx, s, key, fault.NotRun, func() (port.ProgramView, error) { return s.openUnder(ctx, key, spec) })
}

// openUnder opens a program under a root key. spec must be valid.
func (s *Service) openUnder(ctx context.Context, key string, spec port.ProgramSpec) (port.ProgramView, error) {
	var budgetErr error
	if spec.Parent == "" {
		release, err := s.reserveOrganisation(spec.Organisation, spec.BudgetTokens)
		defer release()
		budgetErr = err
	}
	for {
		p, err := s.locate(ctx, key)
		if err != nil {
			return port.ProgramView{}, err
		}
		view, again, err := p.open(ctx, key, spec, budgetErr)
		if !again {
			return view, err
		}
	}
}

func (s *Service) validateSpec(spec *port.ProgramSpec) error {
	snapshot := s.params.Config.Current()
	if snapshot == nil {
		return notReady()
	}
	agent := snapshot.Agent(spec.Agent)
	switch {
	case spec.RequestID == "" || !utf8.ValidString(spec.RequestID):
		return invalid("request_id", "must be set and be UTF-8")
	case snapshot.Organisation(spec.Organisation) == nil:
		return invalid("firm", "must be a firm of the configuration")
	case agent == nil || agent.Organisation != spec.Organisation:
		return invalid("agent", "must be an agent of the firm")
	case spec.BudgetTokens < 0 || (spec.BudgetTokens == 0 && spec.Parent == ""):
		return invalid("budget.tokens", "must be positive")
	case spec.Deadline < 0:
		return invalid("deadline_ms", "must not be negative")
	}
	if spec.Class == "" {
		spec.Class = agent.Class
	}
	return nil
}

// open finds or creates a program. The caller holds p.mu, and open releases it.
// budgetErr is the refusal of a root program that does not exist yet, or nil. again
// is true if the caller has to locate the partition and call open again.
func (p *partitionState) open(ctx context.Context, key string, spec port.ProgramSpec, budgetErr error) (view port.ProgramView, again bool, err error) {
	want := openRecord(spec)
	if view, found, err := p.findOpened(key, want); found || err != nil {
		p.mu.Unlock()
		return view, false, err
	}
	r := p.inFlight[openKey(key, want)]
	if r == nil {
		if err := p.admitOpen(spec, budgetErr); err != nil {
			p.mu.Unlock()
			return view, false, err
		}
		r = p.startOpen(key, want)
	}
	p.mu.Unlock()
	err = await(ctx, r)
	if err == nil || isRefused(err) {
		return view, true, nil
	}
	return view, false, openFault(ctx, err)
}

// findOpened returns the program that the request created. The bool reports whether
// there is one.
func (p *partitionState) findOpened(key string, want *record.Open) (port.ProgramView, bool, error) {
	t := p.ledger.Tree(key)
	if t == nil {
		return port.ProgramView{}, false, nil
	}
	g := p.ledger.Program(t.ProgramForRequest(want.Firm, want.RequestId))
	if g == nil {
		return port.ProgramView{}, false, nil
	}
	if !sameOpen(g.Open, want) {
		return port.ProgramView{}, true, seqConflict("the request ID was used with another body")
	}
	return p.programView(g), true, nil
}

func sameOpen(a, b *record.Open) bool {
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.ProgramId, b.ProgramId = "", ""
	a.Slice, b.Slice = 0, 0
	return proto.Equal(a, b)
}

func openRecord(spec port.ProgramSpec) *record.Open {
	return &record.Open{
		Firm:         spec.Organisation,
		Agent:        spec.Agent,
		Class:        spec.Class,
		Parent:       spec.Parent,
		RequestId:    spec.RequestID,
		BudgetTokens: spec.BudgetTokens,
		DeadlineMs:   spec.Deadline.Milliseconds(),
	}
}

// admitOpen refuses a child program without an open parent of its own organisation,
// and a root program with budgetErr.
func (p *partitionState) admitOpen(spec port.ProgramSpec, budgetErr error) error {
	if spec.Parent == "" {
		return budgetErr
	}
	parent := p.ledger.Program(spec.Parent)
	if parent == nil || parent.Open.Firm != spec.Organisation {
		return unknownProgram()
	}
	if parent.State != ledger.Open {
		return fault.New(fault.ProgramStopped, fault.NotRun, "the parent is %s", parent.State)
	}
	return nil
}

func (p *partitionState) startOpen(key string, want *record.Open) *pending {
	want.ProgramId = partition.ProgramID(key, uuid.NewString())
	if want.Parent == "" {
		want.Slice = p.service.sliceSize(want.BudgetTokens, 0)
	}
	return p.submitOnce(openKey(key, want), &record.Record{Body: &record.Record_Open{Open: want}})
}

// openKey returns the key in inFlight of an open record.
func openKey(key string, want *record.Open) string {
	return "open/" + key + "\x00" + want.Firm + "\x00" + want.RequestId
}

func isRefused(err error) bool {
	var v *VerdictError
	return errors.As(err, &v) && v.Verdict == ledger.Refused
}

// openFault returns the fault of an open record that was not applied or not
// confirmed in time. Nothing has run at a target, even if the record takes effect.
func openFault(ctx context.Context, err error) error {
	var n *port.NotOwnerError
	if errors.As(err, &n) {
		return err
	}
	if ctx.Err() != nil {
		return logUnavailable(fault.NotRun).WithCause(err)
	}
	return fault.New(fault.Internal, fault.NotRun, "the program was not created").WithCause(err)
}

// programView returns the program's state as reported to callers. The caller holds
// p.mu.
func (p *partitionState) programView(g *ledger.Program) port.ProgramView {
	v := port.ProgramView{
		ProgramID:    g.ID,
		Organisation: g.Open.Firm,
		Agent:        g.Open.Agent,
		State:        port.ProgramState(g.State),
		NextSeq:      g.NextSeq(),
		SpentTokens:  g.Spent,
		TurnDigest:   digestText(g.Digest),
	}
	if g.Open.Parent == "" {
		t := p.ledger.Tree(partition.RootKey(g.ID))
		v.SpentTokens = t.Spent
		v.ReservedTokens = p.reserved[t.RootKey] + t.Unsettled
	}
	return v
}
