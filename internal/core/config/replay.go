package config

import "time"

// Outcome says what a record of the stream did.
type Outcome string

// The outcomes of a record.
const (
	// Taken: a new version is in force.
	Taken Outcome = "taken"
	// Copied: the record repeats the version in force.
	Copied Outcome = "copied"
	// Void: the record was based on a version that was not the current one.
	Void Outcome = "void"
	// Undecided: the reader has not read enough to judge the record.
	Undecided Outcome = "undecided"
	// Garbage: the record can't be read.
	Garbage Outcome = "garbage"
	// Future: the document has a later format.
	FutureFormat Outcome = "future_format"
	// Invalid: the document is not valid.
	Invalid Outcome = "invalid"
)

// Event is the effect of one record.
type Event struct {
	Outcome Outcome
	// ID is the record's own, if it has one.
	ID string
	// Err says why the record was not taken, if it is wrong.
	Err error
}

// Replay derives the version in force from the records of the stream. Every
// reader that has read the stream to the same offset and is Certain has the
// same version. It is not safe for concurrent use.
type Replay struct {
	view View
	// start is the oldest offset that was read without a gap since.
	start int64
}

// View is what a reader knows after the records that it has applied. It is
// immutable.
type View struct {
	// Next is the offset to read from.
	Next int64
	// Certain says that Version is the one in force at Next. It is not before
	// a reader that missed records has met a sealed one.
	Certain bool
	// Version is the newest version that the reader has met; zero is none.
	Version int64
	// Raw is the document of Version as it stands in the stream.
	Raw []byte
	// Document is the parsed document of Version.
	Document *Document
	// CopiedAt is the log's time of the newest record that is known to carry
	// the version; Sealed says that the record is sealed.
	CopiedAt   time.Time
	InSequence bool
}

// View returns what the reader knows now.
func (r *Replay) View() View { return r.view }

// Begin tells the oldest offset that the log still keeps, before the records
// of a page are applied. A reader that missed records becomes uncertain.
func (r *Replay) SetOldest(oldest int64) {
	if oldest == 0 && r.view.Next == 0 {
		r.view.Certain = true
		return
	}
	if oldest <= r.view.Next {
		return
	}
	r.view.Certain = false
	r.start = oldest
	r.view.Next = oldest
}

// Apply takes the record at an offset. Records are given in order; one that
// was applied before has no effect.
func (r *Replay) Apply(offset int64, appendedAt time.Time, data []byte) Event {
	if offset < r.view.Next {
		return Event{Outcome: Void}
	}
	if offset > r.view.Next {
		r.SetOldest(offset)
	}
	r.view.Next = offset + 1
	rec, err := decodeRecord(data)
	if err != nil {
		return Event{Outcome: Garbage, Err: err}
	}
	event := r.judge(offset, appendedAt, rec)
	event.ID = rec.ID
	return event
}

func (r *Replay) judge(offset int64, at time.Time, rec Record) Event {
	sealed := rec.End != nil && *rec.End == offset
	if rec.Version != nil {
		return r.copy(*rec.Version, at, sealed, rec.Document)
	}
	return r.change(offset, at, sealed, rec)
}

// copy applies a copy of a version.
func (r *Replay) copy(version int64, at time.Time, sealed bool, raw []byte) Event {
	if version == r.view.Version {
		r.refresh(at, sealed)
		return Event{Outcome: Copied}
	}
	if r.view.Certain || version < r.view.Version {
		return Event{Outcome: Void}
	}
	if !sealed && version-1 >= r.start {
		return Event{Outcome: Undecided}
	}
	if event, ok := r.take(version, raw, nil); !ok {
		return event
	}
	r.refresh(at, sealed)
	return Event{Outcome: Taken}
}

// change applies a new document.
func (r *Replay) change(offset int64, at time.Time, sealed bool, rec Record) Event {
	if !r.view.Certain && !sealed {
		return Event{Outcome: Undecided}
	}
	if r.view.Certain && *rec.Base != r.view.Version {
		return Event{Outcome: Void}
	}
	if event, ok := r.take(offset+1, rec.Document, r.inForce(*rec.Base)); !ok {
		return event
	}
	r.view.InSequence = false
	r.view.CopiedAt = at
	r.refresh(at, sealed)
	return Event{Outcome: Taken}
}

// inForce returns the document of a version if it is the one at hand.
func (r *Replay) inForce(version int64) *Document {
	if version != r.view.Version {
		return nil
	}
	return r.view.Document
}

// refresh notes a record that carries the version in force.
func (r *Replay) refresh(at time.Time, sealed bool) {
	if !sealed {
		return
	}
	r.view.Certain = true
	r.view.InSequence = true
	r.view.CopiedAt = at
}

// take puts a version in force if its document is valid.
func (r *Replay) take(version int64, raw []byte, inForce *Document) (Event, bool) {
	if isFutureFormat(raw) {
		return Event{Outcome: FutureFormat, Err: &RecordError{Reason: "format is later than this program's"}}, false
	}
	d, err := Check(raw, inForce)
	if err != nil {
		return Event{Outcome: Invalid, Err: &RecordError{Reason: "invalid document", Cause: err}}, false
	}
	r.view.Version, r.view.Document, r.view.Raw = version, d, raw
	return Event{}, true
}
