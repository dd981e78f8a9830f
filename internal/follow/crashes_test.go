package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/upstream"
)

const (
	crashesTopic = "keyed.crashes"
	content      = uint64(7)
	within       = 3 * time.Second
)

func fingerprint() uint64 { return content }

// newCrashes returns a quarantine that finds each target crashed at which a
// request breaks off.
func newCrashes() *quarantine.Service {
	return quarantine.New(quarantine.Params{
		Probe:  func(context.Context, upstream.Target) error { return errors.New("connection refused") },
		Logger: logr.Discard(),
		Scope:  tally.NoopScope,
	})
}

type noPeers struct{}

func (noPeers) Hosts() []string { return nil }

func (noPeers) Notify(context.Context, string, []poison.Mark, bool) error { return nil }

func newCrashLog(t *testing.T, store *metastore.Store, name string, crashes Crashes) *CrashLog {
	t.Helper()
	keyed := store.Client(name).Keyed(crashesTopic)
	c := NewCrashLog(CrashLogParams{Host: name, Stream: keyed, Put: keyed.PutAll, PropagationLimit: within, Peers: noPeers{}, Crashes: crashes, Logger: logr.Discard()})
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return c
}

// Content that has crashed a target at each of three hosts is in quarantine at all
// hosts at once, and stays so at hosts that start again.
func TestHostsShowEachOtherCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := metastore.New()
		names := []string{"a", "b", "c", "d"}
		crashes := make(map[string]*quarantine.Service)
		logs := make(map[string]*CrashLog)
		start := func(name string) {
			crashes[name] = newCrashes()
			logs[name] = newCrashLog(t, store, name, crashes[name])
		}
		for _, name := range names {
			start(name)
		}
		time.Sleep(time.Second)
		for _, name := range names[:3] {
			is.True(!crashes[name].IsQuarantined(fingerprint))
			crashes[name].RecordInterruption(content, upstream.Target{ID: "t-" + name})
			time.Sleep(time.Second)
		}
		for _, name := range names {
			is.True(crashes[name].IsQuarantined(fingerprint))
		}
		// All processes end without a word and start again.
		for _, name := range names {
			logs[name].stop()
			logs[name].done.Wait()
			is.NoErr(crashes[name].Stop(context.Background()))
			start(name)
		}
		time.Sleep(time.Second)
		for _, name := range names {
			is.True(crashes[name].IsQuarantined(fingerprint))
			is.NoErr(logs[name].Stop(context.Background()))
			is.NoErr(crashes[name].Stop(context.Background()))
		}
	})
}

// A crash that is seen as the host stops is still shared.
func TestCrashSeenAtTheEndIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := metastore.New()
		store.SetFaults("a", metastore.Faults{Refuse: true})
		crashes := newCrashes()
		c := newCrashLog(t, store, "a", crashes)
		crashes.RecordInterruption(content, upstream.Target{ID: "t"})
		time.Sleep(time.Second)
		is.Equal(len(crashes.Unshared()), 1)
		store.SetFaults("a", metastore.Faults{})
		is.NoErr(c.Stop(context.Background()))
		is.NoErr(crashes.Stop(context.Background()))
		is.Equal(len(crashes.Unshared()), 0)
		records, _, err := store.Client("b").Keyed(crashesTopic).Newest(context.Background())
		is.NoErr(err)
		is.Equal(len(records), 1)
	})
}

// The log keeps crashes for a while and no longer, however many hosts read it.
func TestOldCrashesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := metastore.New()
		var logs []*CrashLog
		var all []*quarantine.Service
		for n := range 3 {
			q := newCrashes()
			all = append(all, q)
			logs = append(logs, newCrashLog(t, store, fmt.Sprint(n), q))
		}
		for n := range 500 {
			all[n%3].RecordInterruption(uint64(n), upstream.Target{ID: "t", StartedAt: int64(n + 1)})
		}
		count := func() int {
			records, _, err := store.Client("x").Keyed(crashesTopic).Newest(context.Background())
			is.NoErr(err)
			return len(records)
		}
		time.Sleep(crashLife - time.Second)
		is.Equal(count(), 500)
		calls := store.Calls()
		time.Sleep(4 * sweepInterval)
		is.Equal(count(), 0)
		reads := 3 * int(4*sweepInterval/(within/crashReads))
		is.True(store.Calls()-calls < 2*reads) // removed by few writes, not by each host
		for n := range logs {
			is.NoErr(logs[n].Stop(context.Background()))
			is.NoErr(all[n].Stop(context.Background()))
		}
	})
}

// hangingPeers are many hosts none of which answers.
type hangingPeers struct{}

func (hangingPeers) Hosts() []string { return make([]string, 400) }

func (hangingPeers) Notify(ctx context.Context, _ string, _ []poison.Mark, _ bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// A host that is cut off from all others writes soon after the store is back.
func TestSilentHostsDoNotHoldUpTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := metastore.New()
		store.SetFaults("a", metastore.Faults{Refuse: true})
		crashes := newCrashes()
		keyed := store.Client("a").Keyed(crashesTopic)
		c := NewCrashLog(CrashLogParams{Host: "a", Stream: keyed, Put: keyed.PutAll, PropagationLimit: within, Peers: hangingPeers{}, Crashes: crashes, Logger: logr.Discard()})
		is.NoErr(c.Start(context.Background()))
		crashes.RecordInterruption(content, upstream.Target{ID: "t"})
		time.Sleep(10 * time.Second)
		store.SetFaults("a", metastore.Faults{})
		time.Sleep(within)
		is.Equal(len(crashes.Unshared()), 0)
		is.NoErr(c.Stop(context.Background()))
		is.NoErr(crashes.Stop(context.Background()))
	})
}

// Records of other writers are passed over.
func TestCrashThatCantBeReadIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := metastore.New()
		store.Put(crashesTopic, "x", []byte("\xff\xff"))
		crashes := newCrashes()
		c := newCrashLog(t, store, "a", crashes)
		time.Sleep(time.Second)
		for n := range 3 {
			is.True(!crashes.IsQuarantined(fingerprint))
			keyed := store.Client("b").Keyed(crashesTopic)
			other := NewCrashLog(CrashLogParams{Host: "b", Stream: keyed, Put: keyed.PutAll, PropagationLimit: within, Peers: noPeers{}, Crashes: newCrashes(), Logger: logr.Discard()})
			is.True(other.write(context.Background(), []poison.Mark{{Fingerprint: content, Target: fmt.Sprint(n), At: 1}}))
			time.Sleep(10 * time.Millisecond)
		}
		is.True(crashes.IsQuarantined(fingerprint))
		is.NoErr(c.Stop(context.Background()))
		is.NoErr(crashes.Stop(context.Background()))
	})
}

var _ Crashes = (*quarantine.Service)(nil)
