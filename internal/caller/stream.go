package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"yuccausher/internal/adapter/eventstream"
	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/port"
)

// The events of a streamed call.
const (
	eventDelta = "delta"
	eventDone  = "done"
	eventError = "error"
)

// StreamError says that a stream ended without its typed end, or that its
// pieces do not make up its end.
type StreamError struct{ Problem string }

// Error implements error.
func (e *StreamError) Error() string { return "stream: " + e.Problem }

// Stream makes a call and hands its output to sink as it comes. After a
// failed attempt the next one starts from the beginning.
func (c *Caller) Stream(ctx context.Context, programID string, call Call, sink func(text string)) (port.Answer, error) {
	call.Stream = true
	var answer port.Answer
	err := c.rounds(ctx, func(base string) error {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		var err error
		answer, err = c.stream(ctx, base+pathOf(programID)+"/calls", call, sink)
		return err
	})
	return answer, err
}

func (c *Caller) stream(ctx context.Context, url string, call Call, sink func(text string)) (port.Answer, error) {
	response, err := c.http.Open(ctx, http.MethodPost, url, call)
	if err != nil {
		return port.Answer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, err := httpcall.ReadBody(response)
		if err != nil {
			return port.Answer{}, errors.Trace(err)
		}
		return port.Answer{}, faultOf(response.StatusCode, body)
	}
	return readStream(response.Body, sink)
}

// readStream reads up to the typed end and checks that the pieces make up the
// whole output.
func readStream(body io.Reader, sink func(text string)) (port.Answer, error) {
	events := eventstream.NewReader(body, httpcall.MaxBodyBytes)
	var whole string
	for {
		event, err := events.Next()
		if err == io.EOF {
			return port.Answer{}, &StreamError{Problem: "no typed end"}
		}
		if err != nil {
			return port.Answer{}, errors.Trace(err)
		}
		switch event.Name {
		case eventDelta:
			err = addDelta(event.Data, &whole, sink)
		case eventDone:
			return wholeAnswer(event.Data, whole)
		case eventError:
			return port.Answer{}, faultOf(http.StatusOK, event.Data)
		}
		if err != nil {
			return port.Answer{}, err
		}
	}
}

func addDelta(data []byte, whole *string, sink func(text string)) error {
	var d struct {
		Offset int    `json:"offset"`
		Text   string `json:"text"`
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return errors.Annotate(err, "decode delta")
	}
	if d.Offset != len(*whole) {
		return &StreamError{Problem: "gap or repeat"}
	}
	*whole += d.Text
	if sink != nil {
		sink(d.Text)
	}
	return nil
}

func wholeAnswer(data []byte, whole string) (port.Answer, error) {
	var answer port.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return port.Answer{}, errors.Annotate(err, "decode end")
	}
	var output string
	if json.Unmarshal(answer.Output, &output) != nil || output != whole {
		return port.Answer{}, &StreamError{Problem: "pieces differ from the whole output"}
	}
	return answer, nil
}
