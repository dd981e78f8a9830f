package gateway

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/juju/errors"

	"yuccausher/internal/core/route"
)

const (
	// defaultTotalBodyBytes limits the bodies of all requests in progress if the host's memory is not
	// known. It is a quarter of the memory of a small host.
	defaultTotalBodyBytes = 28 << 20
	// defaultMaxBodyBytes limits a body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyChunkBytes is the size of the first buffer of a body, and what each body may hold as long
	// as the others leave anything free.
	bodyChunkBytes = 32 << 10
)

// bodyBudget limits the memory used by bodies.
type bodyBudget struct {
	// limit is in bytes.
	limit int64
	used  atomic.Int64
}

func newBodyBudget(limit int64) *bodyBudget {
	if limit <= 0 {
		limit = defaultTotalBodyBytes
	}
	return &bodyBudget{limit: limit}
}

// acquire accounts for n more bytes. It returns false if they exceed the limit.
func (b *bodyBudget) acquire(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

func (b *bodyBudget) release(n int) { b.used.Add(-int64(n)) }

// acquireFor accounts for n more bytes of a body that has held bytes so far. It returns false if
// the body would hold more than the others leave free: bodies that never end must not take the
// room of short ones.
func (b *bodyBudget) acquireFor(held, n int) bool {
	if !b.acquire(n) {
		return false
	}
	if held += n; held > bodyChunkBytes && int64(held) > b.limit-b.used.Load() {
		b.release(n)
		return false
	}
	return true
}

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
	if j.r.ContentLength == 0 {
		return true
	}
	j.limitBodyTime()
	held := 0
	for body := []byte(nil); ; {
		if len(body) == cap(body) {
			size := nextBodySize(len(body), j.r.ContentLength, maxBytes)
			if !j.g.bodies.acquireFor(held, size) {
				j.g.bodies.release(held)
				j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: fullRetryAfter})
				return false
			}
			body = append(make([]byte, 0, size), body...)
			// The copy before is garbage from now on.
			j.g.bodies.release(held)
			held = size
		}
		n, err := j.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			j.g.bodies.release(held)
			j.refuse(refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
			return false
		case errors.Is(err, io.EOF):
			j.body, j.bodyHeld = body, held
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			j.g.bodies.release(held)
			j.refuse(refusal{status: http.StatusRequestTimeout, reason: "body_late", cause: err})
			return false
		case err != nil:
			j.g.bodies.release(held)
			j.fail("body_broken", err)
			return false
		}
	}
}

// limitBodyTime limits the time to receive the body to that of the whole request.
func (j *job) limitBodyTime() {
	err := http.NewResponseController(j.w).SetReadDeadline(j.deadline())
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		// The connection has failed, which reading the body shows. Requests that another host has
		// handed over don't support it; they end with that host's request.
		j.g.log.V(1).Info("Failed to limit the time to receive a body.", "request", j.call.RequestID, "cause", err.Error())
	}
}

// nextBodySize returns the size of the buffer for a body of which size bytes fill the one before.
// A byte more than the body shows its end, or that it is too long, without another buffer.
// length is the announced length, negative if there is none.
func nextBodySize(size int, length, maxBytes int64) int {
	most := maxBytes + 1
	if length >= 0 {
		most = length + 1
	}
	return int(min(most, max(2*int64(size), bodyChunkBytes)))
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
