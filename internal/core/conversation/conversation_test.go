package conversation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// converse runs n turns and returns their chain and the prompt that the next one
// without input should have.
func converse(n int, pause, maxAge time.Duration, partOf func(turn int) int) (Chain, string) {
	var chain Chain
	var said strings.Builder
	for i := range n {
		input, output := fmt.Sprintf("in%d;", i), fmt.Sprintf("out%d\n", i)
		t := chain.Next(Turn{ID: fmt.Sprint("turn", i), Partition: partOf(i), Input: []byte(input), Output: []byte(output)}, epoch.Add(time.Duration(i)*pause), maxAge)
		if t.Previous == "" {
			chain = nil
		}
		chain = append(chain, t)
		said.WriteString(input + output)
	}
	return chain, said.String()
}

func samePart(int) int { return 3 }

func TestPromptHoldsAllTurnsInOrder(t *testing.T) {
	is := is.New(t)
	chain, said := converse(5, time.Second, time.Minute, samePart)
	is.Equal(len(chain), 5)
	is.True(chain.IsComplete())
	is.Equal(string(chain.Prompt([]byte("new"))), said+"new")
}

func TestTurnRepeatsWhatIsElsewhereOrOld(t *testing.T) {
	is := is.New(t)
	chain, said := converse(10, 10*time.Second, 35*time.Second, samePart)
	is.True(len(chain) < 10)
	is.True(chain.Last().EndedAt.Sub(chain[0].EndedAt) <= 35*time.Second) // no record is older than that
	is.Equal(string(chain.Prompt(nil)), said)

	chain, said = converse(6, time.Second, time.Minute, func(turn int) int { return turn / 3 })
	for _, turn := range chain {
		is.Equal(turn.Partition, 1)
	}
	is.True(chain.IsComplete())
	is.Equal(string(chain.Prompt(nil)), said)

	moved := chain[:2].Relocate(chain[2], 9)
	is.Equal(moved.Previous, "")
	is.Equal(string(Chain{moved}.Prompt(nil)), said)
}

func TestChainWithAGapIsNotWhole(t *testing.T) {
	is := is.New(t)
	chain, _ := converse(4, time.Second, time.Minute, samePart)
	is.True(!Chain(nil).IsComplete())
	is.True(!chain[1:].IsComplete())
	is.True(!append(chain[:1:1], chain[2:]...).IsComplete())
}

func TestBookReturnsWholeChainsOrNone(t *testing.T) {
	is := is.New(t)
	chain, said := converse(6, time.Second, time.Minute, samePart)
	book := NewTurnCache(1 << 20)
	for _, i := range []int{4, 0, 5, 2, 1} {
		book.Add(chain[i])
	}
	is.Equal(book.Chain("turn5"), nil) // turn 3 is missing
	is.True(book.Chain("turn2") != nil)
	book.Add(chain[3])
	is.Equal(string(book.Chain("turn5").Prompt(nil)), said)
	is.Equal(book.Chain("unknown"), nil)
	book.Forget(epoch.Add(2500 * time.Millisecond))
	is.Equal(book.Chain("turn5"), nil)
	is.Equal(book.Len(), 3)
}

func TestBookKeepsToItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1000, 20000).Draw(t, "limit")
		book := NewTurnCache(limit)
		total := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "turns") {
			size := rapid.IntRange(0, 900).Draw(t, "size")
			turn := &Turn{ID: fmt.Sprint(i), Input: make([]byte, size), EndedAt: epoch}
			total += turn.Size()
			book.Add(turn)
			book.Add(turn)
			if book.Bytes() > limit && book.Len() > 1 {
				t.Fatalf("%d bytes of %d", book.Bytes(), limit)
			}
			if book.Turn(fmt.Sprint(i)) == nil {
				t.Fatal("the newest turn was dropped")
			}
		}
		if book.Evicted() > 0 && total <= limit {
			t.Fatalf("%d turns were dropped though there was room", book.Evicted())
		}
	})
}

// Turns come whole out of records that lie between others, come twice, or can't be
// read.
func TestRecordsOfTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recordBytes := rapid.IntRange(fragmentOverhead+1, 400).Draw(t, "record bytes")
		var queues [][][]byte
		want := make(map[string]*Turn)
		seen := make(map[string]bool)
		for i := range rapid.IntRange(1, 6).Draw(t, "turns") {
			turn := &Turn{
				ID: fmt.Sprint("turn", i), Previous: rapid.SampledFrom([]string{"", "before"}).Draw(t, "previous"), Program: "p",
				Partition: 2, EndedAt: epoch, ChainStartedAt: epoch.Add(-time.Second),
				Input:  rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "input"),
				Output: rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "output"),
			}
			want[turn.ID] = turn
			records, err := Encode(turn, recordBytes)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range records {
				if len(r) > recordBytes {
					t.Fatalf("a record of %d bytes", len(r))
				}
			}
			queues = append(queues, records)
			if rapid.Bool().Draw(t, "twice") {
				queues = append(queues, records)
			}
		}
		d := NewDecoder(2)
		for len(queues) > 0 {
			i := rapid.IntRange(0, len(queues)-1).Draw(t, "next")
			if rapid.IntRange(0, 9).Draw(t, "broken") == 0 {
				if turn, err := d.Decode([]byte("no record")); err == nil || turn != nil {
					t.Fatal("bytes of another writer were taken for a turn")
				}
			}
			turn, err := d.Decode(queues[i][0])
			if err != nil {
				t.Fatal(err)
			}
			if turn != nil {
				w := want[turn.ID]
				if string(turn.Input) != string(w.Input) || string(turn.Output) != string(w.Output) || turn.Previous != w.Previous ||
					turn.Partition != w.Partition || !turn.EndedAt.Equal(w.EndedAt) || !turn.ChainStartedAt.Equal(w.ChainStartedAt) {
					t.Fatalf("got %+v, want %+v", turn, w)
				}
				seen[turn.ID] = true
			}
			queues[i] = queues[i][1:]
			if len(queues[i]) == 0 {
				queues = append(queues[:i], queues[i+1:]...)
			}
		}
		if len(seen) != len(want) {
			t.Fatalf("%d of %d turns came out", len(seen), len(want))
		}
	})
}

func FuzzDecode(f *testing.F) {
	records, err := Encode(&Turn{ID: "a", Input: []byte("in"), Output: []byte("out\n"), EndedAt: epoch, ChainStartedAt: epoch}, 80)
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range records {
		f.Add(r)
	}
	f.Fuzz(func(t *testing.T, record []byte) {
		d := NewDecoder(0)
		turn, err := d.Decode(record)
		if turn != nil && (err != nil || turn.ID == "") {
			t.Fatalf("turn %+v with error %v", turn, err)
		}
	})
}

// Load pattern: a store that is slowed down 100 times answers each call after 0.4 s;
// one that loses a third of its answers answers the others; one that is away
// answers none.
func TestOnlyALogThatAnswersNothingIsAway(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var slow Availability
	for ms := 0; ms < 4000; ms += 400 {
		slow.Failed(at(ms)) // it is late
		is.True(!slow.IsUnavailable(at(ms + 399)))
		slow.Answered(at(ms + 400))
	}
	var lossy Availability
	for i := range 30 {
		if i%3 == 0 {
			lossy.Failed(at(i * 100))
		} else {
			lossy.Answered(at(i * 100))
		}
		is.True(!lossy.IsUnavailable(at(i*100 + 90)))
	}
	var away Availability
	away.Answered(at(0))
	away.Failed(at(100))
	away.Failed(at(50))
	is.True(!away.IsUnavailable(at(649)))
	is.True(away.IsUnavailable(at(650)))
	is.Equal(away.FailingFor(at(700)), 650*time.Millisecond)
	away.Answered(at(2000))
	is.True(!away.IsUnavailable(at(9000)))
}
