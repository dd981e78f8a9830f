package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"yuccausher/internal/fault"
)

// checkShape compares a decoded JSON tree with the types of Document. Field names
// must match exactly, whereas encoding/json ignores case.
func checkShape(tree any) []fault.Field {
	var s shapeChecker
	s.value("", reflect.TypeFor[Document](), tree)
	return s.fields
}

// shapeChecker collects the shape faults of one document: unknown fields and
// values of the wrong type.
type shapeChecker struct {
	fields []fault.Field
}

func (s *shapeChecker) fail(path, message string) {
	s.fields = append(s.fields, fault.Field{Path: path, Message: message})
}

func (s *shapeChecker) value(path string, t reflect.Type, v any) {
	switch t.Kind() {
	case reflect.Struct:
		s.object(path, t, v)
	case reflect.Slice:
		s.list(path, t, v)
	case reflect.String:
		expect[string](s, path, v, "must be a string")
	case reflect.Bool:
		expect[bool](s, path, v, "must be true or false")
	default:
		s.number(path, t, v)
	}
}

func expect[T any](s *shapeChecker, path string, v any, message string) {
	if _, ok := v.(T); !ok {
		s.fail(path, message)
	}
}

func (s *shapeChecker) object(path string, t reflect.Type, v any) {
	object, ok := v.(map[string]any)
	if !ok {
		s.fail(path, "must be an object")
		return
	}
	known := fieldsOf(t)
	for _, name := range sortedKeys(object) {
		field, ok := known[name]
		if !ok {
			s.fail(joinPath(path, name), "unknown field")
			continue
		}
		s.value(joinPath(path, name), field, object[name])
	}
}

func (s *shapeChecker) list(path string, t reflect.Type, v any) {
	if v == nil {
		return
	}
	list, ok := v.([]any)
	if !ok {
		s.fail(path, "must be a list")
		return
	}
	for i, entry := range list {
		s.value(indexPath(path, i), t.Elem(), entry)
	}
}

func (s *shapeChecker) number(path string, t reflect.Type, v any) {
	n, ok := v.(json.Number)
	if !ok {
		s.fail(path, "must be a number")
		return
	}
	if err := json.Unmarshal([]byte(n), reflect.New(t).Interface()); err != nil {
		s.fail(path, "must be a number of type "+t.Kind().String()+", is "+n.String())
	}
}

// fieldsOf maps the JSON names of a struct to the types of its fields.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		fields[jsonName(f)] = f.Type
	}
	return fields
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
