// Package eventstream reads server-sent events of bounded size.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// ContentType is the media type of server-sent events.
const ContentType = "text/event-stream"

const bufferBytes = 64 << 10

// Event is one event of a stream.
type Event struct {
	Name string
	Data []byte
}

// TooLargeError says that an event of the stream exceeds its bound.
type TooLargeError struct{}

// Error implements error.
func (TooLargeError) Error() string { return "event exceeds its size bound" }

// Reader reads events one by one.
type Reader struct {
	lines    *bufio.Scanner
	maxBytes int
}

// NewReader returns a reader of events of up to maxBytes each.
func NewReader(r io.Reader, maxBytes int) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, min(bufferBytes, maxBytes)), maxBytes)
	return &Reader{lines: lines, maxBytes: maxBytes}
}

// Next returns the next event. It returns io.EOF at the end of the stream,
// also when the last event is not whole.
func (r *Reader) Next() (Event, error) {
	var event Event
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if event.Name != "" || event.Data != nil {
				return event, nil
			}
			continue
		}
		event.add(line)
		if len(event.Data) > r.maxBytes {
			return Event{}, TooLargeError{}
		}
	}
	return Event{}, r.end()
}

func (r *Reader) end() error {
	switch err := r.lines.Err(); {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return TooLargeError{}
	default:
		return errors.Trace(err)
	}
}

// add takes one field of an event; fields of other names are passed over.
func (e *Event) add(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		e.Name = string(value)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}
