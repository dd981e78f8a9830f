package follow

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
)

const (
	configurationTopic = "keyed.configuration"
	targetsTopic       = "keyed.targets"
	hostsTopic         = "keyed.hosts"
	drainTime          = 2 * time.Second
	latency            = 4 * time.Millisecond
)

// fixture is a follower that reads from a store.
type fixture struct {
	store  *metastore.Store
	tables *route.Holder
	fleet  *fleet.Fleet
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{store: metastore.New(), tables: &route.Holder{}, fleet: fleet.New("here", 1)}
	f.store.Latency = latency
	f.store.Timeout = time.Second
	follower := New(Params{
		Configuration:       f.store.Client("h").Keyed(configurationTopic),
		ConfigurationKey:    "config",
		DecodeConfiguration: decodeDocument,
		Targets:             f.store.Client("h").Keyed(targetsTopic),
		DecodeTarget:        decodeMember,
		DrainTime:           drainTime,
		Tables:              f.tables,
		Fleet:               f.fleet,
		OnStarted:           func(fleet.Member) {},
		Logger:              logr.Discard(),
		Scope:               tally.NoopScope,
	})
	if err := follower.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = follower.Stop(context.Background()) })
	return f
}

func decodeDocument(data []byte) (route.Document, error) {
	var d route.Document
	return d, errors.Trace(json.Unmarshal(data, &d))
}

func decodeMember(id string, data []byte) (fleet.Member, error) {
	m := fleet.Member{ID: id}
	return m, errors.Trace(json.Unmarshal(data, &m))
}

func (f *fixture) configure(t *testing.T, version int64) {
	t.Helper()
	data, err := json.Marshal(route.Document{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put(configurationTopic, "config", data)
}

func (f *fixture) target(t *testing.T, m fleet.Member) {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put(targetsTopic, m.ID, data)
}

func (f *fixture) version() int64 {
	if table := f.tables.Current(); table != nil {
		return table.Version
	}
	return 0
}

func TestConfigurationIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		time.Sleep(time.Second)
		is.Equal(f.version(), int64(0))
		for v := int64(1); v < 5; v++ {
			f.configure(t, v)
			time.Sleep(2 * latency)
			is.Equal(f.version(), v)
		}
	})
}

func TestStaleAndInvalidConfigurationsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.configure(t, 7)
		time.Sleep(time.Second)
		f.configure(t, 6)
		f.store.Put(configurationTopic, "config", []byte("{"))
		f.store.Put(configurationTopic, "other", []byte("{}"))
		time.Sleep(time.Second)
		is.Equal(f.version(), int64(7))
		f.configure(t, 8)
		time.Sleep(time.Second)
		is.Equal(f.version(), int64(8))
	})
}

func TestConfigurationsAreFollowedThroughOutagesAndDroppedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.configure(t, 1)
		time.Sleep(time.Second)
		for _, faults := range []metastore.Faults{{Refuse: true}, {Silent: true}, {Delay: 300 * time.Millisecond}} {
			f.store.SetFaults(metastore.EveryHost, faults)
			time.Sleep(5 * time.Second)
			version := f.version() + 1
			f.configure(t, version)
			f.store.Trim(port.Partition{Topic: configurationTopic}, 1000)
			f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
			time.Sleep(2 * time.Second)
			is.Equal(f.version(), version)
		}
	})
}

// A leaving target gets no new requests well before the drain time is over.
func TestLeavingTargetsAreKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.target(t, fleet.Member{ID: "a", Service: "s", Slots: 1})
		time.Sleep(time.Second)
		is.Equal(f.fleet.Count("s"), 1)
		f.target(t, fleet.Member{ID: "a", Service: "s", Slots: 1, Leaving: true})
		time.Sleep(drainTime / 2)
		is.Equal(f.fleet.Count("s"), 0)
		f.target(t, fleet.Member{ID: "b", Service: "s", Slots: 1})
		time.Sleep(drainTime / 2)
		f.store.Put(targetsTopic, "b", nil)
		time.Sleep(drainTime / 2)
		is.Equal(f.fleet.IDs(), []string{"a"})
	})
}

func TestInvalidTargetRecordsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.store.Put(targetsTopic, "bad", []byte("\x00"))
		f.target(t, fleet.Member{ID: "good", Service: "s", Slots: 1})
		time.Sleep(time.Second)
		f.store.Put(targetsTopic, "bad", []byte("[]"))
		time.Sleep(time.Second)
		is.Equal(f.fleet.IDs(), []string{"good"})
	})
}

// Records that lapse during an outage of the store reappear soon after it; until then
// their targets stay in use.
func TestTargetsSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		a := fleet.Member{ID: "a", Service: "s", Slots: 1}
		b := fleet.Member{ID: "b", Service: "s", Slots: 1}
		f.target(t, a)
		f.target(t, b)
		time.Sleep(time.Second)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		time.Sleep(4 * time.Second)
		f.store.Put(targetsTopic, "a", nil)
		f.store.Put(targetsTopic, "b", nil)
		is.Equal(f.fleet.Count("s"), 2)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(f.fleet.Count("s"), 2)
		f.target(t, a)
		time.Sleep(3 * time.Second)
		is.Equal(f.fleet.IDs(), []string{"a"})
	})
}

// A target that leaves soon after an outage must be removed within the drain time. It
// must not be kept like targets whose records lapsed during the outage, because a
// request could then reach it after the drain time.
func TestTargetThatLeavesAfterAnOutageIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.target(t, fleet.Member{ID: "a", Service: "s", Slots: 1})
		time.Sleep(time.Second)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		time.Sleep(4 * time.Second)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(1500 * time.Millisecond)
		f.store.Put(targetsTopic, "a", nil)
		time.Sleep(drainTime / 2)
		is.Equal(f.fleet.Count("s"), 0)
	})
}

func newHosts(t *testing.T, store *metastore.Store, name string) *Hosts {
	t.Helper()
	keyed := store.Client(name).Keyed(hostsTopic)
	h := NewHosts(HostsParams{
		Name:       name,
		Address:    name + ":1",
		DataCentre: "here",
		Stream:     keyed,
		Put: func(ctx context.Context, key string, value []byte) error {
			return keyed.PutAll(ctx, []port.KeyedRecord{{Key: key, Value: value}})
		},
		Logger: logr.Discard(),
	})
	if err := h.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return h
}

func TestHostsFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := metastore.New()
		store.Timeout = time.Second
		a, b, c := newHosts(t, store, "a"), newHosts(t, store, "b"), newHosts(t, store, "c")
		time.Sleep(2 * hostsReadInterval)
		is.Equal(a.Hosts(), []string{"b:1", "c:1"})
		is.Equal(a.Self(), "a:1")

		is.NoErr(c.Stop(context.Background()))
		time.Sleep(2 * hostsReadInterval)
		is.Equal(a.Hosts(), []string{"b:1"})

		store.SetFaults(metastore.EveryHost, metastore.Faults{Silent: true})
		time.Sleep(2 * hostExpiry)
		is.Equal(a.Hosts(), []string{"b:1"})
		store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(hostExpiry)
		is.Equal(a.Hosts(), []string{"b:1"})

		store.SetFaults("b", metastore.Faults{Silent: true})
		time.Sleep(hostExpiry + 2*hostsReadInterval)
		is.Equal(len(a.Hosts()), 0)
		is.NoErr(a.Stop(context.Background()))
		is.NoErr(b.Stop(context.Background()))
	})
}

// Operators must learn which organisations a configuration applies in part, in a bounded number of
// lines.
func TestContradictoryOrganisationsAreLogged(t *testing.T) {
	is := is.New(t)
	var d route.Document
	for range 2 * maxReportedFaults {
		d.Organisations = append(d.Organisations, route.Member{Organisation: route.Organisation{Name: "a"}, Keys: []string{"secret"}})
	}
	d.Version = 1
	var lines []string
	c := configuration{
		key:     "config",
		decode:  func([]byte) (route.Document, error) { return d, nil },
		tables:  &route.Holder{},
		log:     funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
		version: tally.NoopScope.Gauge("version"),
	}
	c.apply(port.KeyedRecord{Key: "config"})
	is.Equal(len(lines), 1+maxReportedFaults)
	is.True(!strings.Contains(strings.Join(lines, " "), "secret"))
}
