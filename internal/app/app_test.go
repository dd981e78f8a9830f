package app_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"yuccausher/internal/app"
	"yuccausher/internal/fault"
	"yuccausher/internal/gate"
	"yuccausher/internal/port"
	"yuccausher/internal/settings"
	"yuccausher/internal/standin"
)

// maxWait bounds each wait of these tests.
const maxWait = 30 * time.Second

// partitions is the number of partitions in the stand-ins' first configuration.
const partitions = 64

// fleet is three hosts in one process, connected to stand-ins of the platform.
type fleet struct {
	*is.I
	t        testing.TB
	platform standin.Platform
	hosts    []*app.App
	gates    []*gate.Gate
	// seed distinguishes the requests of one fleet from those of another.
	seed int64
	// down marks hosts that callers have stopped using.
	down [3]atomic.Bool
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{I: is.New(t), t: t, platform: standin.NewPlatform(nil), seed: time.Now().UnixNano()}
	listening, err := standin.Listen(t.Context(), f.platform, "127.0.0.1:0", logr.Discard())
	f.NoErr(err)
	t.Cleanup(listening.Close)
	var listed []port.ListedHost
	for _, centre := range []string{"concord", "salem", "hartford"} {
		listed = append(listed, f.add(listening.Base, centre))
	}
	f.platform.Fleet.SetHosts(listed, 0)
	for _, a := range f.hosts {
		f.NoErr(a.Start(t.Context()))
	}
	f.eventually("all partitions are owned", f.allOwned)
	return f
}

func (f *fleet) add(base, centre string) port.ListedHost {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	set := settings.NewServe(flags)
	f.NoErr(flags.Parse([]string{
		"-listen", "127.0.0.1:0", "-peer-listen", "127.0.0.1:0", "-data-centre", centre,
		"-platform-url", base, "-drain-notice", "200ms",
	}))
	f.NoErr(set.Resolve(nil))
	g := gate.New()
	a, err := app.New(app.Options{Settings: set, Logger: logr.Discard(), Gate: g})
	f.NoErr(err)
	f.t.Cleanup(a.Kill)
	f.hosts = append(f.hosts, a)
	f.gates = append(f.gates, g)
	return port.ListedHost{ID: a.Self().ID, DataCentre: centre}
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(maxWait); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("timed out: " + what)
		}
	}
}

// allOwned reports whether the hosts that callers use own all partitions and each of
// them owns at least one.
func (f *fleet) allOwned() bool {
	total := 0
	for i := range f.hosts {
		if f.down[i].Load() {
			continue
		}
		mine := f.ownedBy(i)
		if mine == 0 {
			return false
		}
		total += mine
	}
	return total == partitions
}

func (f *fleet) ownedBy(host int) int {
	var reply struct{ Partitions []port.PartitionView }
	_, data := f.send(host, "GET", "/v1/partitions", nil)
	if json.Unmarshal(data, &reply) != nil {
		return 0
	}
	n := 0
	for _, p := range reply.Partitions {
		if p.State == "owned" {
			n++
		}
	}
	return n
}

// send makes one request. It returns a status of zero if the answer is not complete.
func (f *fleet) send(host int, method, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	f.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	url := "http://" + f.hosts[host].Self().ClientAddress + path
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	f.NoErr(err)
	reply, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = reply.Body.Close() }()
	data, err = io.ReadAll(reply.Body)
	if err != nil {
		return 0, nil
	}
	return reply.StatusCode, data
}

type object map[string]any

// outcomes counts the requests of callers by their results.
type outcomes struct {
	programs, refused, interrupted atomic.Int64

	mu       sync.Mutex
	postings map[string]posting
}

// posting is what a caller knows about a posting at the end.
type posting struct {
	// path is the path of its outcome.
	path      string
	startedAt time.Time
	answered  bool
}

func (c *outcomes) posted(requestID string, p posting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.postings == nil {
		c.postings = make(map[string]posting)
	}
	c.postings[requestID] = p
}

// caller sends the same request again through the next host when it gets no complete
// answer.
func (f *fleet) caller(n int, c *outcomes, path string, body object) []byte {
	for try := range 20 {
		host := (n + try) % len(f.hosts)
		if f.down[host].Load() {
			continue
		}
		status, data := f.send(host, "POST", path, body)
		switch {
		case status == 0:
			c.interrupted.Add(1)
		case status >= 300 || bytes.Contains(data, []byte("event: error")):
			c.refused.Add(1)
			f.t.Logf("refused: %s", data)
		default:
			return data
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// program runs a program that consists of a streamed model call and a posting.
func (f *fleet) program(n int, c *outcomes) {
	name := fmt.Sprint("n", n)
	data := f.caller(n, c, "/v1/programs", object{
		"firm": standin.OrganisationAnnuities, "agent": standin.AgentInquiry,
		"budget": object{"tokens": 10_000}, "request_id": name,
	})
	var opened struct {
		ID string `json:"program_id"`
	}
	if json.Unmarshal(data, &opened) != nil {
		return
	}
	path := "/v1/programs/" + opened.ID + "/calls"
	data = f.caller(n+1, c, path, object{
		"seq": 1, "request_id": name + "-1", "kind": "model", "model": standin.ModelSmall,
		"input": "who holds share 7?", "max_tokens": 20, "stream": true,
	})
	if !strings.Contains(string(data), "event: done") {
		return
	}
	requestID, startedAt := name+"-2", time.Now()
	data = f.caller(n+2, c, path, object{
		"seq": 2, "request_id": requestID, "kind": "service", "service": standin.ServiceLedger,
		"operation": standin.OperationPayout, "input": object{"n": n},
	})
	c.posted(requestID, posting{path: path + "/2", startedAt: startedAt, answered: data != nil})
	if data != nil {
		c.programs.Add(1)
	}
}

// load runs programs from several callers and calls event after a third of them.
func (f *fleet) load(programs int, event func()) *outcomes {
	var c outcomes
	var next atomic.Int64
	var once sync.Once
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() {
			for n := next.Add(1); n <= int64(programs); n = next.Add(1) {
				if n == int64(programs)/3 {
					once.Do(event)
				}
				f.program(int(n), &c)
			}
		})
	}
	callers.Wait()
	return &c
}

func (f *fleet) postedOnce(programs int) {
	f.t.Helper()
	runs := f.platform.Runs.Of(standin.ServiceLedger)
	f.Equal(len(runs), programs)
	for id, n := range runs {
		if n != 1 {
			f.t.Errorf("posting %s ran %d times", id, n)
		}
	}
}

// reportsMetrics checks that counters are exported before their first event.
func (f *fleet) reportsMetrics() {
	f.eventually("metrics are reported", func() bool {
		_, data := f.send(0, "GET", "/metrics", nil)
		for _, want := range []string{
			`yuccausher_http_refusals{type="overloaded"} 0`,
			`yuccausher_entry_retries{reason="broken"} 0`,
			`yuccausher_sched_refusals{type="poisoned"} 0`,
			`yuccausher_peer_client_garbage 0`,
			`yuccausher_log_lag{stream="state-0"} 0`,
			`yuccausher_host_hosts_alive 3`,
			`yuccausher_host_queue 0`,
			`yuccausher_log_append_bucket`,
		} {
			if !bytes.Contains(data, []byte(want)) {
				f.t.Log("metric missing:", want)
				return false
			}
		}
		return true
	})
}

// TestPlannedStopInterruptsNothing drains a host under load. No request may be
// interrupted or refused, and the other hosts must take over its partitions.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	f := newFleet(t)
	const programs = 90
	c := f.load(programs, func() {
		status, _ := f.send(1, "POST", "/v1/drain", nil)
		f.Equal(status, http.StatusAccepted)
		status, _ = f.send(1, "GET", "/readyz", nil)
		f.Equal(status, http.StatusServiceUnavailable)
		f.down[1].Store(true)
	})
	f.Equal(c.programs.Load(), int64(programs))
	f.Equal(c.interrupted.Load(), int64(0))
	f.Equal(c.refused.Load(), int64(0))
	f.postedOnce(programs)
	<-f.hosts[1].Done()
	f.eventually("the other hosts own all partitions", f.allOwned)
}

// TestKilledHost kills a host under load. Callers that send the same requests again
// must get all their answers, and no posting may run twice. Only a posting that was in
// flight at the killed host may end without an answer: its outcome is unknown, and it
// must not have run.
func TestKilledHost(t *testing.T) {
	f := newFleet(t)
	const programs = 90
	f.reportsMetrics()
	var killed time.Time
	c := f.load(programs, func() {
		f.gates[1].Close()
		f.hosts[1].Kill()
		f.down[1].Store(true)
		killed = time.Now()
	})
	f.Equal(len(c.postings), programs)
	runs := f.platform.Runs.Of(standin.ServiceLedger)
	for id, p := range c.postings {
		switch {
		case p.answered && runs[id] != 1:
			t.Errorf("posting %s was answered and ran %d times", id, runs[id])
		case !p.answered && runs[id] != 0:
			t.Errorf("posting %s ran %d times and was not answered", id, runs[id])
		case !p.answered && p.startedAt.After(killed):
			t.Errorf("posting %s started after the host was killed and was not answered", id)
		}
	}
	f.Equal(f.unknownOutcomes(c), programs-int(c.programs.Load()))
}

// unknownOutcomes counts the postings whose recorded outcome is unknown.
func (f *fleet) unknownOutcomes(c *outcomes) int {
	n := 0
	for id, p := range c.postings {
		if p.answered {
			continue
		}
		status, data := f.send(0, "GET", p.path, nil)
		if status == http.StatusGatewayTimeout && bytes.Contains(data, []byte(fault.OutcomeUnknown)) {
			n++
		} else {
			f.t.Logf("outcome of %s: %d %s", id, status, data)
		}
	}
	return n
}

func TestListenErrorIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	set := settings.NewServe(flags)
	is.NoErr(flags.Parse([]string{"-listen", "127.0.0.1:0", "-peer-listen", "192.0.2.1:1"}))
	_ = set.Resolve(nil)
	_, err := app.New(app.Options{Settings: set, Logger: logr.Discard()})
	_, ok := err.(*app.ListenError)
	is.True(ok)
}
