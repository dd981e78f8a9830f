package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"yuccausher/internal/adapter/budgetrpc"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/gen/spending"
	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/testutil"
	"yuccausher/platform"
)

const cutConfiguration = `{"version":1,"routes":[
{"name":"turns","host":"a.example","prefix":"/turns/","kind":"stream","resumable":true,"timeout_ms":3000,"goal_ms":300,"service":"models","attempts":1},
{"name":"posting","host":"a.example","prefix":"/posting/","kind":"unsafe","timeout_ms":3000,"goal_ms":500,"service":"app","attempts":1},
{"name":"lookup","host":"a.example","prefix":"/lookup/","kind":"safe","timeout_ms":1500,"goal_ms":250,"service":"app","attempts":2}],
"services":[{"name":"models","engine":{"slots":8,"kv_tokens":100000,"event_tokens":1}},{"name":"app"}]}`

// cutFleet is a fleet with a path between each host and each target.
type cutFleet struct {
	t       *testing.T
	store   *metastore.Store
	targets map[string]*replica.Replica
	// paths holds the paths of each host, by target.
	paths map[string]map[string]*path
	// deadline is what callers say that they wait at least, though they may leave earlier.
	deadline time.Duration
}

// cutFleetTargets is how many targets the fleet has unless a test sets another number. Four of them
// serve streams.
const cutFleetTargets = 8

func newCutFleet(t *testing.T) *cutFleet {
	t.Helper()
	return newCutFleetOf(t, cutFleetTargets, func(id string) replica.Options {
		return replica.Options{ID: id, Events: 9, Work: 20 * time.Millisecond}
	})
}

// newCutFleetOf returns a fleet of so many targets with the given options.
func newCutFleetOf(t *testing.T, targets int, options func(id string) replica.Options) *cutFleet {
	t.Helper()
	c := &cutFleet{t: t, store: metastore.New(), targets: make(map[string]*replica.Replica), paths: make(map[string]map[string]*path)}
	c.store.Put("keyed.op", "config", []byte(cutConfiguration))
	for i := range targets {
		service, id := "app", "t"+strconv.Itoa(i)
		if i < 4 {
			service = "models"
		}
		r, err := replica.Listen(testutil.ReservedAddress(t), options(id))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		c.targets[id] = r
		c.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"here","version":"v1","slots":8,"state":"ready"}`, service, r.Address()))
	}
	return c
}

// start starts a host that serves callers by the time it returns.
func (c *cutFleet) start(name string, set ...func(*Options)) (*Front, Options) {
	c.t.Helper()
	paths := make(map[string]*path)
	for id, r := range c.targets {
		paths[id] = newPath(c.t, r.Address())
	}
	c.paths[name] = paths
	client := c.store.Client(name)
	f, o := startHostWith(c.t, c.store, func(o *Options) {
		o.HostName = name
		o.Platform.Log = client
		o.Platform.PutHost = client.Keyed("keyed.hosts").Put
		o.Platform.DecodeTarget = func(id string, value []byte) (fleet.Member, error) {
			m, err := platform.DecodeTarget(id, value)
			if p := paths[id]; err == nil && p != nil {
				m.Address = p.address
			}
			return m, err
		}
		for _, f := range set {
			f(o)
		}
	})
	c.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = f.Stop(ctx)
	})
	awaitStatus(c.t, "http://"+o.ReadyAddress+"/api/ready", "", http.StatusOK)
	return f, o
}

// cut cuts a host off from all targets.
func (c *cutFleet) cut(host string, how cut) {
	for _, p := range c.paths[host] {
		p.cut(how)
	}
}

func (c *cutFleet) heal(host string) {
	for _, p := range c.paths[host] {
		p.heal()
	}
}

// send sends a request that waits for an answer for up to wait.
func (c *cutFleet) send(o Options, path, id string, wait time.Duration) reply {
	c.t.Helper()
	return c.sendWith(o, path, id, wait, nil)
}

// sendWith is send with further fields in the header.
func (c *cutFleet) sendWith(o Options, path, id string, wait time.Duration, fields map[string]string) reply {
	c.t.Helper()
	return c.sendContent(o, path, id, "body of "+id, wait, fields)
}

// sendContent is sendWith for a given body.
func (c *cutFleet) sendContent(o Options, path, id, content string, wait time.Duration, fields map[string]string) reply {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.CallerAddress+path, strings.NewReader(content))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline", strconv.FormatInt(max(wait, c.deadline).Milliseconds(), 10))
	if strings.HasPrefix(path, "/turns/") {
		r.Header.Set("Accept", "text/event-stream")
	}
	for name, value := range fields {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: string(body), err: err}
}

// sendMany sends requests of all kinds at a few a time and returns how many were answered in full.
func (c *cutFleet) sendMany(o Options, prefix string, count int) (answered int) {
	c.t.Helper()
	paths := []string{"/turns/x", "/posting/x", "/lookup/x"}
	var mu sync.Mutex
	var done sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range count {
		slots <- struct{}{}
		done.Go(func() {
			defer func() { <-slots }()
			id := fmt.Sprint(prefix, i)
			a := c.send(o, paths[i%len(paths)], id, 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status == http.StatusOK && (a.body == "answer to "+id || strings.HasSuffix(a.body, "data: part 9\n\n")) {
				answered++
			}
		})
	}
	done.Wait()
	return answered
}

// runs returns how often a request ran at all targets, and how often to its end.
func (c *cutFleet) runs(id string) (began, ended int) {
	for _, r := range c.targets {
		for _, run := range r.Runs() {
			if run.RequestID == id {
				began++
				if !run.Abandoned {
					ended++
				}
			}
		}
	}
	return began, ended
}

// A host that was cut off from all targets stayed ready and dialled one target after another
// for each request until its caller had left. Other hosts reached all targets.
func TestHostWithoutTargetsServesItsCallers(t *testing.T) {
	for name, how := range map[string]cut{"silent": silent, "reset": reset, "refuse": refuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCutFleet(t)
			_, b := c.start("b")
			_, a := c.start("a")
			is.Equal(c.sendMany(a, "before-", 12), 12)
			is.Equal(c.sendMany(b, "beside-", 12), 12)
			c.cut("a", how)
			c.sendMany(a, "early-", 12)
			// The rules count from here on.
			time.Sleep(a.StableWindow - 1500*time.Millisecond)
			const count = 60
			is.Equal(c.sendMany(a, "cut-", count), count)
			for i := range count {
				began, _ := c.runs(fmt.Sprint("cut-", i))
				is.Equal(began, 1)
			}
			c.heal("a")
			time.Sleep(2 * time.Second)
			is.Equal(c.sendMany(a, "after-", 12), 12)
		})
	}
}

// both starts two hosts and cuts the first one off.
func (c *cutFleet) both() (a, b Options, fb *Front) {
	c.t.Helper()
	fb, b = c.start("b")
	_, a = c.start("a")
	c.sendMany(a, "before-", 3)
	c.cut("a", silent)
	c.sendMany(a, "early-", 12)
	return a, b, fb
}

// newSlowCutFleet returns a fleet whose targets have other options.
func newSlowCutFleet(t *testing.T, o replica.Options) *cutFleet {
	t.Helper()
	c := newCutFleet(t)
	for i, r := range c.targets {
		r.Close()
		o.ID = i
		slow, err := replica.Listen(r.Address(), o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(slow.Close)
		c.targets[i] = slow
	}
	return c
}

// Two hosts that are both cut off must not pass a request to and fro, and callers must learn at
// once that it has not run.
func TestRequestsDoNotCircleBetweenHosts(t *testing.T) {
	is := is.New(t)
	c := newCutFleet(t)
	a, b, _ := c.both()
	c.cut("b", silent)
	c.sendMany(b, "early-b-", 12)
	for i := range 12 {
		for _, o := range []Options{a, b} {
			id := fmt.Sprint("circle-", o.HostName, i)
			started := time.Now()
			answer := c.send(o, "/posting/x", id, 3*time.Second)
			is.NoErr(answer.err)
			is.Equal(answer.status, http.StatusServiceUnavailable)
			is.True(answer.retryAfter != "")
			is.True(time.Since(started) < a.StableWindow/3)
			began, _ := c.runs(id)
			is.Equal(began, 0)
		}
	}
}

// A caller leaves while another host serves its request. The target must stop working on it.
func TestHandedOverRequestEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	c := newSlowCutFleet(t, replica.Options{Events: 9, Work: 5 * time.Second})
	_, _ = c.start("b")
	_, a := c.start("a")
	c.cut("a", reset)
	c.sendMany(a, "early-", 8)
	time.Sleep(500 * time.Millisecond)
	c.deadline = 2500 * time.Millisecond
	for _, path := range []string{"/lookup/x", "/turns/x"} {
		id := "left-" + path
		answer := c.send(a, path, id, 300*time.Millisecond)
		is.True(answer.err != nil || answer.status != http.StatusOK)
		isAbandoned := func() bool {
			began, ended := c.runs(id)
			return began == 1 && ended == 0
		}
		for range 50 {
			if isAbandoned() {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !isAbandoned() {
			began, ended := c.runs(id)
			t.Fatalf("%s: %d runs, %d of them to their ends", id, began, ended)
		}
	}
}

// The host that serves a posting falls. It may have run, so that it must not run again, and the
// caller must not be told that it has not.
func TestHandedOverPostingIsNotRepeated(t *testing.T) {
	is := is.New(t)
	c := newSlowCutFleet(t, replica.Options{Events: 9, Work: 400 * time.Millisecond})
	fb, _ := c.start("b")
	_, a := c.start("a")
	c.cut("a", reset)
	c.sendMany(a, "early-", 8)
	time.Sleep(500 * time.Millisecond)
	answers := make(chan reply, 1)
	go func() { answers <- c.send(a, "/posting/x", "lost", 3*time.Second) }()
	for range 100 {
		if began, _ := c.runs("lost"); began > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = c.start("c")
	_ = fb.servers.close(context.Background())
	answer := <-answers
	is.NoErr(answer.err)
	is.Equal(answer.status, http.StatusBadGateway)
	began, _ := c.runs("lost")
	is.Equal(began, 1)
}

// A stream is under way when its host is cut off. It goes on through another host, in the same
// answer.
func TestStreamGoesOnThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	c := newSlowCutFleet(t, replica.Options{Events: 9, Work: 20 * time.Millisecond, Pause: 100 * time.Millisecond})
	c.start("b")
	_, a := c.start("a")
	answers := make(chan reply, 1)
	go func() { answers <- c.send(a, "/turns/x", "stream", 4*time.Second) }()
	time.Sleep(350 * time.Millisecond)
	c.cut("a", silent)
	c.sendMany(a, "beside-", 8)
	answer := <-answers
	is.NoErr(answer.err)
	is.Equal(answer.status, http.StatusOK)
	var want strings.Builder
	for i := 1; i <= 9; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: part %d\n\n", i, i)
	}
	is.Equal(answer.body, want.String())
	began, _ := c.runs("stream")
	is.Equal(began, 2)
}

// A target gets no more time than the caller has left, whatever hosts a request has passed.
func TestHandedOverRequestKeepsItsDeadline(t *testing.T) {
	is := is.New(t)
	c := newCutFleet(t)
	a, _, _ := c.both()
	is.Equal(c.send(a, "/lookup/x", "deadline", 900*time.Millisecond).status, http.StatusOK)
	for _, r := range c.targets {
		for _, run := range r.Runs() {
			if run.RequestID == "deadline" {
				left, err := strconv.Atoi(run.Header.Get("Deadline"))
				is.NoErr(err)
				is.True(left <= 900)
			}
		}
	}
}

// Hosts of an older release do not take requests. Others are asked in their place.
func TestHostsThatTakeNoRequestsArePassedOver(t *testing.T) {
	is := is.New(t)
	c := newCutFleet(t)
	for i := range 5 {
		server, err := budgetrpc.NewServer(nil, func(drpc.Mux) error { return nil }, logr.Discard())
		is.NoErr(err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = server.Serve(ctx, l) }()
		value, err := proto.Marshal(&spending.Host{Address: l.Addr().String(), DataCentre: "here"})
		is.NoErr(err)
		c.store.Put("keyed.hosts", fmt.Sprint("old-", i), value)
	}
	a, _, _ := c.both()
	is.Equal(c.sendMany(a, "old-", 30), 30)
}

// A host that is cut off can't tell whether a target has crashed. It told the others that all targets
// had crashed under its requests, so that sound content came close to quarantine.
func TestHostWithoutTargetsReportsNoCrashes(t *testing.T) {
	for name, how := range map[string]cut{"silent": silent, "reset": reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newSlowCutFleet(t, replica.Options{Events: 9, Work: 300 * time.Millisecond})
			c.start("b")
			_, a := c.start("a")
			done := make(chan int)
			go func() { done <- c.sendMany(a, "running-", 24) }()
			time.Sleep(150 * time.Millisecond)
			c.cut("a", how)
			<-done
			time.Sleep(3 * time.Second) // longer than a probe may take
			records, _, err := c.store.Client("reader").Keyed("keyed.crashes").Newest(t.Context())
			is.NoErr(err)
			is.Equal(len(records), 0)
		})
	}
}

// mixVersions gives half of the targets for streams another software version.
func (c *cutFleet) mixVersions() {
	for _, id := range []string{"t2", "t3"} {
		c.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"models","addr":%q,"zone":"here","version":"v2","slots":8,"state":"ready"}`, c.targets[id].Address()))
	}
}

// versionOf returns the software version of the target that ran a stream; empty if none has.
func (c *cutFleet) versionOf(id string) string {
	for target, r := range c.targets {
		for _, run := range r.Runs() {
			if run.RequestID == id && (target == "t2" || target == "t3") {
				return "v2"
			}
			if run.RequestID == id {
				return "v1"
			}
		}
	}
	return ""
}

// A host that had chosen a target for a stream found out that it reached none, and passed the stream on.
// Later it took its own choice for the version that had begun the stream.
func TestStreamThatWasHandedOverIsNotTakenUpAtTheFirstChoice(t *testing.T) {
	is := is.New(t)
	c := newCutFleet(t)
	c.mixVersions()
	c.start("b")
	_, a := c.start("a")
	c.sendMany(a, "before-", 12)
	c.cut("a", reset)
	const streams = 24
	var begun sync.WaitGroup
	for i := range streams {
		begun.Go(func() { c.send(a, "/turns/x", fmt.Sprint("first-", i), 3*time.Second) })
	}
	begun.Wait()
	c.heal("a")
	time.Sleep(time.Second) // until the host has found out
	asked, went, joined := 0, 0, 0
	for i := range streams {
		first, second := fmt.Sprint("first-", i), fmt.Sprint("second-", i)
		if c.versionOf(first) == "" {
			continue
		}
		asked++
		c.sendWith(a, "/turns/x", second, 3*time.Second, map[string]string{"Resumes": first, "Last-Event-Id": "5"})
		switch c.versionOf(second) {
		case "":
		case c.versionOf(first):
			went++
		default:
			went++
			joined++
		}
	}
	t.Logf("%d streams, %d went on, %d of them joined", asked, went, joined)
	is.True(asked > streams/2)
	is.Equal(joined, 0)
	is.True(went > asked/2)
}
