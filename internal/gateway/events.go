package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// keptBufferBytes is the size up to which the buffer of an event is kept for the next
	// one.
	keptBufferBytes = 16 << 10
)

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
	// keep accounts for the bytes of an incomplete event, or returns an error.
	keep func(bytes int) error
}

func newEventReader(r io.Reader, keep func(bytes int) error) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 1<<10), keep: keep}
}

// errNotAnEvent reports a block of a stream that is no event, such as an error that a
// target has written into the stream.
var errNotAnEvent = errors.New("stream contains a block that is not an event")

// next returns the next complete event. Its bytes are valid until the next call. It
// returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends
// inside an event, errNotAnEvent for a block that is none and the error of keep.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	if cap(r.raw) > keptBufferBytes {
		r.raw = nil
	}
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		if err := r.keep(len(r.raw) + len(line)); err != nil {
			return event{}, err
		}
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
			if !e.isWellFormed() {
				return event{}, errNotAnEvent
			}
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

// isWellFormed reports whether the block consists of comments and named fields. Fields
// without a value must be those of the format, as any text is such a field otherwise.
func (e event) isWellFormed() bool {
	for line := range bytes.Lines(e.raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		if !hasValue && !isFormatField(name) || bytes.ContainsFunc(name, isNotInFieldName) {
			return false
		}
	}
	return true
}

func isFormatField(name []byte) bool {
	switch string(name) {
	case "data", "event", "id", "retry":
		return true
	}
	return false
}

func isNotInFieldName(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

// isAfter reports whether the event may follow the one with the ID last. IDs that are
// numbers increase.
func (e event) isAfter(last string) bool {
	id, err := strconv.ParseUint(e.id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || id > before
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
