package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// A stream breaks off and goes on at a target that answers wrongly. Callers found the text
// of the error, at times its whole head, in the middle of their stream, events for a second
// time, or a stream that ended as if it were complete.
func TestWrongRestOfAStreamIsNotPassedOn(t *testing.T) {
	for name, fault := range map[string]replica.Fault{
		"JSON":         replica.JSONResume,
		"another type": replica.HTMLResume,
		"no event":     replica.EmptyResume,
		"all events":   replica.RestartedResume,
		"no content":   replica.NoContentResume,
		"failure":      replica.Failing,
		"encoded":      replica.Encoded,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFixture(t)
			interrupted := 0
			for i := range 16 {
				id := string(rune('a' + i))
				for _, r := range s.replicas {
					s.fleet.Remove(r.ID())
				}
				s.add(models, replica.Options{ID: "cut" + id, Events: 9, Work: 20 * time.Millisecond}).FailAlways(replica.Cut)
				s.add(models, replica.Options{ID: "wrong" + id, Events: 9, Work: 20 * time.Millisecond}).FailAlways(fault)
				a := s.mustSend(request{method: http.MethodPost, path: turns, id: id, header: turnHeader("p" + id)})
				if len(s.replicas["cut"+id].Runs()) == 0 || len(s.replicas["wrong"+id].Runs()) == 0 || a.body == "" {
					continue
				}
				if got := s.replicas["wrong"+id].Runs()[0].Header.Get("Last-Event-Id"); got == "" {
					continue // the wrong target was the first
				}
				interrupted++
				is.True(a.err != nil)
				is.Equal(a.body, events(1, 5))
			}
			is.True(interrupted > 0)
		})
	}
}

// An error in the middle of an unframed stream is not passed on as a part of it; the stream
// goes on at another target.
func TestErrorInsideAStreamIsNotPassedOn(t *testing.T) {
	for name, fault := range map[string]replica.Fault{"head": replica.HeadInside, "text": replica.TextInside} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			r := s.add(models, replica.Options{ID: "faulty", Events: 9})
			r.FailAlways(fault)
			a := s.mustSend(request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
			is.True(a.err != nil)
			is.Equal(a.body, events(1, 5))
			for i := range 8 {
				s.add(models, replica.Options{ID: "sound" + string(rune('a'+i)), Events: 9})
			}
			for i := range 16 {
				id := string(rune('b' + i))
				a = s.mustSend(request{method: http.MethodPost, path: turns, id: id, header: turnHeader("p" + id)})
				is.NoErr(a.err)
				is.Equal(a.body, events(1, 9))
			}
		})
	}
}
