package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// Verdict is the result of applying a record.
type Verdict string

// Verdicts. Only an applied record has taken effect.
const (
	// Applied: the record took effect.
	Applied Verdict = "applied"
	// Void: another claim or a release came before the record, so that its writer
	// no longer owned the partition.
	Void Verdict = "void"
	// Duplicate: the record repeats an earlier one of the same writer.
	Duplicate Verdict = "duplicate"
	// Garbage: the record can't be decoded, is malformed, or has an unknown
	// partition or body.
	Garbage Verdict = "garbage"
	// Refused: the record's claim is valid, but its content contradicts the state.
	Refused Verdict = "refused"
	// Diverged: the record's digest doesn't continue the program's history.
	Diverged Verdict = "diverged"
)

// Entry is a decoded record with its offset in the stream.
type Entry struct {
	Offset     int64
	AppendedAt time.Time
	Record     *record.Record
}

// Writer identifies the process that wrote a record: one run of a host.
type Writer struct {
	Host        string
	Incarnation uint64
}

// Decode decodes a record. It returns false if the record can't be decoded or
// lacks a host, a sequence number, a valid epoch or a body.
func Decode(r port.Record) (Entry, bool) {
	m := &record.Record{}
	if err := proto.Unmarshal(r.Data, m); err != nil {
		return Entry{}, false
	}
	ok := m.Host != "" && m.Sequence > 0 && m.Epoch >= 0 && m.Body != nil
	return Entry{Offset: r.Offset, AppendedAt: r.AppendedAt, Record: m}, ok
}

// LastSequences maps each writer of a stream to its highest sequence number so
// far. Writers number their records in ascending order, so that a record whose
// number is not higher is a duplicate.
type LastSequences map[Writer]uint64

// Advance records the sequence number of an entry. It returns false if the entry
// is a duplicate.
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
