package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	readBufferBytes = 2048
	// pipelineDepth bounds the requests of one connection that are read and
	// not yet answered.
	pipelineDepth = 16
	// writeTimeout closes connections whose caller does not read its answers.
	writeTimeout = 10 * time.Second
	// bodyTimeout is the longest time for which a request's body is awaited.
	bodyTimeout = 15 * time.Second
	// lingerTimeout is how long a closed connection is read, so that the last
	// answer is not lost to a reset.
	lingerTimeout = 500 * time.Millisecond
	// bufferIdle is after what time without a request a connection gives its
	// read buffer away. Busy connections keep theirs, which saves a system call
	// a request.
	bufferIdle = 250 * time.Millisecond
	// idleMargin is added to the idle timeout, so that a caller which uses the
	// connection at the last moment is still read.
	idleMargin = time.Second
)

// Request is a request that was read whole.
type Request struct {
	*http.Request
	// Path is the path as sent, without decoding and query.
	Path string
	// Body is the whole body.
	Body []byte
	// Arrived is when its first byte was seen.
	Arrived time.Time
	// held is what the body counts for in Server.held.
	held int64
}

// Answer is the answer to one request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection after the answer.
	Close bool
	// Abort ends the connection without an answer.
	Abort bool
}

type conn struct {
	server *Server
	nc     net.Conn
	head   *headLimit
	// br is nil while the connection is idle.
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	wg     sync.WaitGroup

	mu sync.Mutex
	// closed is set by the writer of the last answer.
	closed bool
	// active counts the requests that were read and not yet answered.
	active int
}

// headLimit bounds the bytes that are read for the head of a request.
type headLimit struct {
	r io.Reader
	n int
	// first was read already, if hasFirst is set.
	first    byte
	hasFirst bool
}

// errHeadTooLarge means that a request's head exceeds the limit.
var errHeadTooLarge = errors.New("request head too large")

// unlimited is the bound while a body is read.
const unlimited = 1 << 62

func (h *headLimit) Read(p []byte) (int, error) {
	if h.n <= 0 {
		return 0, errHeadTooLarge
	}
	if len(p) > h.n {
		p = p[:h.n]
	}
	if h.hasFirst && len(p) > 0 {
		p[0], h.hasFirst = h.first, false
		h.n--
		return 1, nil
	}
	n, err := h.r.Read(p)
	h.n -= n
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		server: s, nc: nc, head: &headLimit{r: nc, n: unlimited},
		slots: make(chan struct{}, pipelineDepth),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.remove(c)
	err := c.readAll()
	if c.br != nil {
		c.releaseReader()
	}
	if errors.Is(err, errStopReading) {
		c.watchForEnd()
		c.linger()
	} else {
		c.cancel()
		c.wg.Wait()
	}
	c.cancel()
	_ = c.nc.Close()
}

// watchForEnd waits for the answers to the requests that were read. It reads on
// meanwhile, and drops what comes, to notice a caller that leaves.
func (c *conn) watchForEnd() {
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
			// The wake-up may be that of the last answer's writer.
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

// errStopReading means that no further request is read and that the answers to
// those that were read are still to be written.
var errStopReading = errors.New("no further requests")

func (c *conn) readAll() error {
	previous := make(chan struct{})
	close(previous)
	// barrier is done once the last request was answered that may not be served
	// beside others.
	barrier := previous
	for {
		arrived, err := c.awaitRequest()
		if err != nil {
			return err
		}
		r, status, err := c.readRequest(arrived)
		if status != 0 {
			answer := c.server.handler.Reject(status)
			answer.Close = true
			c.start(nil, func() *Answer { return answer }, barrier, previous)
			return errStopReading
		}
		if err != nil {
			return err
		}
		concurrent := c.server.handler.Concurrent(r)
		if !concurrent {
			barrier = previous
		}
		previous = c.start(r, func() *Answer { return c.server.handler.Serve(c.ctx, r) }, barrier, previous)
		if !concurrent {
			barrier = previous
		}
		if previous == nil || r.Close || c.isClosed() {
			return errStopReading
		}
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() (time.Time, error) {
	c.head.n = unlimited
	end := time.Now().Add(c.server.handler.Limits().IdleTimeout + idleMargin)
	for {
		deadline := end
		if c.br != nil {
			deadline = time.Now().Add(min(bufferIdle, time.Until(end)))
		}
		if err := c.nc.SetReadDeadline(deadline); err != nil {
			return time.Time{}, err
		}
		// The end of the connection may have been decided just before the
		// deadline was set, which would undo the wake-up.
		if c.isClosed() {
			return time.Time{}, errStopReading
		}
		err := c.awaitByte()
		switch {
		case err == nil:
			return time.Now(), nil
		case c.isClosed():
			return time.Time{}, errStopReading
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return time.Time{}, err
		case c.br != nil:
			c.releaseReader()
		}
		if time.Now().Before(end) {
			continue
		}
		// Answers in progress keep the connection open.
		if !c.busy() {
			return time.Time{}, err
		}
		end = time.Now().Add(c.server.handler.Limits().IdleTimeout + idleMargin)
	}
}

// awaitByte waits for the next byte, which stays to be read.
func (c *conn) awaitByte() error {
	if c.br != nil {
		_, err := c.br.Peek(1)
		return err
	}
	var first [1]byte
	if _, err := io.ReadFull(c.nc, first[:]); err != nil {
		return err
	}
	c.br = readers.Get().(*bufio.Reader)
	c.head.first, c.head.hasFirst = first[0], true
	c.br.Reset(c.head)
	_, err := c.br.Peek(1)
	return err
}

// releaseReader gives the buffer of an idle connection to others.
func (c *conn) releaseReader() {
	c.br.Reset(nil)
	readers.Put(c.br)
	c.br = nil
}

// readers are shared, since most connections are idle at a time.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// readRequest reads a whole request. A status other than 0 refuses it.
func (c *conn) readRequest(arrived time.Time) (*Request, int, error) {
	limits := c.server.handler.Limits()
	deadline := arrived.Add(limits.HeaderTimeout)
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return nil, 0, err
	}
	c.head.n = max(0, limits.MaxHeaderBytes-c.br.Buffered())
	hr, err := http.ReadRequest(c.br)
	c.head.n = unlimited
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge, nil
	case err != nil && !time.Now().Before(deadline):
		// The parser takes a line that was cut off by the deadline for whole.
		return nil, 0, os.ErrDeadlineExceeded
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, 0, err
	case err != nil && isNetError(err):
		return nil, 0, err
	case err != nil:
		return nil, http.StatusBadRequest, nil
	}
	if status := checkTarget(hr); status != 0 {
		return nil, status, nil
	}
	r := &Request{Request: hr, Arrived: arrived}
	r.Path, _, _ = strings.Cut(hr.RequestURI, "?")
	return c.readBody(r, limits)
}

// checkTarget refuses requests that are not addressed by a path. The end of a
// request needs no check: the body is read whole and framed anew.
func checkTarget(r *http.Request) int {
	if r.ProtoMajor != 1 || !strings.HasPrefix(r.RequestURI, "/") {
		return http.StatusBadRequest
	}
	return 0
}

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
	body, err := io.ReadAll(&heldReader{c.server, r, io.LimitReader(r.Request.Body, limits.MaxBodyBytes+1)})
	switch {
	case errors.Is(err, errTooMuchHeld):
		c.release(r)
		return nil, http.StatusServiceUnavailable, nil
	case err != nil && !isNetError(err) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, os.ErrDeadlineExceeded):
		c.release(r)
		return nil, http.StatusBadRequest, nil
	case err != nil:
		c.release(r)
		return nil, 0, err
	case int64(len(body)) > limits.MaxBodyBytes:
		c.release(r)
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	r.Body = body
	return r, 0, nil
}

// heldReader counts what it reads as held in memory by the server.
type heldReader struct {
	server  *Server
	request *Request
	r       io.Reader
}

// errTooMuchHeld means that the bodies in memory exceed their bound.
var errTooMuchHeld = errors.New("too many request bodies in memory")

func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	h.request.held += int64(n)
	if h.server.held.Add(int64(n)) > maxHeld {
		return n, errTooMuchHeld
	}
	return n, err
}

// release ends the count of a request's body.
func (c *conn) release(r *Request) {
	if r != nil {
		c.server.held.Add(-r.held)
		r.held = 0
	}
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF)
}

func (c *conn) writeContinue() error {
	if c.busy() {
		// An interim answer would be taken for the answer to an earlier request.
		return nil
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// start serves a request once barrier is done and writes its answer once
// previous is done. It returns a channel that is closed then, or nil if the
// connection has had its last answer, so that the request counts as not read.
func (c *conn) start(r *Request, serve func() *Answer, barrier, previous <-chan struct{}) chan struct{} {
	c.slots <- struct{}{}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.active++
	c.mu.Unlock()
	done := make(chan struct{})
	c.wg.Add(1)
	c.server.begin()
	go func() {
		defer c.wg.Done()
		defer c.server.end()
		defer close(done)
		defer c.release(r)
		defer func() { <-c.slots }()
		<-barrier
		if c.isClosed() {
			return
		}
		answer := serve()
		<-previous
		c.write(r, answer)
	}()
	return done
}

// closeIfIdle ends a connection that has no request in progress.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.active == 0 && !c.closed
	if idle {
		c.closed = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > 0
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// write writes an answer; the caller holds the turn. A failed write ends the
// connection.
func (c *conn) write(r *Request, a *Answer) {
	draining := c.server.draining()
	c.mu.Lock()
	c.active--
	if c.closed {
		c.mu.Unlock()
		return
	}
	last := a.Close || r == nil || r.Close || draining && c.active == 0
	c.closed = last
	c.mu.Unlock()
	if a.Abort || c.writeAnswer(r, a, last) != nil {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.cancel()
		_ = c.nc.Close()
		return
	}
	if last {
		// Wakes the reader, which then ends the connection.
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

func (c *conn) writeAnswer(r *Request, a *Answer, last bool) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	resp := &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header,
		ContentLength: int64(len(a.Body)), Close: last, Body: http.NoBody,
	}
	if len(a.Body) > 0 {
		resp.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	if r != nil {
		resp.Request = r.Request
	}
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(c.nc)
	defer func() {
		bw.Reset(nil)
		writers.Put(bw)
	}()
	if err := resp.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// writers are shared, since most connections are idle at a time.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, readBufferBytes) }}

// linger lets the caller read the last answer before the connection closes.
func (c *conn) linger() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() != nil {
			return
		}
	}
	if c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.nc)
}
