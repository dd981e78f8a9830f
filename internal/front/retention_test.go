package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/route"
)

// Turns that were promised longer are kept when a later configuration says less, or
// has no such route for a while.
func TestTurnsAreKeptForAsLongAsWasEverPromised(t *testing.T) {
	is := is.New(t)
	tables := &route.Holder{}
	retention := turnRetention(tables)
	is.Equal(retention(), time.Duration(0))
	offer := func(version int64, routes ...route.Route) {
		tables.StoreIfNewer(route.NewTable(route.Document{Version: version, Routes: routes}))
	}
	offer(1, route.Route{Host: "a", Prefix: "/t/", Kind: route.Stream, KeepsConversations: true, Retention: 5 * time.Minute})
	is.Equal(retention(), 5*time.Minute)
	offer(2, route.Route{Host: "a", Prefix: "/t/", Kind: route.Stream, KeepsConversations: true, Retention: 2 * time.Minute})
	is.Equal(retention(), 5*time.Minute)
	offer(3, route.Route{Host: "a", Prefix: "/t/", Kind: route.Stream, KeepsConversations: true, Retention: time.Second})
	is.Equal(retention(), 5*time.Minute)
	offer(4)
	is.Equal(retention(), 5*time.Minute)
}
