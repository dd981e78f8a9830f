package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// A target writes an earlier refusal once more on a kept connection, while it runs the next
// request there. The caller was told 'not run', or the request ran at a second target.
func TestEarlierRefusalOnAKeptConnectionIsNotTheAnswer(t *testing.T) {
	for name, refusal := range map[string]replica.Fault{
		"of the same request":   replica.FullAgain,
		"without a request ID":  replica.FullAgainAnonymous,
		"of another request":    replica.FullAgainOther,
		"wrong target, without": replica.MisdirectedAgainAnonymous,
	} {
		for _, path := range []string{posting, single} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newFixture(t)
				service := app
				if path == single {
					service = models
				}
				r := s.add(service, replica.Options{ID: "r", Events: 2, Work: 30 * time.Millisecond})
				// A first answer leaves a kept connection. The next request is refused on
				// it, waits and is sent again, and then the refusal comes once more.
				is.Equal(s.mustSend(request{method: http.MethodPost, path: path, id: "before", body: "1", header: turnHeader("p")}).status, http.StatusOK)
				r.Fail(replica.Full, refusal)
				second := s.add(service, replica.Options{ID: "second", Events: 2})
				second.Fail(replica.Full)
				a := s.mustSend(request{method: http.MethodPost, path: path, id: "a", body: "2", header: turnHeader("p")})
				ran := s.runsOf("a")
				is.True(ran <= 1)
				if ran == 1 {
					is.True(a.status != http.StatusServiceUnavailable)
				}
			})
		}
	}
}
