package quarantine_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/upstream"
)

// asked are other hosts that examine targets by a function each.
type asked map[string]func(context.Context, poison.Report) (poison.Finding, error)

func (a asked) Hosts() []string {
	var hosts []string
	for host := range a {
		hosts = append(hosts, host)
	}
	return hosts
}

func (a asked) Examine(ctx context.Context, host string, r poison.Report) (poison.Finding, error) {
	return a[host](ctx, r)
}

// hangs is a host that stands still.
func hangs(ctx context.Context, _ poison.Report) (poison.Finding, error) {
	<-ctx.Done()
	return poison.Finding{}, ctx.Err()
}

// isOld is a host of an earlier release, which knows no such question.
func isOld(context.Context, poison.Report) (poison.Finding, error) {
	return poison.Finding{}, errors.New("unknown method")
}

// finds returns a host that has found a state.
func finds(state poison.State) func(context.Context, poison.Report) (poison.Finding, error) {
	return func(context.Context, poison.Report) (poison.Finding, error) {
		return poison.Finding{State: state, SeenAt: time.Now().UnixNano()}, nil
	}
}

var settledTarget = upstream.Target{ID: "t", Address: "10.0.0.1:80", StartedAt: 1}

// newSettling returns a service whose probes fail with the error that fail returns.
func newSettling(fail func() error, peers quarantine.Peers) *quarantine.Service {
	return quarantine.New(quarantine.Params{
		Probe:  func(context.Context, upstream.Target) error { return fail() },
		Peers:  peers,
		Logger: logr.Discard(),
		Scope:  tally.NoopScope,
	})
}

func cannotTell() error { return &quarantine.InconclusiveError{Cause: syscall.ECONNREFUSED} }

// A host that could not tell whether a target had crashed forgot the interruption after ten seconds.
func TestEndAtATargetThatStaysAwayIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var isBack atomic.Bool
		q := newSettling(func() error {
			if isBack.Load() {
				return syscall.ECONNREFUSED
			}
			return cannotTell()
		}, nil)
		defer func() { _ = q.Stop(context.Background()) }()
		q.RecordInterruption(deadly, settledTarget)
		time.Sleep(30 * time.Second)
		is.Equal(len(q.Unshared()), 0)
		is.True(q.IsUnsettled(deadlyContent))
		isBack.Store(true)
		time.Sleep(settleTime)
		is.Equal(len(q.Unshared()), 1)
		is.True(!q.IsUnsettled(deadlyContent))
	})
}

// An interruption that no host can explain is forgotten at last.
func TestUnsettledInterruptionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newSettling(cannotTell, asked{"b": finds(poison.Unknown)})
		defer func() { _ = q.Stop(context.Background()) }()
		q.RecordInterruption(deadly, settledTarget)
		time.Sleep(2 * time.Minute)
		is.True(!q.IsUnsettled(deadlyContent))
		is.Equal(len(q.Unshared()), 0)
	})
}

// Hosts that stand still, are of an earlier release or can't tell do not delay the answer of the one
// that can.
func TestEndIsSettledByTheHostThatCan(t *testing.T) {
	for name, c := range map[string]struct {
		state poison.State
		marks int
	}{"crashed": {poison.Refused, 1}, "alive": {poison.Alive, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := newSettling(cannotTell, asked{"a": hangs, "b": isOld, "c": finds(poison.Unknown), "d": finds(c.state)})
				defer func() { _ = q.Stop(context.Background()) }()
				q.RecordInterruption(deadly, settledTarget)
				time.Sleep(time.Second)
				is.Equal(len(q.Unshared()), c.marks)
				is.True(!q.IsUnsettled(deadlyContent))
			})
		})
	}
}

// The host that is asked counts the crash itself, and both marks are of one crash.
func TestExaminedCrashIsCountedOnceByBothHosts(t *testing.T) {
	for name, started := range map[string]int64{"start known": 1, "start not known": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := upstream.Target{ID: "t", Address: "10.0.0.1:80", StartedAt: started}
				b := newSettling(func() error { return syscall.ECONNREFUSED }, nil)
				defer func() { _ = b.Stop(context.Background()) }()
				b.Started(upstream.Target{ID: "t", Address: "10.0.0.2:80", StartedAt: started})
				a := newSettling(cannotTell, asked{"b": func(ctx context.Context, r poison.Report) (poison.Finding, error) {
					return b.Examine(ctx, "a", r), nil
				}})
				defer func() { _ = a.Stop(context.Background()) }()
				hasCrashed, isOutOfReach := a.ProbeAfterInterruption(t.Context(), deadly, target)
				is.True(hasCrashed)
				is.True(isOutOfReach)
				is.Equal(len(a.Unshared()), 1)
				is.Equal(len(b.Unshared()), 1)
				is.Equal(a.Unshared()[0].CrashKey(), b.Unshared()[0].CrashKey())
			})
		})
	}
}

// A host that reaches some targets took those that it doesn't reach for crashed.
func TestTargetThatAnotherHostReachesHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newSettling(func() error { return context.DeadlineExceeded }, asked{"b": finds(poison.Alive)})
		defer func() { _ = q.Stop(context.Background()) }()
		q.RecordInterruption(deadly, settledTarget)
		time.Sleep(settleTime)
		is.Equal(len(q.Unshared()), 0)
	})
}

// A target that no host reaches has crashed, also if no other host can be asked.
func TestTargetThatNoHostReachesHasCrashed(t *testing.T) {
	for name, other := range map[string]func(context.Context, poison.Report) (poison.Finding, error){"silent": finds(poison.Silent), "cut off": finds(poison.Unknown), "stands still": hangs} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := newSettling(func() error { return context.DeadlineExceeded }, asked{"b": other})
				defer func() { _ = q.Stop(context.Background()) }()
				q.RecordInterruption(deadly, settledTarget)
				time.Sleep(settleTime)
				is.Equal(len(q.Unshared()), 1)
			})
		})
	}
}

// A host that had lost its path to one target, by connections that are refused, took it for crashed.
func TestTargetThatRefusesOneHostHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newSettling(func() error { return syscall.ECONNREFUSED }, asked{"b": finds(poison.Alive)})
		defer func() { _ = q.Stop(context.Background()) }()
		hasCrashed, isOutOfReach := q.ProbeAfterInterruption(t.Context(), deadly, settledTarget)
		is.True(!hasCrashed)
		is.True(!isOutOfReach)
		q.RecordInterruption(deadly, settledTarget)
		time.Sleep(settleTime)
		is.Equal(len(q.Unshared()), 0)
	})
}

// A single connection that another host waits for in vain does not show a crash.
func TestLateConnectionOfAnotherHostShowsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := 0
		q := newSettling(cannotTell, asked{"b": func(ctx context.Context, r poison.Report) (poison.Finding, error) {
			if n++; n == 1 {
				return poison.Finding{State: poison.Silent}, nil
			}
			return poison.Finding{State: poison.Alive}, nil
		}})
		defer func() { _ = q.Stop(context.Background()) }()
		q.RecordInterruption(deadly, settledTarget)
		time.Sleep(settleTime)
		is.Equal(len(q.Unshared()), 0)
		is.True(!q.IsUnsettled(deadlyContent))
	})
}
