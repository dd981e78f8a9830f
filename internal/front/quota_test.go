package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	corequota "yuccausher/internal/core/quota"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/testutil"
)

// Three hosts together must keep an organisation to one limit, over their own connections, and use it
// though all requests come to one of them in turn.
func TestHostsTogetherKeepTheLimitOfAnOrganisation(t *testing.T) {
	is := is.New(t)
	tolerance := corequota.Tolerance{Window: 2 * time.Second, Over: 0.1, Slack: 4}
	limit := corequota.Limit{PerSecond: 10, Burst: 5}
	store := metastore.New()
	store.Put("keyed.op", "config", []byte(strings.TrimSuffix(configuration, "}")+`,"tenants":[{"name":"o","keys":["k"],"rate_per_s":10,"burst":5}]}`))
	target, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "t"})
	is.NoErr(err)
	defer target.Close()
	store.Put("keyed.servers", "t", fmt.Appendf(nil, `{"service":"app","addr":%q,"zone":"here","slots":64,"state":"ready"}`, target.Address()))
	var urls []string
	for n := range 3 {
		name := fmt.Sprint("host", n)
		client := store.Client(name)
		f, o := startHostWith(t, store, func(o *Options) {
			o.HostName, o.QuotaTolerance = name, tolerance
			o.Platform.PutHost = func(ctx context.Context, key string, value []byte) error {
				return client.Keyed("keyed.hosts").PutAll(ctx, []port.KeyedRecord{{Key: key, Value: value}})
			}
		})
		defer func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			is.NoErr(f.Stop(ctx))
		}()
		urls = append(urls, "http://"+o.CallerAddress)
	}
	time.Sleep(5 * time.Second) // until the hosts know each other
	statuses := make(map[int]int)
	for n := range 160 {
		r, err := http.NewRequest(http.MethodGet, urls[n/20%3]+"/lookup/x", nil)
		is.NoErr(err)
		r.Host = "a.example"
		r.Header.Set("Request-Id", fmt.Sprint(n))
		r.Header.Set("Authorization", "Bearer k")
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		statuses[response.StatusCode]++
		if response.StatusCode == http.StatusTooManyRequests {
			is.True(response.Header.Get("Retry-After") != "")
		}
		is.NoErr(response.Body.Close())
		time.Sleep(25 * time.Millisecond)
	}
	most := testutil.MostWithin(target.Arrivals(), tolerance.Window)
	t.Logf("%v, at most %d requests in a window", statuses, most)
	is.Equal(statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], 160)
	is.True(float64(most) <= tolerance.Most(limit))
	is.True(statuses[http.StatusOK] >= 30) // 10 a second for 4 s, less what a busy machine delays
}
