package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/bodies"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// maxSkippedResponses bounds the responses to other requests that one call
	// skips on its connection.
	maxSkippedResponses = 2
	// maxRejectionsPerConn is the number of rejected requests after which a connection is
	// not kept, because their ids are remembered with it.
	maxRejectionsPerConn = 32
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
	// AttemptID is the id that the response must have; if it is empty, any
	// response is accepted, and the call has a connection of its own.
	AttemptID string
	// Idempotent requests may reuse connections that were idle for longer.
	Idempotent bool
	// MaxIdleConns is the number of connections to the server that are kept idle.
	MaxIdleConns int
	// IdleConnOnly is set if no connection may be opened.
	IdleConnOnly bool
	// ConnectTimeout bounds opening a connection; 0 stands for the usual bound.
	ConnectTimeout time.Duration
	// Deadline is when the whole response must have been read.
	Deadline time.Time
}

// Response is the complete HTTP response to a call.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	ServerHeaders adapter.ServerHeaders
	// reservation is the memory of the body.
	reservation *bodies.Reservation
	// endsWithConn is set if only the end of the connection marked the end of the body.
	endsWithConn bool
}

// Release tells that the body is no longer in use. Bodies that are not released take from
// the memory of others.
func (r *Response) Release() { r.reservation.Release() }

// Trace records how a call was made.
type Trace struct {
	// ConnectTime is the time that opening a connection took; 0 if one was
	// reused.
	ConnectTime time.Duration
	// Sent is set once any byte may have reached the server.
	Sent bool
}

// Do sends a request and waits for its complete response. Errors are of type
// *CallError.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, Trace, error) {
	var trace Trace
	c, err := p.getConn(ctx, call, &trace)
	if err != nil {
		return nil, trace, &CallError{ErrNotSent, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, keep, err := c.roundTrip(call, &trace)
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
	// Without the id, a late second copy of the response could not be told from the
	// response to the next request.
	identified := call.AttemptID != "" && response.ServerHeaders.AttemptID == call.AttemptID
	c.served = true
	if response.ServerHeaders.NotRun {
		c.rejectedIDs = append(c.rejectedIDs, call.AttemptID)
	}
	if keep && identified && c.br.Buffered() == 0 && len(c.rejectedIDs) < maxRejectionsPerConn {
		p.keep(c, response.Header.Get("Keep-Alive"), call.MaxIdleConns)
	} else {
		_ = c.Close()
	}
	return response, trace, nil
}

// Connect opens a connection to a server and keeps it for later calls.
func (p *Pool) Connect(ctx context.Context, call *Call) error {
	c, err := p.dial(ctx, call, &Trace{})
	if err != nil {
		return err
	}
	p.keep(c, "", call.MaxIdleConns)
	return nil
}

// getConn returns an idle connection to the server or opens one. A call without an id
// gets a new connection, because it cannot skip a late response to an earlier request; so
// does a request that was rejected on the connection before.
func (p *Pool) getConn(ctx context.Context, call *Call, trace *Trace) (*conn, error) {
	if call.AttemptID != "" {
		c := p.takeIdle(call.ServerID, call.Idempotent)
		for c != nil && slices.Contains(c.rejectedIDs, call.AttemptID) {
			_ = c.Close()
			c = p.takeIdle(call.ServerID, call.Idempotent)
		}
		if c != nil {
			return c, nil
		}
	}
	if call.IdleConnOnly {
		return nil, ErrNoIdleConn
	}
	return p.dial(ctx, call, trace)
}

// dial opens a connection to the server.
func (p *Pool) dial(ctx context.Context, call *Call, trace *Trace) (*conn, error) {
	begin := time.Now()
	connectDeadline := begin.Add(cmp.Or(call.ConnectTimeout, connectTimeout))
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
	headLimit := &headLimitReader{r: nc, remaining: unlimited}
	return &conn{Conn: nc, headLimit: headLimit, br: bufio.NewReaderSize(headLimit, readBufferBytes), serverID: call.ServerID, memory: p.bodyMemory}, nil
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBufferBytes keeps large bodies from staying in memory. It is also a
// size that the buffers of a connection certainly hold, so that writing it does
// not wait for the server to read.
const maxPooledBufferBytes = 16 << 10

// roundTrip sends a request and reads its response. If keep is set, the
// connection can be reused.
func (c *conn) roundTrip(call *Call, trace *Trace) (response *Response, keep bool, err error) {
	if err := c.SetDeadline(call.Deadline); err != nil {
		return nil, false, &CallError{ErrNotSent, err}
	}
	buf := bufferPool.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, call)
	trace.Sent = true
	if buf.Len()+len(call.Body) > maxPooledBufferBytes {
		return c.roundTripLongBody(call, buf.Bytes())
	}
	buf.Write(call.Body)
	n, err := c.Write(buf.Bytes())
	bufferPool.Put(buf)
	if err != nil && n == 0 {
		return nil, false, c.noResponseError(err)
	}
	response, keep, readErr := c.readMatching(call)
	if readErr != nil {
		return nil, false, readErr
	}
	if err := endError(response, err); err != nil {
		return nil, false, err
	}
	return response, keep && err == nil, nil
}

// roundTripLongBody reads the response while it writes the request: a server
// may answer before it has read a long body. The rest of the body must not
// follow on a reused connection, so the connection is kept only if all of it
// was written before the response ended. The body is not copied behind the head.
func (c *conn) roundTripLongBody(call *Call, head []byte) (*Response, bool, error) {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(call.Body)
		}
		written <- err
	}()
	response, keep, err := c.readMatching(call)
	if err != nil {
		return nil, false, err
	}
	if response.endsWithConn {
		// Interrupts a write that is in progress.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		if err := endError(response, <-written); err != nil {
			return nil, false, err
		}
		return response, false, nil
	}
	select {
	case err := <-written:
		return response, keep && err == nil, nil
	default:
		return response, false, nil
	}
}

// endError returns an error for a response that ends with its connection if the connection did not
// end in good order. writeErr is the error of writing the request. The operating system reports a
// failure of the connection once: if it reports it to the write, the read sees the end of the
// connection. After an end in good order, a write fails with EPIPE.
func endError(response *Response, writeErr error) error {
	if !response.endsWithConn || writeErr == nil || errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, syscall.EPIPE) {
		return nil
	}
	response.Release()
	return &CallError{ErrBroken, writeErr}
}

// readMatching reads responses until the one to this call arrives.
func (c *conn) readMatching(call *Call) (*Response, bool, error) {
	for range maxSkippedResponses + 1 {
		response, keep, err := c.read(call)
		if err != nil || response != nil {
			return response, keep, err
		}
	}
	return nil, false, &CallError{ErrMalformed, errOtherRequest}
}

var errOtherRequest = errors.New("response to another request")

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

// read reads one response. It returns nil without an error if the response
// belonged to another request and was skipped.
func (c *conn) read(call *Call) (*Response, bool, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, false, c.noResponseError(err)
	}
	httpResponse, err := c.readHead(call)
	if err != nil {
		return nil, false, c.badResponseError(err)
	}
	serverHeaders := adapter.ReadServerHeaders(httpResponse.StatusCode, httpResponse.Header)
	body, reservation, err := c.readBody(httpResponse)
	if err != nil {
		return nil, false, c.badResponseError(err)
	}
	if !c.belongsTo(call, serverHeaders) {
		reservation.Release()
		if serverHeaders.AttemptID != "" && !httpResponse.Close && httpResponse.ContentLength >= 0 {
			return nil, false, nil
		}
		return nil, false, &CallError{ErrMalformed, errOtherRequest}
	}
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body, ServerHeaders: serverHeaders, reservation: reservation}
	response.endsWithConn = !isSelfDelimited(httpResponse)
	return response, !httpResponse.Close && !response.endsWithConn, nil
}

// readHead reads the head of a final response. It skips the interim responses before it.
func (c *conn) readHead(call *Call) (*http.Response, error) {
	c.headLimit.remaining = maxHeadBytes - c.br.Buffered()
	defer func() { c.headLimit.remaining = unlimited }()
	for interim := false; ; interim = true {
		read, _ := c.br.Peek(c.br.Buffered())
		c.headLimit.recorder.BeginResponse(read)
		response, err := http.ReadResponse(c.br, &http.Request{Method: call.Method})
		err = cmp.Or(err, c.headLimit.recorder.End())
		if err != nil {
			return nil, err
		}
		if httpsyntax.CheckInterimResponse(response) == nil {
			continue
		}
		if interim {
			err = httpsyntax.CheckAfterInterim(response)
		}
		return response, cmp.Or(err, httpsyntax.CheckResponse(response))
	}
}

// belongsTo reports whether a response is the one to a call. A rejection without an id is
// accepted only on a connection without an earlier request, whose rejection it may repeat.
func (c *conn) belongsTo(call *Call, response adapter.ServerHeaders) bool {
	if call.AttemptID == "" || response.AttemptID == call.AttemptID {
		return true
	}
	return response.AttemptID == "" && response.NotRun && !c.served
}

// isSelfDelimited reports whether the end of a response is known without the
// end of the connection.
func isSelfDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// noResponseError returns the error for a connection that failed before a
// response began.
func (c *conn) noResponseError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &CallError{ErrTimeout, err}
	case c.reused:
		return &CallError{ErrStale, err}
	default:
		return &CallError{ErrBroken, err}
	}
}

// badResponseError returns the error for a response that began but cannot be
// read.
func (c *conn) badResponseError(err error) error {
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
