package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// Many requests wait while all targets are full. Each of them asked every target every 25
// ms: on a day on which most targets limited their rate, the others were sent 287,496
// requests in 22 s, of which they refused 278,186.
func TestRequestsThatWaitAskFullTargetsNowAndThen(t *testing.T) {
	is := is.New(t)
	const waiting = 40
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	r.FailAlways(replica.Full)
	var sending sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for n := range waiting {
		sending.Go(func() {
			a, err := s.send(t.Context(), request{path: lookup, id: strconv.Itoa(n)})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && a.status == http.StatusServiceUnavailable {
				refused++
			}
		})
	}
	sending.Wait()
	t.Logf("%d arrivals", len(r.Arrivals()))
	is.Equal(refused, waiting)
	// The objective of a second has room for six pauses, after each of which some requests
	// may ask before the first of them is refused.
	is.True(len(r.Arrivals()) <= 7*waiting)
}

// A request that waits is sent once a target has room.
func TestWaitingRequestIsSentOnceATargetHasRoom(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	r.Fail(replica.Full, replica.Full, replica.Full)
	is.Equal(s.mustSend(request{path: lookup, id: "a"}).status, http.StatusOK)
	is.Equal(len(r.Arrivals()), 4)
}
