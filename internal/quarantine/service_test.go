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

// newService returns a service before targets of which some are down.
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
			time.Sleep(2 * confirmAfter)
		}
		is.True(s.IsQuarantined(fingerprint))
		is.True(!s.IsQuarantined(func() uint64 { return content + 1 }))
		is.Equal(len(s.Unshared()), 3)
		s.ConfirmShared(s.Unshared()[:2])
		is.Equal(len(s.Unshared()), 1)
	})
}

// Requests break off at targets that live, when these reset connections.
func TestTargetsThatLiveLeaveNoMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, nil)
		for n := range 9 {
			s.RecordInterruption(content, target(n))
			time.Sleep(2 * confirmAfter)
		}
		is.True(!s.IsQuarantined(fingerprint))
		is.Equal(len(s.Unshared()), 0)
	})
}

// A whole answer shows that content was only there when targets crashed. What
// other hosts go on showing does not count again.
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
		time.Sleep(2 * confirmAfter)
		is.True(!s.IsQuarantined(fingerprint))
		s.Receive("other", []poison.Mark{
			{Fingerprint: content, Target: "t1", At: now + 1},
			{Fingerprint: content, Target: "t2", At: now + 2},
		})
		is.True(s.IsQuarantined(fingerprint))
	})
}

// Crashes under content that all hosts hold already are not shared.
func TestHeldContentIsNotSharedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, map[string]bool{"t9": true})
		for n := range int64(maxCrashes) {
			s.Receive("other", []poison.Mark{{Fingerprint: content, Target: "t", Run: n + 1}})
		}
		is.True(s.IsQuarantined(fingerprint))
		s.RecordInterruption(content, target(9))
		time.Sleep(2 * confirmAfter)
		is.Equal(len(s.Unshared()), 0)
	})
}

// A target that is back before it is looked for is known to have ended by the record of
// its next run, and only the answers that broke off lately count.
func TestNextRunShowsThatATargetHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t, nil)
		run := func(n int64) upstream.Target { return upstream.Target{ID: "t", Address: "a", StartedAt: n} }
		s.RecordInterruption(content, run(1))
		time.Sleep(time.Second)
		s.Started(run(1))                                                      // its own record, again
		s.Started(upstream.Target{ID: "other", Address: "b", StartedAt: 9})    // elsewhere
		s.Started(upstream.Target{ID: "earlier", Address: "a", StartedAt: -1}) // late news
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
		time.Sleep(breakLife + 2*time.Second)
		s.Started(run(5))
		is.Equal(len(s.Unshared()), 3)
		is.True(!s.IsQuarantined(fingerprint))
	})
}

// A target may have been succeeded before its request is given up: one that ended
// silently is silent until its caller leaves.
func TestRequestThatOutlivesItsTargetIsCounted(t *testing.T) {
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
		is.True(s.ProbeAfterInterruption(t.Context(), content, run(3)))
		is.True(s.IsQuarantined(fingerprint))
		s.RecordAbandoned(1, run(4)) // the one that runs
		is.Equal(len(s.Unshared()), 3)
	})
}
