package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"yuccausher/internal/fault"
)

// Check parses a document and validates it. inForce is the document in force, or
// nil if there is none. The error is a *fault.Fault of type invalid_config that
// lists all invalid fields.
func Check(data []byte, inForce *Document) (*Document, error) {
	d, fields := parse(data)
	if d == nil {
		return nil, invalidConfig(fields)
	}
	for _, f := range validateFields(d, inForce) {
		if !isCoveredByShape(f.Path, fields) {
			fields = append(fields, f)
		}
	}
	if len(fields) > 0 {
		return nil, invalidConfig(fields)
	}
	return d, nil
}

// isCoveredByShape reports whether a fault at path follows from a shape fault
// because the value at path was not decoded.
func isCoveredByShape(path string, shape []fault.Field) bool {
	for _, f := range shape {
		if path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[") {
			return true
		}
	}
	return false
}

// Parse parses a document without validating it. The error is a *fault.Fault of
// type invalid_config that lists the paths of all unknown fields and of all values
// of the wrong type.
func Parse(data []byte) (*Document, error) {
	d, fields := parse(data)
	if len(fields) > 0 {
		return nil, invalidConfig(fields)
	}
	return d, nil
}

// parse decodes as much of a document as possible and lists the shape faults. The
// document is nil if the text is not a JSON object.
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

// decodeTree decodes exactly one JSON value. Numbers are decoded as json.Number.
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

// TrailingDataError reports data after a complete JSON value.
type TrailingDataError struct{}

// Error implements error.
func (*TrailingDataError) Error() string { return "data after the document" }

func invalidConfig(fields []fault.Field) *fault.Fault {
	f := fault.New(fault.InvalidConfig, fault.NotRun, "configuration document has %d wrong fields", len(fields))
	f.Fields = fields
	return f
}
