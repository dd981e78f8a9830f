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

// After a crash another target may listen at the same address before the host probes it,
// so that the probe succeeds. The record of the new target shows that the old one has
// ended. Without it the crashes would never count against the content.
func TestRestartedTargetCountsAsCrashed(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	store.Put("keyed.op", "config", []byte(configuration))
	f, o := startHost(t, store)
	const requests = 6
	ran, address := 0, testutil.ReservedAddress(t)
	for n := range requests {
		id := fmt.Sprint("t", n)
		r, err := replica.Listen(address, replica.Options{ID: id})
		is.NoErr(err)
		r.FailAlways(replica.Crashing)
		store.Put("keyed.servers", fmt.Sprint("t", n-1), nil)
		store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"app","addr":%q,"zone":"here","slots":8,"state":"ready","born":%d}`, address, n+1))
		time.Sleep(o.DrainTime / 2) // until the host has read the record
		requestStatus(t, http.DefaultClient, "http://"+o.CallerAddress+"/posting/x", "a.example")
		ran += len(r.Runs())
		r.Close()
	}
	is.Equal(ran, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(f.Stop(ctx))
}
