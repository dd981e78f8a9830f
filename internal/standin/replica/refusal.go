package replica

import (
	"fmt"
	"net/http"
)

// repeatRefusal sends an earlier refusal on the connection once more, if that is the
// exchange's fault. It returns false if that failed.
func (x *exchange) repeatRefusal() bool {
	own := x.request.Header.Get("Request-Id")
	status, id := http.StatusServiceUnavailable, "Request-Id: "+own+"\r\n"
	switch x.fault {
	case FullAgain:
		if !x.refused[own] {
			return true
		}
	case FullAgainAnonymous:
		id = ""
	case FullAgainOther:
		id = "Request-Id: another\r\n"
	case MisdirectedAgainAnonymous:
		status, id = http.StatusMisdirectedRequest, ""
	default:
		return true
	}
	if len(x.refused) == 0 {
		return true
	}
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
	return err == nil
}
