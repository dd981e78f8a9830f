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

// converse runs n turns and returns their chain and the expected prompt of a next
// turn with empty input.
func converse(n int, interval, maxAge time.Duration, partitionOf func(turn int) int) (Chain, string) {
	var chain Chain
	var prompt strings.Builder
	for i := range n {
		input, output := fmt.Sprintf("in%d;", i), fmt.Sprintf("out%d\n", i)
		t := chain.Next(Turn{ID: fmt.Sprint("turn", i), Partition: partitionOf(i), Input: []byte(input), Output: []byte(output)}, epoch.Add(time.Duration(i)*interval), maxAge)
		if t.Previous == "" {
			chain = nil
		}
		chain = append(chain, t)
		prompt.WriteString(input + output)
	}
	return chain, prompt.String()
}

func samePartition(int) int { return 3 }

func TestPromptContainsAllTurnsInOrder(t *testing.T) {
	is := is.New(t)
	chain, prompt := converse(5, time.Second, time.Minute, samePartition)
	is.Equal(len(chain), 5)
	is.True(chain.IsComplete())
	is.Equal(string(chain.Prompt([]byte("new"))), prompt+"new")
}

func TestTurnRepeatsTurnsOfOtherPartitionsAndOldChains(t *testing.T) {
	is := is.New(t)
	chain, prompt := converse(10, 10*time.Second, 35*time.Second, samePartition)
	is.True(len(chain) < 10)
	is.True(chain.Last().EndedAt.Sub(chain[0].EndedAt) <= 35*time.Second) // no record is older than the maximum age
	is.Equal(string(chain.Prompt(nil)), prompt)

	chain, prompt = converse(6, time.Second, time.Minute, func(turn int) int { return turn / 3 })
	for _, turn := range chain {
		is.Equal(turn.Partition, 1)
	}
	is.True(chain.IsComplete())
	is.Equal(string(chain.Prompt(nil)), prompt)

	moved := chain[:2].Relocate(chain[2], 9)
	is.Equal(moved.Previous, "")
	is.Equal(string(Chain{moved}.Prompt(nil)), prompt)
}

func TestChainWithGapIsNotComplete(t *testing.T) {
	is := is.New(t)
	chain, _ := converse(4, time.Second, time.Minute, samePartition)
	is.True(!Chain(nil).IsComplete())
	is.True(!chain[1:].IsComplete())
	is.True(!append(chain[:1:1], chain[2:]...).IsComplete())
}

func TestCacheReturnsCompleteChainsOrNone(t *testing.T) {
	is := is.New(t)
	chain, prompt := converse(6, time.Second, time.Minute, samePartition)
	cache := NewTurnCache(1 << 20)
	for _, i := range []int{4, 0, 5, 2, 1} {
		cache.Add(chain[i])
	}
	is.Equal(cache.Chain("turn5"), nil) // turn 3 is missing
	is.True(cache.Chain("turn2") != nil)
	cache.Add(chain[3])
	is.Equal(string(cache.Chain("turn5").Prompt(nil)), prompt)
	is.Equal(cache.Chain("unknown"), nil)
	cache.Forget(epoch.Add(2500 * time.Millisecond))
	is.Equal(cache.Chain("turn5"), nil)
	is.Equal(cache.Len(), 3)
}

func TestCacheStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1000, 20000).Draw(t, "limit")
		cache := NewTurnCache(limit)
		total := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "turns") {
			size := rapid.IntRange(0, 900).Draw(t, "size")
			turn := &Turn{ID: fmt.Sprint(i), Input: make([]byte, size), EndedAt: epoch}
			total += turn.Size()
			cache.Add(turn)
			cache.Add(turn)
			if cache.Bytes() > limit && cache.Len() > 1 {
				t.Fatalf("cache takes %d bytes, limit %d", cache.Bytes(), limit)
			}
			if cache.Turn(fmt.Sprint(i)) == nil {
				t.Fatal("the newest turn was evicted")
			}
		}
		if cache.Evicted() > 0 && total <= limit {
			t.Fatalf("%d turns were evicted below the limit", cache.Evicted())
		}
	})
}

// A turn whose owner is not known, as the earlier build writes them, must not be lost, and a known
// owner anywhere in the chain keeps others out.
func TestChainIsOpenToItsOrganisation(t *testing.T) {
	is := is.New(t)
	chain := func(owners ...string) Chain {
		var c Chain
		for _, o := range owners {
			c = append(c, &Turn{Organisation: o})
		}
		return c
	}
	is.True(chain("", "").IsOpenTo("a"))
	is.True(chain("", "a").IsOpenTo("a"))
	is.True(chain("a", "").IsOpenTo("a"))
	is.True(!chain("", "a").IsOpenTo("b"))
	is.True(!chain("a", "").IsOpenTo("b"))
	is.True(!chain("a").IsOpenTo(""))
	is.True(Chain(nil).IsOpenTo("a"))
	// What is repeated or relocated keeps its owner.
	next := chain("", "a").Next(Turn{ID: "n", Organisation: "a", Partition: 5}, epoch, time.Minute)
	is.Equal(next.Organisation, "a")
	is.Equal(Chain{next}.Relocate(&Turn{ID: "m", Previous: "n", Organisation: "a"}, 9).Organisation, "a")
}

// The decoder must return each turn complete although the records of turns are
// interleaved, recorded twice, or mixed with records that can't be parsed.
func TestDecoderAssemblesTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recordBytes := rapid.IntRange(fragmentOverhead+1, 400).Draw(t, "record bytes")
		var queues [][][]byte
		want := make(map[string]*Turn)
		seen := make(map[string]bool)
		for i := range rapid.IntRange(1, 6).Draw(t, "turns") {
			turn := &Turn{
				ID: fmt.Sprint("turn", i), Previous: rapid.SampledFrom([]string{"", "before"}).Draw(t, "previous"), Program: "p",
				Organisation: rapid.SampledFrom([]string{"", "o"}).Draw(t, "organisation"),
				Partition:    2, EndedAt: epoch, ChainStartedAt: epoch.Add(-time.Second),
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
					t.Fatalf("record of %d bytes exceeds the limit", len(r))
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
					t.Fatal("invalid record was decoded as a turn")
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
			t.Fatalf("decoded %d of %d turns", len(seen), len(want))
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
			t.Fatalf("got turn %+v and error %v", turn, err)
		}
	})
}

// Only a log that answers no calls may count as unavailable. A store that is slowed
// down 100 times answers each call after 0.4 s, and one that loses a third of its
// answers still answers the others.
func TestOnlyLogWithoutAnswersIsUnavailable(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var slow Availability
	for ms := 0; ms < 4000; ms += 400 {
		slow.Failed(at(ms)) // the answer is overdue
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
	var unavailable Availability
	unavailable.Answered(at(0))
	unavailable.Failed(at(100))
	unavailable.Failed(at(50))
	is.True(!unavailable.IsUnavailable(at(649)))
	is.True(unavailable.IsUnavailable(at(650)))
	is.Equal(unavailable.FailingFor(at(700)), 650*time.Millisecond)
	unavailable.Answered(at(2000))
	is.True(!unavailable.IsUnavailable(at(9000)))
}
