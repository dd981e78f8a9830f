package config

import (
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"

	"yuccausher/internal/fault"
)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// Validate checks all values, the references between entries, and that the fixed
// settings equal those of inForce, the document in force, or nil if there is none.
// The error is a *fault.Fault of type invalid_config.
func Validate(d, inForce *Document) error {
	fields := validateFields(d, inForce)
	if len(fields) == 0 {
		return nil
	}
	return invalidConfig(fields)
}

func validateFields(d, inForce *Document) []fault.Field {
	fields := checkValues(d)
	fields = append(fields, checkNames(d)...)
	fields = append(fields, checkReferences(d)...)
	fields = append(fields, checkCoverage(d)...)
	fields = append(fields, checkBudgets(d)...)
	return append(fields, checkFixed(d, inForce)...)
}

// checkValues applies the validate tags of the document's types.
func checkValues(d *Document) []fault.Field {
	err := structValidator.Struct(d)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return nil
	}
	fields := make([]fault.Field, 0, len(faults))
	for _, f := range faults {
		fields = append(fields, fault.Field{Path: pathOf(f), Message: messageOf(f)})
	}
	return fields
}

// pathOf returns the path of a field: its namespace without the type name.
func pathOf(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	return path
}

func messageOf(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "eq":
		return "must be " + f.Param()
	case "min":
		return "must be at least " + f.Param()
	case "max":
		return "must be at most " + f.Param()
	case "ltefield":
		return "must be at most the value of " + f.Param()
	case "oneof":
		return "must be one of " + f.Param()
	case "http_url":
		return "must be an http or https URL"
	}
	return "breaks the rule " + f.Tag()
}
