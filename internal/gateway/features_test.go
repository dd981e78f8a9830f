package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/standin/replica"
)

// contentMarks returns the number of crash marks of contents that the host has not shared.
func (s *fixture) contentMarks() int {
	n := 0
	for _, m := range s.quarantine.Unshared() {
		if m.Kind == poison.Content {
			n++
		}
	}
	return n
}

// crashWith sends a request to a target that crashes, the only one, and waits until the crash is
// counted.
func (s *fixture) crashWith(id, path, body string) {
	s.t.Helper()
	before := s.contentMarks()
	r := s.add(app, replica.Options{ID: "target of " + id})
	r.Fail(replica.Crashing)
	s.mustSend(request{method: http.MethodPost, path: path, id: id, body: body})
	s.eventually("crash is counted", func() bool { return s.contentMarks() == before+1 })
	s.fleet.Remove(r.ID())
	time.Sleep(crashPause)
}

// crashPause is longer than the time within which crashes count once for a path, 100 ms.
const crashPause = 150 * time.Millisecond

// Guards against a deadly path that goes on because each body has to crash three targets by
// itself.
func TestPathThatCrashesTargetsWithDifferentBodiesIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for n := range 3 {
		s.crashWith(fmt.Sprint("crash", n), posting+"?n="+fmt.Sprint(n), fmt.Sprint("turn ", n))
	}
	last := s.add(app, replica.Options{ID: "last"})
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: "again", body: "turn 4"}).status, http.StatusServiceUnavailable)
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting + "y", id: "other", body: "turn 4"}).status, http.StatusOK)
	is.Equal(len(last.Runs()), 1)
}

// Guards against the refusal of a path that answers ordinary callers between crashes.
func TestPathWithAnswersIsNotRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for n := range 4 {
		s.crashWith(fmt.Sprint("crash", n), posting, fmt.Sprint("bad ", n))
		sound := s.add(app, replica.Options{ID: fmt.Sprint("sound", n)})
		is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: fmt.Sprint("ordinary", n), body: fmt.Sprint("good ", n)}).status, http.StatusOK)
		s.fleet.Remove(sound.ID())
	}
}
