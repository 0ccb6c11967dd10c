package ingress

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/bodies"
)

const (
	readBufferBytes = 2048
	// pipelineDepth bounds the requests of one connection that have been read
	// but not answered.
	pipelineDepth = 16
	// writeTimeout bounds writing a response. It closes connections whose
	// caller does not read its responses.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds reading the body of a request.
	bodyTimeout = 15 * time.Second
	// lingerTimeout is how long a closed connection is still read, so that the
	// last response is not lost to a reset.
	lingerTimeout = 500 * time.Millisecond
	// bufferIdleTimeout is the time without a request after which a connection
	// gives its read buffer back to the pool. Busy connections keep theirs,
	// which saves a system call per request.
	bufferIdleTimeout = 250 * time.Millisecond
	// pendingRequestWait is how long a connection that ends is read once more, for a
	// request whose bytes have arrived.
	pendingRequestWait = 10 * time.Millisecond
	// firstRequestWait is how long the first request of a connection that was accepted
	// during a stop is awaited.
	firstRequestWait = 500 * time.Millisecond
	// idleTimeoutMargin is added to the idle timeout, so that a request sent at
	// the last moment is still read.
	idleTimeoutMargin = time.Second
)

// Request is a request that was read completely.
type Request struct {
	*http.Request
	// Path is the path as sent, not decoded and without the query.
	Path string
	// Body is the complete body.
	Body []byte
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
	// reservation is the memory of the body; nil without one.
	reservation *bodies.Reservation
}

// Response is the HTTP response to one request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection after the response.
	Close bool
	// Abort ends the connection without a response.
	Abort bool
	// Done is called once the body is no longer in use, if it is set.
	Done func()
}

// conn is one caller's connection.
type conn struct {
	server    *Server
	nc        net.Conn
	headLimit *headLimitReader
	// br is nil while the connection has no read buffer.
	br            *bufio.Reader
	ctx           context.Context
	cancel        context.CancelFunc
	pipelineSlots chan struct{}
	wg            sync.WaitGroup

	mu sync.Mutex
	// closed is set once the last response is being written or the connection
	// is to be closed without one.
	closed bool
	// ending is set once the connection is to end as soon as it has no request.
	// finalWait is how long a request is awaited before that.
	ending    bool
	finalWait time.Duration
	// reading is set while a request is being read.
	reading bool
	// unanswered counts the requests that have been read but not answered.
	unanswered int
}

// headLimitReader bounds the bytes that are read for the head of a request.
type headLimitReader struct {
	r         io.Reader
	remaining int
	recorder  httpsyntax.HeadRecorder
	// firstByte was read before and is returned first, if hasFirstByte is set.
	firstByte    byte
	hasFirstByte bool
}

// errHeadTooLarge means that the head of a request exceeds its limit.
var errHeadTooLarge = errors.New("request head too large")

// unlimited is the limit while no head is being read.
const unlimited = 1 << 62

func (h *headLimitReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if len(p) > h.remaining {
		p = p[:h.remaining]
	}
	if h.hasFirstByte && len(p) > 0 {
		p[0], h.hasFirstByte = h.firstByte, false
		h.remaining--
		return 1, nil
	}
	n, err := h.r.Read(p)
	h.remaining -= n
	h.recorder.Record(p[:n])
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		server: s, nc: nc, headLimit: &headLimitReader{r: nc, remaining: unlimited},
		pipelineSlots: make(chan struct{}, pipelineDepth),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run serves the connection until it ends.
func (c *conn) run() {
	defer c.server.removeConn(c)
	err := c.readRequests()
	if c.br != nil {
		c.releaseBuffer()
	}
	if errors.Is(err, errStopReading) {
		c.awaitResponses()
		c.linger()
	} else {
		c.cancel()
		c.wg.Wait()
	}
	c.cancel()
	_ = c.nc.Close()
}

// awaitResponses waits until the requests that were read have been answered.
// Meanwhile it reads and discards data, in order to notice a caller that
// disconnects.
func (c *conn) awaitResponses() {
	done := make(chan struct{})
	_ = c.nc.SetReadDeadline(time.Time{})
	go func() {
		c.wg.Wait()
		close(done)
		_ = c.nc.SetReadDeadline(time.Now())
	}()
	var buf [256]byte
	for {
		_, err := c.nc.Read(buf[:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The deadline may have been set by the writer of the last
			// response.
			_ = c.nc.SetReadDeadline(time.Time{})
			select {
			case <-done:
				return
			default:
				continue
			}
		}
		if err != nil {
			c.cancel()
			<-done
			return
		}
	}
}

// errStopReading means that no further request is read, while the requests that
// were read still have to be answered.
var errStopReading = errors.New("no further requests")

// readRequests reads requests and starts serving them until the connection
// ends.
func (c *conn) readRequests() error {
	previous := make(chan struct{})
	close(previous)
	// barrier is closed once the newest request that must not be served
	// concurrently with others has been answered.
	barrier := previous
	for {
		arrived, err := c.awaitRequest()
		if err != nil {
			return err
		}
		r, status, err := c.readRequest(arrived)
		if status != 0 {
			rejection := c.server.handler.Reject(status)
			rejection.Close = true
			c.startRequest(nil, func() *Response { return rejection }, barrier, previous)
			return errStopReading
		}
		if err != nil {
			return err
		}
		concurrent := c.server.handler.Concurrent(r)
		if !concurrent {
			barrier = previous
		}
		previous = c.startRequest(r, func() *Response { return c.server.handler.Serve(c.ctx, r) }, barrier, previous)
		if !concurrent {
			barrier = previous
		}
		if previous == nil || r.Close || c.isClosed() {
			return errStopReading
		}
	}
}

// awaitRequest waits for the first byte of the next request and returns the
// time of its arrival.
func (c *conn) awaitRequest() (time.Time, error) {
	c.headLimit.remaining = unlimited
	idleDeadline := time.Now().Add(c.server.handler.Limits().IdleTimeout + idleTimeoutMargin)
	for {
		readDeadline := idleDeadline
		if c.br != nil {
			readDeadline = time.Now().Add(min(bufferIdleTimeout, time.Until(idleDeadline)))
		}
		if err := c.nc.SetReadDeadline(readDeadline); err != nil {
			return time.Time{}, err
		}
		// endWhenIdle and the writer of the last response may have run just before
		// the read deadline was set here, which would have undone their wake-up.
		if c.isClosed() {
			return time.Time{}, errStopReading
		}
		if c.mustEnd() {
			return c.awaitFinalRequest()
		}
		err := c.awaitByte()
		switch {
		case err == nil:
			return time.Now(), c.beginReading()
		case c.isClosed():
			return time.Time{}, errStopReading
		case c.mustEnd():
			return c.awaitFinalRequest()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return time.Time{}, err
		case c.br != nil:
			c.releaseBuffer()
		}
		if time.Now().Before(idleDeadline) {
			continue
		}
		// Unanswered requests keep the connection open.
		if !c.hasUnanswered() {
			return time.Time{}, err
		}
		idleDeadline = time.Now().Add(c.server.handler.Limits().IdleTimeout + idleTimeoutMargin)
	}
}

// awaitFinalRequest waits for a request that has arrived or is on its way while the
// connection is to end. Its bytes may have waited for a busy process.
func (c *conn) awaitFinalRequest() (time.Time, error) {
	if err := c.nc.SetReadDeadline(time.Now().Add(c.finalWait)); err != nil {
		return time.Time{}, err
	}
	if c.awaitByte() == nil {
		return time.Now(), c.beginReading()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return time.Time{}, errStopReading
}

// beginReading records that a request is being read, unless the connection has had its
// last response.
func (c *conn) beginReading() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errStopReading
	}
	c.reading = true
	return nil
}

// mustEnd reports whether the connection is to end and has no request.
func (c *conn) mustEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.unanswered == 0
}

// awaitByte waits for the next byte without consuming it.
func (c *conn) awaitByte() error {
	if c.br != nil {
		_, err := c.br.Peek(1)
		return err
	}
	var first [1]byte
	if _, err := io.ReadFull(c.nc, first[:]); err != nil {
		return err
	}
	c.br = readerPool.Get().(*bufio.Reader)
	c.headLimit.firstByte, c.headLimit.hasFirstByte = first[0], true
	c.br.Reset(c.headLimit)
	_, err := c.br.Peek(1)
	return err
}

// releaseBuffer gives the read buffer of an idle connection back to the pool.
func (c *conn) releaseBuffer() {
	c.br.Reset(nil)
	readerPool.Put(c.br)
	c.br = nil
}

// readerPool shares the read buffers among connections, because most of them
// are idle at any time.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// readRequest reads a complete request. A status other than 0 means that the
// request is rejected.
func (c *conn) readRequest(arrived time.Time) (*Request, int, error) {
	limits := c.server.handler.Limits()
	deadline := arrived.Add(limits.HeaderTimeout)
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return nil, 0, err
	}
	c.headLimit.remaining = max(0, limits.MaxHeaderBytes-c.br.Buffered())
	read, _ := c.br.Peek(c.br.Buffered())
	c.headLimit.recorder.BeginRequest(read)
	httpRequest, err := http.ReadRequest(c.br)
	err = cmp.Or(err, c.headLimit.recorder.End())
	c.headLimit.remaining = unlimited
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge, nil
	case err != nil && !time.Now().Before(deadline):
		// The parser mistakes a line that was cut off by the deadline for a
		// complete one.
		return nil, 0, os.ErrDeadlineExceeded
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, 0, err
	case err != nil && isNetError(err):
		return nil, 0, err
	case err != nil:
		return nil, http.StatusBadRequest, nil
	}
	if status := checkHead(httpRequest); status != 0 {
		return nil, status, nil
	}
	r := &Request{Request: httpRequest, Arrived: arrived}
	r.Path, _, _ = strings.Cut(httpRequest.RequestURI, "?")
	return c.readBody(r, limits)
}

// checkHead rejects requests whose target is not a path or whose fields are not valid: they may
// frame the body in another way than net/http reads it.
func checkHead(r *http.Request) int {
	if r.ProtoMajor != 1 || !strings.HasPrefix(r.RequestURI, "/") || httpsyntax.CheckFields(r.Header) != nil {
		return http.StatusBadRequest
	}
	return 0
}

// readBody reads the body of a request. Its results are those of readRequest.
func (c *conn) readBody(r *Request, limits Limits) (*Request, int, error) {
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	if r.ContentLength == 0 {
		return r, 0, nil
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, 0, err
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if err := c.writeContinue(); err != nil {
			return nil, 0, err
		}
	}
	reservation := c.server.bodyMemory.Reserve("")
	body, err := bodies.Read(r.Request.Body, r.ContentLength, limits.MaxBodyBytes, reservation)
	switch {
	case errors.Is(err, bodies.ErrMemoryFull):
		return nil, http.StatusServiceUnavailable, nil
	case errors.Is(err, bodies.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge, nil
	case err != nil && !isNetError(err) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusBadRequest, nil
	case err != nil:
		return nil, 0, err
	case httpsyntax.CheckFields(r.Trailer) != nil:
		reservation.Release()
		return nil, http.StatusBadRequest, nil
	}
	r.Body, r.reservation = body, reservation
	return r, 0, nil
}

// releaseBody ends the use of a request's body.
func (r *Request) releaseBody() {
	if r != nil && r.reservation != nil {
		r.reservation.Release()
	}
}

// isNetError reports whether err is a failure of the connection and not of the
// request's content.
func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF)
}

// writeContinue tells the caller to send the body of its request.
func (c *conn) writeContinue() error {
	if c.hasUnanswered() {
		// An interim response would be mistaken for the response to an earlier
		// request.
		return nil
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// startRequest serves a request once barrier is closed and writes its response
// once previous is closed. It returns a channel that is closed after that. It
// returns nil if the connection has had its last response; the request then
// counts as not read.
func (c *conn) startRequest(r *Request, serve func() *Response, barrier, previous <-chan struct{}) chan struct{} {
	c.pipelineSlots <- struct{}{}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.unanswered++
	c.reading = false
	c.mu.Unlock()
	done := make(chan struct{})
	c.wg.Add(1)
	c.server.requestStarted()
	go func() {
		defer c.wg.Done()
		defer c.server.requestFinished()
		defer close(done)
		defer r.releaseBody()
		defer func() { <-c.pipelineSlots }()
		<-barrier
		if c.isClosed() {
			return
		}
		response := serve()
		if response.Done != nil {
			defer response.Done()
		}
		<-previous
		c.write(r, response)
	}()
	return done
}

// endWhenIdle ends the connection once it has no request. finalWait is how long a request
// is awaited before that.
func (c *conn) endWhenIdle(finalWait time.Duration) {
	c.mu.Lock()
	c.ending, c.finalWait = true, finalWait
	idle := c.unanswered == 0 && !c.closed && !c.reading
	c.mu.Unlock()
	if idle {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// write writes a response in its turn. A failed write closes the connection.
func (c *conn) write(r *Request, response *Response) {
	draining := c.server.isDraining()
	c.mu.Lock()
	c.unanswered--
	if c.closed {
		c.mu.Unlock()
		return
	}
	last := response.Close || r == nil || r.Close || draining && c.unanswered == 0 && !c.reading
	c.closed = last
	c.mu.Unlock()
	if response.Abort || c.writeResponse(r, response, last) != nil {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.cancel()
		_ = c.nc.Close()
		return
	}
	if last {
		// Wakes the reader, which then closes the connection.
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

func (c *conn) writeResponse(r *Request, response *Response, last bool) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	httpResponse := &http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header,
		ContentLength: int64(len(response.Body)), Close: last, Body: http.NoBody,
	}
	if len(response.Body) > 0 {
		httpResponse.Body = io.NopCloser(bytes.NewReader(response.Body))
	}
	if r != nil {
		httpResponse.Request = r.Request
	}
	bw := writerPool.Get().(*bufio.Writer)
	bw.Reset(c.nc)
	defer func() {
		bw.Reset(nil)
		writerPool.Put(bw)
	}()
	if err := httpResponse.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// writerPool shares the write buffers among connections, because most of them
// are idle at any time.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, readBufferBytes) }}

// linger lets the caller read the last response before the connection is
// closed.
func (c *conn) linger() {
	if closer, ok := c.nc.(interface{ CloseWrite() error }); ok {
		if closer.CloseWrite() != nil {
			return
		}
	}
	if c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.nc)
}
