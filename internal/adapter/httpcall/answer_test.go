package httpcall

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/testutil"
)

// A part of an answer without a length was returned as a whole one if the connection was reset while the
// request was written.
func TestAnswerThatIsResetUnderItsRequestIsNotComplete(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(testutil.RawAnswer("HTTP/1.1 200 OK\r\n\r\npart", true))
	defer server.Close()
	input := strings.Repeat("x", 3<<20)
	for _, c := range []*Client{New(), NewUnpooled()} {
		for range 20 {
			_, _, err := c.Do(t.Context(), http.MethodPost, server.URL, input)
			is.True(testutil.ErrorAs[*TransportError](t, err).Sent)
		}
	}
}

func TestAnswerWithAnInvalidFieldNameIsNoAnswer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(testutil.RawAnswer("HTTP/1.1 200 OK\r\nX Spoiled: 1\r\nContent-Length: 2\r\n\r\n{}", false))
	defer server.Close()
	for _, c := range []*Client{New(), NewUnpooled()} {
		_, _, err := c.Do(t.Context(), http.MethodGet, server.URL, nil)
		is.True(testutil.ErrorAs[*TransportError](t, err).Sent)
	}
}
