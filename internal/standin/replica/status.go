package replica

import (
	"fmt"
	"io"
)

// AnswerStatus makes all requests meet OddStatus with a status and its reason, such as "000 None".
func (r *Replica) AnswerStatus(status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.always, r.status = OddStatus, status
}

func (r *Replica) answerOddly(x *exchange) bool {
	r.mu.Lock()
	status := r.status
	r.mu.Unlock()
	id := x.request.Header.Get("Request-Id")
	inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 5\r\n\r\ninner", id, x.stamp())
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, id, x.stamp(), len(inner), inner)
	return err == nil
}

// AnswerInterim makes the next requests meet interim answers with these statuses before their answer.
func (r *Replica) AnswerInterim(statuses ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interim = statuses
}

// sendInterim sends the interim answers. It returns false if that failed.
func (r *Replica) sendInterim(x *exchange) bool {
	r.mu.Lock()
	statuses := r.interim
	r.mu.Unlock()
	for _, status := range statuses {
		if _, err := io.WriteString(x.conn, "HTTP/1.1 "+status+"\r\n\r\n"); err != nil {
			return false
		}
	}
	return true
}
