package origin

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/core/fleet"
	_ "yuccausher/internal/testutil"
)

func TestReleaseThatHasLeftCountsForAWhile(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	start := time.Unix(1000, 0)
	old, current := fleet.Release{Service: "s", Version: "v1"}, fleet.Release{Service: "s", Version: "v2"}
	h.SetServing(old)
	is.True(!h.IsMixed("s", start))
	h.SetServing(current)
	is.True(h.IsMixed("s", start))
	h.SetLeft(old, start.Add(time.Second))
	is.True(h.IsMixed("s", start))
	is.True(!h.IsMixed("s", start.Add(time.Second)))
	is.Equal(h.Since("s", start.Add(time.Second)), []string{"v2"})
	h.SetServing(old)
	is.True(h.IsMixed("s", start.Add(time.Hour)))
	is.Equal(len(h.Forget(start.Add(time.Hour))), 0)
	h.SetLeft(old, start.Add(time.Minute))
	is.Equal(h.Forget(start.Add(time.Hour)), []fleet.Release{old})
	is.True(!h.IsMixed("s", start))
	is.True(!h.IsMixed("other", start))
}

// Hosts see a release leave at different times. The latest one holds, whatever the order in which
// they are learned.
func TestLatestLeaveHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := fleet.Release{Service: "s", Version: "v"}
		seconds := rapid.SliceOfN(rapid.Int64Range(1, 1000), 1, 20).Draw(t, "seconds")
		h := NewHistory()
		for _, s := range seconds {
			h.SetLeft(r, time.Unix(s, 0))
		}
		if at, ok := h.LeftAt(r); !ok || at != time.Unix(slices.Max(seconds), 0) {
			t.Fatalf("left at %v after %v", at, seconds)
		}
	})
}

// A stream that is sent to another release before its first event may have two records, which
// come in any order: a lost answer of the store makes an append take effect late.
func TestLastChangeOfAStreamHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := rapid.Permutation([]uint32{0, 1, 2, 3}).Draw(t, "changes")
		x := NewIndex(10)
		for _, c := range changes {
			x.Put(Start{Stream: 7, Release: fleet.Release{Service: "s", Version: string(rune('a' + c))}, Change: c, At: time.Unix(5, 0)})
		}
		if got, ok := x.Get(7); !ok || got.Release.Version != "d" {
			t.Fatalf("got %+v after %v", got, changes)
		}
	})
}

func TestIndexIsBounded(t *testing.T) {
	is := is.New(t)
	x := NewIndex(2)
	r := fleet.Release{Service: "s", Version: "v"}
	is.True(x.Put(Start{Stream: 1, Release: r, At: time.Unix(1, 0)}))
	is.True(x.Put(Start{Stream: 2, Release: r, At: time.Unix(2, 0)}))
	is.True(!x.Put(Start{Stream: 3, Release: r, At: time.Unix(3, 0)}))
	is.True(x.Put(Start{Stream: 1, Release: r, Change: 1, At: time.Unix(3, 0)}))
	_, isKnown := x.Get(3)
	is.True(!isKnown)
	x.Expire(time.Unix(3, 0))
	is.Equal(x.Len(), 1)
	is.Equal(len(x.Of("s")), 1)
	is.Equal(len(x.Of("other")), 0)
}
