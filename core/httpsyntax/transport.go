package httpsyntax

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport is an http.RoundTripper that fails with ErrInvalid if the response of another one
// is not valid HTTP/1.1. If the trailers are not valid, the body ends with that error.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends its requests through base.
func NewTransport(base *http.Transport) *Transport {
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
	var conn *recordedConn
	interim := false
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// A connection with TLS is another one.
			if conn, _ = info.Conn.(*recordedConn); conn != nil {
				conn.beginResponse()
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			interim = true
			return CheckFields(header)
		},
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(response, conn, interim); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// check checks the head of a response that was read from a connection.
func check(response *http.Response, conn *recordedConn, interim bool) error {
	if conn != nil {
		if err := conn.endHead(); err != nil {
			return err
		}
	}
	if interim {
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

// checkedBody checks the trailers, which are known at the end of the body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := CheckFields(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
