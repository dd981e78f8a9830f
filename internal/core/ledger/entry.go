package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// Verdict says what became of a record.
type Verdict string

// The verdicts on a record. Only an applied one has changed the state.
const (
	// Applied: the record counts.
	Applied Verdict = "applied"
	// Void: another claim came before the record.
	Void Verdict = "void"
	// Duplicate: the record is a second copy.
	Duplicate Verdict = "duplicate"
	// Garbage: the record can't be read.
	Garbage Verdict = "garbage"
	// Refused: the record's claim holds, but it doesn't fit the state.
	Refused Verdict = "refused"
	// Diverged: the record's digest doesn't continue the program's history.
	Diverged Verdict = "diverged"
)

// Entry is a record with its place in the stream.
type Entry struct {
	Offset     int64
	AppendedAt time.Time
	Record     *record.Record
}

// Writer names the process that wrote a record.
type Writer struct {
	Host        string
	Incarnation uint64
}

// Decode reads a record, or says that it is garbage.
func Decode(r port.Record) (Entry, bool) {
	m := &record.Record{}
	if err := proto.Unmarshal(r.Data, m); err != nil {
		return Entry{}, false
	}
	ok := m.Host != "" && m.Sequence > 0 && m.Epoch >= 0 && m.Body != nil
	return Entry{Offset: r.Offset, AppendedAt: r.AppendedAt, Record: m}, ok
}

// Marks remembers the last sequence number of each writer in a stream. A
// writer numbers its records upwards, so that a lower number is a copy.
type LastSequences map[Writer]uint64

// Pass notes an entry and says whether it is the first copy.
func (m LastSequences) Advance(e Entry) bool {
	w := e.Writer()
	if e.Record.Sequence <= m[w] {
		return false
	}
	m[w] = e.Record.Sequence
	return true
}

// Writer returns the process that wrote the entry.
func (e Entry) Writer() Writer {
	return Writer{Host: e.Record.Host, Incarnation: e.Record.Incarnation}
}
