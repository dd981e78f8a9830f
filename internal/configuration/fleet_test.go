package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/configuration"
	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
	_ "yuccausher/internal/testutil"
	"yuccausher/internal/testutil/peernet"
)

// retention is how long the log of the tests keeps records.
const retention = 4 * time.Hour

// settleTime is enough for all hosts to read what was published.
const settleTime = time.Second

// fleet is some hosts on one log.
type fleet struct {
	log   *standin.Log
	net   *peernet.Network
	hosts []*host
}

// host is one process: its own way to the log, and what it runs.
type host struct {
	fleet    *fleet
	id       string
	running  atomic.Bool
	cutOff   atomic.Bool
	holder   atomic.Pointer[config.Holder]
	service  *configuration.Service
	counters tally.TestScope
}

// run starts hosts in a bubble of virtual time and stops them at the end.
func run(t *testing.T, hosts int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{log: standin.NewLog(standin.LogOptions{Latency: 10 * time.Millisecond, Retention: retention}), net: peernet.New()}
		for i := range hosts {
			f.hosts = append(f.hosts, &host{fleet: f, id: fmt.Sprintf("10.0.0.%d:7100", i)})
		}
		for _, h := range f.hosts {
			h.holder.Store(&config.Holder{})
		}
		for _, h := range f.hosts {
			h.start()
		}
		defer f.stop()
		test(t, f)
	})
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.stop()
	}
}

func (h *host) start() {
	h.holder.Store(&config.Holder{})
	h.counters = tally.NewTestScope("", nil)
	h.service = configuration.New(configuration.Params{
		Log: h, Peers: h.fleet.net.Peers(h.id), Members: h, Holder: h.holder.Load(),
		Metrics: h.counters, Logger: logr.Discard(), Settings: configuration.Settings{Retention: retention},
	})
	h.fleet.net.AddHost(h.id, peernet.Handlers{Config: h.service.Current})
	_ = h.service.Start(context.Background())
	h.running.Store(true)
}

func (h *host) stop() {
	if !h.running.CompareAndSwap(true, false) {
		return
	}
	h.fleet.net.RemoveHost(h.id)
	_ = h.service.Stop(context.Background())
}

// cut is the cause of errors of a host that can't reach the log.
type cut struct{}

func (cut) Error() string { return "host is cut off from the log" }

// Append implements port.Log.
func (h *host) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if h.cutOff.Load() {
		return 0, &port.LogError{Op: "append", Stream: stream, Cause: cut{}}
	}
	return h.fleet.log.Append(ctx, stream, records)
}

// Read implements port.Log.
func (h *host) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.Page, error) {
	if h.cutOff.Load() {
		return port.Page{}, &port.LogError{Op: "read", Stream: stream, Cause: cut{}}
	}
	return h.fleet.log.Read(ctx, stream, from, wait)
}

// Self implements port.Members.
func (h *host) Self() port.Host { return port.Host{ID: h.id} }

// Table implements port.Members: all running hosts, with their versions.
func (h *host) Table() []port.Member {
	var table []port.Member
	for _, other := range h.fleet.hosts {
		if other.running.Load() {
			table = append(table, port.Member{Host: other.Self(), State: port.MemberAlive, ConfigVersion: other.version()})
		}
	}
	return table
}

// Changed implements port.Members.
func (h *host) Changed() <-chan struct{} { return nil }

func (h *host) version() int64 {
	if s := h.holder.Load().Current(); s != nil {
		return s.Version
	}
	return 0
}

// counter returns the sum of the counters whose names and tags hold the parts.
func (h *host) counter(parts ...string) (sum int64) {
	for key, c := range h.counters.Snapshot().Counters() {
		matches := true
		for _, part := range parts {
			matches = matches && strings.Contains(key, part)
		}
		if matches {
			sum += c.Value()
		}
	}
	return sum
}

// appendRaw puts a record into the stream as a foreign writer would.
func (f *fleet) appendRaw(data string) {
	if _, err := f.log.Append(context.Background(), config.Stream, [][]byte{[]byte(data)}); err != nil {
		panic(err)
	}
}

// publish makes each host publish from the same base at once.
func (f *fleet) publish(base int64, hosts ...*host) (versions []int64, errs []error) {
	versions, errs = make([]int64, len(hosts)), make([]error, len(hosts))
	var all sync.WaitGroup
	for i, h := range hosts {
		all.Go(func() { versions[i], errs[i] = h.service.Publish(context.Background(), base, document(i+1)) })
	}
	all.Wait()
	return versions, errs
}

// versions returns the version at each running host.
func (f *fleet) versions() (list []int64) {
	for _, h := range f.hosts {
		if h.running.Load() {
			list = append(list, h.version())
		}
	}
	return list
}

// all says whether each running host has the version.
func (f *fleet) all(version int64) bool {
	for _, v := range f.versions() {
		if v != version {
			return false
		}
	}
	return true
}

// document returns a valid document whose numbers are all weight.
func document(weight int) []byte {
	d := config.Document{
		Format: config.Format, Partitions: 64, Streams: 1,
		Classes: []config.Class{{Name: "interactive", Priority: weight}},
		Models:  []config.Model{{Name: "small", ContextTokens: 8000, MaxOutputTokens: 500, TimeoutMS: 60000}},
		Targets: []config.Target{{Name: "m", Address: "http://127.0.0.1:1", DataCentre: "a", Model: "small", Concurrency: weight}},
	}
	for i := range 5 {
		d.Organisations = append(d.Organisations, config.Organisation{Name: fmt.Sprint(i), BudgetTokens: 1000, Weight: weight})
	}
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}
