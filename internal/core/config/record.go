package config

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Stream is the log stream that carries the configuration.
const Stream = "config"

// Record is one entry of the configuration stream: either a new document,
// which names the version it was made from, or a copy of the version in
// force, published again so that retention does not take it.
type Record struct {
	// Base is the version that a new document was made from; the first has
	// base 0.
	Base *int64 `json:"base,omitempty"`
	// Version is set in a copy and names the version that it repeats.
	Version *int64 `json:"version,omitempty"`
	// End is the offset at which the writer expected the record to land. A
	// record that landed there is sealed: its writer had read all records
	// before it, so its base or version was the current one.
	End *int64 `json:"end,omitempty"`
	// ID tells the writer its own record from others.
	ID       string          `json:"id,omitempty"`
	Document json.RawMessage `json:"document"`
}

// NewChange returns the record of a new document.
func NewChange(base, end int64, id string, document []byte) Record {
	return Record{Base: &base, End: &end, ID: id, Document: document}
}

// NewCopy returns the record that repeats the version in force.
func NewCopy(version, end int64, document []byte) Record {
	return Record{Version: &version, End: &end, Document: document}
}

// Encode returns the record as it stands in the stream: JSON under gzip, since
// every host reads every version.
func (r Record) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "encode configuration record")
	}
	data, err := compress(text)
	return data, errors.Annotate(err, "compress configuration record")
}

// RecordError says why a record of the stream is not taken.
type RecordError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	s := "configuration record is wrong: " + e.Reason
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// decodeRecord reads a record. Unknown fields are ignored, so that later
// versions of the program may add some.
func decodeRecord(data []byte) (Record, error) {
	var r Record
	text, err := decompress(data)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, &RecordError{Reason: "not valid JSON", Cause: err}
	}
	if (r.Base == nil) == (r.Version == nil) {
		return r, &RecordError{Reason: "needs either base or version"}
	}
	if r.Version != nil && *r.Version < 1 {
		return r, &RecordError{Reason: "version is below 1"}
	}
	if len(r.Document) == 0 {
		return r, &RecordError{Reason: "no document"}
	}
	return r, nil
}

// isFutureFormat says whether a document has a later format than Format.
func isFutureFormat(document []byte) bool {
	var head struct {
		Format int `json:"format"`
	}
	return json.Unmarshal(document, &head) == nil && head.Format > Format
}
