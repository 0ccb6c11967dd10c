package load

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout     = time.Second
	idlePerEntry    = 256
	idleConnTimeout = 30 * time.Second
)

// countingConn counts the bytes written, to tell whether a request was sent on
// a connection that broke.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// newTransport returns an HTTP/1.1 transport that connects from source.
func newTransport(source string) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: idlePerEntry,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// connUse follows the connections that the transport tries for one request. The
// transport repeats a GET on another connection by itself if a reused
// connection breaks, which would hide a cut request.
type connUse struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
	cut    int // connections that broke after a part of the request was sent
}

func (u *connUse) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.endConn()
		if c, ok := info.Conn.(*countingConn); ok {
			u.conn, u.before = c, c.written.Load()
		}
	}})
}

// endConn counts the connection in use as cut if it got a part of the request;
// u.mu is held.
func (u *connUse) endConn() {
	if u.conn != nil && u.conn.written.Load() > u.before {
		u.cut++
	}
	u.conn = nil
}

// failed is called when the request got no complete answer; it reports whether
// a part of it was sent.
func (u *connUse) failed() (sent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endConn()
	return u.cut > 0
}

// cuts returns the number of connections that broke.
func (u *connUse) cuts() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cut
}
