package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/reach"
	"yuccausher/internal/standin/replica"
)

// flood sends requests of an organisation at once and returns how they were answered after all have
// ended.
func (s *fixture) flood(name, key string, n int) func() (statuses map[int]int, advised []time.Duration) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	var advised []time.Duration
	for i := range n {
		sending.Go(func() {
			a, err := s.send(context.Background(), request{path: lookup, id: name + strconv.Itoa(i), header: bearer(key)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.t.Error(err)
			}
			statuses[a.status]++
			if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
				advised = append(advised, time.Duration(seconds*float64(time.Second)))
			}
		})
	}
	return func() (map[int]int, []time.Duration) {
		sending.Wait()
		return statuses, advised
	}
}

// An organisation at many times its usual load must bear the cost itself: requests of another one, and
// those of a more urgent one, that come later are not behind all of its own.
func TestFloodOfAnOrganisationDoesNotKeepOthersOut(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	urgent := member("urgent", "u")
	urgent.Priority, urgent.HasPriority = 0, true
	flooding, usual := member("flooding", keyA), member("usual", keyB)
	flooding.Priority, flooding.HasPriority, usual.Priority, usual.HasPriority = 2, true, 2, true
	s.withOrganisations(flooding, usual, urgent)
	for i := range 2 {
		s.add(app, replica.Options{ID: fmt.Sprint("r", i), Slots: 1, Work: 50 * time.Millisecond})
	}
	flood := s.flood("flood", keyA, 100)
	time.Sleep(200 * time.Millisecond)
	others := s.flood("usual", keyB, 3)
	most := s.flood("urgent", "u", 2)
	for _, wait := range []func() (map[int]int, []time.Duration){others, most} {
		statuses, _ := wait()
		is.Equal(len(statuses), 1)
		is.True(statuses[http.StatusOK] > 0)
	}
	statuses, advised := flood()
	is.True(statuses[http.StatusOK] > 0)
	is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], 100)
	is.Equal(len(advised), statuses[http.StatusServiceUnavailable])
	t.Logf("%v", statuses)
	for i := range 100 {
		is.True(s.runsOf("flood"+strconv.Itoa(i)) <= 1)
	}
}

// A request whose caller has gone must not take room from others.
func TestRequestLeavesTheQueueWithItsCaller(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA))
	r := s.add(app, replica.Options{ID: "r"})
	r.FailAlways(replica.Full)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := s.send(ctx, request{path: lookup, id: "gone", header: bearer(keyA)})
	is.True(err != nil)
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.gateway.InFlight(), 0)
	arrivals := len(r.Arrivals())
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(r.Arrivals()), arrivals)
	r.FailAlways(replica.None)
	is.Equal(s.mustSend(request{path: lookup, id: "next", header: bearer(keyA)}).status, http.StatusOK)
}

// A request that waits while its host is cut off has to be passed on, not to wait until it is refused.
func TestWaitingRequestIsPassedOn(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA))
	s.add(app, replica.Options{ID: "r"}).FailAlways(replica.Full)
	waiting := s.flood("x", keyA, 3)
	time.Sleep(150 * time.Millisecond)
	started := time.Now()
	s.path.set(reach.CutOff)
	waiting()
	is.True(time.Since(started) < 700*time.Millisecond) // the objective is a second
	is.Equal(len(s.others.offered), 3)
}

// Requests of a service whose last target leaves must not wait for one.
func TestWaitingRequestIsRefusedWithoutTargets(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA))
	s.add(app, replica.Options{ID: "r"}).FailAlways(replica.Full)
	waiting := s.flood("x", keyA, 3)
	time.Sleep(150 * time.Millisecond)
	started := time.Now()
	s.fleet.Remove("r")
	statuses, _ := waiting()
	is.Equal(statuses[http.StatusServiceUnavailable], 3)
	is.True(time.Since(started) < 700*time.Millisecond)
}
