package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// script appends records of writers to one state.
type script struct {
	is     *is.I
	state  *State
	offset int64
	next   map[string]uint64
}

func newScript(t *testing.T) *script {
	return &script{is: is.New(t), state: NewState(1, 0), next: make(map[string]uint64)}
}

func (s *script) part() *Partition { return s.state.Partition(0) }

func (s *script) encode(host string, epoch int64, r *record.Record) []byte {
	s.next[host]++
	r.Host, r.Sequence, r.Epoch = host, s.next[host], epoch
	data, err := proto.Marshal(r)
	s.is.NoErr(err)
	return data
}

func (s *script) take(data []byte) Verdict {
	v := s.state.Apply(port.Record{Offset: s.offset, AppendedAt: time.Unix(s.offset, 0), Data: data})
	s.offset++
	return v
}

func (s *script) add(host string, r *record.Record) Verdict {
	return s.take(s.encode(host, s.part().Epoch, r))
}

func (s *script) program(budget int64) *Program {
	s.is.Equal(s.add("a", &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}}), Applied)
	open := &record.Open{ProgramId: "root.1", Firm: "f", RequestId: "r", BudgetTokens: budget, Slice: budget}
	s.is.Equal(s.add("a", &record.Record{Body: &record.Record_Open{Open: open}}), Applied)
	return s.part().Program("root.1")
}

func turnOf(g *Program, request string, charge int64) *record.Record {
	turn := &record.Turn{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: request, Charge: charge}
	turn.Digest = TurnDigest(g, nil, nil)
	return &record.Record{Body: &record.Record_Turn{Turn: turn}}
}

func intentOf(g *Program, request string) *record.Record {
	return &record.Record{Body: &record.Record_Intent{Intent: &record.Intent{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: request}}}
}

func releaseOf() *record.Record {
	return &record.Record{Body: &record.Record_Release{Release: &record.Release{}}}
}

func TestOnlyTheHolderWrites(t *testing.T) {
	s := newScript(t)
	g := s.program(100)
	s.is.Equal(s.add("b", turnOf(g, "r1", 1)), Void)
	s.is.Equal(s.add("a", turnOf(g, "r1", 1)), Applied)
	s.is.Equal(s.add("a", releaseOf()), Applied)
	s.is.Equal(s.add("a", turnOf(g, "r2", 1)), Void)
	s.is.Equal(len(g.Turns), 1)
}

func TestSecondCopyCountsForNothing(t *testing.T) {
	s := newScript(t)
	g := s.program(100)
	intent := s.encode("a", s.part().Epoch, intentOf(g, "r1"))
	s.is.Equal(s.take(intent), Applied)
	undo := &record.Record{Body: &record.Record_Undispatched{Undispatched: &record.Undispatched{ProgramId: g.ID, Seq: 1}}}
	s.is.Equal(s.add("a", undo), Applied)
	s.is.Equal(s.take(intent), Duplicate)
	s.is.True(g.Intent == nil)
	charge := s.encode("a", s.part().Epoch, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{ProgramId: g.ID, Charge: 7}}})
	s.is.Equal(s.take(charge), Applied)
	s.is.Equal(s.take(charge), Duplicate)
	s.is.Equal(s.part().Tree("root").Spent, int64(7))
	s.is.Equal(s.state.Count(Duplicate), int64(2))
}

func TestRecordsThatDoNotFitAreRefused(t *testing.T) {
	s := newScript(t)
	g := s.program(100)
	late := turnOf(g, "late", 1)
	late.GetTurn().Seq = 2
	s.is.Equal(s.add("a", late), Refused)
	other := turnOf(g, "other", 1)
	other.GetTurn().Digest = []byte("another history")
	s.is.Equal(s.add("a", other), Diverged)
	s.is.Equal(s.add("a", intentOf(g, "r1")), Applied)
	s.is.Equal(s.add("a", intentOf(g, "r2")), Refused)
	s.is.Equal(s.add("a", turnOf(g, "r2", 1)), Refused)
	s.is.Equal(s.add("a", turnOf(g, "r1", 1)), Applied)
	unknown := &Program{ID: "nosuch.1"}
	s.is.Equal(s.add("a", turnOf(unknown, "r1", 1)), Refused)
	s.is.Equal(len(g.Turns), 1)
}

func TestLostOwnerLeavesStraysAndUnsettledEscrow(t *testing.T) {
	s := newScript(t)
	g := s.program(100)
	s.is.Equal(s.add("b", &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}}), Applied)
	s.is.True(g.UnknownHolders)
	s.is.Equal(s.part().Tree("root").Unsettled, int64(100))
	// A release leaves nothing in doubt.
	s = newScript(t)
	g = s.program(100)
	s.is.Equal(s.add("a", releaseOf()), Applied)
	s.is.Equal(s.add("b", &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}}), Applied)
	s.is.True(!g.UnknownHolders)
	s.is.Equal(s.part().Tree("root").Unsettled, int64(0))
}

func TestNewerCheckpointReplacesOlder(t *testing.T) {
	s := newScript(t)
	g := s.program(100)
	s.is.Equal(s.add("a", &record.Record{Body: &record.Record_Hold{Hold: &record.Hold{}}}), Applied)
	newcomer := &script{is: s.is, state: NewState(1, s.offset), offset: s.offset, next: make(map[string]uint64)}
	both := func(r *record.Record) {
		data := s.encode("a", s.part().Epoch, r)
		s.is.Equal(s.take(data), Applied)
		newcomer.take(data)
	}
	oldTree, oldProgram := s.part().Tree("root").Checkpoint(), g.Checkpoint()
	both(turnOf(g, "r1", 5))
	both(&record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: oldTree}})
	both(&record.Record{Body: &record.Record_Checkpoint{Checkpoint: oldProgram}})
	s.is.True(g.CheckpointedAt.Unix() < s.offset-1) // the log has not got it whole
	both(&record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: s.part().Tree("root").Checkpoint()}})
	both(&record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
	s.is.Equal(g.CheckpointedAt.Unix(), s.offset-1)
	s.is.Equal(dump(newcomer.part()), dump(s.part()))
}

// TestNewcomerRefusesWhatOthersRefused has a host start after a trim, and read
// a creation first that all others refused as repeated.
func TestNewcomerRefusesWhatOthersRefused(t *testing.T) {
	s := newScript(t)
	g := s.program(100)
	newcomer := &script{is: s.is, state: NewState(1, s.offset), offset: s.offset, next: make(map[string]uint64)}
	both := func(want Verdict, r *record.Record) {
		data := s.encode("a", s.part().Epoch, r)
		s.is.Equal(s.take(data), want)
		newcomer.take(data)
	}
	again := &record.Open{ProgramId: "root.2", Firm: "f", RequestId: "r", BudgetTokens: 100, Slice: 100}
	both(Refused, &record.Record{Body: &record.Record_Open{Open: again}})
	both(Applied, &record.Record{Body: &record.Record_Hold{Hold: &record.Hold{}}})
	both(Applied, &record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: s.part().Tree("root").Checkpoint()}})
	both(Applied, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
	s.is.Equal(dump(newcomer.part()), dump(s.part()))
}

// TestNewcomerTakesNoVoidClaim: a process that took a void claim of its own for
// valid claims again on top of it. Readers of the whole stream refuse that; one
// that starts after a trim takes the later epoch for proved.
func TestNewcomerTakesNoVoidClaim(t *testing.T) {
	s := newScript(t)
	s.program(100)
	claim := func() *record.Record { return &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}} }
	s.is.Equal(s.take(s.encode("b", 0, claim())), Void)
	believed := s.offset
	newcomer := &script{is: s.is, state: NewState(1, s.offset), offset: s.offset, next: make(map[string]uint64)}
	both := func(want Verdict, data []byte) {
		s.is.Equal(s.take(data), want)
		newcomer.take(data)
	}
	both(Applied, s.encode("c", s.part().Epoch, claim()))
	both(Void, s.encode("b", believed, claim()))
	s.is.Equal(newcomer.part().Holder, s.part().Holder)
}
