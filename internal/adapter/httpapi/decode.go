package httpapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"yuccausher/internal/fault"
)

// readBody reads a bounded body within the body timeout. The read deadline is
// lifted afterwards, since it would end the watch for callers that hang up.
func (a *API) readBody(c *gin.Context, limit int64) ([]byte, *fault.Fault) {
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(time.Now().Add(a.Limits.BodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	}
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return nil, invalid("body is longer than %d bytes", limit)
	}
	c.Header("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, invalid("body did not arrive within %s", a.Limits.BodyTimeout)
	}
	return nil, invalid("body did not arrive whole").WithCause(err)
}

// decode reads one JSON object into out and refuses unknown fields.
func (a *API) decode(c *gin.Context, out any) *fault.Fault {
	data, f := a.readBody(c, a.Limits.MaxBodyBytes)
	if f != nil {
		return f
	}
	return strict(data, out)
}

func strict(data []byte, out any) *fault.Fault {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return wrongJSON(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid("body has more after its JSON value")
	}
	return nil
}

// unknownField is how encoding/json starts the message about such a field.
const unknownField = "json: unknown field "

func wrongJSON(err error) *fault.Fault {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return invalidFields(fault.Field{Path: kind.Field, Message: "must be " + kindName(kind) + ", not " + kind.Value})
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return invalidFields(fault.Field{Path: strings.Trim(name, `"`), Message: "is not a known field"})
	}
	return invalid("body is not the expected JSON: %s", err.Error())
}

func kindName(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind().String() {
	case "int64", "int":
		return "an integer"
	case "bool":
		return "true or false"
	case "string":
		return "a string"
	}
	return "an object"
}

func invalid(format string, args ...any) *fault.Fault {
	return fault.New(fault.InvalidRequest, fault.NotRun, format, args...)
}

// invalidFields names all wrong fields in the message and one by one.
func invalidFields(fields ...fault.Field) *fault.Fault {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		parts = append(parts, f.Path+" "+f.Message)
	}
	f := invalid("%s", strings.Join(parts, "; "))
	f.Fields = fields
	return f
}
