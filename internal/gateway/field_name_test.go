package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

const (
	// rawHead is the first part of the head of an answer.
	rawHead = "HTTP/1.1 200 OK\r\nRequest-Id: " + replica.RawID + "\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
	// rawEvent is a body that any route may have, and rawChunk the same in chunks, without the end of their
	// trailer.
	rawEvent = "id: 1\ndata: part 1\n\n"
	rawChunk = "14\r\n" + rawEvent + "\r\n0\r\n"
)

// framed returns an answer with a field line in its head and a length.
func framed(line string) string {
	return rawHead + line + "\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rawEvent)) + rawEvent
}

// unframed returns an answer with a field line at the end of its head and neither a length nor chunks.
func unframed(line, body string) string { return rawHead + line + "\r\n\r\n" + body }

// sendOverEachRoute sends a request over each kind of route and returns the answers by the requests' IDs.
func (s *fixture) sendOverEachRoute() map[string]answer {
	s.t.Helper()
	answers := make(map[string]answer)
	for id, path := range map[string]string{"posting": posting, "lookup": lookup, "stream": turns, "single": single, "talk": conversationTurn} {
		answers[id] = s.mustSend(request{method: http.MethodPost, path: path, id: id, header: turnHeader("p" + id)})
	}
	return answers
}

// A target in trouble sends an answer in which the name of a field is not a token. With a blank in it the
// answer was passed on: without that line, with the line as a part of the one before, or with the sizes of its
// chunks in the body.
func TestAnswerWithAnInvalidFieldNameIsNoAnswer(t *testing.T) {
	answers := map[string]string{
		"blank":                   framed("X Spoiled: 1"),
		"blank before the colon":  framed("X-Spoiled : 1"),
		"blank in the length":     framed("Content Length: 7"),
		"blank after the length":  unframed("Content-Length : 7", rawEvent),
		"blank after the coding":  unframed("Transfer-Encoding : chunked", rawChunk+"\r\n"),
		"blank in the signature":  framed("Server Stamp: 1"),
		"interim":                 "HTTP/1.1 103 Early Hints\r\nX Spoiled: 1\r\n\r\n" + framed("X-Sound: 1"),
		"blank first":             framed("X-Sound: 1\r\n X-Spoiled: 1"),
		"blank before the coding": unframed("X-Sound: 1\r\n Transfer-Encoding: chunked", rawChunk+"\r\n"),
		"tab before the coding":   unframed("X-Sound: 1\r\n\tTransfer-Encoding: chunked", rawChunk+"\r\n"),
		"blank before, interim":   "HTTP/1.1 103 Early Hints\r\nX-Sound: 1\r\n X-Spoiled: 1\r\n\r\n" + framed("X-Sound: 1"),
		"blank after an interim":  "HTTP/1.1 103 Early Hints\r\nX-Sound: 1\r\n\r\n" + framed("X-Sound: 1\r\n X-Spoiled: 1"),
		"tab":                     framed("X\tSpoiled: 1"),
		"tab before the colon":    framed("X-Spoiled\t: 1"),
		"no name":                 framed(": 1"),
		"no colon":                framed("X-Spoiled"),
		"not ASCII":               framed("X-Spoil\u00e9d: 1"),
		"a separator":             framed("X(Spoiled): 1"),
		"control byte before":     framed("\x01X-Spoiled: 1"),
		"length with control":     unframed("Content-Length\x00: 7", rawEvent),
		"coding with control":     unframed("Transfer-Encoding\x0b: chunked", rawChunk+"\r\n"),
		"control byte in a value": framed("X-Spoiled: \x01"),
	}
	for _, b := range []byte{0, 1, 0x0b, '\r', 0x1b, 0x7f} {
		answers[fmt.Sprintf("byte %02x", b)] = framed("X" + string(rune(b)) + "Spoiled: 1")
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.add(app, replica.Options{ID: "app"}).AnswerRaw(answer)
			s.add(models, replica.Options{ID: "models"}).AnswerRaw(answer)
			for name, a := range s.sendOverEachRoute() {
				is := is.New(t)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.header.Get("Server-Stamp"), "")
				is.Equal(s.runsOf(name), 1)
			}
		})
	}
}

// The trailer of an answer in chunks is read after its body, of which callers of streams have a part.
func TestTrailerWithAnInvalidFieldNameCompletesNoAnswer(t *testing.T) {
	for _, trailer := range []string{"X Spoiled: 1\r\n", "X-Spoiled : 1\r\n", "X\x01: 1\r\n"} {
		s := newFixture(t)
		answer := rawHead + "Transfer-Encoding: chunked\r\n\r\n" + rawChunk + trailer + "\r\n"
		s.add(app, replica.Options{ID: "app"}).AnswerRaw(answer)
		s.add(models, replica.Options{ID: "models"}).AnswerRaw(answer)
		for name, a := range s.sendOverEachRoute() {
			is := is.New(t)
			is.True(a.status == http.StatusBadGateway || a.err != nil)
			is.Equal(s.runsOf(name), 1)
		}
	}
}

// Names of all bytes that tokens may have are passed on, and so are the fields of sound trailers.
func TestAnswersWithUnusualFieldNamesArePassedOn(t *testing.T) {
	for name, answer := range map[string]string{
		"token":   framed("!#$%&'*+-.^_`|~09azAZ: 1"),
		"trailer": rawHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunk + "X-Sum: 1\r\n\r\n",
		"no sum":  rawHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunk + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.add(app, replica.Options{ID: "app"}).AnswerRaw(answer)
			s.add(models, replica.Options{ID: "models"}).AnswerRaw(answer)
			for _, a := range s.sendOverEachRoute() {
				is := is.New(t)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
				is.Equal(a.body, rawEvent)
			}
		})
	}
}

// An idempotent request goes to another target, and one that must not run twice does not.
func TestRequestIsRepeatedAfterAnInvalidFieldName(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "odd", Work: time.Millisecond}).AnswerRaw(framed("X Spoiled: 1"))
	s.add(app, replica.Options{ID: "sound", Work: time.Millisecond})
	for n := range 6 {
		id := fmt.Sprint("r", n)
		a := s.mustSend(request{path: lookup, id: id})
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, "answer to "+id)
		s.mustSend(request{method: http.MethodPost, path: posting, id: "p" + id})
		is.Equal(s.runsOf("p"+id), 1)
	}
}
