package origin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/origin"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
	_ "yuccausher/internal/testutil"
)

const service = "models"

// host is one host's service and its view of the targets.
type host struct {
	*Service
	name  string
	store *metastore.Store
	fleet *fleet.Fleet
}

// startHost starts a host whose targets have the given versions.
func startHost(t *testing.T, store *metastore.Store, name string, versions ...string) *host {
	t.Helper()
	client := store.Client(name)
	h := &host{name: name, store: store, fleet: fleet.New("here", 1)}
	for _, v := range versions {
		h.add(v)
	}
	h.Service = New(Params{
		Host:            name,
		Log:             client,
		Partitions:      8,
		Releases:        client.Keyed("keyed.releases"),
		PutRelease:      client.Keyed("keyed.releases").Put,
		Fleet:           h.fleet,
		TargetsReadAt:   time.Now,
		LongestStream:   func() time.Duration { return 3 * time.Second },
		Hosts:           func() int { return 12 },
		WritesPerSecond: 800,
		Logger:          logr.Discard(),
		Scope:           tally.NoopScope,
	})
	_ = h.Start(t.Context())
	time.Sleep(50 * time.Millisecond)
	return h
}

// add adds a target with a version.
func (h *host) add(version string) {
	h.fleet.Put(fleet.Member{ID: "target with " + version, Service: service, Address: "127.0.0.1:1", Version: version, Slots: 1})
	if h.Service != nil {
		h.TargetsChanged()
	}
}

func (h *host) remove(version string) {
	h.fleet.Remove("target with " + version)
	h.TargetsChanged()
}

// kill ends the host without a further word to the store.
func (h *host) kill() {
	h.store.SetFaults(h.name, metastore.Faults{Refuse: true})
	_ = h.Stop(context.Background())
}

func (h *host) begin(t *testing.T, stream, version string) {
	t.Helper()
	if err := h.Record(t.Context(), stream, fleet.Release{Service: service, Version: version}, false); err != nil {
		t.Fatal(err)
	}
}

// origin returns the version that began a stream, or "unknown".
func (h *host) origin(t *testing.T, stream string) string {
	t.Helper()
	v, err := h.Lookup(t.Context(), service, stream)
	var u *gateway.UnknownOriginError
	switch {
	case errors.As(err, &u) && u.RetryAfter > 0:
		return "unknown"
	case err != nil:
		t.Fatal(err)
	}
	return v
}

// fall lets all hosts fall; a new one with the given versions takes their place.
func fall(t *testing.T, store *metastore.Store, hosts []*host, versions ...string) *host {
	t.Helper()
	for _, h := range hosts {
		h.kill()
	}
	return startHost(t, store, "new host", versions...)
}

func newStore() *metastore.Store {
	s := metastore.New()
	s.Latency, s.Timeout = 4*time.Millisecond, 900*time.Millisecond
	return s
}

func TestNothingIsRecordedWhileOneReleaseServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := startHost(t, store, "a", "v1"), startHost(t, store, "b", "v1")
		before := store.Calls()
		for i := range 100 {
			a.begin(t, fmt.Sprint(i), "v1")
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(store.Calls(), before)
		c := fall(t, store, []*host{a, b}, "v1")
		is.Equal(c.origin(t, "5"), "v1")
		is.Equal(c.origin(t, "nobody knows it"), "v1")
		c.kill()
	})
}

func TestStreamsOfTwoReleasesAreFoundAfterAllHostsFell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := startHost(t, store, "a", "v1", "v2"), startHost(t, store, "b", "v1", "v2")
		a.begin(t, "1", "v1")
		a.begin(t, "2", "v2")
		b.begin(t, "3", "v2")
		time.Sleep(100 * time.Millisecond)
		c := fall(t, store, []*host{a, b}, "v1", "v2")
		is.Equal(c.origin(t, "1"), "v1")
		is.Equal(c.origin(t, "2"), "v2")
		is.Equal(c.origin(t, "3"), "v2")
		is.Equal(c.origin(t, "nobody knows it"), "unknown")
		is.Equal(c.origin(t, ""), "unknown")
		c.kill()
	})
}

// A host begins streams while it knows of one release, and learns of another one later.
func TestEarlierStreamsAreRecordedWhenASecondReleaseComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1")
		a.begin(t, "1", "v1")
		a.add("v2")
		time.Sleep(200 * time.Millisecond)
		b := fall(t, store, []*host{a}, "v1", "v2")
		is.Equal(b.origin(t, "1"), "v1")
		b.kill()
	})
}

// A host that has seen only the new release takes up a stream of the one that has left.
func TestReleaseThatHasLeftIsRememberedByTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1")
		a.begin(t, "1", "v1")
		b := fall(t, store, []*host{a}, "v2")
		is.Equal(b.origin(t, "1"), "unknown")
		time.Sleep(2 * time.Minute)
		is.Equal(b.origin(t, "1"), "v2") // by now it can only be another stream
		b.kill()
	})
}

// Another host already uses a release that this one has not seen.
func TestReleaseThatOnlyAnotherHostKnowsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := startHost(t, store, "a", "v1"), startHost(t, store, "b", "v1")
		b.add("v2")
		time.Sleep(100 * time.Millisecond)
		b.begin(t, "1", "v2")
		time.Sleep(100 * time.Millisecond)
		is.Equal(a.origin(t, "1"), "v2")
		is.Equal(a.origin(t, "2"), "unknown")
		a.kill()
		b.kill()
	})
}

// Streams begin at a release only once the store has it, as long as there is another one.
func TestReleaseIsAnnouncedBeforeStreamsBeginThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1")
		resumable := fleet.Request{Service: service, Affinity: "p", IsResumable: true}
		store.SetFaults("a", metastore.Faults{Refuse: true})
		a.add("v2")
		time.Sleep(100 * time.Millisecond)
		for _, m := range a.fleet.Candidates(resumable, 4, time.Now()) {
			is.Equal(m.Version, "v1")
		}
		is.Equal(len(a.fleet.Candidates(fleet.Request{Service: service, Affinity: "p"}, 4, time.Now())), 2)
		store.SetFaults("a", metastore.Faults{})
		time.Sleep(2 * time.Second)
		is.Equal(len(a.fleet.Candidates(resumable, 4, time.Now())), 2)
		// Without any announced release, a release that is not announced is better than none.
		store.SetFaults("a", metastore.Faults{Refuse: true})
		a.remove("v1")
		a.remove("v2")
		a.add("v3")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(a.fleet.Candidates(resumable, 4, time.Now())), 1)
		a.kill()
	})
}

func TestOriginIsUnknownWhileTheStoreIsUnavailable(t *testing.T) {
	for name, f := range map[string]metastore.Faults{"refuses": {Refuse: true}, "is silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				a := startHost(t, store, "a", "v1")
				a.begin(t, "own", "v1")
				store.SetFaults("a", f)
				started := time.Now()
				is.Equal(a.origin(t, "of another host"), "unknown")
				is.True(time.Since(started) <= lookupTimeout)
				is.Equal(a.origin(t, "own"), "v1")
				// It is known now that there is no answer.
				started = time.Now()
				is.Equal(a.origin(t, "of another host"), "unknown")
				is.Equal(time.Since(started), time.Duration(0))
				store.SetFaults("a", metastore.Faults{})
				time.Sleep(unavailableRetryAfter)
				is.Equal(a.origin(t, "of another host"), "v1")
				a.kill()
			})
		})
	}
}

// A target refuses a stream, and the next one has another version. The stream must not be
// found at the first one.
func TestStreamChangesItsReleaseOnlyOnRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1", "v2")
		a.begin(t, "1", "v1")
		time.Sleep(100 * time.Millisecond)
		a.begin(t, "1", "v2")
		a.begin(t, "2", "v1")
		time.Sleep(100 * time.Millisecond)
		store.SetFaults("a", metastore.Faults{Refuse: true})
		err := a.Record(t.Context(), "2", fleet.Release{Service: service, Version: "v2"}, false)
		var u *UnwrittenError
		is.True(errors.As(err, &u))
		is.Equal(a.origin(t, "2"), "v1")
		b := fall(t, store, []*host{a}, "v1", "v2")
		is.Equal(b.origin(t, "1"), "v2")
		is.Equal(b.origin(t, "2"), "v1")
		b.kill()
	})
}

// The writes of a host meet lost answers and an outage, and are repeated.
func TestStartsAreWrittenAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1", "v2")
		store.SetFaults("a", metastore.Faults{LoseAnswers: 1})
		a.begin(t, "1", "v1")
		time.Sleep(2 * time.Second)
		store.SetFaults("a", metastore.Faults{Refuse: true})
		a.begin(t, "2", "v2")
		time.Sleep(5 * time.Second)
		store.SetFaults("a", metastore.Faults{})
		time.Sleep(time.Second)
		b := fall(t, store, []*host{a}, "v1", "v2")
		is.Equal(b.origin(t, "1"), "v1")
		is.Equal(b.origin(t, "2"), "v2")
		b.kill()
	})
}

// A host that starts finds the starts of the last seconds without reading all of them, also
// after the oldest have been trimmed.
func TestOnlyRecentStartsAreRead(t *testing.T) {
	for name, isTrimmed := range map[string]bool{"whole log": false, "trimmed log": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				a := startHost(t, store, "a", "v1", "v2")
				for i := range 6000 {
					a.begin(t, fmt.Sprint(i), "v1")
					time.Sleep(50 * time.Millisecond)
				}
				a.begin(t, "last", "v2")
				time.Sleep(100 * time.Millisecond)
				if isTrimmed {
					for part := range maxPartitions {
						store.Trim(port.Partition{Topic: topic, Part: part}, 5900)
					}
				}
				store.ReadBytes = 0
				b := fall(t, store, []*host{a}, "v1", "v2")
				is.Equal(b.origin(t, "5990"), "v1")
				is.Equal(b.origin(t, "last"), "v2")
				is.True(store.ReadBytes < 6000*40/3)
				b.kill()
			})
		})
	}
}

// A host that started after a fall of all hosts read the starts of all streams of the time for which
// releases are remembered. Callers no longer wait for most of those.
func TestStartsOfStreamsThatHaveEndedAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1", "v2")
		const perSecond = 20
		for i := range 120 * perSecond {
			a.begin(t, fmt.Sprint(i), "v1")
			time.Sleep(time.Second / perSecond)
		}
		data, err := proto.Marshal(encode([]pending{{start: origin.Start{Stream: 1, Release: fleet.Release{Service: service, Version: "v1"}}}}, time.Now()))
		is.NoErr(err)
		store.ReadBytes = 0
		b := fall(t, store, []*host{a}, "v1", "v2")
		const waited = 3 * time.Second
		is.Equal(b.origin(t, fmt.Sprint(120*perSecond-waited.Seconds()*perSecond)), "v1")
		// The search for the first start may read twice what is looked for.
		is.True(store.ReadBytes <= 2*int((b.startMemory()+clockTolerance).Seconds())*perSecond*len(data))
		b.kill()
	})
}

// Lookups at the same time, as after a fall of all hosts, share their reads of the store.
func TestLookupsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1", "v2")
		for i := range 100 {
			a.begin(t, fmt.Sprint(i), "v1")
		}
		time.Sleep(time.Second)
		b := fall(t, store, []*host{a}, "v1", "v2")
		before := store.Calls()
		found := make(chan string)
		for i := range 100 {
			go func() { found <- b.origin(t, fmt.Sprint(i)) }()
		}
		for range 100 {
			is.Equal(<-found, "v1")
		}
		is.True(store.Calls()-before < 40)
		b.kill()
	})
}

// The number of appends is bounded however many streams begin.
func TestAppendsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a := startHost(t, store, "a", "v1", "v2")
		before := store.Calls()
		for i := range 2000 {
			a.begin(t, fmt.Sprint(i), "v1")
			time.Sleep(time.Millisecond)
		}
		// 12 hosts share half of 800 calls a second.
		is.True(store.Calls()-before <= 2*400/12+5)
		b := fall(t, store, []*host{a}, "v1", "v2")
		is.Equal(b.origin(t, "1900"), "v1")
		b.kill()
	})
}

// A host that is cut off has recorded a stream, and another one sends it to a target of another
// version. The records of the two hosts lie in any order.
func TestStreamThatWasHandedOverIsFoundAtItsSecondHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		for i := range 6 {
			a, b := startHost(t, store, fmt.Sprint("a", i), "v1", "v2"), startHost(t, store, fmt.Sprint("b", i), "v1", "v2")
			stream, unwritten := fmt.Sprint("stream", i), fmt.Sprint("unwritten", i)
			a.begin(t, stream, "v1")
			a.begin(t, unwritten, "v1")
			time.Sleep(100 * time.Millisecond)
			is.NoErr(b.Record(t.Context(), stream, fleet.Release{Service: service, Version: "v2"}, true))
			store.SetFaults(b.name, metastore.Faults{Refuse: true})
			is.True(b.Record(t.Context(), unwritten, fleet.Release{Service: service, Version: "v2"}, true) != nil)
			c := fall(t, store, []*host{a, b}, "v1", "v2")
			is.Equal(c.origin(t, stream), "v2")
			is.Equal(c.origin(t, unwritten), "v1")
			c.kill()
			store.SetFaults(c.name, metastore.Faults{})
		}
	})
}
