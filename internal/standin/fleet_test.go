package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
)

var _ port.HostList = (*Fleet)(nil)

func TestFleetListsALeavingTargetLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineOptions{Name: "m-a", Model: "m"})
		f := NewFleet([]*Engine{e}, nil, nil, time.Second)
		is.NoErr(f.Leave("m-a", true))
		before, _ := f.Targets(t.Context())
		is.Equal(before, []port.ListedTarget{{Name: "m-a"}})
		time.Sleep(time.Second)
		after, _ := f.Targets(t.Context())
		is.Equal(after, []port.ListedTarget{{Name: "m-a", Leaving: true}})
		is.Equal(f.Leave("none", true), ReasonUnknownTarget)
	})
}
