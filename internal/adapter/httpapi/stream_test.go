package httpapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yuccausher/internal/adapter/httpapi"
	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// events reads the events of a stream until it ends.
func (f *fixture) events(body string) (*http.Response, []string) {
	f.Helper()
	reply, err := http.Post(f.url+"/v1/programs/k.1/calls", "application/json", strings.NewReader(body))
	f.NoErr(err)
	defer func() { _ = reply.Body.Close() }()
	var events []string
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		if line := lines.Text(); line != "" && line != ":" {
			events = append(events, line)
		}
	}
	return reply, events
}

var streamed = strings.Replace(goodModel, `{`, `{"stream":true,`, 1)

func TestStreamedCall(t *testing.T) {
	f := start(t, nil)
	read := make(chan struct{})
	f.programs.call = func(_ context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
		defer close(read)
		f.NoErr(sink(port.Delta{Text: "a\n<"}))
		return answerTo(c), nil
	}
	reply, events := f.events(streamed)
	<-read
	f.Equal(reply.StatusCode, 200)
	f.Equal(reply.Header.Get("Content-Type"), "text/event-stream")
	f.Equal(events, []string{
		"event: delta", `data: {"offset":0,"text":"a\n<"}`,
		"event: done", `data: {"program_id":"k.1","seq":1,"request_id":"r1","output":"<b>","usage":{"prompt_tokens":0,"cached_tokens":0,"output_tokens":0},"target":"t","turn_digest":""}`,
	})
}

func TestStreamedFailure(t *testing.T) {
	f := start(t, nil)
	f.programs.err = fault.New(fault.Overloaded, fault.NotRun, "full").WithRetryAfter(time.Second)
	_, events := f.events(streamed)
	f.Equal(events, []string{
		"event: error", `data: {"error":{"type":"overloaded","run":"not_run","message":"full","request_id":"r1","retry_after_ms":1000}}`,
	})
	f.programs.call = func(context.Context, port.Call, port.Sink) (port.Answer, error) { panic("fault in the code") }
	_, events = f.events(streamed)
	f.Equal(events[0], "event: error")
	f.True(strings.Contains(events[1], `"type":"internal"`))
}

func TestDisconnectedCallerCancelsTheCall(t *testing.T) {
	for name, body := range map[string]string{"whole": goodModel, "streamed": streamed} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			started, ended := make(chan struct{}), make(chan struct{})
			f.programs.call = func(ctx context.Context, _ port.Call, _ port.Sink) (port.Answer, error) {
				close(started)
				<-ctx.Done()
				close(ended)
				return port.Answer{}, ctx.Err()
			}
			ctx, cancel := context.WithCancel(context.Background())
			q, err := http.NewRequestWithContext(ctx, "POST", f.url+"/v1/programs/k.1/calls", strings.NewReader(body))
			f.NoErr(err)
			go func() {
				<-started
				cancel()
			}()
			if reply, err := http.DefaultClient.Do(q); err == nil {
				_, err = io.ReadAll(reply.Body)
				f.True(err != nil)
				_ = reply.Body.Close()
			}
			<-ended
		})
	}
}

func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Limits.WriteTimeout = 50 * time.Millisecond })
	ended := make(chan error, 1)
	f.programs.call = func(ctx context.Context, _ port.Call, sink port.Sink) (port.Answer, error) {
		var offset int64
		text := strings.Repeat("x", 64<<10)
		for ctx.Err() == nil {
			if err := sink(port.Delta{Offset: offset, Text: text}); err == nil {
				offset += int64(len(text))
			}
			time.Sleep(time.Millisecond)
		}
		ended <- ctx.Err()
		return port.Answer{}, ctx.Err()
	}
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	f.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /v1/programs/k.1/calls HTTP/1.1\r\nHost: h\r\nContent-Length: "+
		itoa(len(streamed))+"\r\n\r\n"+streamed)
	f.NoErr(err)
	f.True(<-ended != nil)
}

func TestSlowBodyIsRefused(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Limits.BodyTimeout = 50 * time.Millisecond })
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	f.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /v1/programs HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	f.NoErr(err)
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	f.NoErr(err)
	defer func() { _ = reply.Body.Close() }()
	f.Equal(reply.StatusCode, 400)
}

// The write deadline of an earlier answer on the same connection must not
// interrupt a later one.
func TestLongCallOutlivesTheWriteTimeout(t *testing.T) {
	f := start(t, func(p *httpapi.Params) {
		p.Limits.WriteTimeout = 30 * time.Millisecond
		p.Limits.BodyTimeout = 30 * time.Millisecond
		p.Limits.Heartbeat = 10 * time.Millisecond
	})
	f.programs.call = func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
		time.Sleep(100 * time.Millisecond)
		return answerTo(c), nil
	}
	for range 2 {
		status, _, _ := f.send("POST", "/v1/programs/k.1/calls", goodModel)
		f.Equal(status, 200)
		_, events := f.events(streamed)
		f.Equal(events[0], "event: done")
	}
}

func TestRequestsAboveTheLimitAreRefused(t *testing.T) {
	for name, bound := range map[string]func(*httpapi.Limits){
		"requests": func(l *httpapi.Limits) { l.MaxRequests = 1 },
		"bytes":    func(l *httpapi.Limits) { l.MaxTotalBodyBytes = int64(len(goodModel)) },
	} {
		t.Run(name, func(t *testing.T) { refusesSecond(t, bound) })
	}
}

func refusesSecond(t *testing.T, bound func(*httpapi.Limits)) {
	f := start(t, func(p *httpapi.Params) { bound(&p.Limits) })
	started, release := make(chan struct{}), make(chan struct{})
	f.programs.call = func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
		close(started)
		<-release
		return answerTo(c), nil
	}
	done := make(chan int, 1)
	go func() {
		reply, err := http.Post(f.url+"/v1/programs/k.1/calls", "application/json", strings.NewReader(goodModel))
		if err != nil {
			done <- 0
			return
		}
		_ = reply.Body.Close()
		done <- reply.StatusCode
	}()
	<-started
	status, body, _ := f.send("POST", "/v1/programs", goodOpen)
	f.Equal(status, 429)
	r := f.failure(body)
	f.Equal(r.Error.Type, "overloaded")
	f.Equal(r.Error.Run, "not_run")
	f.True(r.Error.RetryAfterMS > 0)
	close(release)
	f.Equal(<-done, 200)
}

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Snapshots = &config.Holder{} })
	status, body, _ := f.send("POST", "/v1/programs", goodOpen)
	f.Equal(status, 503)
	f.Equal(f.failure(body).Error.Run, "not_run")
}

func itoa(n int) string {
	data, _ := json.Marshal(n)
	return string(data)
}
