package httpapi

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"yuccausher/internal/fault"
)

// The bounds of the Retry-After time.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

const contentJSON = "application/json; charset=utf-8"

// ErrorBody is the JSON body of every failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure to the caller.
type ErrorDetail struct {
	Type         fault.Type    `json:"type"`
	Run          fault.Run     `json:"run"`
	Message      string        `json:"message"`
	RequestID    string        `json:"request_id"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Fields       []fault.Field `json:"fields,omitempty"`
}

func bodyOf(f *fault.Fault) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Type:         f.Type,
		Run:          f.Run,
		Message:      f.Message,
		RequestID:    f.RequestID,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
		Fields:       f.Fields,
	}}
}

// refuse answers with the fault in err and the status of its type.
func (a *API) refuse(c *gin.Context, err error) {
	f := fault.Of(err)
	a.refuseAs(c, fault.Status(f.Type), f)
}

func (a *API) refuseAs(c *gin.Context, status int, f *fault.Fault) {
	a.recordFailure(f)
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		c.Header("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	a.write(c, status, bodyOf(f))
}

// recordFailure counts a failure and logs its cause, which callers don't see.
func (a *API) recordFailure(f *fault.Fault) {
	a.metrics.countRefusal(f.Type)
	if f.Type == fault.Internal {
		a.Log.Error(f.Unwrap(), "Request failed.", "request", f.RequestID)
		return
	}
	a.Log.V(1).Info("Request refused.", "type", f.Type, "run", f.Run, "request", f.RequestID)
}

// write sends body as JSON within the write timeout.
func (a *API) write(c *gin.Context, status int, body any) {
	data, err := encode(body)
	if err != nil {
		a.Log.Error(err, "Failed to encode answer.", "path", c.FullPath())
		status = http.StatusInternalServerError
		data, _ = encode(bodyOf(fault.New(fault.Internal, fault.Unknown, "answer can't be encoded")))
	}
	a.writeRaw(c, status, data)
}

func (a *API) writeRaw(c *gin.Context, status int, data []byte) {
	control := http.NewResponseController(c.Writer)
	_ = control.SetWriteDeadline(time.Now().Add(a.Limits.WriteTimeout))
	c.Data(status, contentJSON, data)
}

// encode returns v as JSON. HTML characters are not escaped, so that callers'
// values are unchanged.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// retryAfter returns a jittered time after which a caller may retry.
func retryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}
