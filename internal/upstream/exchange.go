package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// inlineBytes is the longest request that is written before its answer is
	// read. It fits any socket buffer.
	inlineBytes = 8 << 10
	// maxStrayAnswers is how many answers to earlier requests are skipped
	// before the connection is given up.
	maxStrayAnswers = 3
	// drainTimeout and maxDrainBytes bound the rest of an answer that is read so that
	// its connection can be used again.
	drainTimeout  = 20 * time.Millisecond
	maxDrainBytes = 16 << 10
	// maxStrayBytes bounds the body of an answer that is skipped.
	maxStrayBytes = 1 << 20
)

// Request is a request as it goes to a target.
type Request struct {
	Method string
	// URI is the request line's path and query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange sends a request and returns the header of its answer; the body
// follows. isOwn says whether an answer's header belongs to the request. When
// ctx ends, the connection fails. Errors are *ExchangeError.
func (c *Conn) Exchange(ctx context.Context, r Request, isOwn func(http.Header) bool) (*http.Response, error) {
	c.clean = false
	c.writing = make(chan struct{})
	data := r.encode()
	n := new(int)
	if len(data) <= inlineBytes {
		c.write(data, n)
	} else {
		go c.write(data, n)
	}
	response, garbled, err := c.receive(r.Method, isOwn)
	if err == nil {
		return response, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	// The writer ends with the connection.
	_ = c.Conn.Close()
	<-c.writing
	return nil, &ExchangeError{Target: c.target.ID, Sent: *n > 0, Garbled: garbled, Cause: err}
}

func (c *Conn) write(data []byte, n *int) {
	*n, c.written = c.Conn.Write(data)
	close(c.writing)
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// A buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// receive reads the header of the answer. Answers to earlier requests, which
// may arrive late, are skipped.
func (c *Conn) receive(method string, isOwn func(http.Header) bool) (_ *http.Response, garbled bool, _ error) {
	for range maxStrayAnswers {
		c.source.allow(maxHeadBytes)
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, !isTimeout(err), err
		}
		c.source.allow(maxAnswerBytes)
		if response.StatusCode < http.StatusOK {
			continue
		}
		if isOwn(response.Header) {
			c.observe(response)
			return response, false, nil
		}
		if response.ContentLength < 0 || response.ContentLength > maxStrayBytes {
			return nil, true, errors.New("answer to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, true, err
		}
	}
	return nil, true, errors.New("answers to other requests only")
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// observe takes what the answer says about the connection, and makes the end
// of the body mark it as clean.
func (c *Conn) observe(response *http.Response) {
	c.keepFor(response.Header.Get("Keep-Alive"))
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	keeps := !response.Close && isFramed
	if response.ContentLength == 0 {
		c.clean = keeps
	}
	response.Body = &body{ReadCloser: response.Body, conn: c, keeps: keeps}
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	conn  *Conn
	keeps bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.clean = b.keeps
	}
	return n, err
}

// Watch makes the connection fail when ctx ends. The function that it returns
// stops that.
func (c *Conn) CancelOnDone(ctx context.Context) (stop func()) {
	off := context.AfterFunc(ctx, func() {
		// A time in the past fails all that is under way.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	return func() { off() }
}

// Abort closes a connection whose exchange is given up, so that the target
// stops its work.
func (c *Conn) Abort() { c.pool.drop(c) }

// Drain reads the rest of an answer that nobody needs and gives the connection
// back. An answer that is long or slow is not worth its connection.
func (c *Conn) Drain(response *http.Response) {
	if err := c.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		c.Abort()
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		c.Abort()
		return
	}
	c.Release()
}
