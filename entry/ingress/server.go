package ingress

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/bodies"
)

// Limits bound the size of requests and the time that callers may take to send
// them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Handler answers requests.
type Handler interface {
	// Serve answers one request. The context ends when the caller disconnects.
	// The response must not be nil.
	Serve(ctx context.Context, r *Request) *Response
	// Concurrent reports whether a request may be served concurrently with
	// earlier requests of its connection.
	Concurrent(r *Request) bool
	// Limits returns the limits in effect.
	Limits() Limits
	// Reject returns the response to a request that cannot be read.
	Reject(status int) *Response
}

// Server serves callers' connections.
type Server struct {
	handler Handler

	mu             sync.Mutex
	conns          map[*conn]struct{}
	drainRequested bool
	// ending is set once connections end as soon as they have no request.
	ending bool
	// stopped is set once accepted connections are closed without being read.
	stopped        bool
	inFlight       int
	lastFinishedAt time.Time
	// bodyMemory is the memory of the request bodies.
	bodyMemory *bodies.Memory
}

// NewServer returns a server whose requests are answered by h. Their bodies share a memory, see
// NewBodyMemory.
func NewServer(h Handler, bodyMemory *bodies.Memory) *Server {
	return &Server{handler: h, conns: make(map[*conn]struct{}), lastFinishedAt: time.Now(), bodyMemory: bodyMemory}
}

const (
	// maxBodyMemoryBytes bounds the long request bodies that are in memory at the same
	// time. Requests beyond it are rejected with status 503.
	maxBodyMemoryBytes = 64 << 20
	// shortBodyReserveBytes is the memory that short bodies have in addition.
	shortBodyReserveBytes = 16 << 20
)

// NewBodyMemory returns the memory for the bodies of requests. The servers of a process share one.
func NewBodyMemory() *bodies.Memory {
	const total = maxBodyMemoryBytes + shortBodyReserveBytes
	return bodies.NewMemory(bodies.Limits{Total: total, PerSource: total, ShortReserve: shortBodyReserveBytes})
}

// acceptBackoff is the pause after a failed accept, which happens when file
// descriptors run out.
const acceptBackoff = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		c := newConn(s, nc)
		if !s.addConn(c) {
			_ = nc.Close()
			continue
		}
		go c.run()
	}
}

// addConn adds an accepted connection unless the server has stopped.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.conns[c] = struct{}{}
	// Its caller could not know that the process stops.
	c.ending, c.finalWait = s.ending, firstRequestWait
	return true
}

// Drain makes every response carry "Connection: close", unless further requests
// of its connection are still unanswered.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainRequested = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainRequested
}

// Close closes connections without a request and makes the others close after their
// responses. A request that has arrived is answered, and so is the first one of a
// connection that is accepted later.
func (s *Server) Close() {
	s.mu.Lock()
	s.drainRequested, s.ending = true, true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.endWhenIdle(pendingRequestWait)
	}
}

// Stop makes connections that are accepted from now on close without being read. The
// process may end once Activity returns no connection after it.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Activity returns the number of open connections, the number of requests in
// progress, and the time since the last request finished, or 0 while a request is
// in progress.
func (s *Server) Activity() (conns, inFlight int, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == 0 {
		idle = time.Since(s.lastFinishedAt)
	}
	return len(s.conns), s.inFlight, idle
}

func (s *Server) requestStarted() {
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
}

func (s *Server) requestFinished() {
	s.mu.Lock()
	s.inFlight--
	s.lastFinishedAt = time.Now()
	s.mu.Unlock()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
