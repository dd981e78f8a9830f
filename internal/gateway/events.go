package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream.
type event struct {
	// raw holds the bytes as received, with the blank line that ends the event.
	raw []byte
	// id is empty for blocks without one, such as comments.
	id string
}

// eventReader splits a stream into events without changing their bytes.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 1<<10)}
}

// next returns the next complete event. Its bytes are valid until the next call. It
// returns io.EOF at the end of the stream and io.ErrUnexpectedEOF if the stream ends
// inside an event.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case len(r.raw) > maxEventBytes:
			return event{}, errors.Errorf("event of more than %d bytes", maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 && len(line) > 0 && isFullLine(r.raw, line) {
			e.raw = r.raw
			return e, nil
		}
	}
}

// isFullLine reports whether line, the last part of raw, is a complete line and not the
// rest of one that was longer than the buffer.
func isFullLine(raw, line []byte) bool {
	before := len(raw) - len(line)
	return before == 0 || raw[before-1] == '\n'
}

// data returns the values of the event's data fields, joined by line feeds. It returns
// false for blocks without data fields, which are not events.
func (e event) data() ([]byte, bool) {
	var data []byte
	found := false
	for line := range bytes.Lines(e.raw) {
		field, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(field) != "data" {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	return data, found
}
