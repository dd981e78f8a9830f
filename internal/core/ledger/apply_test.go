package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// recordScript encodes records of several writers and applies them to one state.
type recordScript struct {
	is     *is.I
	state  *State
	offset int64
	next   map[string]uint64
}

func newRecordScript(t *testing.T) *recordScript {
	return &recordScript{is: is.New(t), state: NewState(1, 0), next: make(map[string]uint64)}
}

func (s *recordScript) part() *Partition { return s.state.Partition(0) }

func (s *recordScript) encode(host string, epoch int64, r *record.Record) []byte {
	s.next[host]++
	r.Host, r.Sequence, r.Epoch = host, s.next[host], epoch
	data, err := proto.Marshal(r)
	s.is.NoErr(err)
	return data
}

func (s *recordScript) apply(data []byte) Verdict {
	v := s.state.Apply(port.Record{Offset: s.offset, AppendedAt: time.Unix(s.offset, 0), Data: data})
	s.offset++
	return v
}

func (s *recordScript) add(host string, r *record.Record) Verdict {
	return s.apply(s.encode(host, s.part().Epoch, r))
}

func (s *recordScript) program(budget int64) *Program {
	s.is.Equal(s.add("a", &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}}), Applied)
	open := &record.Open{ProgramId: "root.1", Firm: "f", RequestId: "r", BudgetTokens: budget, Slice: budget}
	s.is.Equal(s.add("a", &record.Record{Body: &record.Record_Open{Open: open}}), Applied)
	return s.part().Program("root.1")
}

func turnRecord(g *Program, request string, charge int64) *record.Record {
	turn := &record.Turn{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: request, Charge: charge}
	turn.Digest = TurnDigest(g, nil, nil)
	return &record.Record{Body: &record.Record_Turn{Turn: turn}}
}

func intentRecord(g *Program, request string) *record.Record {
	return &record.Record{Body: &record.Record_Intent{Intent: &record.Intent{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: request}}}
}

func releaseRecord() *record.Record {
	return &record.Record{Body: &record.Record_Release{Release: &record.Release{}}}
}

func TestRecordsOfOthersThanTheHolderAreVoid(t *testing.T) {
	s := newRecordScript(t)
	g := s.program(100)
	s.is.Equal(s.add("b", turnRecord(g, "r1", 1)), Void)
	s.is.Equal(s.add("a", turnRecord(g, "r1", 1)), Applied)
	s.is.Equal(s.add("a", releaseRecord()), Applied)
	s.is.Equal(s.add("a", turnRecord(g, "r2", 1)), Void)
	s.is.Equal(len(g.Turns), 1)
}

func TestDuplicateRecordHasNoEffect(t *testing.T) {
	s := newRecordScript(t)
	g := s.program(100)
	intent := s.encode("a", s.part().Epoch, intentRecord(g, "r1"))
	s.is.Equal(s.apply(intent), Applied)
	undo := &record.Record{Body: &record.Record_Undispatched{Undispatched: &record.Undispatched{ProgramId: g.ID, Seq: 1}}}
	s.is.Equal(s.add("a", undo), Applied)
	s.is.Equal(s.apply(intent), Duplicate)
	s.is.True(g.Intent == nil)
	charge := s.encode("a", s.part().Epoch, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{ProgramId: g.ID, Charge: 7}}})
	s.is.Equal(s.apply(charge), Applied)
	s.is.Equal(s.apply(charge), Duplicate)
	s.is.Equal(s.part().Tree("root").Spent, int64(7))
	s.is.Equal(s.state.Count(Duplicate), int64(2))
}

func TestRecordsThatContradictStateAreRefused(t *testing.T) {
	s := newRecordScript(t)
	g := s.program(100)
	wrongSeq := turnRecord(g, "late", 1)
	wrongSeq.GetTurn().Seq = 2
	s.is.Equal(s.add("a", wrongSeq), Refused)
	wrongDigest := turnRecord(g, "other", 1)
	wrongDigest.GetTurn().Digest = []byte("another history")
	s.is.Equal(s.add("a", wrongDigest), Diverged)
	s.is.Equal(s.add("a", intentRecord(g, "r1")), Applied)
	s.is.Equal(s.add("a", intentRecord(g, "r2")), Refused)
	s.is.Equal(s.add("a", turnRecord(g, "r2", 1)), Refused)
	s.is.Equal(s.add("a", turnRecord(g, "r1", 1)), Applied)
	unknown := &Program{ID: "nosuch.1"}
	s.is.Equal(s.add("a", turnRecord(unknown, "r1", 1)), Refused)
	s.is.Equal(len(g.Turns), 1)
}

func TestLostOwnerLeavesUnknownHoldersAndUnsettledEscrow(t *testing.T) {
	s := newRecordScript(t)
	g := s.program(100)
	s.is.Equal(s.add("b", &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}}), Applied)
	s.is.True(g.UnknownHolders)
	s.is.Equal(s.part().Tree("root").Unsettled, int64(100))
	// After a release no holder is unknown and no escrow is unsettled.
	s = newRecordScript(t)
	g = s.program(100)
	s.is.Equal(s.add("a", releaseRecord()), Applied)
	s.is.Equal(s.add("b", &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}}), Applied)
	s.is.True(!g.UnknownHolders)
	s.is.Equal(s.part().Tree("root").Unsettled, int64(0))
}

func TestNewerCheckpointReplacesOlder(t *testing.T) {
	s := newRecordScript(t)
	g := s.program(100)
	s.is.Equal(s.add("a", &record.Record{Body: &record.Record_Hold{Hold: &record.Hold{}}}), Applied)
	lateReader := &recordScript{is: s.is, state: NewState(1, s.offset), offset: s.offset, next: make(map[string]uint64)}
	both := func(r *record.Record) {
		data := s.encode("a", s.part().Epoch, r)
		s.is.Equal(s.apply(data), Applied)
		lateReader.apply(data)
	}
	oldTree, oldProgram := s.part().Tree("root").Checkpoint(), g.Checkpoint()
	both(turnRecord(g, "r1", 5))
	both(&record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: oldTree}})
	both(&record.Record{Body: &record.Record_Checkpoint{Checkpoint: oldProgram}})
	s.is.True(g.CheckpointedAt.Unix() < s.offset-1) // the checkpoint is out of date
	both(&record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: s.part().Tree("root").Checkpoint()}})
	both(&record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
	s.is.Equal(g.CheckpointedAt.Unix(), s.offset-1)
	s.is.Equal(dump(lateReader.part()), dump(s.part()))
}

// TestReaderAfterTrimRefusesWhatOthersRefused guards against a divergent reader:
// it starts after a trim and first reads an open record that the other readers
// refused as repeated.
func TestReaderAfterTrimRefusesWhatOthersRefused(t *testing.T) {
	s := newRecordScript(t)
	g := s.program(100)
	lateReader := &recordScript{is: s.is, state: NewState(1, s.offset), offset: s.offset, next: make(map[string]uint64)}
	both := func(want Verdict, r *record.Record) {
		data := s.encode("a", s.part().Epoch, r)
		s.is.Equal(s.apply(data), want)
		lateReader.apply(data)
	}
	repeated := &record.Open{ProgramId: "root.2", Firm: "f", RequestId: "r", BudgetTokens: 100, Slice: 100}
	both(Refused, &record.Record{Body: &record.Record_Open{Open: repeated}})
	both(Applied, &record.Record{Body: &record.Record_Hold{Hold: &record.Hold{}}})
	both(Applied, &record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: s.part().Tree("root").Checkpoint()}})
	both(Applied, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
	s.is.Equal(dump(lateReader.part()), dump(s.part()))
}

// TestNewcomerTakesNoVoidClaim guards against a reader that accepts a void claim.
// A process that considers its own void claim valid claims again under that epoch.
// Readers of the whole stream treat the second claim as void; a reader that starts
// after a trim takes the later epoch for proven.
func TestNewcomerTakesNoVoidClaim(t *testing.T) {
	s := newRecordScript(t)
	s.program(100)
	claim := func() *record.Record { return &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}} }
	s.is.Equal(s.apply(s.encode("b", 0, claim())), Void)
	voidEpoch := s.offset
	lateReader := &recordScript{is: s.is, state: NewState(1, s.offset), offset: s.offset, next: make(map[string]uint64)}
	both := func(want Verdict, data []byte) {
		s.is.Equal(s.apply(data), want)
		lateReader.apply(data)
	}
	both(Applied, s.encode("c", s.part().Epoch, claim()))
	both(Void, s.encode("b", voidEpoch, claim()))
	s.is.Equal(lateReader.part().Holder, s.part().Holder)
}
