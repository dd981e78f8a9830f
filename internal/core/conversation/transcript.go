package conversation

import (
	"bytes"
	"slices"
)

// Event is one event of a stream: its ID, which may be empty, and the values of its data fields.
type Event struct {
	ID   string
	Data []byte
}

// Transcript holds the events of a stream from the first one on. There is no way to make one of a later part of a
// stream: the zero value is the beginning, and an attempt that goes on after some event needs the transcript up to
// that event. It is not safe for concurrent use.
type Transcript struct {
	// output is the data of each event, followed by a line feed.
	output []byte
	marks  []eventMark
	// resumedAfter is the event after which the latest attempt of the caller went on; empty for the first
	// attempt. resumedAt is how many events there were then.
	resumedAfter string
	resumedAt    int
}

// eventMark is the ID of an event, and the end of its data in the output.
type eventMark struct {
	id  string
	end int
}

// markBytes is the approximate memory of a mark, in bytes.
const markBytes = 40

// Append adds the next event.
func (t *Transcript) Append(e Event) {
	t.output = append(append(t.output, e.Data...), '\n')
	t.marks = append(t.marks, eventMark{id: e.ID, end: len(t.output)})
}

// Size returns the approximate memory of the transcript, in bytes.
func (t *Transcript) Size() int { return len(t.output) + markBytes*len(t.marks) }

// Len returns the number of events.
func (t *Transcript) Len() int { return len(t.marks) }

// Clone returns a copy to which other events may be added.
func (t *Transcript) Clone() *Transcript {
	c := *t
	c.output, c.marks = slices.Clip(c.output), slices.Clip(c.marks)
	return &c
}

// Output returns what the stream has said: the data of each event, followed by a line feed. It must not be changed.
func (t *Transcript) Output() []byte { return slices.Clip(t.output) }

// Events returns the events from an index on. They must not be changed.
func (t *Transcript) Events(from int) []Event {
	start := t.endOf(from)
	var events []Event
	for _, m := range t.marks[from:] {
		events = append(events, Event{ID: m.id, Data: t.output[start : m.end-1 : m.end-1]})
		start = m.end
	}
	return events
}

// endOf returns the length of the output of the first n events.
func (t *Transcript) endOf(n int) int {
	if n == 0 {
		return 0
	}
	return t.marks[n-1].end
}

// ResumedAfter returns the event after which the latest attempt of the caller went on; empty for the first attempt.
func (t *Transcript) ResumedAfter() string { return t.resumedAfter }

// LastID returns the ID of the latest event that has one; empty if there is none.
func (t *Transcript) LastID() string {
	for _, m := range slices.Backward(t.marks) {
		if m.id != "" {
			return m.id
		}
	}
	return ""
}

// ResumeAfter returns the transcript of an attempt that goes on after an event. It returns false if the transcript
// does not reach that event.
func (t *Transcript) ResumeAfter(id string) (*Transcript, bool) {
	at := slices.IndexFunc(t.marks, func(m eventMark) bool { return m.id == id })
	if id == "" || at < 0 {
		return nil, false
	}
	n := at + 1
	return &Transcript{output: t.output[:t.marks[at].end:t.marks[at].end], marks: t.marks[:n:n], resumedAfter: id, resumedAt: n}, true
}

// RestoreTranscript returns the transcript of events that another host has sent from the first one on. The latest
// attempt went on after resumedAfter. It returns false if the events do not reach that one.
func RestoreTranscript(events []Event, resumedAfter string) (*Transcript, bool) {
	t := &Transcript{}
	for _, e := range events {
		t.Append(e)
	}
	if resumedAfter == "" {
		return t, true
	}
	before, ok := t.ResumeAfter(resumedAfter)
	if !ok {
		return nil, false
	}
	t.resumedAfter, t.resumedAt = before.resumedAfter, before.resumedAt
	return t, true
}

// Attempt is an attempt of a caller to get a stream. Stream is the ID of the attempt that brought the stream's first
// event, ID its own. Organisation is that of the caller; empty if callers are not identified.
type Attempt struct{ Stream, ID, Organisation string }

// Held is what a host holds of the events that an attempt has brought.
type Held struct {
	Attempt
	Transcript *Transcript
}

// Resume chooses among what several hosts hold of a stream and returns the transcript of an attempt that goes on
// after an event. An earlier attempt may have events that its caller never got, so only the one that went on last
// counts. It returns false if that one does not reach the event. Where several attempts went on after the same event,
// nobody knows which of them the caller has listened to, so that all of them must agree.
func Resume(held []Held, after string) (*Transcript, bool) {
	last := 0
	for _, h := range held {
		last = max(last, h.Transcript.resumedAt)
	}
	longest := make(map[string]*Transcript)
	for _, h := range held {
		if t := longest[h.ID]; h.Transcript.resumedAt == last && (t == nil || h.Transcript.Len() > t.Len()) {
			longest[h.ID] = h.Transcript
		}
	}
	var resumed *Transcript
	for _, t := range longest {
		r, ok := t.ResumeAfter(after)
		if !ok || resumed != nil && !r.equal(resumed) {
			return nil, false
		}
		resumed = r
	}
	return resumed, resumed != nil
}

func (t *Transcript) equal(other *Transcript) bool {
	return bytes.Equal(t.output, other.output) && slices.Equal(t.marks, other.marks)
}
