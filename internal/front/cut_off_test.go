package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
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
}

func newCutFleet(t *testing.T) *cutFleet {
	t.Helper()
	c := &cutFleet{t: t, store: metastore.New(), targets: make(map[string]*replica.Replica), paths: make(map[string]map[string]*path)}
	c.store.Put("keyed.op", "config", []byte(cutConfiguration))
	for i := range 8 {
		service, id := "app", "t"+strconv.Itoa(i)
		if i < 4 {
			service = "models"
		}
		r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: id, Events: 9, Work: 20 * time.Millisecond})
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
	ctx, cancel := context.WithTimeout(c.t.Context(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.CallerAddress+path, strings.NewReader("body of "+id))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline", strconv.FormatInt(wait.Milliseconds(), 10))
	if strings.HasPrefix(path, "/turns/") {
		r.Header.Set("Accept", "text/event-stream")
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
