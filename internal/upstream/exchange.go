package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"yuccausher/internal/fieldname"
)

const (
	// inlineBytes is the size up to which a request is written completely before its
	// answer is read. It fits any socket buffer. Longer requests are written
	// concurrently.
	inlineBytes = 8 << 10
	// maxStrayAnswers is the number of answers read from a connection before it is
	// closed because none of them belongs to the request.
	maxStrayAnswers = 3
	// maxStrayBytes limits the body of an answer that is skipped.
	maxStrayBytes = 1 << 20
)

// Request is a request as it is sent to a target.
type Request struct {
	Method string
	// URI is the request line's path and query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange sends a request and returns the answer after its header has arrived; the
// body is read from the connection. isOwn reports whether an answer with the given
// header belongs to the request. When ctx ends, the exchange fails, and so does the
// reading of the body. There is one exchange for each Conn; an error ends its use. The
// error is an *ExchangeError; its cause is ctx.Err() if ctx has ended.
func (c *Conn) Exchange(ctx context.Context, r Request, isOwn func(http.Header) bool) (*http.Response, error) {
	c.cancelOnDone(ctx)
	used := c.connection
	c.writeDone = make(chan struct{})
	data := r.encode()
	written := new(int)
	if len(data) <= inlineBytes {
		c.write(used, data, written)
	} else {
		go c.write(used, data, written)
	}
	answered := c.pool.observer.Waiting()
	response, garbled, err := c.receive(r.Method, isOwn)
	answered()
	if err == nil {
		return response, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	// Closing the connection ends the writer.
	c.Abort()
	<-c.writeDone
	return nil, &ExchangeError{Target: used.target.ID, Sent: *written > 0, Garbled: garbled, Cause: err}
}

func (c *Conn) write(to io.Writer, data []byte, written *int) {
	*written, c.writeErr = to.Write(data)
	close(c.writeDone)
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
	// Writes to a buffer never fail.
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

// receive reads the header of the answer. It skips interim answers, and answers to earlier requests, which
// may arrive late. garbled is set if the received bytes are not an answer to the
// request.
func (c *Conn) receive(method string, isOwn func(http.Header) bool) (_ *http.Response, garbled bool, _ error) {
	for range maxStrayAnswers {
		response, garbled, err := c.receiveHeader(method)
		if err != nil {
			return nil, garbled, err
		}
		switch statusOf(response) {
		case interim:
			continue
		case invalid:
			return nil, true, &InvalidStatusError{Status: response.StatusCode}
		}
		if isOwn(response.Header) {
			c.prepareBody(response)
			return response, false, nil
		}
		if response.ContentLength < 0 || response.ContentLength > maxStrayBytes {
			return nil, true, errors.New("received an answer to another request that can't be skipped")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, true, err
		}
	}
	return nil, true, errors.New("received only answers to other requests")
}

// receiveHeader reads the header of the next answer. garbled is set if the received bytes are
// not one.
func (c *Conn) receiveHeader(method string) (_ *http.Response, garbled bool, _ error) {
	used := c.connection
	// Peeking at what is buffered never fails.
	buffered, _ := used.reader.Peek(used.reader.Buffered())
	used.source.beginHeader(c.pool.memory, buffered)
	defer used.source.beginBody()
	if _, err := used.reader.Peek(1); err != nil {
		return nil, false, err
	}
	response, err := http.ReadResponse(used.reader, &http.Request{Method: method})
	if err != nil {
		return nil, !isTimeout(err), err
	}
	if err := fieldname.Check(response.Header); err != nil {
		return nil, true, err
	}
	if used.source.folds.isFolded {
		return nil, true, &FoldedLineError{}
	}
	return response, false, nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// prepareBody evaluates the header fields that concern the connection, and makes the
// end of the body mark the connection as reusable if the target keeps it open.
func (c *Conn) prepareBody(response *http.Response) {
	c.connection.setIdleTimeout(response.Header.Get("Keep-Alive"))
	keepAlive := !response.Close && FramingOf(response) != Unframed
	if response.ContentLength == 0 {
		c.reusable = keepAlive
	}
	response.Body = &body{ReadCloser: response.Body, conn: c, response: response, keepAlive: keepAlive}
}

// body is the body of an answer. It marks its connection as reusable at its end.
type body struct {
	io.ReadCloser
	conn *Conn
	// response is the answer, whose trailer is there at the end of the body.
	response *http.Response
	// keepAlive is set if the target keeps the connection open after the answer.
	keepAlive bool
}

// Read implements io.Reader. It returns ErrGivenBack once the use of the connection has ended, and a
// *fieldname.InvalidError in place of io.EOF if the answer's trailer has an invalid name.
func (b *body) Read(p []byte) (int, error) {
	if b.conn.connection == nil {
		return 0, ErrGivenBack
	}
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := fieldname.Check(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	b.conn.reusable = b.keepAlive
	return n, io.EOF
}

// Close implements io.Closer. Release, Drain and Abort of the Conn end the reading of the body.
func (b *body) Close() error { return nil }
