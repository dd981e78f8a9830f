package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/upstream"
)

const content = uint64(7)

func fingerprint() uint64 { return content }

func target(n int) upstream.Target { return upstream.Target{ID: fmt.Sprint("t", n)} }

// newService returns a service whose probes fail for the targets in down.
func newService(t *testing.T, down map[string]bool) *Service {
	s := New(Params{
		Probe: func(_ context.Context, t upstream.Target) error {
			if down[t.ID] {
				return errors.New("connection refused")
			}
			return nil
		},
		Logger: logr.Discard(),
		Scope:  tally.NoopScope,
	})
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func TestThirdCrashQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, map[string]bool{"t1": true, "t2": true, "t3": true})
		for n := 1; n <= 3; n++ {
			is.True(!s.IsQuarantined(fingerprint))
			s.RecordInterruption(content, target(n))
			time.Sleep(2 * probeDelay)
		}
		is.True(s.IsQuarantined(fingerprint))
		is.True(!s.IsQuarantined(func() uint64 { return content + 1 }))
		is.Equal(len(s.Unshared()), 3)
		s.ConfirmShared(s.Unshared()[:2])
		is.Equal(len(s.Unshared()), 1)
	})
}

// Targets that reset connections interrupt requests without crashing.
func TestTargetThatIsAliveLeavesNoMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, nil)
		for n := range 9 {
			s.RecordInterruption(content, target(n))
			time.Sleep(2 * probeDelay)
		}
		is.True(!s.IsQuarantined(fingerprint))
		is.Equal(len(s.Unshared()), 0)
	})
}

// A full answer shows that the content was running by chance when targets crashed.
// Marks that other hosts send again afterwards do not count a second time.
func TestWholeAnswerClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, map[string]bool{"t3": true})
		now := time.Now().UnixNano()
		marks := []poison.Mark{{Fingerprint: content, Target: "t1", At: now}, {Fingerprint: content, Target: "t2", At: now}}
		s.Receive("other", marks)
		s.RecordSuccess(fingerprint, "t4")
		s.Receive("other", marks)
		s.RecordInterruption(content, target(3))
		time.Sleep(2 * probeDelay)
		is.True(!s.IsQuarantined(fingerprint))
		s.Receive("other", []poison.Mark{
			{Fingerprint: content, Target: "t1", At: now + 1},
			{Fingerprint: content, Target: "t2", At: now + 2},
		})
		is.True(s.IsQuarantined(fingerprint))
	})
}

// Further crashes under content that all hosts have quarantined are not shared.
func TestMarksOfQuarantinedContentAreNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, map[string]bool{"t9": true})
		for n := range int64(maxCrashes) {
			s.Receive("other", []poison.Mark{{Fingerprint: content, Target: "t", Run: n + 1}})
		}
		is.True(s.IsQuarantined(fingerprint))
		s.RecordInterruption(content, target(9))
		time.Sleep(2 * probeDelay)
		is.Equal(len(s.Unshared()), 0)
	})
}

// A target that has restarted before it is probed is found to have crashed by the
// record of its next run. Only interruptions within interruptionTTL count.
func TestNextRunShowsThatTargetCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, nil)
		run := func(n int64) upstream.Target { return upstream.Target{ID: "t", Address: "a", StartedAt: n} }
		s.RecordInterruption(content, run(1))
		time.Sleep(time.Second)
		s.Started(run(1))                                                      // its own record, repeated
		s.Started(upstream.Target{ID: "other", Address: "b", StartedAt: 9})    // another address
		s.Started(upstream.Target{ID: "earlier", Address: "a", StartedAt: -1}) // outdated record
		is.Equal(len(s.Unshared()), 0)
		s.Started(run(2))
		is.Equal(len(s.Unshared()), 1)
		s.RecordAbandoned(content, run(2))
		s.Started(upstream.Target{ID: "next", Address: "a", StartedAt: 3})
		is.Equal(len(s.Unshared()), 2)
		s.RecordInterruption(1, run(3))
		s.Started(upstream.Target{ID: "of the same time", Address: "a", StartedAt: 3})
		is.Equal(len(s.Unshared()), 3)
		s.RecordInterruption(content, run(4))
		time.Sleep(interruptionTTL + 2*time.Second)
		s.Started(run(5))
		is.Equal(len(s.Unshared()), 3)
		is.True(!s.IsQuarantined(fingerprint))
	})
}

// A target may be replaced before a request at it is given up: a target that hangs
// without closing its connections is silent until the caller leaves.
func TestRequestEndingAfterItsTargetWasReplacedIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, nil)
		run := func(n int64) upstream.Target {
			return upstream.Target{ID: fmt.Sprint("t", n), Address: "a", StartedAt: n}
		}
		s.Started(run(1))
		s.Started(run(2))
		s.RecordInterruption(content, run(1))
		s.Started(run(3))
		s.RecordAbandoned(content, run(2))
		s.Started(run(4))
		hasCrashed, _ := s.ProbeAfterInterruption(t.Context(), content, run(3))
		is.True(hasCrashed)
		is.True(s.IsQuarantined(fingerprint))
		s.RecordAbandoned(1, run(4)) // the current run
		is.Equal(len(s.Unshared()), 3)
	})
}
