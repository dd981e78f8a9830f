package upstream

import (
	"io"
	"strconv"
)

const (
	// maxHeadBytes bounds the header of an answer.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes bounds the body of an answer: a target that never ends it must
	// not hold a connection for ever, nor fill its caller's.
	maxAnswerBytes = 64 << 20
)

// TooLongError says that a target sent more than an answer may hold.
type AnswerTooLongError struct{ Limit int64 }

// Error implements error.
func (e *AnswerTooLongError) Error() string {
	return "answer of more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// limitedSource reads up to a number of bytes and then fails. Targets in trouble
// send bytes without end.
type limitedSource struct {
	io.Reader
	limit, left int64
}

// allow lets n further bytes through.
func (s *limitedSource) allow(n int64) { s.limit, s.left = n, n }

// Read implements io.Reader.
func (s *limitedSource) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, &AnswerTooLongError{Limit: s.limit}
	}
	n, err := s.Reader.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err
}
