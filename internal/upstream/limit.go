package upstream

import (
	"io"
	"strconv"

	"yuccausher/internal/memory"
)

const (
	// maxHeaderBytes limits the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxAnswerBytes limits the body of an answer. A target that never ends its answer
	// must not occupy its connection and that of the caller forever.
	maxAnswerBytes = 64 << 20
	// uncountedHeaderBytes is how long a header may be without taking memory from the
	// pool's budget. Beyond that a byte takes headerByteCost, as a field of a few bytes
	// does when it is decoded.
	uncountedHeaderBytes = 4 << 10
	headerByteCost       = 8
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
	// header is the memory for the header that is being read; nil for a body, which
	// is not kept here.
	header *memory.Share
	// folds looks for folded lines in the header.
	folds foldScanner
}

// beginHeader allows a header, which takes its memory from a budget. buffered are its bytes that have
// been read already.
func (s *limitedReader) beginHeader(b *memory.Budget, buffered []byte) {
	s.limit, s.remaining = maxHeaderBytes, maxHeaderBytes
	s.header = b.NewShare()
	s.folds = foldScanner{}
	s.folds.scan(buffered)
}

// beginBody allows a body, after the header has been read or has failed.
func (s *limitedReader) beginBody() {
	s.limit, s.remaining = maxAnswerBytes, maxAnswerBytes
	s.header.Release()
	s.header = nil
}

// Read implements io.Reader.
func (s *limitedReader) Read(p []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, &AnswerTooLongError{Limit: s.limit}
	}
	n, err := s.Reader.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	if s.header != nil {
		s.folds.scan(p[:n])
		if full := s.header.Cover(headerByteCost * (s.limit - s.remaining - uncountedHeaderBytes)); full != nil {
			return 0, full
		}
	}
	return n, err
}
