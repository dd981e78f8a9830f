package orders

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Stream is the name of the log stream that carries claims and loads.
const Stream = "orders"

// Kind is the type of a record.
type Kind string

// Record kinds.
const (
	// KindClaim makes the writer the lease holder of the target. The record's
	// offset plus one is the epoch, the fencing number of the holder's orders.
	KindClaim Kind = "claim"
	// KindLoad queues the target for a slot to load weights.
	KindLoad Kind = "load"
	// KindLoaded removes the target from the queue of loads.
	KindLoaded Kind = "loaded"
)

// Holder identifies the process that holds a claim: one run of a host.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is one record of the stream, encoded as JSON.
type Record struct {
	Kind   Kind   `json:"kind"`
	Target string `json:"target"`
	Holder
	// Epoch is the epoch of the writer's claim. Load and loaded records with an
	// epoch other than the target's latest are void.
	Epoch int64 `json:"epoch,omitempty"`
}

// Encode returns the record as stored in the stream.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Annotate(err, "encode orders record")
}

// RecordError reports that a record is invalid and was skipped.
type RecordError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	s := "invalid orders record: " + e.Reason
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
		return r, &RecordError{Reason: "target or host is missing"}
	}
	switch r.Kind {
	case KindClaim, KindLoad, KindLoaded:
		return r, nil
	}
	return r, &RecordError{Reason: "unknown kind " + string(r.Kind)}
}
