package httpsyntax

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/pkg/errors"
)

// Transport is an http.RoundTripper that fails with ErrInvalid if the response of another one
// is not valid HTTP/1.1. If the trailers are not valid, the body ends with that error. It ends with
// io.ErrUnexpectedEOF if only the end of the connection marks its end and the request could not be
// written: the failure of the connection may have reached the write alone.
type Transport struct{ base *http.Transport }

const (
	// maxHeadBytes bounds the head of a response, and the heads of the interim responses before it.
	maxHeadBytes = 64 << 10
	// interimOverhead is the least size of an interim response without its fields.
	interimOverhead = len("HTTP/1.1 100 \r\n\r\n")
)

// NewTransport returns a Transport that sends its requests through base. If base states no bound of
// the heads of responses, that is 64 KiB.
func NewTransport(base *http.Transport) *Transport {
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recordedConn{Conn: c}, nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	e := new(exchange)
	trace := &httptrace.ClientTrace{GotConn: e.gotConn, WroteRequest: e.wroteRequest, Got1xxResponse: e.gotInterim}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := e.check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	body := &checkedBody{ReadCloser: response.Body, response: response}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed {
		body.written = e.written
	}
	response.Body = body
	return response, nil
}

// exchange is what http.Transport tells of a request and its response. It sends a request again on
// another connection if one that it reused was closed.
type exchange struct {
	mu sync.Mutex
	// conn is the newest connection; nil if that is one with TLS.
	conn *recordedConn
	// written gets the result of writing the request to it.
	written chan error
	// interim is set once there was an interim response, interimBytes the size of all their fields.
	interim      bool
	interimBytes int
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.written = make(chan error, 1)
	if e.conn, _ = info.Conn.(*recordedConn); e.conn != nil {
		e.conn.beginResponse()
	}
}

func (e *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case e.written <- info.Err:
	default:
	}
}

func (e *exchange) gotInterim(_ int, header textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interim = true
	e.interimBytes += interimOverhead
	for name, values := range header {
		for _, value := range values {
			e.interimBytes += len(name) + len(value)
		}
	}
	if e.interimBytes > maxHeadBytes {
		return errors.Wrap(ErrInvalid, "interim responses too large")
	}
	return CheckFields(header)
}

// check checks the head of the final response.
func (e *exchange) check(response *http.Response) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		if err := e.conn.endHead(); err != nil {
			return err
		}
	}
	if e.interim {
		if err := CheckAfterInterim(response); err != nil {
			return err
		}
	}
	return CheckResponse(response)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// recordedConn records the heads of responses.
type recordedConn struct {
	net.Conn
	// mu guards head: http.Transport reads in a goroutine of its own.
	mu   sync.Mutex
	head HeadRecorder
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Record(p[:n])
	return n, err
}

func (c *recordedConn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.BeginResponse(nil)
}

func (c *recordedConn) endHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.End()
}

// checkedBody checks what is known at the end of the body: the trailers, and whether the request was
// written.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	// written gets the result of writing the request; nil if the end of the body is marked.
	written chan error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := cmp.Or(CheckFields(b.response.Trailer), b.checkWritten()); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// checkWritten waits until the request was written or could not be written, which happens at the
// latest when http.Transport closes the connection at the end of the body.
func (b *checkedBody) checkWritten() error {
	if b.written == nil {
		return nil
	}
	select {
	case err := <-b.written:
		if err != nil {
			return errors.Wrap(io.ErrUnexpectedEOF, err.Error())
		}
		b.written = nil
		return nil
	case <-b.response.Request.Context().Done():
		return b.response.Request.Context().Err()
	}
}
