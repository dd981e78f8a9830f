package front

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/testutil"
)

const (
	// limitWindow is the time over which the users count requests, limitFactor how many
	// times the limit they allow in it, and limitSlack how many requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// Three hosts together send a target no more than one and a half times the rate limit that
// it names. They sent it their share of the load, whatever the limit.
func TestTargetGetsNoMoreThanItsLimitFromAllHosts(t *testing.T) {
	is := is.New(t)
	const limit, hostCount = 2, 3
	store := metastore.New()
	store.Put("keyed.op", "config", []byte(configuration))
	var targets []*replica.Replica
	for n, named := range []string{strconv.Itoa(limit), ""} {
		id := fmt.Sprint("t", n)
		r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: id, Work: 100 * time.Millisecond})
		is.NoErr(err)
		defer r.Close()
		r.NameLimit(named)
		store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"app","addr":%q,"zone":"here","slots":8,"state":"ready"}`, r.Address()))
		targets = append(targets, r)
	}
	var hosts []*Front
	var urls []string
	for n := range hostCount {
		f, o := startPeer(t, store, fmt.Sprint("host", n))
		hosts = append(hosts, f)
		urls = append(urls, "http://"+o.CallerAddress)
	}
	for _, url := range urls {
		awaitStatus(t, url+"/posting/x", "a.example", http.StatusOK)
	}
	time.Sleep(5 * time.Second) // until the hosts know each other
	begun := time.Now()
	failed := sendSteadily(urls, 40*time.Millisecond, 3*time.Second+limitWindow+time.Second)
	is.Equal(failed, 0) // the other target has room
	most := testutil.MostWithin(after(targets[0].Arrivals(), begun.Add(3*time.Second)), limitWindow)
	t.Logf("%d requests at the limited target, %d at the other, at most %d in a window", len(targets[0].Arrivals()), len(targets[1].Arrivals()), most)
	is.True(float64(most) <= limitFactor*limitWindow.Seconds()*limit+limitSlack)
	is.True(most >= int(limitWindow.Seconds())*limit/2) // it is used

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, f := range hosts {
		is.NoErr(f.Stop(ctx))
	}
}

// after returns the times from a moment on.
func after(times []time.Time, from time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return t.Before(from) })
}

// startPeer starts a host that other hosts on the store know.
func startPeer(t *testing.T, store *metastore.Store, name string) (*Front, Options) {
	t.Helper()
	client := store.Client(name)
	return startHostWith(t, store, func(o *Options) {
		o.HostName = name
		o.Platform.PutHost = func(ctx context.Context, key string, value []byte) error {
			return client.Keyed("keyed.hosts").PutAll(ctx, []port.KeyedRecord{{Key: key, Value: value}})
		}
	})
}

// sendSteadily sends a request to each host at an interval for a while, and returns how
// many were not answered with success.
func sendSteadily(urls []string, every, length time.Duration) int {
	var mu sync.Mutex
	failed := 0
	var sending sync.WaitGroup
	for n := range int(length / every) {
		for k, url := range urls {
			sending.Go(func() {
				path := []string{"/posting/", "/lookup/"}[(n+k)%2]
				r, err := http.NewRequest(http.MethodPost, url+path+"x", strings.NewReader(fmt.Sprint(n)))
				if err == nil {
					r.Host = "a.example"
					r.Header.Set("Request-Id", fmt.Sprint(n, "-", k))
				}
				var response *http.Response
				if err == nil {
					response, err = http.DefaultClient.Do(r)
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil || response.StatusCode != http.StatusOK {
					failed++
				}
				if err == nil {
					_ = response.Body.Close()
				}
			})
		}
		time.Sleep(every)
	}
	sending.Wait()
	return failed
}
