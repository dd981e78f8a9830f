package memory

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Answers without end filled the memory of a host, so that it was killed. A few of them must
// not fill the budget either, as the answers of all other requests would be cut then.
func TestFewLargeSharesLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(16 << 20)
	for range 10 {
		large := b.NewShare()
		for large.Cover(large.Held()+4096) == nil {
		}
	}
	for range 50 {
		is.NoErr(b.NewShare().Cover(256))
	}
}

func TestOneShareMayHoldHalfOfAnEmptyBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(16 << 20)
	s := b.NewShare()
	is.NoErr(s.Cover(8 << 20))
	is.True(errors.Is(s.Cover(8<<20+1), ErrFull))
	s.Release()
	is.Equal(b.Used(), int64(0))
	is.NoErr(s.Cover(1))
}

// Shares grow and are released in any order. Their sum never exceeds the limit, and nothing
// is left when all are released.
func TestSharesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		b := NewBudget(limit)
		shares := make([]*Share, rapid.IntRange(1, 20).Draw(t, "shares"))
		for i := range shares {
			shares[i] = b.NewShare()
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s := shares[rapid.IntRange(0, len(shares)-1).Draw(t, "share")]
			if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				s.Release()
				continue
			}
			before, n := s.Held(), rapid.Int64Range(0, 1<<17).Draw(t, "bytes")
			if err := s.Cover(n); err == nil && s.Held() < n || err != nil && s.Held() != before {
				t.Fatalf("share holds %d bytes after Cover(%d): %v", s.Held(), n, err)
			}
			var sum int64
			for _, other := range shares {
				sum += other.Held()
			}
			if sum > limit || sum != b.Used() {
				t.Fatalf("shares hold %d bytes, the budget says %d of %d", sum, b.Used(), limit)
			}
		}
		for _, s := range shares {
			s.Release()
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes are left", b.Used())
		}
	})
}
