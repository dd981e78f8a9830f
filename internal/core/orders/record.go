package orders

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Stream is the log stream that carries the claims and the loads.
const Stream = "orders"

// Kind says what a record means.
type Kind string

// The kinds of records.
const (
	// KindClaim makes the writer the steward of the target. The record's
	// offset plus one is the epoch, the fencing number of the steward's orders.
	KindClaim Kind = "claim"
	// KindLoad asks for a place among the targets that load weights.
	KindLoad Kind = "load"
	// KindLoaded gives the place back.
	KindLoaded Kind = "loaded"
)

// Holder is one process of a host.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is one entry of the stream.
type Record struct {
	Kind   Kind   `json:"kind"`
	Target string `json:"target"`
	Holder
	// Epoch is the steward's; a load record of an older one is void.
	Epoch int64 `json:"epoch,omitempty"`
}

// Encode returns the record as it stands in the stream.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Annotate(err, "encode orders record")
}

// RecordError says why a record can't be read.
type RecordError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	s := "orders record is wrong: " + e.Reason
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

func decodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, &RecordError{Reason: "not valid JSON", Cause: err}
	}
	if r.Target == "" || r.Host == "" {
		return r, &RecordError{Reason: "needs a target and a host"}
	}
	switch r.Kind {
	case KindClaim, KindLoad, KindLoaded:
		return r, nil
	}
	return r, &RecordError{Reason: "unknown kind " + string(r.Kind)}
}
