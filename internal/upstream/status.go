package upstream

import (
	"net/http"
	"strconv"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// statusClass is what a status says about the answer that has it.
type statusClass int

const (
	// final answers end the exchange.
	final statusClass = iota
	// interim answers precede the final one.
	interim
	// invalid statuses are none of HTTP, or none that an answer to these requests may have: what
	// follows on the connection may be anything.
	invalid
)

// statusOf returns the class of an answer's status. Requests never ask for another protocol, so that 101
// is invalid.
func statusOf(response *http.Response) statusClass {
	switch status := response.StatusCode; {
	case status == http.StatusSwitchingProtocols || status < http.StatusContinue || status > maxStatus:
		return invalid
	case status < http.StatusOK:
		return interim
	}
	return final
}

// InvalidStatusError reports an answer with a status that no answer has.
type InvalidStatusError struct{ Status int }

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return "answer has the invalid status " + strconv.Itoa(e.Status)
}
