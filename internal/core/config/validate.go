package config

import (
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"

	"yuccausher/internal/fault"
)

var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// Validate checks each value, the references between entries, and that the
// parts which are fixed stay as they are in the document in force, which is
// nil before the first. Its error is a *fault.Fault of type invalid_config.
func Validate(d, inForce *Document) error {
	fields := faultsOf(d, inForce)
	if len(fields) == 0 {
		return nil
	}
	return invalid(fields)
}

func faultsOf(d, inForce *Document) []fault.Field {
	fields := checkValues(d)
	fields = append(fields, checkNames(d)...)
	fields = append(fields, checkReferences(d)...)
	fields = append(fields, checkCoverage(d)...)
	fields = append(fields, checkBudgets(d)...)
	return append(fields, checkFixed(d, inForce)...)
}

// checkValues applies the rules in the tags of the document's types.
func checkValues(d *Document) []fault.Field {
	err := rules.Struct(d)
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

// pathOf drops the name of the document's type from a namespace.
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
