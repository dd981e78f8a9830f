package front

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/testutil"
)

// Guards against a path that crashes three targets at each host, because its requests differ and
// hosts share evidence on equal ones alone.
func TestPathThatCrashesTargetsIsRefusedAtAllHosts(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	store.Put("keyed.op", "config", []byte(configuration))
	f, o := startHost(t, store)
	f2, o2 := startHost(t, store)
	const requests = 6
	ran, address := 0, testutil.ReservedAddress(t)
	for n := range requests {
		id := fmt.Sprint("t", n)
		r, err := replica.Listen(address, replica.Options{ID: id})
		is.NoErr(err)
		r.FailAlways(replica.Crashing)
		store.Put("keyed.servers", fmt.Sprint("t", n-1), nil)
		store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"app","addr":%q,"zone":"here","slots":8,"state":"ready","born":%d}`, address, n+1))
		time.Sleep(o.DrainTime / 2) // until the hosts have read the record
		host := []string{o.CallerAddress, o2.CallerAddress}[n%2]
		requestStatus(t, http.DefaultClient, fmt.Sprint("http://", host, "/posting/x?turn=", n), "a.example")
		ran += len(r.Runs())
		r.Close()
	}
	is.Equal(ran, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(f.Stop(ctx))
	is.NoErr(f2.Stop(ctx))
}
