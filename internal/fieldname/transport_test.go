package fieldname

import (
	"io"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"yuccausher/internal/testutil"
)

const sound = "HTTP/1.1 200 OK\r\nX-Sound: 1\r\nContent-Length: 4\r\n\r\nbody"

// get sends three requests, one after the other, and returns the error of the last.
func get(t *testing.T, server *testutil.KeptServer) error {
	t.Helper()
	transport := Transport{Transport: &http.Transport{}}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	var last error
	for range 3 {
		response, err := client.Get("http://" + server.Address())
		if last = err; err != nil {
			continue
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Error(err)
		}
		_ = response.Body.Close()
	}
	return last
}

// The connection was kept after an empty answer, so that what followed there could be taken for the answer to
// the next request.
func TestConnectionIsNotReusedAfterAnInvalidAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"empty":   "HTTP/1.1 503 Service Unavailable\r\nX Spoiled: 1\r\nContent-Length: 0\r\n\r\n",
		"body":    "HTTP/1.1 200 OK\r\nX Spoiled: 1\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":  "HTTP/1.1 200 OK\r\nX Spoiled: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nX Spoiled: 1\r\n\r\n" + sound,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := testutil.NewKeptServer(t, answer)
			var invalid *InvalidError
			is.True(errors.As(get(t, server), &invalid))
			is.Equal(server.Opened(), 3)
		})
	}
}

func TestConnectionIsReusedAfterSoundAnswers(t *testing.T) {
	for _, answer := range []string{sound, "HTTP/1.1 103 Early Hints\r\nX-Sound: 1\r\n\r\n" + sound} {
		is := is.New(t)
		server := testutil.NewKeptServer(t, answer)
		is.NoErr(get(t, server))
		is.Equal(server.Opened(), 1)
	}
}
