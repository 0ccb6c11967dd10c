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
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 32 << 20
	// maxForeign is how many answers to other requests are skipped on one
	// connection.
	maxForeign = 2
	// connectTimeout is the longest time to open a connection. It is above the
	// slowest round trip between regions and below one retransmission of a
	// lost first packet, which takes a second.
	connectTimeout = 600 * time.Millisecond
)

// Call is one request to one server.
type Call struct {
	// Server is the id, Address where it listens.
	ServerID, Address string
	Method            string
	// Target is path and query as the caller sent them.
	Target string
	Host   string
	// Header is what the server gets, apart from framing.
	Header http.Header
	Body   []byte
	// HasBody is set for requests that came with a body, empty ones included.
	HasBody bool
	// Attempt is the id that the answer must bear; empty accepts any.
	AttemptID string
	// Idempotent requests may use connections that were idle for longer.
	Idempotent bool
	// Deadline is when the answer must be there.
	Deadline time.Time
}

// Answer is a whole answer.
type Answer struct {
	Status        int
	Header        http.Header
	Body          []byte
	ServerHeaders adapter.ServerHeaders
}

// Trace says what an exchange took.
type Trace struct {
	// Connected is how long it took to open a connection; 0 if one was kept.
	ConnectTime time.Duration
	// Sent is set once any byte may have reached the server.
	Sent bool
}

// Do sends a request and waits for its whole answer. Errors are
// *CallError.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, Trace, error) {
	var trace Trace
	c, err := p.connection(ctx, call, &trace)
	if err != nil {
		return nil, trace, &CallError{ErrNotSent, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, keep, err := c.exchange(call, &trace)
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
		p.put(c, answer.Header.Get("Keep-Alive"))
	} else {
		_ = c.Close()
	}
	return answer, trace, nil
}

func (p *Pool) connection(ctx context.Context, call *Call, trace *Trace) (*conn, error) {
	if c := p.take(call.ServerID, call.Idempotent); c != nil {
		return c, nil
	}
	begin := time.Now()
	limit := begin.Add(connectTimeout)
	if call.Deadline.Before(limit) {
		limit = call.Deadline
	}
	dialing, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	nc, err := p.dialer.DialContext(dialing, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	trace.ConnectTime = time.Since(begin)
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes), server: call.ServerID}, nil
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer keeps large bodies from staying in memory; it is also what
// the buffers of a connection surely hold, so that writing it does not wait for
// the server to read.
const maxPooledBuffer = 16 << 10

// exchange sends a request and reads its answer. Keep is set if the connection
// may be used again.
func (c *conn) exchange(call *Call, trace *Trace) (answer *Answer, keep bool, err error) {
	if err := c.SetDeadline(call.Deadline); err != nil {
		return nil, false, &CallError{ErrNotSent, err}
	}
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, call)
	buf.Write(call.Body)
	trace.Sent = true
	if buf.Len() > maxPooledBuffer {
		return c.exchangeLong(call, buf.Bytes())
	}
	n, err := c.Write(buf.Bytes())
	buffers.Put(buf)
	if err != nil && n == 0 {
		return nil, false, c.failure(err)
	}
	answer, keep, err = c.readOwn(call)
	return answer, keep && err == nil, err
}

// exchangeLong reads while it writes: a server may answer before it has read a
// long body. The rest of the body must not follow on a kept connection, so the
// connection is kept only if all was written before the answer ended.
func (c *conn) exchangeLong(call *Call, request []byte) (*Answer, bool, error) {
	written := make(chan bool, 1)
	go func() {
		n, _ := c.Write(request)
		written <- n == len(request)
	}()
	answer, keep, err := c.readOwn(call)
	select {
	case whole := <-written:
		return answer, keep && whole, err
	default:
		return answer, false, err
	}
}

// readOwn reads answers until that to the call comes.
func (c *conn) readOwn(call *Call) (*Answer, bool, error) {
	for range maxForeign + 1 {
		answer, keep, err := c.read(call)
		if err != nil || answer != nil {
			return answer, keep, err
		}
	}
	return nil, false, &CallError{ErrMalformed, errForeign}
}

var errForeign = errors.New("answer to another request")

func writeHead(buf *bytes.Buffer, call *Call) {
	buf.WriteString(call.Method)
	buf.WriteByte(' ')
	buf.WriteString(call.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(call.Host)
	buf.WriteString("\r\n")
	_ = call.Header.WriteSubset(buf, rewritten)
	if call.HasBody || len(call.Body) > 0 {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(call.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}

// rewritten are the headers that each call writes anew. Headers of one
// connection are left out by the caller.
var rewritten = map[string]bool{"Content-Length": true, "Host": true, "Expect": true, "Transfer-Encoding": true, "Connection": true}

// read reads one answer; nil without error means that it belonged to another
// request and was skipped.
func (c *conn) read(call *Call) (*Answer, bool, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, false, c.failure(err)
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: call.Method})
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: call.Method})
	}
	if err != nil {
		return nil, false, c.malformed(err)
	}
	told := adapter.ReadServerHeaders(resp.StatusCode, resp.Header)
	body, err := readBody(resp)
	if err != nil {
		return nil, false, c.malformed(err)
	}
	if call.AttemptID != "" && told.AttemptID != call.AttemptID && (told.AttemptID != "" || !told.NotRun) {
		if told.AttemptID != "" && !resp.Close && resp.ContentLength >= 0 {
			return nil, false, nil
		}
		return nil, false, &CallError{ErrMalformed, errForeign}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, ServerHeaders: told}, !resp.Close && framed(resp), nil
}

// framed reports whether the end of an answer does not depend on the end of
// the connection.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

func readBody(r *http.Response) ([]byte, error) {
	if r.ContentLength == 0 || r.Request.Method == http.MethodHead {
		return nil, nil
	}
	if r.ContentLength > maxAnswerBytes {
		return nil, errTooLarge
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
		err = errTooLarge
	}
	return body, err
}

var errTooLarge = errors.New("answer too large")

// failure is the error for a connection that ended before an answer began.
func (c *conn) failure(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &CallError{ErrTimeout, err}
	case c.reused:
		return &CallError{ErrStale, err}
	default:
		return &CallError{ErrBroken, err}
	}
}

// malformed is the error for an answer that began and cannot be read.
func (c *conn) malformed(err error) error {
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
