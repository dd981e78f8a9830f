package poison

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

func TestTwoCrashesQuarantine(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(DefaultCrashLimit)
	is.True(r.Begin(7, "a"))
	is.True(!r.RecordCrash(Mark{Fingerprint: 7, Target: "a", At: 1}))
	is.Equal(r.Verdict(7), Suspect)
	is.True(!r.Begin(7, "b")) // still in flight on a
	r.End(7, "a", false)
	is.True(r.Begin(7, "b"))
	is.True(r.RecordCrash(Mark{Fingerprint: 7, Target: "b", At: 2}))
	r.End(7, "b", false)
	is.True(!r.Begin(7, "c"))
	is.Equal(r.Quarantined(), []uint64{7})
	is.Equal(len(r.Marks()), 0)
}

func TestWholeAnswerClears(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(DefaultCrashLimit)
	r.RecordCrash(Mark{Fingerprint: 7, Target: "a", At: 1})
	is.True(r.Begin(7, "b"))
	r.End(7, "b", true)
	is.Equal(r.Verdict(7), Clean)
}

func TestMarkThatComesBackCountsOnce(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(DefaultCrashLimit)
	m := Mark{Fingerprint: 7, Target: "a", At: 1}
	is.True(!r.RecordCrash(m))
	is.True(!r.RecordCrash(m))
	is.Equal(r.Marks(), []Mark{m})
	is.True(r.RecordCrash(Mark{Fingerprint: 7, Target: "a", At: 2})) // the same target crashed again
}

// Two hosts that see the same run of a target end count it once.
func TestCrashSeenByTwoHostsCountsOnce(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(DefaultCrashLimit)
	is.True(!r.RecordCrash(Mark{Fingerprint: 7, Target: "a", Run: 3, At: 1}))
	is.True(!r.RecordCrash(Mark{Fingerprint: 7, Target: "a", Run: 3, At: 2}))
	is.True(r.RecordCrash(Mark{Fingerprint: 7, Target: "a", Run: 4, At: 2}))
}

// Content that crashes each target that runs it never crashes a third,
// however its requests overlap and whichever hosts they come to, as long as
// the hosts share their marks.
func TestPoisonNeverTakesAThirdTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(DefaultCrashLimit)
		crashed := map[string]bool{}
		flying := map[string]int{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			target := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target"))
			if rapid.Bool().Draw(t, "begin") {
				if r.Begin(9, target) {
					flying[target]++
				}
				continue
			}
			for n := flying[target]; n > 0; n-- {
				crashed[target] = true
				r.RecordCrash(Mark{Fingerprint: 9, Target: target, At: int64(step*100 + n)})
				r.End(9, target, false)
			}
			flying[target] = 0
			if len(crashed) > 2 {
				t.Fatalf("crashed %v", crashed)
			}
		}
	})
}
