package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// event is one event of a stream as it was sent, with the blank line that ends
// it.
type event struct {
	raw []byte
	// id is empty for blocks that carry none, such as comments.
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

// next returns the next whole event. Its bytes are valid until the call after.
// A stream that ends inside an event gives io.ErrUnexpectedEOF.
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
		if len(text) == 0 && len(line) > 0 && endsLine(r.raw, line) {
			e.raw = r.raw
			return e, nil
		}
	}
}

// endsLine says whether line, the last part of raw, is a line of its own and
// not the rest of one that filled the buffer.
func endsLine(raw, line []byte) bool {
	before := len(raw) - len(line)
	return before == 0 || raw[before-1] == '\n'
}

// data returns the event's data as its reader gets it: the values of its data
// fields, joined by line feeds. It returns false for blocks without data, which are
// no events.
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
