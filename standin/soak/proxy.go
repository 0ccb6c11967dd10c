package soak

import (
	"io"
	"net"
	"sync"
)

// proxyMode is how a proxy handles connections.
type proxyMode int

const (
	forward proxyMode = iota
	// refuse closes open and new connections.
	refuse
	// blackhole holds back the bytes of open and new connections.
	blackhole
	// blackholeOpen permanently holds back the bytes of the connections that are
	// open now, while new ones work, as if a device between the two ends had lost
	// their state.
	blackholeOpen
	// blackholeResponses forwards the bytes of clients and holds back those of the
	// target.
	blackholeResponses
)

// proxy forwards TCP connections from one gateway to the store, or from all
// gateways to a backend server.
type proxy struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	mode     proxyMode
	conns    map[net.Conn]bool
	// blackholed holds the connections that were open when blackholeOpen was set.
	blackholed map[net.Conn]bool
	// modeChanged is closed and replaced when the mode is set.
	modeChanged chan struct{}
	// aborted are the addresses whose connections are reset.
	aborted map[string]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), listener: listener, target: target, conns: make(map[net.Conn]bool), blackholed: make(map[net.Conn]bool), aborted: make(map[string]bool), modeChanged: make(chan struct{})}
	go p.acceptLoop(listener)
	return p, nil
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode = m; m == refuse {
		for c := range p.conns {
			_ = c.Close()
		}
	}
	if m == blackholeOpen {
		for c := range p.conns {
			p.blackholed[c] = true
		}
		p.mode = forward
	}
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// abort makes open and new connections from an address be reset, or be forwarded again.
func (p *proxy) abort(ip string, aborted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aborted[ip] = aborted
	for c := range p.conns {
		if aborted && sourceOf(c) == ip {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// sourceOf returns the address that a connection comes from.
func sourceOf(c net.Conn) string { return c.RemoteAddr().(*net.TCPAddr).IP.String() }

// waitWhileHeld blocks while the bytes of a client connection are held back.
// fromTarget is set for bytes that the target sent.
func (p *proxy) waitWhileHeld(c net.Conn, fromTarget bool) {
	for {
		p.mu.Lock()
		held, modeChanged := p.mode == blackhole || fromTarget && p.mode == blackholeResponses || p.blackholed[c], p.modeChanged
		open := p.conns[c]
		p.mu.Unlock()
		if !held || !open {
			return
		}
		<-modeChanged
	}
}

func (p *proxy) acceptLoop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refused := p.mode == refuse || p.aborted[sourceOf(c)]
		if !refused {
			p.conns[c] = true
		}
		p.mu.Unlock()
		if refused {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		delete(p.blackholed, c)
		p.mu.Unlock()
	}()
	p.waitWhileHeld(c, false)
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go p.copy(upstream, c, c, false)
	p.copy(c, upstream, c, true)
}

func (p *proxy) copy(to, from, client net.Conn, fromTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitWhileHeld(client, fromTarget)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.setMode(refuse)
}
