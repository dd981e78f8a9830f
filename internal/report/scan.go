// Package report analyses the structured logs of one or more hosts: what became of the
// requests in each time window, and where programs lost their time.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes limits a line. Longer lines are counted as unknown.
const maxLineBytes = 1 << 20

// requestMessage is the message of the line that ends each request.
const requestMessage = "Request ended."

// Request is the line that ends a request.
type Request struct {
	Host string `json:"-"`
	// EndedAt is the time since the first line of the logs, Ended the time of day.
	EndedAt time.Duration `json:"-"`
	Ended   time.Time     `json:"time"`
	Message string        `json:"message"`

	ID      string `json:"request"`
	Program string `json:"program"`
	Route   string `json:"route"`
	Target  string `json:"target"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Events  int    `json:"events"`
	Runs    int    `json:"runs"`
	Refused int    `json:"refused_by"`

	// FinishMs is how long the program has left when the request arrives. All times
	// are in milliseconds.
	FinishMs  int64 `json:"finish_in_ms"`
	BodyMs    int64 `json:"body_ms"`
	ReserveMs int64 `json:"reserve_ms"`
	LookupMs  int64 `json:"lookup_ms"`
	PlaceMs   int64 `json:"place_ms"`
	ConnectMs int64 `json:"connect_ms"`
	WaitMs    int64 `json:"wait_ms"`
	KeepMs    int64 `json:"keep_ms"`
	FirstMs   int64 `json:"first_ms"`
	TotalMs   int64 `json:"ms"`
}

// begunAt returns when the request arrived.
func (r *Request) begunAt() time.Duration {
	return r.EndedAt - time.Duration(r.TotalMs)*time.Millisecond
}

// Lines counts the lines of the logs.
type Lines struct{ Requests, Other, Unknown int }

// Scanner reads logs. Lines may carry a prefix of seconds and the name of the host, as
// in a log that was collected from several hosts. The zero value is ready for use.
type Scanner struct {
	Lines Lines
	first time.Time
}

// Scan passes each request of a log to take. Lines that are not structured are counted.
// It returns an error if the log can't be read.
func (s *Scanner) Scan(log io.Reader, take func(Request)) error {
	reader := bufio.NewReaderSize(log, 64<<10)
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) <= maxLineBytes {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		s.scanLine(bytes.TrimSpace(line), take)
		line = line[:0]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "read log")
		}
	}
}

func (s *Scanner) scanLine(line []byte, take func(Request)) {
	if len(line) == 0 {
		return
	}
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		s.Lines.Unknown++
		return
	}
	if !bytes.Contains(line, []byte(requestMessage)) {
		s.Lines.Other++
		return
	}
	var r Request
	if err := json.Unmarshal(line[start:], &r); err != nil || r.Message != requestMessage {
		s.Lines.Unknown++
		return
	}
	s.Lines.Requests++
	s.locate(&r, string(bytes.TrimSpace(line[:start])))
	take(r)
}

// locate sets the host and the time of a request from the prefix of its line, or from
// the time of day if the line has none.
func (s *Scanner) locate(r *Request, prefix string) {
	fields := bytes.Fields([]byte(prefix))
	if len(fields) == 2 {
		if seconds, err := strconv.ParseFloat(string(fields[0]), 64); err == nil {
			r.EndedAt = time.Duration(seconds * float64(time.Second))
			r.Host = string(fields[1])
			return
		}
	}
	if s.first.IsZero() {
		s.first = r.Ended
	}
	r.EndedAt = r.Ended.Sub(s.first)
}
