package app

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// ownerOf returns the host that owns a program's partition.
func (f *testFleet) ownerOf(program string) *testHost {
	p := partition.Of(program, f.platform.Document(nil).Partitions)
	for _, h := range f.hosts {
		for _, v := range h.process.Load().owner.Partitions() {
			if v.Partition == p && v.State == "owned" {
				return h
			}
		}
	}
	return nil
}

// calls makes calls of a program at one host.
func (h *testHost) calls(t *testing.T, program string, from, to int64) {
	for seq := from; seq <= to; seq++ {
		if _, err := h.process.Load().router.Call(t.Context(), callOf(program, "stale", seq), nil); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStaleOwnerServesNoOldHistory pauses an owner until its successor has continued a
// program. The former owner resumes during a log outage, so that it can't read that it
// was replaced. It must not serve its outdated history.
func TestStaleOwnerServesNoOldHistory(t *testing.T) {
	runFleet(t, 3, testDrainTimeout, func(t *testing.T, f *testFleet) {
		is := is.New(t)
		spec := port.ProgramSpec{Organisation: standin.OrganisationAnnuities, Agent: standin.AgentInquiry, BudgetTokens: 1_000_000, RequestID: "stale"}
		view, err := f.hosts[0].process.Load().router.Open(t.Context(), spec)
		is.NoErr(err)
		f.hosts[0].calls(t, view.ProgramID, 1, 3)
		stale := f.ownerOf(view.ProgramID)
		other := f.hosts[0]
		if other == stale {
			other = f.hosts[1]
		}
		stale.pause(12 * time.Second)
		time.Sleep(4 * time.Second)
		other.calls(t, view.ProgramID, 4, 6)
		time.Sleep(7 * time.Second)
		f.platform.Log.Down(time.Minute)
		time.Sleep(2 * time.Second)
		for _, h := range f.hosts {
			turns, err := h.process.Load().router.History(context.Background(), view.ProgramID)
			t.Logf("host %s answers %d turns, %v", h.id, len(turns), err)
			if err != nil {
				is.Equal(fault.Of(err).Run, fault.NotRun)
				continue
			}
			is.Equal(len(turns), 6)
		}
	})
}
