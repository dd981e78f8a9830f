// Package fieldname checks the names of the fields in received heads and trailers.
package fieldname

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// InvalidError reports a field whose name is not a token (RFC 9110, section 5.1). What the rest of the
// message means is not known then: "Transfer-Encoding :" may be meant to frame the body or not.
type InvalidError struct{ Name string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid field name " + strconv.Quote(e.Name) }

// Check returns an *InvalidError if the name of a received field is not a token. net/http refuses other
// such names, but accepts blanks in them.
func Check(fields http.Header) error {
	for name, values := range fields {
		// Fields without a value were announced by the field Trailer and have not been received.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return &InvalidError{Name: name}
		}
	}
	return nil
}
