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

	"github.com/cassiawind/cassiawind/entry/bodies"
)

const (
	readBufferBytes = 4096
	// maxIdleTime is how long an unused connection is kept. Servers close
	// theirs after a time that they do not necessarily state.
	maxIdleTime = 8 * time.Second
	// maxIdleTimeNonIdempotent is how long a connection may have been idle to
	// be reused for a non-idempotent request. A server may have dropped the
	// connection without notice, and then the outcome would be unknown.
	maxIdleTimeNonIdempotent = 1500 * time.Millisecond
	// keepAliveMargin is subtracted from the time for which a server promises
	// to keep a connection, because the request has to arrive within it.
	keepAliveMargin = 700 * time.Millisecond
	// maxIdleConnsPerServer bounds the idle connections to one server.
	maxIdleConnsPerServer = 24
	// idleConnsShare is the fraction of the connections that a server accepts which all
	// VMs together keep idle. The rest is for connections that are opened under load.
	idleConnsShare = 0.8
)

// MaxIdleConns returns the number of idle connections that a VM keeps to a server which
// accepts serverConns connections from all VMs together; 0 states no limit.
func MaxIdleConns(serverConns, vms int) int {
	if serverConns <= 0 {
		return maxIdleConnsPerServer
	}
	return min(int(idleConnsShare*float64(serverConns))/max(1, vms), maxIdleConnsPerServer)
}

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool reuses connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer     Dialer
	bodyMemory *bodies.Memory

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool. The bodies of responses share a memory, see NewBodyMemory.
func NewPool(d Dialer, bodyMemory *bodies.Memory) *Pool {
	return &Pool{dialer: d, bodyMemory: bodyMemory, idle: make(map[string][]*conn)}
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	headLimit *headLimitReader
	br        *bufio.Reader
	serverID  string
	memory    *bodies.Memory
	// idleSince and idleLimit apply while the connection is idle.
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
	// served is set once a request was answered on the connection. rejectedIDs are the ids
	// of the requests that were not run.
	served      bool
	rejectedIDs []string
}

// maxIdleFor returns how long a connection may have been idle to be reused.
func maxIdleFor(idempotent bool) time.Duration {
	if idempotent {
		return maxIdleTime
	}
	return maxIdleTimeNonIdempotent
}

// takeIdle returns an idle connection that looks usable, or nil.
func (p *Pool) takeIdle(serverID string, idempotent bool) *conn {
	maxIdle := maxIdleFor(idempotent)
	for {
		c := p.pop(serverID)
		if c == nil {
			return nil
		}
		idle := time.Since(c.idleSince)
		if idle < min(maxIdle, c.idleLimit) {
			if c.isUsable() {
				c.reused = true
				return c
			}
			_ = c.Close()
			continue
		}
		if idle < c.idleLimit {
			// Too long idle for this request; the connections below it have
			// been idle for even longer.
			p.push(c, maxIdleConnsPerServer)
			return nil
		}
		_ = c.Close()
	}
}

// HasIdle reports whether there is an idle connection to a server that a request may use.
func (p *Pool) HasIdle(serverID string, idempotent bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[serverID]
	if len(list) == 0 {
		return false
	}
	newest := list[len(list)-1]
	return time.Since(newest.idleSince) < min(maxIdleFor(idempotent), newest.idleLimit)
}

func (p *Pool) pop(serverID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[serverID]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[serverID] = list[:len(list)-1]
	return c
}

func (p *Pool) push(c *conn, maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.serverID]
	if len(list) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.serverID] = append(list, c)
}

// keep stores a connection for reuse unless maxIdle are idle already.
func (p *Pool) keep(c *conn, keepAlive string, maxIdle int) {
	c.idleSince, c.idleLimit = time.Now(), maxIdleTime
	if promised, ok := parseKeepAliveTimeout(keepAlive); ok {
		c.idleLimit = min(maxIdleTime, promised-keepAliveMargin)
	}
	if c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.push(c, maxIdle)
}

// parseKeepAliveTimeout returns the timeout of a Keep-Alive header.
func parseKeepAliveTimeout(header string) (time.Duration, bool) {
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

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(serverID string) {
	p.mu.Lock()
	list := p.idle[serverID]
	delete(p.idle, serverID)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseAllIdle closes the idle connections to all servers.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var expired []*conn
	for serverID, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= list[n].idleLimit {
			n++
		}
		expired = append(expired, list[:n]...)
		if list = list[n:]; len(list) == 0 {
			delete(p.idle, serverID)
		} else {
			p.idle[serverID] = list
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// isUsable checks, without blocking, that the server has not closed the
// connection and that no bytes have arrived that belong to no request.
func (c *conn) isUsable() bool {
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
	noData := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
