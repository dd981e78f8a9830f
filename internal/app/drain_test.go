package app

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testDrainTimeout bounds a planned stop in the tests.
const testDrainTimeout = 2 * time.Minute

// replace performs a planned stop of some hosts at once and starts new processes at
// their addresses. It returns the time until all had stopped.
func (f *testFleet) replace(t *testing.T, hosts ...*testHost) time.Duration {
	start := time.Now()
	for _, h := range hosts {
		if err := h.process.Load().drain.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	for _, h := range hosts {
		<-h.process.Load().done
	}
	took := time.Since(start)
	time.Sleep(time.Second)
	for _, h := range hosts {
		h.start(t)
	}
	time.Sleep(5 * time.Second)
	return took
}

// minPostingsPerLost limits lost postings: at most one posting in this many may have
// an unknown outcome because its owner was lost.
const minPostingsPerLost = 50

// verify checks that no request failed and no posting was lost or run twice, apart
// from the permitted share of lost postings.
func (l *load) verify(t *testing.T) {
	for _, phase := range []string{"before", "during", "after"} {
		t.Log(l.summary(phase))
	}
	t.Logf("%d programs, %d postings, %d lost, retries: %v", l.programs, len(l.postings), l.lostPostings, l.retries)
	if l.lostPostings > len(l.postings)/minPostingsPerLost {
		t.Errorf("%d of %d postings lost", l.lostPostings, len(l.postings))
	}
	for _, failure := range append(l.failures, l.duplicates()...) {
		t.Error(failure)
	}
	if l.programs == 0 || len(l.postings) == 0 {
		t.Error("no load")
	}
}

func TestRollingReplacementLosesNothing(t *testing.T) {
	runFleet(t, 12, testDrainTimeout, func(t *testing.T, f *testFleet) {
		is := is.New(t)
		l := newLoad(f, 12, false)
		time.Sleep(15 * time.Second)
		l.setPhase("during")
		longest := time.Duration(0)
		for _, h := range f.hosts {
			longest = max(longest, f.replace(t, h))
		}
		l.setPhase("after")
		time.Sleep(15 * time.Second)
		l.finish()
		t.Logf("longest planned stop %v", longest)
		l.verify(t)
		is.True(longest < testDrainTimeout)
	})
}

func TestKilledHostsLoseAndDuplicateNothing(t *testing.T) {
	runFleet(t, 6, testDrainTimeout, func(t *testing.T, f *testFleet) {
		l := newLoad(f, 12, true)
		time.Sleep(10 * time.Second)
		l.setPhase("during")
		for _, h := range f.hosts {
			h.process.Load().kill()
			time.Sleep(5 * time.Second)
			h.start(t)
			time.Sleep(10 * time.Second)
		}
		l.setPhase("after")
		time.Sleep(20 * time.Second)
		l.finish()
		l.verify(t)
	})
}

// TestPausedHostsLoseAndDuplicateNothing pauses hosts for longer than the other hosts
// need to claim their partitions. Paused hosts resume as if they still owned them.
func TestPausedHostsLoseAndDuplicateNothing(t *testing.T) {
	runFleet(t, 6, testDrainTimeout, func(t *testing.T, f *testFleet) {
		l := newLoad(f, 12, true)
		time.Sleep(10 * time.Second)
		l.setPhase("during")
		for i, h := range f.hosts {
			h.pause(time.Duration(2+2*i) * time.Second)
			time.Sleep(20 * time.Second)
		}
		l.setPhase("after")
		time.Sleep(20 * time.Second)
		l.finish()
		l.verify(t)
	})
}

func TestTwoPlannedStopsAtOnce(t *testing.T) {
	runFleet(t, 6, testDrainTimeout, func(t *testing.T, f *testFleet) {
		l := newLoad(f, 12, false)
		time.Sleep(10 * time.Second)
		l.setPhase("during")
		for i := 0; i < len(f.hosts); i += 2 {
			f.replace(t, f.hosts[i], f.hosts[i+1])
		}
		l.setPhase("after")
		time.Sleep(10 * time.Second)
		l.finish()
		l.verify(t)
	})
}

// TestPlannedStopDuringLogOutage checks that a planned stop ends within its limit
// during a log outage and logs that partitions were not released.
func TestPlannedStopDuringLogOutage(t *testing.T) {
	const bound = 20 * time.Second
	runFleet(t, 3, bound, func(t *testing.T, f *testFleet) {
		is := is.New(t)
		l := newLoad(f, 6, true)
		time.Sleep(10 * time.Second)
		l.setPhase("during")
		f.platform.Log.Down(5 * time.Minute)
		p := f.hosts[0].process.Load()
		start := time.Now()
		is.NoErr(p.drain.Drain(context.Background()))
		<-p.done
		took := time.Since(start)
		t.Logf("planned stop during an outage took %v", took)
		is.True(took <= bound+5*time.Second)
		is.True(p.logged("Partitions were not all released"))
		time.Sleep(5 * time.Minute)
		f.hosts[0].start(t)
		l.setPhase("after")
		time.Sleep(time.Minute)
		l.finish()
		l.verify(t)
	})
}
