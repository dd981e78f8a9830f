package upstream

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/fieldname"
)

func TestHeadWithAnInvalidFieldNameIsGarbled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := connectToEndlessTarget(t, NewPool(tally.NoopScope), "HTTP/1.1 200 OK\r\nX Spoiled: 1\r\nContent-Length: 0\r\n\r\n", "", nil)
		_, err := send(t, c)
		var exchange *ExchangeError
		is.True(errors.As(err, &exchange) && exchange.Garbled)
	})
}

// The connection of an answer whose trailer is invalid carries no further request.
func TestConnectionIsNotReusedAfterAnInvalidTrailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPool(tally.NoopScope)
		c := connectToEndlessTarget(t, p, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX Spoiled: 1\r\n\r\n", "", nil)
		response, err := send(t, c)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.Equal(string(body), "x")
		var invalid *fieldname.InvalidError
		is.True(errors.As(err, &invalid))
		c.Release()
		is.Equal(len(p.idle), 0)
	})
}
