package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/juju/errors"

	"yuccausher/internal/core/route"
)

const (
	// maxTotalBodyBytes limits the bodies of all requests in progress. It is a quarter
	// of the memory of a small host.
	maxTotalBodyBytes = 28 << 20
	// defaultMaxBodyBytes limits a body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyChunkBytes is how much of a body is read at a time.
	bodyChunkBytes = 32 << 10
)

// bodyBudget limits the memory used by bodies.
type bodyBudget struct{ used atomic.Int64 }

// acquire accounts for n more bytes. It returns false if they exceed the limit.
func (b *bodyBudget) acquire(n int) bool {
	if b.used.Add(int64(n)) > maxTotalBodyBytes {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

func (b *bodyBudget) release(n int) { b.used.Add(-int64(n)) }

// readBody reads the complete body, so that the request can be sent again after a
// target has refused it. It returns false after it has ended the request.
func (j *job) readBody(limits route.Limits) bool {
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if j.r.ContentLength > maxBytes {
		j.refuse(refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
		return false
	}
	if limits.HeaderBytes > 0 && headerBytes(j.r) > limits.HeaderBytes {
		j.refuse(refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"})
		return false
	}
	var body bytes.Buffer
	chunk := int64(bodyChunkBytes)
	if n := j.r.ContentLength; n >= 0 {
		chunk = min(n, bodyChunkBytes)
	}
	for {
		n, err := io.CopyN(&body, j.r.Body, max(chunk, 1))
		if !j.g.bodies.acquire(int(n)) {
			j.g.bodies.release(body.Len() - int(n))
			j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: fullRetryAfter})
			return false
		}
		if int64(body.Len()) > maxBytes {
			j.g.bodies.release(body.Len())
			j.refuse(refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
			return false
		}
		if errors.Is(err, io.EOF) {
			j.body = body.Bytes()
			return true
		}
		if err != nil {
			j.g.bodies.release(body.Len())
			j.fail("body_broken", err)
			return false
		}
	}
}

// headerBytes returns the approximate size of a request's header as it was received.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
