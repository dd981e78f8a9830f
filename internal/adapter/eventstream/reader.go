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

// initialBufferBytes is the initial size of the line buffer.
const initialBufferBytes = 64 << 10

// Event is one event of a stream.
type Event struct {
	Name string
	Data []byte
}

// TooLargeError reports that an event, or one line of it, exceeds the size limit.
type TooLargeError struct{}

// Error implements error.
func (TooLargeError) Error() string { return "event exceeds the size limit" }

// Reader reads events one at a time.
type Reader struct {
	lines    *bufio.Scanner
	maxBytes int
}

// NewReader returns a reader that limits each line and the data of each event to
// maxBytes.
func NewReader(r io.Reader, maxBytes int) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, min(initialBufferBytes, maxBytes)), maxBytes)
	return &Reader{lines: lines, maxBytes: maxBytes}
}

// Next returns the next event. It returns io.EOF at the end of the stream, even if
// the last event is incomplete, and TooLargeError for an event over the size limit.
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
		event.addField(line)
		if len(event.Data) > r.maxBytes {
			return Event{}, TooLargeError{}
		}
	}
	return Event{}, r.endError()
}

func (r *Reader) endError() error {
	switch err := r.lines.Err(); {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return TooLargeError{}
	default:
		return errors.Trace(err)
	}
}

// addField parses one line of an event. Fields other than event and data are
// skipped.
func (e *Event) addField(line []byte) {
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
