package upstream

import "net/http"

// Framing is how an answer marks the end of its body.
type Framing string

// The framings of answers.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// Unframed bodies end with their connection. A target that is killed closes its
	// connections as well, so that the end does not show that the body is complete.
	Unframed Framing = "connection"
)

// FramingOf returns the framing of an answer.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0:
		return FramedByLength
	}
	return Unframed
}
