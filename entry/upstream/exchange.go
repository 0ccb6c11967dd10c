package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// maxAnswerBytes bounds the size of an answer's body.
	maxAnswerBytes = 32 << 20
	// maxSkippedAnswers bounds the answers to other requests that one call
	// skips on its connection.
	maxSkippedAnswers = 2
	// connectTimeout bounds opening a connection. It is above the longest
	// round-trip time between regions and below the time until a lost first
	// packet is retransmitted, which is a second.
	connectTimeout = 600 * time.Millisecond
)

// Call is one request to one backend server.
type Call struct {
	// ServerID is the id of the server, Address where it listens.
	ServerID, Address string
	Method            string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the headers for the server, without those for framing.
	Header http.Header
	Body   []byte
	// HasBody is set for requests that came with a body, including an empty
	// one.
	HasBody bool
	// AttemptID is the id that the answer must have; if it is empty, any answer
	// is accepted.
	AttemptID string
	// Idempotent requests may reuse connections that were idle for longer.
	Idempotent bool
	// Deadline is when the whole answer must have been read.
	Deadline time.Time
}

// Answer is the complete answer to a call.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	ServerHeaders adapter.ServerHeaders
}

// Trace records how a call was made.
type Trace struct {
	// ConnectTime is the time that opening a connection took; 0 if one was
	// reused.
	ConnectTime time.Duration
	// Sent is set once any byte may have reached the server.
	Sent bool
}

// Do sends a request and waits for its complete answer. Errors are of type
// *CallError.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, Trace, error) {
	var trace Trace
	c, err := p.getConn(ctx, call, &trace)
	if err != nil {
		return nil, trace, &CallError{ErrNotSent, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, keep, err := c.roundTrip(call, &trace)
	if !stop() {
		keep = false
	}
	if err != nil {
		_ = c.Close()
		if ctx.Err() != nil {
			err = &CallError{ErrCancelled, err}
		}
		return nil, trace, err
	}
	if keep && c.br.Buffered() == 0 {
		p.keep(c, answer.Header.Get("Keep-Alive"))
	} else {
		_ = c.Close()
	}
	return answer, trace, nil
}

// getConn returns an idle connection to the server or opens one.
func (p *Pool) getConn(ctx context.Context, call *Call, trace *Trace) (*conn, error) {
	if c := p.takeIdle(call.ServerID, call.Idempotent); c != nil {
		return c, nil
	}
	begin := time.Now()
	connectDeadline := begin.Add(connectTimeout)
	if call.Deadline.Before(connectDeadline) {
		connectDeadline = call.Deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, connectDeadline)
	defer cancel()
	nc, err := p.dialer.DialContext(dialCtx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	trace.ConnectTime = time.Since(begin)
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes), serverID: call.ServerID}, nil
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBufferBytes keeps large bodies from staying in memory. It is also a
// size that the buffers of a connection certainly hold, so that writing it does
// not wait for the server to read.
const maxPooledBufferBytes = 16 << 10

// roundTrip sends a request and reads its answer. If keep is set, the
// connection can be reused.
func (c *conn) roundTrip(call *Call, trace *Trace) (answer *Response, keep bool, err error) {
	if err := c.SetDeadline(call.Deadline); err != nil {
		return nil, false, &CallError{ErrNotSent, err}
	}
	buf := bufferPool.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, call)
	buf.Write(call.Body)
	trace.Sent = true
	if buf.Len() > maxPooledBufferBytes {
		return c.roundTripLongBody(call, buf.Bytes())
	}
	n, err := c.Write(buf.Bytes())
	bufferPool.Put(buf)
	if err != nil && n == 0 {
		return nil, false, c.noAnswerError(err)
	}
	answer, keep, err = c.readMatching(call)
	return answer, keep && err == nil, err
}

// roundTripLongBody reads the answer while it writes the request: a server may
// answer before it has read a long body. The rest of the body must not follow
// on a reused connection, so the connection is kept only if all of it was
// written before the answer ended.
func (c *conn) roundTripLongBody(call *Call, request []byte) (*Response, bool, error) {
	written := make(chan bool, 1)
	go func() {
		n, _ := c.Write(request)
		written <- n == len(request)
	}()
	answer, keep, err := c.readMatching(call)
	select {
	case allWritten := <-written:
		return answer, keep && allWritten, err
	default:
		return answer, false, err
	}
}

// readMatching reads answers until the one to this call arrives.
func (c *conn) readMatching(call *Call) (*Response, bool, error) {
	for range maxSkippedAnswers + 1 {
		answer, keep, err := c.read(call)
		if err != nil || answer != nil {
			return answer, keep, err
		}
	}
	return nil, false, &CallError{ErrMalformed, errOtherRequest}
}

var errOtherRequest = errors.New("answer to another request")

// writeHead writes the request line and the headers.
func writeHead(buf *bytes.Buffer, call *Call) {
	buf.WriteString(call.Method)
	buf.WriteByte(' ')
	buf.WriteString(call.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(call.Host)
	buf.WriteString("\r\n")
	_ = call.Header.WriteSubset(buf, rewrittenHeaders)
	if call.HasBody || len(call.Body) > 0 {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(call.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}

// rewrittenHeaders are replaced or left out by writeHead. The caller of Do
// removes the other headers that concern one connection only.
var rewrittenHeaders = map[string]bool{"Content-Length": true, "Host": true, "Expect": true, "Transfer-Encoding": true, "Connection": true}

// read reads one answer. It returns nil without an error if the answer belonged
// to another request and was skipped.
func (c *conn) read(call *Call) (*Response, bool, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, false, c.noAnswerError(err)
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: call.Method})
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: call.Method})
	}
	if err != nil {
		return nil, false, c.badAnswerError(err)
	}
	serverHeaders := adapter.ReadServerHeaders(resp.StatusCode, resp.Header)
	body, err := readBody(resp)
	if err != nil {
		return nil, false, c.badAnswerError(err)
	}
	if call.AttemptID != "" && serverHeaders.AttemptID != call.AttemptID && (serverHeaders.AttemptID != "" || !serverHeaders.NotRun) {
		if serverHeaders.AttemptID != "" && !resp.Close && resp.ContentLength >= 0 {
			return nil, false, nil
		}
		return nil, false, &CallError{ErrMalformed, errOtherRequest}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, ServerHeaders: serverHeaders}, !resp.Close && isSelfDelimited(resp), nil
}

// isSelfDelimited reports whether the end of an answer is known without the end
// of the connection.
func isSelfDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

func readBody(r *http.Response) ([]byte, error) {
	if r.ContentLength == 0 || r.Request.Method == http.MethodHead {
		return nil, nil
	}
	if r.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return body, err
}

var errAnswerTooLarge = errors.New("answer too large")

// noAnswerError returns the error for a connection that failed before an answer
// began.
func (c *conn) noAnswerError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &CallError{ErrTimeout, err}
	case c.reused:
		return &CallError{ErrStale, err}
	default:
		return &CallError{ErrBroken, err}
	}
}

// badAnswerError returns the error for an answer that began but cannot be read.
func (c *conn) badAnswerError(err error) error {
	var ne net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &CallError{ErrTimeout, err}
	case errors.As(err, &ne):
		return &CallError{ErrBroken, err}
	default:
		return &CallError{ErrMalformed, err}
	}
}
