package eventstream

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReader(t *testing.T) {
	is := is.New(t)
	r := NewReader(strings.NewReader(": note\n\nevent: a\ndata: one\ndata:two\n\ndata:3\n\nevent:cut\ndata:x\n"), 64)
	event, err := r.Next()
	is.NoErr(err)
	is.Equal(event, Event{Name: "a", Data: []byte("one\ntwo")})
	event, err = r.Next()
	is.NoErr(err)
	is.Equal(event, Event{Data: []byte("3")})
	_, err = r.Next()
	is.Equal(err, io.EOF) // the last event is incomplete
}

func TestReaderLimitsEventSize(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"data:" + strings.Repeat("x", 100), strings.Repeat("data:xxxxxx\n", 20)} {
		_, err := NewReader(strings.NewReader(text+"\n\n"), 64).Next()
		is.Equal(err, TooLargeError{})
	}
}
