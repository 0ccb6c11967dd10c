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
	dialTimeout          = time.Second
	maxIdleConnsPerEntry = 256
	idleConnTimeout      = 30 * time.Second
)

// countingConn counts the bytes written, to determine whether a part of a request
// was sent on a connection that broke.
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

// newTransport returns an HTTP/1.1 transport that connects from the source address,
// if it is an IP address.
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
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// connTracker tracks the connections that the transport uses for one request. The
// transport retries a GET on another connection if a reused connection breaks,
// which would hide the broken connection.
type connTracker struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64 // bytes written to conn before the request
	broken        int   // connections that broke after a part of the request was sent
}

// context returns a context with which the transport reports the connections of a
// request to the tracker.
func (t *connTracker) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.releaseConn()
		if c, ok := info.Conn.(*countingConn); ok {
			t.conn, t.writtenBefore = c, c.written.Load()
		}
	}})
}

// releaseConn counts the connection in use as broken if a part of the request was
// sent on it. The caller holds t.mu.
func (t *connTracker) releaseConn() {
	if t.conn != nil && t.conn.written.Load() > t.writtenBefore {
		t.broken++
	}
	t.conn = nil
}

// fail records that the request got no complete response. It reports whether a part
// of the request was sent.
func (t *connTracker) fail() (sent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseConn()
	return t.broken > 0
}

// brokenConns returns the number of connections that broke.
func (t *connTracker) brokenConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broken
}
