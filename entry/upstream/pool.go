package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4096
	// maxIdle is how long a connection is kept unused; servers close theirs
	// after a time that they may not tell.
	maxIdle = 8 * time.Second
	// onceIdle is how long a kept connection may be unused for a request that
	// must not run twice: a server may have dropped it without notice, and the
	// outcome would be unknown.
	onceIdle = 1500 * time.Millisecond
	// keepAliveMargin is subtracted from the time that a server promises to
	// keep a connection: the request needs to get there in time.
	keepAliveMargin = 700 * time.Millisecond
	// maxKept bounds the kept connections to one server.
	maxKept = 24
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer Dialer

	mu   sync.Mutex
	kept map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(d Dialer) *Pool { return &Pool{dialer: d, kept: make(map[string][]*conn)} }

// conn is one connection to a server.
type conn struct {
	net.Conn
	br     *bufio.Reader
	server string
	// idleSince and idleLimit apply while it is kept.
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
}

// take returns a kept connection that looks usable, or nil.
func (p *Pool) take(server string, idempotent bool) *conn {
	limit := maxIdle
	if !idempotent {
		limit = onceIdle
	}
	for {
		c := p.pop(server)
		if c == nil {
			return nil
		}
		idle := time.Since(c.idleSince)
		if idle < min(limit, c.idleLimit) {
			if c.usable() {
				c.reused = true
				return c
			}
			_ = c.Close()
			continue
		}
		if idle < c.idleLimit {
			// Too old for this request; the ones below are older still.
			p.push(c)
			return nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(server string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.kept[server]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.kept[server] = list[:len(list)-1]
	return c
}

func (p *Pool) push(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.kept[c.server]
	if len(list) >= maxKept {
		_ = c.Close()
		return
	}
	p.kept[c.server] = append(list, c)
}

// put keeps a connection for reuse.
func (p *Pool) put(c *conn, keepAlive string) {
	c.idleSince, c.idleLimit = time.Now(), maxIdle
	if told, ok := keepAliveTime(keepAlive); ok {
		c.idleLimit = min(maxIdle, told-keepAliveMargin)
	}
	if c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.push(c)
}

// keepAliveTime reads the timeout of a Keep-Alive header.
func keepAliveTime(header string) (time.Duration, bool) {
	for _, f := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(f), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// Forget closes the kept connections to a server.
func (p *Pool) CloseIdle(server string) {
	p.mu.Lock()
	list := p.kept[server]
	delete(p.kept, server)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Trim closes connections that were unused for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var old []*conn
	for server, list := range p.kept {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= list[n].idleLimit {
			n++
		}
		old = append(old, list[:n]...)
		if list = list[n:]; len(list) == 0 {
			delete(p.kept, server)
		} else {
			p.kept[server] = list
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// usable looks, without waiting, for an end of the connection or for bytes that
// belong to no request.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
