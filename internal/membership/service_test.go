package membership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/membership"
	"yuccausher/internal/port"
	_ "yuccausher/internal/testutil"
	"yuccausher/internal/testutil/peernet"
)

// list is a host list that never changes.
type list []port.ListedHost

func (l list) Hosts(context.Context) ([]port.ListedHost, error)     { return l, nil }
func (l list) Targets(context.Context) ([]port.ListedTarget, error) { return nil, nil }

// fleet is some services on one net.
type fleet struct {
	net      *peernet.Network
	list     list
	services []*membership.Service
}

func newFleet(n int) *fleet {
	f := &fleet{net: peernet.New()}
	for i := range n {
		f.list = append(f.list, port.ListedHost{ID: id(i), DataCentre: "a"})
	}
	for i := range n {
		f.services = append(f.services, f.start(i, 1))
	}
	return f
}

func id(i int) string { return fmt.Sprintf("10.0.0.%d:7100", i) }

func (f *fleet) start(i int, incarnation uint64) *membership.Service {
	holder := &config.Holder{}
	holder.StoreIfNewer(config.NewSnapshot(int64(i+1), &config.Document{}))
	s := membership.New(membership.Params{
		Self:     port.Host{ID: id(i), DataCentre: "a", Incarnation: incarnation},
		Peers:    f.net.Peers(id(i)),
		HostList: f.list,
		Holder:   holder,
		Metrics:  tally.NoopScope,
		Logger:   logr.Discard(),
	})
	f.net.AddHost(id(i), peernet.Handlers{Gossip: s.Receive, GossipVia: s.Reach})
	_ = s.Start(context.Background())
	return s
}

func (f *fleet) stop(i int) {
	f.net.RemoveHost(id(i))
	_ = f.services[i].Stop(context.Background())
}

func (f *fleet) end() {
	for i := range f.services {
		f.stop(i)
	}
}

// states counts the states in which the others see a host.
func (f *fleet) states(i int) map[port.MemberState]int {
	states := make(map[port.MemberState]int)
	for j, s := range f.services {
		for _, m := range s.Table() {
			if j != i && m.ID == id(i) {
				states[m.State]++
			}
		}
	}
	return states
}

func TestServicesFindKillLeaveAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 12
		f := newFleet(n)
		defer f.end()
		time.Sleep(2 * time.Second)
		is.Equal(f.states(0)[port.MemberAlive], n-1)
		is.Equal(f.services[3].Table()[0].ConfigVersion, int64(1))

		changed := f.services[1].Changed()
		f.stop(0)
		time.Sleep(3 * time.Second)
		is.Equal(f.states(0)[port.MemberDead], n-1)
		<-changed

		f.services[0] = f.start(0, 2)
		is.NoErr(f.services[5].Leave(context.Background()))
		time.Sleep(2 * time.Second)
		is.Equal(f.states(0)[port.MemberAlive], n-1)
		is.Equal(f.states(5)[port.MemberLeaving], n-1)
	})
}

func TestServiceReachesOthersForAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		defer f.end()
		time.Sleep(time.Second)
		f.net.SetLinkDown(id(0), id(1), true)
		reached, err := f.services[2].Reach(context.Background(), id(1))
		is.NoErr(err)
		is.True(reached)
		reached, _ = f.services[0].Reach(context.Background(), id(1))
		is.True(!reached)
		time.Sleep(10 * time.Second)
		is.Equal(f.states(1)[port.MemberDead], 0)
	})
}
