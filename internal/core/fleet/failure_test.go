package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failureSeconds is how long the targets fail. A host only learns of the failures
// from requests that fail, one at each failing target and further ones as the
// failure share decays.
const failureSeconds = 20

// runWithFailures replays a host's turns while some targets fail part of their
// requests within 2 ms and answer the others at normal speed. failing is the share
// of failed requests by target. It returns how many turns failed.
func runWithFailures(f *Fleet, failing map[string]float64, seconds int) (failed, turns int) {
	const perSecond = 10
	draw := rand.New(rand.NewPCG(3, 4))
	now := start
	for n := range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		c := f.Choose(Request{Service: "s", Affinity: fmt.Sprint("program", n/4)}, now)
		turns++
		if draw.Float64() < failing[c.ID] {
			c.End(now.Add(2*time.Millisecond), Failed, 2*time.Millisecond)
			failed++
			continue
		}
		c.End(now.Add(40*time.Millisecond), Answered, 40*time.Millisecond)
	}
	return failed, turns
}

// Targets that fail part of their requests must lose their programs: at most half
// as many turns may fail as without regard to failures.
func TestTargetsThatFailPartOfTheirRequestsAreAvoided(t *testing.T) {
	is := is.New(t)
	const share = 0.4
	failing := map[string]float64{"t0": share, "t1": share}
	failed, turns := runWithFailures(newFleet(9), failing, failureSeconds)
	expected := share * float64(len(failing)) / 9 * float64(turns)
	t.Logf("%d of %d turns failed, %.1f without regard to failures", failed, turns, expected)
	is.True(float64(failed) <= expected/2)
	f := newFleet(9)
	runWithFailures(f, failing, failureSeconds)
	// A target that has stopped failing gets its programs back.
	now := start.Add(time.Minute)
	chosen := map[string]bool{}
	for n := range 200 {
		now = now.Add(100 * time.Millisecond)
		c := f.Choose(Request{Service: "s", Affinity: fmt.Sprint("later", n)}, now)
		chosen[c.ID] = true
		c.End(now.Add(40*time.Millisecond), Answered, 40*time.Millisecond)
	}
	is.Equal(len(chosen), 9)
}

// A target that has failed a request without affinity must get no further ones for
// some seconds while other targets are available.
func TestTargetThatFailedIsChosenLast(t *testing.T) {
	is := is.New(t)
	for _, o := range []Outcome{Broken, Failed} {
		f := newFleet(3)
		first := f.Choose(Request{Service: "s"}, start)
		first.End(start, o, 0)
		for range 6 {
			is.True(f.Choose(Request{Service: "s"}, start.Add(time.Second)).ID != first.ID)
		}
		is.True(f.Choose(Request{Service: "s", Exclude: []string{"t0", "t1", "t2"}}, start) == nil)
		again := false
		for range 6 {
			again = again || f.Choose(Request{Service: "s"}, start.Add(10*time.Second)).ID == first.ID
		}
		is.True(again)
	}
}

// A target that never answers must be avoided once a caller has abandoned a request
// to it after a long wait.
func TestTargetThatNeverAnswersIsAvoided(t *testing.T) {
	is := is.New(t)
	r := Request{Service: "s", Affinity: "program"}
	f, preferred := answeredFleet(r)
	f.Choose(r, start.Add(time.Second)).End(start.Add(2500*time.Millisecond), Abandoned, 0)
	is.True(f.Choose(r, start.Add(2600*time.Millisecond)).ID != preferred)

	// A request that is cancelled after 10 ms does not count against the target.
	f, preferred = answeredFleet(r)
	f.Choose(r, start.Add(time.Second)).End(start.Add(1010*time.Millisecond), Abandoned, 0)
	is.Equal(f.Choose(r, start.Add(1100*time.Millisecond)).ID, preferred)
}

// answeredFleet returns a fleet whose targets have all answered in 40 ms, and the
// preferred target of a program.
func answeredFleet(r Request) (f *Fleet, preferred string) {
	f = newFleet(4)
	for _, id := range f.IDs() {
		others := slices.DeleteFunc(f.IDs(), func(o string) bool { return o == id })
		f.Choose(Request{Service: "s", Exclude: others}, start).End(start.Add(40*time.Millisecond), Answered, 40*time.Millisecond)
	}
	c := f.Choose(r, start.Add(40*time.Millisecond))
	c.End(start.Add(80*time.Millisecond), Answered, 40*time.Millisecond)
	return f, c.ID
}
