package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/standin/metastore"
)

// All targets of a release leave as those of the next one join. A host began streams at the next one
// before the others could know of it, and one whose view of the targets was old took them up at the
// first.
func TestStreamOfAReleaseThatIsNotAnnouncedIsNotJoined(t *testing.T) {
	for name, f := range map[string]metastore.Faults{
		"store is slow":   {Delay: 300 * time.Millisecond},
		"store refuses":   {Refuse: true},
		"store is silent": {Silent: true},
		"store is well":   {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				a, b := startHost(t, store, "a", "v1"), startHost(t, store, "b", "v1")
				time.Sleep(time.Minute)
				store.SetFaults("a", f)
				a.remove("v1")
				a.add("v2")
				begun, joined := 0, 0
				for i := range 8 {
					id := fmt.Sprint("stream ", i)
					if a.Record(t.Context(), id, fleet.Release{Service: service, Version: "v2"}, false) != nil {
						continue // it must not run there
					}
					begun++
					if b.origin(t, id) == "v1" {
						joined++
					}
					time.Sleep(20 * time.Millisecond)
				}
				a.kill()
				b.kill()
				time.Sleep(3 * readTimeout) // a read that lookups share outlasts them
				is.Equal(joined, 0)
				if name == "store is well" {
					is.Equal(begun, 8)
				}
			})
		})
	}
}
