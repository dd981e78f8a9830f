package app

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yuccausher/internal/standin"
)

// TestCombinedFaults injects overlapping faults: kills, pauses, planned stops, outages
// and lost answers of the log, lost answers of a service, and crashes of targets.
func TestCombinedFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runFleet(t, 6, testDrainTimeout, func(t *testing.T, f *testFleet) {
				random := rand.New(rand.NewPCG(seed, 2))
				l := newLoad(f, 12, true)
				l.setPhase("during")
				for range 15 {
					f.injectRandomFault(t, random)
					time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
				}
				time.Sleep(30 * time.Second)
				l.setPhase("after")
				time.Sleep(20 * time.Second)
				l.finish()
				l.verify(t)
			})
		})
	}
}

// injectRandomFault injects one random fault.
func (f *testFleet) injectRandomFault(t *testing.T, random *rand.Rand) {
	h := f.hosts[random.IntN(len(f.hosts))]
	kind := random.IntN(7)
	t.Logf("%s fault %d at %s", time.Now().Format("15:04:05.000"), kind, h.id)
	switch kind {
	case 0:
		h.process.Load().kill()
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
		h.start(t)
	case 1:
		h.pause(time.Duration(random.IntN(12000)) * time.Millisecond)
	case 2:
		f.replace(t, h)
	case 3:
		f.platform.Log.Down(time.Duration(random.IntN(8000)) * time.Millisecond)
	case 4:
		f.platform.Log.LostAck(1 + random.IntN(5))
	case 5:
		f.inject(t, standin.FaultRequest{Kind: standin.FaultServiceLostAnswer, Service: standin.ServiceLedger, Count: new(1 + random.IntN(3))})
	case 6:
		names := f.platform.Fleet.EngineNames()
		f.inject(t, standin.FaultRequest{Kind: standin.FaultTargetCrash, Target: names[random.IntN(len(names))]})
	}
}

func (f *testFleet) inject(t *testing.T, r standin.FaultRequest) {
	if err := f.platform.Inject(r); err != nil {
		t.Fatal(err)
	}
}
