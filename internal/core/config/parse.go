package config

import (
	"bytes"
	"encoding/json"
	"io"

	"yuccausher/internal/fault"
)

// Check parses a document and validates it whole against the document in
// force, which is nil before the first. Its error is a *fault.Fault of type
// invalid_config that lists every wrong field.
func Check(data []byte, inForce *Document) (*Document, error) {
	d, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if err := Validate(d, inForce); err != nil {
		return nil, err
	}
	return d, nil
}

// Parse reads a document and refuses unknown fields and values of a wrong
// type, each by its path. Its error is a *fault.Fault of type invalid_config.
func Parse(data []byte) (*Document, error) {
	tree, err := decodeTree(data)
	if err != nil {
		return nil, invalid([]fault.Field{{Path: "", Message: "not valid JSON: " + err.Error()}})
	}
	if fields := checkShape(tree); len(fields) > 0 {
		return nil, invalid(fields)
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, invalid([]fault.Field{{Path: "", Message: err.Error()}})
	}
	return &d, nil
}

// decodeTree decodes exactly one JSON value and keeps numbers as written.
func decodeTree(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, &TrailingDataError{}
	}
	return tree, nil
}

// TrailingDataError says that something follows a complete JSON value.
type TrailingDataError struct{}

// Error implements error.
func (*TrailingDataError) Error() string { return "data after the document" }

func invalid(fields []fault.Field) *fault.Fault {
	f := fault.New(fault.InvalidConfig, fault.NotRun, "configuration document has %d wrong fields", len(fields))
	f.Fields = fields
	return f
}
