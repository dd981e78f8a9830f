package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// findings counts what checks report.
type findings struct{ list []string }

func (f *findings) Helper() {}

func (f *findings) Errorf(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// deathsAt returns times some seconds after another.
func deathsAt(from time.Time, seconds ...int) []time.Time {
	var list []time.Time
	for _, s := range seconds {
		list = append(list, from.Add(time.Duration(s)*time.Second))
	}
	return list
}

// Each check reports evidence of a broken promise and is silent about a kept one.
func TestChecksCanFail(t *testing.T) {
	ran := func(id, path string) replica.Run {
		return replica.Run{RequestID: id, Method: http.MethodPost, URI: path, Body: "body of " + id}
	}
	answered := func(path, body string) attempt {
		return attempt{id: "a", path: path, status: http.StatusOK, stamp: "stamp-a", body: body, isWhole: true}
	}
	refused := func(status int) attempt { return attempt{id: "a", path: "/lookup/x", status: status} }
	now := time.Now()
	process := make(chan struct{})
	seen := func(version int, at time.Duration) sighting {
		return sighting{host: "h", process: process, version: version, sent: now.Add(at), ended: now.Add(at)}
	}
	good := answered("/lookup/x", "answer to a")
	cut := good
	cut.isWhole = false
	leftRun := ran("a", "/slow/x")
	leftRun.Abandoned = true
	cases := []struct {
		name   string
		broken bool
		check  func(reporter)
	}{
		{"answer", false, func(r reporter) { checkAttempt(r, good, "body of a", []replica.Run{ran("a", "/lookup/x")}) }},
		{"answer of another", true, func(r reporter) { checkAttempt(r, answered("/lookup/x", "answer to b"), "body of a", nil) }},
		{"signature of another", true, func(r reporter) {
			a := good
			a.stamp = "stamp-b"
			checkAttempt(r, a, "body of a", nil)
		}},
		{"posting twice", true, func(r reporter) {
			checkAttempt(r, answered("/posting/x", "answer to a"), "body of a", []replica.Run{ran("a", "/posting/x"), ran("a", "/posting/x")})
		}},
		{"lookup twice", false, func(r reporter) {
			checkAttempt(r, good, "body of a", []replica.Run{ran("a", "/lookup/x"), ran("a", "/lookup/x")})
		}},
		{"changed path", true, func(r reporter) { checkAttempt(r, good, "body of a", []replica.Run{ran("a", "/lookup/y")}) }},
		{"changed body", true, func(r reporter) { checkAttempt(r, good, "body of a", []replica.Run{ran("b", "/lookup/x")}) }},
		{"refused and not run", false, func(r reporter) { checkAttempt(r, refused(http.StatusServiceUnavailable), "body of a", nil) }},
		{"refused and run", true, func(r reporter) {
			checkAttempt(r, refused(http.StatusServiceUnavailable), "body of a", []replica.Run{ran("a", "/lookup/x")})
		}},
		{"budget refused and run", true, func(r reporter) {
			checkAttempt(r, refused(http.StatusPaymentRequired), "body of a", []replica.Run{ran("a", "/lookup/x")})
		}},
		{"no route", true, func(r reporter) { checkAttempt(r, refused(http.StatusNotFound), "body of a", nil) }},
		{"conversation", false, func(r reporter) {
			checkAttempt(r, answered(talkPath, ""), "said before;body of a", []replica.Run{{RequestID: "a", Method: http.MethodPost, URI: talkPath, Body: "said before;body of a"}})
		}},
		{"conversation of another", true, func(r reporter) {
			checkAttempt(r, answered(talkPath, ""), "said before;body of a", []replica.Run{{RequestID: "a", Method: http.MethodPost, URI: talkPath, Body: "said elsewhere;body of a"}})
		}},
		{"turn twice", true, func(r reporter) {
			run := replica.Run{RequestID: "a", Method: http.MethodPost, URI: talkPath, Body: "x"}
			checkAttempt(r, answered(talkPath, ""), "x", []replica.Run{run, run})
		}},
		{"conversation lost", true, func(r reporter) {
			checkAttempt(r, attempt{id: "a", path: talkPath, status: http.StatusNotFound}, "", nil)
		}},
		{"budget", false, func(r reporter) { checkBudget(r, "p", 280+turnMost, 280) }},
		{"budget exceeded", true, func(r reporter) { checkBudget(r, "p", 280+turnMost+1, 280) }},
		{"events", false, func(r reporter) { checkEvents(r, "a", events(3, 5), 2, true) }},
		{"event missing", true, func(r reporter) { checkEvents(r, "a", events(1, 2)+events(4, 5), 0, false) }},
		{"event twice", true, func(r reporter) { checkEvents(r, "a", events(2, 5), 2, false) }},
		{"stream looks whole", true, func(r reporter) { checkEvents(r, "a", events(1, 3), 0, true) }},
		{"one version", false, func(r reporter) { checkOneVersion(r, "a", []string{"v1", "v1"}) }},
		{"two versions", true, func(r reporter) { checkOneVersion(r, "a", []string{"v1", "v2"}) }},
		{"in force", false, func(r reporter) { checkInForce(r, "h", 6, http.StatusOK, http.StatusNotFound) }},
		{"not in force", true, func(r reporter) { checkInForce(r, "h", 6, http.StatusNotFound, http.StatusNotFound) }},
		{"old in force", true, func(r reporter) { checkInForce(r, "h", 6, http.StatusOK, http.StatusOK) }},
		{"versions", false, func(r reporter) { checkVersions(r, []sighting{seen(3, 0), seen(6, 1), seen(6, 2)}) }},
		{"version back", true, func(r reporter) { checkVersions(r, []sighting{seen(6, 0), seen(3, 1)}) }},
		{"drained", false, func(r reporter) { checkDrained(r, "t", 4, 4) }},
		{"not drained", true, func(r reporter) { checkDrained(r, "t", 4, 5) }},
		{"departure", false, func(r reporter) { checkDeparture(r, cut, []replica.Run{leftRun}) }},
		{"departure not passed on", true, func(r reporter) { checkDeparture(r, cut, []replica.Run{ran("a", "/slow/x")}) }},
		{"stop", false, func(r reporter) { checkStop(r, "h", 0, []attempt{good}) }},
		{"stop cuts", true, func(r reporter) { checkStop(r, "h", 0, []attempt{cut}) }},
		{"stop crashes", true, func(r reporter) { checkStop(r, "h", 2, []attempt{good}) }},
		{"served", false, func(r reporter) { checkServed(r, 9, 10) }},
		{"not served", true, func(r reporter) { checkServed(r, 8, 10) }},
		{"deaths", false, func(r reporter) { checkDeaths(r, "deadly", deathsAt(now, 0, 0, 0, 1, 4, 4, 4), now) }},
		{"deaths go on", true, func(r reporter) { checkDeaths(r, "deadly", deathsAt(now, 0, 0, 0, 1, 4, 4, 4, 4), now) }},
		{"deaths under faults", false, func(r reporter) { checkDeaths(r, "deadly", deathsAt(now, 0, 0, 0, 4, 4, 4, 4), now.Add(2*time.Second)) }},
		{"nothing asked", true, func(r reporter) { checkServed(r, 0, 0) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f findings
			c.check(&f)
			is.Equal(len(f.list) > 0, c.broken)
		})
	}
}
