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

// Open creates a program, or returns the one that the same request created.
func (s *Service) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	if err := s.validateSpec(&spec); err != nil {
		return port.ProgramView{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.p.Settings.CallTimeout)
	defer cancel()
	key := partition.NewRootKey(spec.Organisation, spec.RequestID)
	if spec.Parent != "" {
		key = partition.RootKey(spec.Parent)
	}
	return confirmed(ctx, s, key, fault.NotRun, func() (port.ProgramView, error) { return s.openUnder(ctx, key, spec) })
}

// openUnder opens a program of a valid specification under a root key.
func (s *Service) openUnder(ctx context.Context, key string, spec port.ProgramSpec) (port.ProgramView, error) {
	var full error
	if spec.Parent == "" {
		release, err := s.reserveOrganisation(spec.Organisation, spec.BudgetTokens)
		defer release()
		full = err
	}
	for {
		p, err := s.locate(ctx, key)
		if err != nil {
			return port.ProgramView{}, err
		}
		view, again, err := p.open(ctx, key, spec, full)
		if !again {
			return view, err
		}
	}
}

func (s *Service) validateSpec(spec *port.ProgramSpec) error {
	snapshot := s.p.Config.Current()
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

// open works on the locked partition and unlocks it. full refuses a program
// that is not there yet. again says that the look has to be taken once more.
func (p *part) open(ctx context.Context, key string, spec port.ProgramSpec, full error) (view port.ProgramView, again bool, err error) {
	want := openRecord(spec)
	if view, found, err := p.opened(key, want); found || err != nil {
		p.mu.Unlock()
		return view, false, err
	}
	r := p.sent[openKey(key, want)]
	if r == nil {
		if err := p.admitOpen(spec, full); err != nil {
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

// opened looks for the program that the request created.
func (p *part) opened(key string, want *record.Open) (port.ProgramView, bool, error) {
	t := p.l.Tree(key)
	if t == nil {
		return port.ProgramView{}, false, nil
	}
	g := p.l.Program(t.ProgramForRequest(want.Firm, want.RequestId))
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

// admitOpen refuses a child program without an open parent of its own
// organisation, and a root that its organisation has no budget for.
func (p *part) admitOpen(spec port.ProgramSpec, full error) error {
	if spec.Parent == "" {
		return full
	}
	parent := p.l.Program(spec.Parent)
	if parent == nil || parent.Open.Firm != spec.Organisation {
		return unknownProgram()
	}
	if parent.State != ledger.Open {
		return fault.New(fault.ProgramStopped, fault.NotRun, "the parent is %s", parent.State)
	}
	return nil
}

func (p *part) startOpen(key string, want *record.Open) *pending {
	want.ProgramId = partition.ProgramID(key, uuid.NewString())
	if want.Parent == "" {
		want.Slice = p.s.sliceSize(want.BudgetTokens, 0)
	}
	return p.sendOnce(openKey(key, want), &record.Record{Body: &record.Record_Open{Open: want}})
}

// openKey names a creation on its way.
func openKey(key string, want *record.Open) string {
	return "open/" + key + "\x00" + want.Firm + "\x00" + want.RequestId
}

func isRefused(err error) bool {
	var v *VerdictError
	return errors.As(err, &v) && v.Verdict == ledger.Refused
}

// openFault says what came of an open that was not seen in time. Nothing ran
// at any target, whatever became of the record.
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

// programView returns what callers may see. The caller has the lock.
func (p *part) programView(g *ledger.Program) port.ProgramView {
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
		t := p.l.Tree(partition.RootKey(g.ID))
		v.SpentTokens = t.Spent
		v.ReservedTokens = p.reserved[t.RootKey] + t.Unsettled
	}
	return v
}
