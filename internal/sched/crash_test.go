package sched

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// TestLostServiceAnswerIsNoCrash guards against quarantining content because a service
// that stays up loses two answers.
func TestLostServiceAnswerIsNoCrash(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("down ", down), func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				is := is.New(t)
				d := document(1, 8)
				for i := range 3 {
					service := d.Targets[len(d.Targets)-1]
					service.Name = fmt.Sprint("more", i)
					d.Targets = append(d.Targets, service)
				}
				h := newHost(t, newFleet(1, 8), d, nil)
				defer h.Stop(t.Context())
				w := modelWork("p")
				w.Kind, w.Name = port.KindService, "ledger"
				w.Fingerprint = 99
				lost := 0
				for n := range 4 {
					w.RequestID = fmt.Sprint("r", n)
					g, err := h.Acquire(t.Context(), w)
					if f, ok := fault.As(err); ok && f.Type == fault.Poisoned {
						break
					}
					is.NoErr(err)
					lost++
					g.Done(port.Result{
						Err:  &port.TargetError{Target: g.Target().Name, Failure: port.FailureBroken},
						Down: down,
					})
				}
				if down {
					is.Equal(lost, 2)
				} else {
					is.Equal(lost, 4)
				}
			})
		})
	}
}
