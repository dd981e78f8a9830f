package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashMark is a mark of the nth crash; crashes are a second apart.
func crashMark(k Kind, fingerprint uint64, n int) Mark {
	return Mark{Kind: k, Fingerprint: fingerprint, Target: "t", Run: int64(n + 1), At: int64(n) * int64(time.Second)}
}

// evidenceOf returns evidence with marks, in an order that depends on the seed.
func evidenceOf(seed uint64, marks ...Mark) *Evidence {
	e := NewEvidence(3)
	for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(marks)) {
		e.Add(marks[i])
		e.Assess()
	}
	return e
}

// Guards against the refusal of a path because of one bad body.
func TestOneBadBodyIsNamedInsteadOfItsPath(t *testing.T) {
	is := is.New(t)
	var marks []Mark
	for n := range 3 {
		marks = append(marks, crashMark(Content, 1, n), crashMark(Path, 2, n), crashMark(Program, 3, n))
	}
	e := evidenceOf(0, marks...)
	is.Equal(e.Verdict(1), Quarantined)
	is.Equal(e.Verdict(2), Suspect)
	is.Equal(e.Verdict(3), Suspect)
}

// Guards against bystanders that stay refused, and against hosts that judge the same marks
// differently because they arrive in another order.
func TestBystanderIsReleasedWhenItsCrashesAreExplained(t *testing.T) {
	is := is.New(t)
	var marks []Mark
	for n := range 4 {
		marks = append(marks, crashMark(Path, 2, n), crashMark(Content, uint64(10+n), n))
		if n < 3 {
			marks = append(marks, crashMark(Content, 1, n))
		}
	}
	for seed := range uint64(20) {
		e := evidenceOf(seed, marks...)
		is.Equal(e.Verdict(2), Quarantined)
		is.Equal(e.Verdict(1), Suspect)
		_, quarantined := e.Len()
		is.Equal(quarantined, 1)
	}
}

// Guards against the refusal of frequent paths when several targets fail together.
func TestCrashesAtTheSameTimeNameNoPath(t *testing.T) {
	is := is.New(t)
	e := NewEvidence(3)
	for n := range 8 {
		e.Add(Mark{Kind: Path, Fingerprint: 2, Target: fmt.Sprint(n), Run: 1, At: int64(n) * int64(5*time.Millisecond)})
	}
	is.Equal(len(e.Assess()), 0)
}

// Guards against a path that stays refused although a request that was in flight is answered.
func TestAnswerReleasesPathAndNotContent(t *testing.T) {
	is := is.New(t)
	e := NewEvidence(3)
	for n := range 3 {
		e.Add(crashMark(Path, 2, n))
		e.Add(crashMark(Content, 1, n+10))
	}
	is.Equal(len(e.Assess()), 2)
	is.Equal(len(e.Answered(2)), 3)
	is.Equal(len(e.Answered(1)), 0)
	e.Assess()
	is.Equal(e.Verdict(2), Clean)
	is.Equal(e.Verdict(1), Quarantined)
	_, quarantined := e.Len()
	is.Equal(quarantined, 1)
}

// Guards against a mark that loses its kind or changes its meaning on the wire, and against marks
// of contents that differ from those of the earlier build.
func TestKindOnTheWire(t *testing.T) {
	is := is.New(t)
	m := crashMark(Path, 2, 1)
	is.Equal(FromWire(ToWire(m, "h")), m)
	is.Equal(ToWire(crashMark(Content, 1, 1), "h").Kind, nil)
	r := Report{Target: "t", Interruptions: []Interruption{{Fingerprint: 1, Features: []Feature{{Path, 2}}}}}
	is.Equal(ReportFromWire(ReportToWire(r, "h")), r)
}
