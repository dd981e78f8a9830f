package replica

import (
	"io"
	"strings"
)

// RawID stands for the request's ID in the bytes of AnswerRaw.
const RawID = "{id}"

// AnswerRaw makes all requests meet Raw with these bytes.
func (r *Replica) AnswerRaw(answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.always, r.raw = Raw, answer
}

func (r *Replica) answerRaw(x *exchange) {
	r.mu.Lock()
	answer := r.raw
	r.mu.Unlock()
	// A caller that has gone needs no answer.
	_, _ = io.WriteString(x.conn, strings.ReplaceAll(answer, RawID, x.request.Header.Get("Request-Id")))
}
