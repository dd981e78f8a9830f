package config

import "time"

// Outcome is the effect of a record of the stream.
type Outcome string

// Outcomes of a record.
const (
	// Taken: the record put a new version in force.
	Taken Outcome = "taken"
	// Copied: the record repeats the version in force.
	Copied Outcome = "copied"
	// Void: the record was based on or repeated a version other than the current
	// one.
	Void Outcome = "void"
	// Undecided: the reader missed records and can't determine the effect.
	Undecided Outcome = "undecided"
	// Garbage: the record can't be decoded.
	Garbage Outcome = "garbage"
	// FutureFormat: the document has a later format than Format.
	FutureFormat Outcome = "future_format"
	// Invalid: the document is not valid.
	Invalid Outcome = "invalid"
)

// Event is the effect of one record.
type Event struct {
	Outcome Outcome
	// ID is the record's ID, or "" if it has none.
	ID string
	// Err is a *RecordError if the record is invalid, otherwise nil.
	Err error
}

// Replay derives the version in force from the records of the stream. All readers
// that have read to the same offset and whose view is Certain have the same
// version. It is not safe for concurrent use.
type Replay struct {
	view View
	// firstOffset is the offset from which the stream was read without gaps.
	firstOffset int64
}

// View is the state of a reader after the records that it has applied. It is
// immutable.
type View struct {
	// Next is the next offset to read.
	Next int64
	// Certain is set if Version is known to be the version in force at Next. A
	// reader that missed records is not certain until it reads an in-sequence
	// record.
	Certain bool
	// Version is the newest version that the reader has read; zero means none.
	Version int64
	// Raw is the document of Version as stored in the stream.
	Raw []byte
	// Document is the parsed document of Version.
	Document *Document
	// CopiedAt is the append time of the newest record that is known to carry
	// Version. InSequence is set if that record was appended at the offset that
	// its writer expected.
	CopiedAt   time.Time
	InSequence bool
}

// View returns the current view.
func (r *Replay) View() View { return r.view }

// SetOldest sets the oldest offset that the log still keeps. It must be called
// before the records of a page are applied. If records before it were not read,
// the view is no longer Certain.
func (r *Replay) SetOldest(oldest int64) {
	if oldest == 0 && r.view.Next == 0 {
		r.view.Certain = true
		return
	}
	if oldest <= r.view.Next {
		return
	}
	r.view.Certain = false
	r.firstOffset = oldest
	r.view.Next = oldest
}

// Apply applies the record at an offset. Records must be passed in order; a record
// that was applied before has no effect.
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
	event := r.applyRecord(offset, appendedAt, rec)
	event.ID = rec.ID
	return event
}

func (r *Replay) applyRecord(offset int64, at time.Time, rec Record) Event {
	inSequence := rec.End != nil && *rec.End == offset
	if rec.Version != nil {
		return r.applyCopy(*rec.Version, at, inSequence, rec.Document)
	}
	return r.applyChange(offset, at, inSequence, rec)
}

// applyCopy applies a copy of a version.
func (r *Replay) applyCopy(version int64, at time.Time, inSequence bool, raw []byte) Event {
	if version == r.view.Version {
		r.refresh(at, inSequence)
		return Event{Outcome: Copied}
	}
	if r.view.Certain || version < r.view.Version {
		return Event{Outcome: Void}
	}
	if !inSequence && version-1 >= r.firstOffset {
		return Event{Outcome: Undecided}
	}
	if event, ok := r.adopt(version, raw, nil); !ok {
		return event
	}
	r.refresh(at, inSequence)
	return Event{Outcome: Taken}
}

// applyChange applies a new document.
func (r *Replay) applyChange(offset int64, at time.Time, inSequence bool, rec Record) Event {
	if !r.view.Certain && !inSequence {
		return Event{Outcome: Undecided}
	}
	if r.view.Certain && *rec.Base != r.view.Version {
		return Event{Outcome: Void}
	}
	if event, ok := r.adopt(offset+1, rec.Document, r.documentOf(*rec.Base)); !ok {
		return event
	}
	r.view.InSequence = false
	r.view.CopiedAt = at
	r.refresh(at, inSequence)
	return Event{Outcome: Taken}
}

// documentOf returns the document of a version if that is the view's version,
// otherwise nil.
func (r *Replay) documentOf(version int64) *Document {
	if version != r.view.Version {
		return nil
	}
	return r.view.Document
}

// refresh updates the view after a record that carries its version. Only
// in-sequence records count.
func (r *Replay) refresh(at time.Time, inSequence bool) {
	if !inSequence {
		return
	}
	r.view.Certain = true
	r.view.InSequence = true
	r.view.CopiedAt = at
}

// adopt puts a version in force if its document is valid; otherwise it returns
// the event and false.
func (r *Replay) adopt(version int64, raw []byte, inForce *Document) (Event, bool) {
	if isFutureFormat(raw) {
		return Event{Outcome: FutureFormat, Err: &RecordError{Reason: "document format is newer than the supported format"}}, false
	}
	d, err := Check(raw, inForce)
	if err != nil {
		return Event{Outcome: Invalid, Err: &RecordError{Reason: "invalid document", Cause: err}}, false
	}
	r.view.Version, r.view.Document, r.view.Raw = version, d, raw
	return Event{}, true
}
