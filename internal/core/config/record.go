package config

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Stream is the name of the log stream that carries the configuration.
const Stream = "config"

// Record is one record of the configuration stream. It is either a change, which
// holds a new document and the version that it is based on, or a copy of the
// version in force, which is published so that the document outlives the log's
// retention.
type Record struct {
	// Base is set in a change: the version that it is based on, 0 for the first
	// document.
	Base *int64 `json:"base,omitempty"`
	// Version is set in a copy: the version that it repeats.
	Version *int64 `json:"version,omitempty"`
	// End is the offset at which the writer expected the record to be appended. A
	// record appended there is in sequence: its writer had read all records before
	// it, so that its base or version was the current one.
	End *int64 `json:"end,omitempty"`
	// ID identifies the record to its writer.
	ID       string          `json:"id,omitempty"`
	Document json.RawMessage `json:"document"`
}

// NewChange returns the record of a new document. end is the offset at which the
// writer expects it to be appended.
func NewChange(base, end int64, id string, document []byte) Record {
	return Record{Base: &base, End: &end, ID: id, Document: document}
}

// NewCopy returns a record that repeats the version in force. end is the offset
// at which the writer expects it to be appended.
func NewCopy(version, end int64, document []byte) Record {
	return Record{Version: &version, End: &end, Document: document}
}

// Encode returns the record as stored in the stream. It is gzip-compressed JSON,
// because every host reads every version.
func (r Record) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "encode configuration record")
	}
	data, err := compress(text)
	return data, errors.Annotate(err, "compress configuration record")
}

// RecordError reports why a record of the stream was skipped.
type RecordError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	s := "invalid configuration record: " + e.Reason
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// decodeRecord decodes a record. Unknown fields are ignored, so that later
// releases may add fields. The error is a *RecordError.
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
		return r, &RecordError{Reason: "must have either base or version"}
	}
	if r.Version != nil && *r.Version < 1 {
		return r, &RecordError{Reason: "version is below 1"}
	}
	if len(r.Document) == 0 {
		return r, &RecordError{Reason: "no document"}
	}
	return r, nil
}

// isFutureFormat reports whether the format of a document is later than Format.
func isFutureFormat(document []byte) bool {
	var head struct {
		Format int `json:"format"`
	}
	return json.Unmarshal(document, &head) == nil && head.Format > Format
}
