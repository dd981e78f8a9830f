package upstream

import (
	"io"
	"strconv"
)

const (
	// maxHeaderBytes limits the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxAnswerBytes limits the body of an answer. A target that never ends its answer
	// must not occupy its connection and that of the caller forever.
	maxAnswerBytes = 64 << 20
)

// AnswerTooLongError reports that a target sent a longer answer than allowed.
type AnswerTooLongError struct{ Limit int64 }

// Error implements error.
func (e *AnswerTooLongError) Error() string {
	return "answer exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// limitedReader reads up to a number of bytes and then returns *AnswerTooLongError.
// Faulty targets may send an endless answer.
type limitedReader struct {
	io.Reader
	limit, remaining int64
}

// reset allows n further bytes.
func (s *limitedReader) reset(n int64) { s.limit, s.remaining = n, n }

// Read implements io.Reader.
func (s *limitedReader) Read(p []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, &AnswerTooLongError{Limit: s.limit}
	}
	n, err := s.Reader.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	return n, err
}
