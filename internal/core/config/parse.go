package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"yuccausher/internal/fault"
)

// Check parses a document and validates it whole against the document in
// force, which is nil before the first. Its error is a *fault.Fault of type
// invalid_config that lists every wrong field.
func Check(data []byte, inForce *Document) (*Document, error) {
	d, fields := parse(data)
	if d == nil {
		return nil, invalid(fields)
	}
	for _, f := range faultsOf(d, inForce) {
		if !isCovered(f.Path, fields) {
			fields = append(fields, f)
		}
	}
	if len(fields) > 0 {
		return nil, invalid(fields)
	}
	return d, nil
}

// isCovered says whether a fault at path follows from one of the faults of
// shape: the value was not decoded.
func isCovered(path string, shape []fault.Field) bool {
	for _, f := range shape {
		if path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[") {
			return true
		}
	}
	return false
}

// Parse reads a document and refuses unknown fields and values of a wrong
// type, each by its path. Its error is a *fault.Fault of type invalid_config.
func Parse(data []byte) (*Document, error) {
	d, fields := parse(data)
	if len(fields) > 0 {
		return nil, invalid(fields)
	}
	return d, nil
}

// parse reads what it can of a document and lists the faults of shape. The
// document is nil if the text is no JSON object at all.
func parse(data []byte) (*Document, []fault.Field) {
	tree, err := decodeTree(data)
	if err != nil {
		return nil, []fault.Field{{Path: "", Message: "not valid JSON: " + err.Error()}}
	}
	fields := checkShape(tree)
	if _, ok := tree.(map[string]any); !ok {
		return nil, fields
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil && len(fields) == 0 {
		return nil, []fault.Field{{Path: "", Message: err.Error()}}
	}
	return &d, fields
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
