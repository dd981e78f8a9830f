package ledger

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// turnBytes is the size of one turn's input and output together.
const turnBytes = 4096

// tape is the log of one owner that opens programs and records turns.
type tape struct {
	b       *testing.B
	records []port.Record
	bytes   int
}

func newTape(b *testing.B) *tape {
	t := &tape{b: b}
	t.add(&record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}})
	return t
}

func (t *tape) add(r *record.Record) {
	r.Host = "127.0.0.1:9000"
	r.Sequence = uint64(len(t.records) + 1)
	if r.GetClaim() == nil {
		r.Epoch = 1
	}
	data, err := proto.Marshal(r)
	if err != nil {
		t.b.Fatal(err)
	}
	t.bytes += len(data)
	t.records = append(t.records, port.Record{Offset: int64(len(t.records)), AppendedAt: time.Unix(0, 0), Data: data})
}

func (t *tape) program(n, turns int) {
	id := fmt.Sprintf("%016x.00000000-0000-0000-0000-000000000000", n)
	o := &record.Open{ProgramId: id, Firm: "firm", Agent: "agent", Class: "class", RequestId: fmt.Sprint(n), BudgetTokens: 1 << 20, Slice: 8192}
	t.add(&record.Record{Body: &record.Record_Open{Open: o}})
	g := newProgram(o, time.Time{})
	for range turns {
		turn := &record.Turn{
			ProgramId: id, Seq: g.NextSeq(), RequestId: fmt.Sprint("r", g.NextSeq()), Kind: "model", Name: "large", Target: "large-1",
			Input: bytes.Repeat([]byte{'a'}, turnBytes/2), Output: bytes.Repeat([]byte{'b'}, turnBytes/2),
			Usage:   &record.Usage{PromptTokens: 1000, CachedTokens: 900, OutputTokens: 100},
			Holders: []string{"large-1"}, Fingerprint: make([]byte, 32),
		}
		turn.Digest = TurnDigest(g, turn.Input, turn.Output)
		t.add(&record.Record{Body: &record.Record_Turn{Turn: turn}})
		g.Turns = append(g.Turns, turn)
		g.Digest = turn.Digest
	}
}

// replay measures the time of a takeover's replay and what it leaves in
// memory.
func (t *tape) replay(b *testing.B) {
	b.SetBytes(int64(t.bytes))
	b.ResetTimer()
	var last *State
	for b.Loop() {
		last = NewState(1, 0)
		for _, r := range t.records {
			if v := last.Apply(r); v != Applied {
				b.Fatal(v)
			}
		}
	}
	b.StopTimer()
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(last)
	last = nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	b.ReportMetric(float64(t.bytes), "log-bytes")
	b.ReportMetric(float64(with.HeapAlloc)-float64(without.HeapAlloc), "heap-bytes")
}

// BenchmarkCapacityReplayPrograms replays n programs without turns.
func BenchmarkCapacityReplayPrograms(b *testing.B) {
	for _, n := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			t := newTape(b)
			for i := range n {
				t.program(i, 0)
			}
			t.replay(b)
		})
	}
}

// BenchmarkCapacityReplayTurns replays n turns of 4 KB of one program.
func BenchmarkCapacityReplayTurns(b *testing.B) {
	for _, n := range []int{10, 84, 300, 1000} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			t := newTape(b)
			t.program(0, n)
			t.replay(b)
		})
	}
}
