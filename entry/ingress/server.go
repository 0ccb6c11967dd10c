package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Handler answers requests.
type Handler interface {
	// Serve answers one request. The context ends when the caller leaves. The
	// answer must not be nil.
	Serve(ctx context.Context, r *Request) *Answer
	// Concurrent reports whether a request may be served while earlier ones of
	// its connection are.
	Concurrent(r *Request) bool
	// Limits returns the limits in force.
	Limits() Limits
	// Refuse returns the answer to a request that cannot be read.
	Reject(status int) *Answer
}

// Server accepts callers' connections.
type Server struct {
	handler Handler

	mu       sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
	// closing is set once no further request is read.
	closing  bool
	inflight int
	lastDone time.Time
	// held is the size of the bodies in memory.
	held atomic.Int64
}

// NewServer returns a server for a handler.
func NewServer(h Handler) *Server {
	return &Server{handler: h, conns: make(map[*conn]struct{}), lastDone: time.Now()}
}

// maxHeld bounds the bodies that are held in memory at the same time; requests
// beyond it are told to come back.
const maxHeld = 64 << 20

// acceptPause is the pause after a failed accept, which happens when
// descriptors run out.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		closing := s.closing
		if !closing {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if closing {
			_ = nc.Close()
			continue
		}
		go c.run()
	}
}

// Drain makes every answer ask its caller to close the connection.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Close ends connections without a request in progress and makes the others
// end after their answers. No further request is read.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopping, s.closing = true, true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

// Activity returns the number of open connections, of requests that are being
// answered, and for how long there were none of the latter.
func (s *Server) Activity() (conns, inflight int, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight == 0 {
		idle = time.Since(s.lastDone)
	}
	return len(s.conns), s.inflight, idle
}

func (s *Server) begin() {
	s.mu.Lock()
	s.inflight++
	s.mu.Unlock()
}

func (s *Server) end() {
	s.mu.Lock()
	s.inflight--
	s.lastDone = time.Now()
	s.mu.Unlock()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
