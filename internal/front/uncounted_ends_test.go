package front

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
	"yuccausher/internal/testutil"
)

// deadly is content that ends each target that runs it.
const deadly = "deadly"

// deadlyFleet is a fleet whose targets of the plain service end when they run the deadly content.
type deadlyFleet struct {
	*cutFleet
	mu   sync.Mutex
	ends []testutil.TargetEnd
}

func newDeadlyFleet(t *testing.T, targets int, death replica.Fault) *deadlyFleet {
	t.Helper()
	d := &deadlyFleet{}
	d.cutFleet = newCutFleetOf(t, targets, func(id string) replica.Options {
		return replica.Options{ID: id, Events: 9, Work: 20 * time.Millisecond, Deadly: deadly, Death: death, Ended: func(string) { d.ended(id) }}
	})
	return d
}

// ended refuses connections on all paths to a target that has ended.
func (d *deadlyFleet) ended(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, testutil.TargetEnd{At: time.Now()})
	for _, paths := range d.paths {
		paths[id].cut(refuse)
	}
}

// check checks the limit on repeats of the deadly content.
func (d *deadlyFleet) check(window time.Duration) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.t.Logf("%d targets ended", len(d.ends))
	if err := testutil.CheckRepeats(d.ends, window); err != nil {
		d.t.Error(err)
	}
}

// openConnections makes a host open connections to all targets of the plain service.
func (d *deadlyFleet) openConnections(o Options) {
	d.t.Helper()
	var sent sync.WaitGroup
	for i := range 3 * len(d.targets) {
		sent.Go(func() { d.send(o, "/lookup/x", fmt.Sprint(o.HostName, "-open-", i), 1500*time.Millisecond) })
	}
	sent.Wait()
}

// Hosts that open no new connections did not count the targets that ended as they ran content on
// open ones, and no other host could. The content came again and ended further ones.
func TestContentIsNotRepeatedByHostsThatOpenNoConnections(t *testing.T) {
	const repeats = 12
	for _, path := range []string{"/posting/x", "/lookup/x"} {
		for name, refused := range map[string][]string{"some hosts": {"a1", "a2"}, "all hosts": {"a1", "a2", "b"}} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := newDeadlyFleet(t, 24, replica.Crashing)
				hosts := make(map[string]Options)
				for _, host := range []string{"b", "a1", "a2"} { // hosts learn of those that have started before
					_, hosts[host] = d.start(host)
				}
				for _, host := range refused {
					d.openConnections(hosts[host])
					d.cut(host, refuse)
				}
				for i := range repeats {
					o := hosts[refused[i%len(refused)]]
					d.sendMany(o, fmt.Sprint("beside-", i, "-"), 3)
					d.sendContent(o, path, fmt.Sprint("deadly-", i), deadly, 1500*time.Millisecond, nil)
					time.Sleep(100 * time.Millisecond) // longer than until a probe
				}
				if len(refused) < len(hosts) {
					is.Equal(d.send(hosts["a1"], path, "innocent", 1500*time.Millisecond).status, http.StatusOK)
				}
				d.check(0)
			})
		}
	}
}
