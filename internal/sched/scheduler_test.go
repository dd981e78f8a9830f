package sched

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

func TestProgramReturnsToItsTarget(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, newFleet(5, 8), document(5, 8), nil)
		defer h.Stop(t.Context())
		w := modelWork("p")
		first, err := h.run(t.Context(), w, "hello")
		is.NoErr(err)
		for turn := range 5 {
			w.Turns++
			w.RequestID = fmt.Sprint("p/", turn+2)
			again, err := h.run(t.Context(), w, "hello")
			is.NoErr(err)
			is.Equal(again, first)
			time.Sleep(10 * time.Second)
		}
	})
}

func TestLeavingTargetGetsNoWorkAfterTwoSeconds(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(2, 8)
		h := newHost(t, fleet, document(2, 8), nil)
		defer h.Stop(t.Context())
		time.Sleep(5 * time.Second)
		is.NoErr(fleet.Leave("e0", true))
		time.Sleep(2 * time.Second)
		for n := range 30 {
			name, err := h.run(t.Context(), modelWork(fmt.Sprint("p", n)), "x")
			is.NoErr(err)
			is.Equal(name, "e1")
		}
		is.NoErr(fleet.Leave("e0", false))
		time.Sleep(2 * time.Second)
		is.Equal(h.Targets()[0].State, "healthy")
	})
}

func TestDrainingAnswerAndRefusedDialTakeEffectAtOnce(t *testing.T) {
	virtual(t, func(t *testing.T) {
		for _, failure := range []port.Failure{port.FailureDraining, port.FailureRefused} {
			is := is.New(t)
			// The scheduler is not started, so the answer is the only information.
			fleet := newFleet(2, 8)
			h := newHost(t, fleet, document(2, 8), nil)
			is.NoErr(h.Stop(t.Context()))
			g, err := h.Acquire(t.Context(), modelWork("p"))
			is.NoErr(err)
			left := g.Target().Name
			g.Done(port.Result{Err: &port.TargetError{Target: left, Failure: failure}})
			for n := range 8 {
				g, err := h.Acquire(t.Context(), modelWork(fmt.Sprint("q", n)))
				is.NoErr(err)
				is.True(g.Target().Name != left)
			}
		}
	})
}

func TestAcquireWhoseContextEndsLeavesTheQueue(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h, held := fullHost(t)
		defer h.Stop(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := h.Acquire(ctx, modelWork("q"))
		f, ok := fault.As(err)
		is.True(ok)
		is.Equal(f.Type, fault.Timeout)
		is.Equal(f.Run, fault.NotRun)
		held.Done(port.Result{Total: time.Second})
		next, err := h.Acquire(t.Context(), modelWork("r")) // the slot is not lost
		is.NoErr(err)
		next.Done(port.Result{Total: time.Second})
		is.Equal(h.Targets()[0].Running, 0)
	})
}

func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h, held := fullHost(t)
		defer h.Stop(t.Context())
		deadline := time.Now().Add(5 * time.Second)
		for n := range 10 {
			w := modelWork(fmt.Sprint("q", n))
			w.Deadline = deadline
			go h.Acquire(t.Context(), w)
		}
		time.Sleep(time.Millisecond)
		w := modelWork("r")
		w.Deadline = deadline
		asked := time.Now()
		_, err := h.Acquire(t.Context(), w)
		f, _ := fault.As(err)
		is.Equal(f.Type, fault.DeadlineUnmeetable)
		is.Equal(f.Run, fault.NotRun)
		is.True(f.RetryAfter > 0)
		is.Equal(time.Now(), asked)
		held.Done(port.Result{Total: time.Second})
	})
}

func TestNewProgramsAreRefusedBeforeStartedOnes(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h, held := fullHost(t)
		defer h.Stop(t.Context())
		retryAfter := map[time.Duration]bool{}
		refused := 0
		var mu sync.Mutex
		for n := range 100 {
			go func() {
				_, err := h.Acquire(t.Context(), modelWork(fmt.Sprint("q", n)))
				f, ok := fault.As(err)
				mu.Lock()
				defer mu.Unlock()
				if ok && f.Type == fault.Overloaded {
					refused++
					retryAfter[f.RetryAfter] = true
				}
			}()
		}
		time.Sleep(time.Millisecond)
		mu.Lock()
		got, distinct := refused, len(retryAfter)
		mu.Unlock()
		admitted := int(maxNewProgramWait / time.Second) // one second each
		is.True(got >= 100-admitted-1 && got <= 100-admitted+1)
		is.True(distinct > got/2) // the times have jitter
		started := modelWork("under")
		started.Turns = 3
		done := make(chan error, 1)
		go func() {
			g, err := h.Acquire(t.Context(), started)
			if err == nil {
				g.Done(port.Result{Total: time.Second})
			}
			done <- err
		}()
		time.Sleep(time.Millisecond)
		held.Done(port.Result{Total: time.Second})
		is.NoErr(<-done) // before the new ones, which never release their slots
	})
}

func TestPoisonedContentIsQuarantinedAcrossHosts(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(6, 8)
		for i := range 6 {
			fleet.Engine(engineName(i)).CrashOn("poison")
		}
		hosts := make([]*host, 4)
		for i := range hosts {
			hosts[i] = newHost(t, fleet, document(6, 8), func(p *Params) {
				p.Self.ID = fmt.Sprint("h", i)
				p.OnQuarantine = func(f uint64) {
					for _, other := range hosts {
						other.Quarantine(f)
					}
				}
				p.OnCrash = func(m poison.Mark) {
					for _, other := range hosts {
						other.AddMarks(m)
					}
				}
			})
			defer hosts[i].Stop(t.Context())
		}
		crashed := map[string]bool{}
		poisoned := 0
		for n := range 10 {
			w := modelWork(fmt.Sprint("p", n))
			w.Fingerprint = 99
			name, err := hosts[n%4].run(t.Context(), w, "poison")
			if f, ok := fault.As(err); ok && f.Type == fault.Poisoned && f.Run == fault.NotRun {
				poisoned++
				continue
			}
			crashed[name] = true
			time.Sleep(3 * time.Second)
		}
		is.True(len(crashed) <= 2)
		is.Equal(poisoned, 8)
		is.Equal(hosts[3].Quarantined(), []uint64{99})
	})
}

func TestSuspectContentRunsOnceAtATime(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, newFleet(6, 8), document(6, 8), nil)
		defer h.Stop(t.Context())
		h.AddMarks(poison.Mark{Fingerprint: 5, Target: "e0", At: 1})
		w := modelWork("p")
		w.Fingerprint = 5
		first, err := h.Acquire(t.Context(), w)
		is.NoErr(err)
		second := make(chan error, 1)
		go func() {
			_, err := h.Acquire(t.Context(), w)
			second <- err
		}()
		time.Sleep(time.Minute)
		is.Equal(len(second), 0) // it waits
		first.Done(port.Result{Err: &port.TargetError{Failure: port.FailureBroken}})
		f, _ := fault.As(<-second)
		is.Equal(f.Type, fault.Poisoned)
	})
}

func TestRetriesAreBoundedAndCounted(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		scope := tally.NewTestScope("", nil)
		h := newHost(t, newFleet(2, 8), document(2, 8), func(p *Params) { p.Metrics = scope })
		defer h.Stop(t.Context())
		busy := &port.TargetError{Failure: port.FailureBusy}
		posting := port.Work{Kind: port.KindService, Name: "ledger"}
		_, ok := h.Retry(posting, 1, &port.TargetError{Failure: port.FailureBroken})
		is.True(!ok) // it may have run
		_, ok = h.Retry(posting, 1, busy)
		is.True(ok) // it provably did not run
		retries := 0
		for range 100 {
			g, err := h.Acquire(t.Context(), modelWork("p"))
			is.NoErr(err)
			g.Done(port.Result{Err: busy})
			if _, ok := h.Retry(modelWork("p"), 1, busy); ok {
				retries++
			}
		}
		is.True(retries >= 9 && retries <= 13)
		_, ok = h.Retry(modelWork("p"), maxAttempts, busy)
		is.True(!ok)
		counters := scope.Snapshot().Counters()
		is.Equal(counters["sched.retries+reason=busy"].Value(), int64(retries+1))
		is.Equal(counters["sched.retries_denied+reason=not_idempotent"].Value(), int64(1))
	})
}

func TestCallerDisconnectLeavesTargetHealthy(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, newFleet(1, 8), document(1, 8), nil)
		defer h.Stop(t.Context())
		for range 3 {
			w := modelWork("p")
			w.Fingerprint = 7
			g, err := h.Acquire(t.Context(), w)
			is.NoErr(err)
			g.Done(port.Result{Err: &port.TargetError{Failure: port.FailureBroken}, Inconclusive: true})
			is.Equal(h.Targets()[0].State, "healthy")
		}
		is.Equal(len(h.Marks())+len(h.Quarantined()), 0)
	})
}

// TestQuietOrganisationIsServedDuringBurst checks that an organisation below its share is
// served at a full host while calls of another, which arrived first, still wait.
func TestQuietOrganisationIsServedDuringBurst(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		h, held := fullHost(t)
		defer h.Stop(t.Context())
		var mu sync.Mutex
		served := []string{}
		call := func(organisation, program string) {
			w := modelWork(program)
			w.Organisation = organisation
			w.Turns = 1
			g, err := h.Acquire(t.Context(), w)
			if err != nil {
				return
			}
			time.Sleep(time.Second)
			mu.Lock()
			served = append(served, organisation)
			mu.Unlock()
			g.Done(port.Result{Total: time.Second})
		}
		for n := range 20 {
			go call("a", fmt.Sprint("flood", n))
		}
		time.Sleep(100 * time.Millisecond)
		go call("b", "quiet")
		time.Sleep(100 * time.Millisecond)
		held.Done(port.Result{Total: time.Second})
		time.Sleep(2500 * time.Millisecond)
		mu.Lock()
		got := fmt.Sprint(served[:2])
		mu.Unlock()
		is.True(got == "[b a]" || got == "[a b]")
		time.Sleep(time.Minute)
	})
}

// TestReportsLetWaitingProgramsBegin guards against a new program that waits forever at a
// host without calls in flight, where no ending call triggers a dispatch. Reports of free
// slots have to.
func TestReportsLetWaitingProgramsBegin(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(1, 8)
		h := newHost(t, fleet, document(1, 8), func(p *Params) { p.Members = twelveMembers{} })
		defer h.Stop(t.Context())
		h.useShare(t, 200)
		for n := range 30 {
			id := fmt.Sprint("other", n)
			go h.engine.Generate(t.Context(), port.Target{Name: "e0"}, port.ModelCall{
				ProgramID: id, RequestID: id, Model: model, MaxTokens: 64,
				Prompt: []port.Segment{{Role: "user", Text: strings.Repeat("x", 40_000)}},
			}, nil)
		}
		time.Sleep(2500 * time.Millisecond)
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g, err := h.Acquire(ctx, modelWork("new"))
		is.NoErr(err)
		is.True(time.Since(begun) > 0) // it had to wait
		g.Done(port.Result{Total: time.Second})
		time.Sleep(time.Minute) // the other calls end
	})
}

// twelveMembers is a membership table of twelve hosts.
type twelveMembers struct{}

func (twelveMembers) Self() port.Host          { return port.Host{} }
func (twelveMembers) Changed() <-chan struct{} { return nil }
func (twelveMembers) Table() []port.Member {
	table := make([]port.Member, 12)
	for i := range table {
		table[i].State = port.MemberAlive
	}
	return table
}
