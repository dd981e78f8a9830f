package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
	"yuccausher/platform"
)

// organisationsConfiguration returns a configuration with two organisations, the first with a key.
func organisationsConfiguration(version int, key string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"talk","host":"a.example","prefix":"/talk/","kind":"stream","timeout_ms":3000,"goal_ms":1000,"service":"m","attempts":1,"keep_context":true,"retention_s":60}],
		"services":[{"name":"m","engine":{"slots":8,"event_tokens":1}}],"tenants":[{"name":"one","keys":[%q],"prio":1,"rate_per_s":646,"burst":646},{"name":"two","keys":["key-two"]}]}`, version, key)
}

// A turn that one host has kept must be open to its organisation at every host and to no other, and a
// key must cease to count at hosts that are already connected.
func TestOrganisationsOverHosts(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	engine, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "t1", Events: 1})
	is.NoErr(err)
	defer engine.Close()
	store.Put("keyed.servers", "t1", fmt.Appendf(nil, `{"service":"m","addr":%q,"zone":"here","slots":8,"state":"ready"}`, engine.Address()))
	store.Put("keyed.op", platform.ConfigurationKey, organisationsConfiguration(1, "key-one"))
	var addresses []string
	for _, name := range []string{"a", "b"} {
		f, o := startPeer(t, store, name)
		defer func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			is.NoErr(f.Stop(ctx))
		}()
		addresses = append(addresses, o.CallerAddress)
	}
	ask := func(host int, id, previous, key string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+addresses[host]+"/talk/x", strings.NewReader(id+";"))
		is.NoErr(err)
		r.Host = "a.example"
		r.Header = http.Header{"Request-Id": {id}, "Accept": {"text/event-stream"}, "Program": {"p"}, "Authorization": {"Bearer " + key}}
		if previous != "" {
			r.Header.Set("Previous-Turn", previous)
		}
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.StatusCode
	}
	await := func(host int, id, previous, key string, want int) {
		t.Helper()
		status := 0
		for range 300 {
			if status = ask(host, id, previous, key); status == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("request %s was answered with %d, want %d", id, status, want)
	}
	await(0, "t1", "", "key-one", http.StatusOK)
	await(1, "t2", "t1", "key-one", http.StatusOK)
	await(1, "t3", "t1", "key-two", http.StatusNotFound)
	await(0, "t4", "t2", "key-two", http.StatusNotFound)
	for _, run := range engine.Runs() {
		is.Equal(run.Header.Get("Tenant"), "one")
		is.Equal(run.Header.Get("Authorization"), "")
	}
	store.Put("keyed.op", platform.ConfigurationKey, organisationsConfiguration(2, "new-key"))
	for host := range addresses {
		await(host, fmt.Sprint("new", host), "t2", "new-key", http.StatusOK)
		is.Equal(ask(host, "old", "", "key-one"), http.StatusUnauthorized)
	}
}
