package main_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/caller"
	"yuccausher/internal/core/config"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
	"yuccausher/internal/testutil"
)

const (
	hostCount = 3
	// testTime is the timeout of one test.
	testTime = time.Minute
	// pollPause is the interval at which a condition is polled.
	pollPause = 50 * time.Millisecond
	// startAttempts bounds the attempts to start a fleet. An attempt fails if
	// another process takes a port between its allocation and its use.
	startAttempts = 3
)

var dataCentres = []string{"concord", "salem", "hartford"}

// fleet is the stand-ins and three hosts, each in a process of its own. Hosts
// connect to each other and to the log through relays.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	control string
	http    *httpcall.Client
	caller  *caller.Caller
	hosts   []*hostProcess
}

type hostProcess struct {
	*process
	// id is the host's peer address.
	id   string
	base string
	// peers relays connections of other hosts to this one; logs relays this
	// host's connections to the log.
	peers *relay
	logs  *relay
}

// newFleet returns a client of a running fleet.
func newFleet(t *testing.T, control string, bases []string) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTime)
	t.Cleanup(cancel)
	f := &fleet{t: t, ctx: ctx, control: control, http: httpcall.New(), caller: caller.New(bases...)}
	for _, base := range bases {
		f.hosts = append(f.hosts, &hostProcess{base: base})
	}
	t.Cleanup(f.http.Close)
	t.Cleanup(f.caller.Close)
	return f
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	for range startAttempts {
		if f := tryStartFleet(t); f != nil {
			return f
		}
	}
	t.Fatal("the fleet did not start")
	return nil
}

// tryStartFleet returns nil if a process ended before the fleet was ready.
func tryStartFleet(t *testing.T) *fleet {
	t.Helper()
	control := testutil.FreeAddress(t)
	f := newFleet(t, "http://"+control, nil)
	_, controlPort, _ := net.SplitHostPort(control)
	args := []string{"standin", "-port", controlPort}
	for i := range hostCount {
		h := &hostProcess{peers: startRelay(t), logs: startRelay(t)}
		h.id = h.peers.address()
		h.logs.leadTo(control)
		f.hosts = append(f.hosts, h)
		args = append(args, "-host", dataCentres[i]+"="+h.id)
	}
	platform := startProcess(t, "standin", args...)
	if !f.await(func() bool { return f.get(f.control+standin.PathLog, nil) }, platform) {
		return nil
	}
	var bases []string
	for i, h := range f.hosts {
		f.startHost(i, h)
		bases = append(bases, h.base)
	}
	f.caller = caller.New(bases...)
	t.Cleanup(f.caller.Close)
	for _, h := range f.hosts {
		if !f.await(func() bool { return f.get(h.base+"/readyz", nil) }, h.process) {
			return nil
		}
	}
	return f
}

func (f *fleet) startHost(i int, h *hostProcess) {
	f.t.Helper()
	listen, peerListen := testutil.FreeAddress(f.t), testutil.FreeAddress(f.t)
	h.base = "http://" + listen
	h.peers.leadTo(peerListen)
	h.process = startProcess(f.t, fmt.Sprintf("host %d", i), "serve",
		"-listen", listen,
		"-peer-listen", peerListen,
		"-peer-address", h.id,
		"-data-centre", dataCentres[i],
		"-platform-url", f.control,
		"-log-url", "http://"+h.logs.address(),
	)
}

// await polls until holds returns true. It returns false if the process ends
// first.
func (f *fleet) await(holds func() bool, p *process) bool {
	f.t.Helper()
	for !holds() {
		if p.hasEnded() {
			return false
		}
		f.pause()
	}
	return true
}

// until polls until holds returns true and fails the test at its timeout.
func (f *fleet) until(what string, holds func() bool) {
	f.t.Helper()
	for !holds() {
		if f.ctx.Err() != nil {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		f.pause()
	}
}

// tick returns a channel that fires after pollPause.
func tick() <-chan time.Time { return time.After(pollPause) }

func (f *fleet) pause() {
	f.t.Helper()
	select {
	case <-tick():
	case <-f.ctx.Done():
		f.t.Fatal("test timed out")
	}
}

// get reads a value and reports whether the request succeeded.
func (f *fleet) get(url string, into any) bool {
	return f.http.CallTarget(f.ctx, url, http.MethodGet, url, nil, into) == nil
}

// inject sets a fault at the stand-ins.
func (f *fleet) inject(request standin.FaultRequest) {
	f.t.Helper()
	url := f.control + standin.PathFaults
	if err := f.http.CallTarget(f.ctx, "standin", http.MethodPost, url, request, nil); err != nil {
		f.t.Fatal(err)
	}
}

// runs returns how often each request of a service ran, by request ID.
func (f *fleet) runs(service string) map[string]int {
	f.t.Helper()
	var counts map[string]int
	if !f.get(f.control+standin.PathRuns+"?service="+service, &counts) {
		f.t.Fatal("the stand-in returned no run counts")
	}
	return counts
}

// partitions returns the partitions as one host sees them.
func (f *fleet) partitions(seenBy int) ([]port.PartitionView, bool) {
	var answer struct {
		Partitions []port.PartitionView `json:"partitions"`
	}
	ok := f.get(f.hosts[seenBy].base+"/v1/partitions", &answer)
	return answer.Partitions, ok
}

// owners returns the IDs of the hosts that own partitions as one host sees it.
func (f *fleet) owners(seenBy int) (map[string]bool, bool) {
	views, ok := f.partitions(seenBy)
	owners := make(map[string]bool)
	for _, view := range views {
		owners[view.Owner] = true
	}
	return owners, ok
}

// owner returns the index of the host that owns a program, as one host sees
// it, or -1.
func (f *fleet) owner(programID string, seenBy int) int {
	var document config.Document
	views, ok := f.partitions(seenBy)
	if !ok || !f.get(f.hosts[seenBy].base+"/v1/config", &document) {
		return -1
	}
	wanted := partition.Of(programID, document.Partitions)
	for _, view := range views {
		if view.Partition == wanted {
			return f.index(view.Owner)
		}
	}
	return -1
}

// awaitOwner waits until a host has read who owns a program, and returns the owner's index.
func (f *fleet) awaitOwner(programID string, seenBy int) int {
	f.t.Helper()
	owner := -1
	f.until("the owner of "+programID, func() bool {
		owner = f.owner(programID, seenBy)
		return owner >= 0
	})
	return owner
}

func (f *fleet) index(id string) int {
	for i, h := range f.hosts {
		if h.id == id {
			return i
		}
	}
	return -1
}

// others returns the indexes of all hosts but one.
func others(host int) []int {
	var list []int
	for i := range hostCount {
		if i != host {
			list = append(list, i)
		}
	}
	return list
}
