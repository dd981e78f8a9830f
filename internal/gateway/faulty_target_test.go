package gateway_test

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/standin/replica"
)

// A target that announces in an answer that it is leaving gets no further requests until
// it has restarted, whatever its record states.
func TestLeavingTargetGetsNoFurtherRequests(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	leaving := s.add(app, replica.Options{ID: "leaving"})
	leaving.FailAlways(replica.Leaving)
	a := s.mustSend(request{path: lookup, id: "first"})
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.header.Get("Server-Leaving"), "1") // the announcement is relayed to the caller

	record := fleet.Member{ID: "leaving", Service: app, Address: leaving.Address(), DataCentre: "here", Slots: 8}
	s.fleet.Put(record) // the record still states that the target is ready
	is.Equal(s.mustSend(request{path: lookup, id: "second"}).status, http.StatusServiceUnavailable)
	s.fleet.Remove("leaving")
	s.fleet.Put(record) // the record expired and was written again
	is.Equal(s.mustSend(request{path: lookup, id: "third"}).status, http.StatusServiceUnavailable)
	is.Equal(len(leaving.Runs()), 1)

	record.StartedAt = 1 // the target has restarted
	s.fleet.Put(record)
	leaving.FailAlways(replica.None)
	is.Equal(s.mustSend(request{path: lookup, id: "fourth"}).status, http.StatusOK)
}

// A faulty target may send an endless header or body. The bytes must not accumulate in
// memory, and the caller must not get them as a complete answer. internal/upstream sets
// the limits.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, fault := range map[string]replica.Fault{"head": replica.EndlessHead, "body": replica.EndlessBody, "refusal": replica.EndlessRefusal} {
		for _, path := range []string{lookup, posting, turns, single, conversationTurn} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newFixture(t)
				r := s.add(app, replica.Options{ID: "app"})
				m := s.add(models, replica.Options{ID: "models", Events: 3})
				r.FailAlways(fault)
				m.FailAlways(fault)
				method, header := http.MethodGet, http.Header(nil)
				if path != lookup {
					method = http.MethodPost
				}
				if path != lookup && path != posting {
					header = turnHeader("p")
				}
				a, err := s.send(t.Context(), request{method: method, path: path, id: "a", header: header})
				is.True(err != nil || a.err != nil || a.status >= http.StatusInternalServerError)
				if name == "refusal" {
					is.Equal(a.status, http.StatusServiceUnavailable) // the request has not run
				}
				s.eventually("the connections are closed", func() bool {
					before := r.Flooded() + m.Flooded()
					time.Sleep(20 * time.Millisecond)
					return r.Flooded()+m.Flooded() == before
				})
				var memory runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&memory)
				is.True(memory.HeapAlloc < 32<<20)
			})
		}
	}
}

// A slow but correct stream is relayed to its end. A stream that only sends single bytes
// at long intervals ends with the route's timeout, and so does the connection to its
// target.
func TestSlowStreamsCompleteAndStalledOnesTimeOut(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	m := s.add(models, replica.Options{ID: "models", Events: 6, Pause: 400 * time.Millisecond})
	a := s.mustSend(request{method: http.MethodPost, path: turns, id: "slow", header: turnHeader("p")})
	is.NoErr(a.err)
	is.Equal(a.body, events(1, 6))

	m.FailAlways(replica.Dripping)
	s.add(app, replica.Options{ID: "app"}).FailAlways(replica.Dripping)
	for path, method := range map[string]string{conversationTurn: http.MethodPost, "/brief/x": http.MethodGet, "/brief-posting/x": http.MethodPost} {
		a, err := s.send(t.Context(), request{method: method, path: path, id: "stalled" + path, header: turnHeader("p")})
		is.True(err != nil || a.err != nil || a.status >= http.StatusInternalServerError)
	}
	s.eventually("nothing is in flight", func() bool { return s.gateway.InFlight() == 0 })
}
