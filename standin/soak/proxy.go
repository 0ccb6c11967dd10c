package soak

import (
	"io"
	"net"
	"sync"
)

// proxyMode is what a proxy does with connections.
type proxyMode int

const (
	pass proxyMode = iota
	// refuse closes new connections and resets open ones.
	refuse
	// silence holds bytes back, of open and of new connections.
	silence
	// forgetOpen holds back the bytes of open connections for good, while new
	// ones work: something between the two ends has lost track of them.
	forgetOpen
	// oneWay passes what comes from the near end and holds back what comes from
	// the far end.
	oneWay
)

// proxy stands between one gateway and the store, or before a backend server.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	// lost are connections that were open when they were forgotten.
	lost map[net.Conn]bool
	wake chan struct{}
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool), lost: make(map[net.Conn]bool), wake: make(chan struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode = m; m == refuse {
		for c := range p.conns {
			_ = c.Close()
		}
	}
	if m == forgetOpen {
		for c := range p.conns {
			p.lost[c] = true
		}
		p.mode = pass
	}
	close(p.wake)
	p.wake = make(chan struct{})
}

// hold waits while the bytes of a connection are held back; back is set for
// those from the far end.
func (p *proxy) hold(c net.Conn, back bool) {
	for {
		p.mu.Lock()
		held, wake := p.mode == silence || back && p.mode == oneWay || p.lost[c], p.wake
		open := p.conns[c]
		p.mu.Unlock()
		if !held || !open {
			return
		}
		<-wake
	}
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refused := p.mode == refuse
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
		delete(p.lost, c)
		p.mu.Unlock()
	}()
	p.hold(c, false)
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	go p.copy(up, c, c, false)
	p.copy(c, up, c, true)
}

func (p *proxy) copy(to, from, key net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.hold(key, back)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(refuse)
}
