package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/standin/serve"
)

// Mode is the fault that a server simulates.
type Mode string

// Modes of a server.
const (
	// Normal is the mode without a fault.
	Normal Mode = "normal"
	// Slow multiplies the service time.
	Slow Mode = "slow"
	// Misreporting is Slow with load reports of an idle server.
	Misreporting Mode = "lying"
	// Unresponsive accepts connections and requests but never responds.
	Unresponsive Mode = "silent"
)

// ServerChange changes a server at run time. Absent fields change nothing.
type ServerChange struct {
	Mode    *Mode `json:"mode,omitempty"`
	Leaving *bool `json:"leaving,omitempty"`
	// BlackholeConnections permanently stops responses on the connections that are
	// open now; new connections work.
	BlackholeConnections bool `json:"silence_connections,omitempty"`
	// Restart begins a new cold start.
	Restart bool `json:"restart,omitempty"`
}

// Status is the state of a server and its counters since its start.
type Status struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Region   string `json:"region"`
	Mode     Mode   `json:"mode"`
	Leaving  bool   `json:"leaving"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Counts
	// LastArrivalUnixMS is the time of the last request other than a health check,
	// in milliseconds of Unix time.
	LastArrivalUnixMS int64 `json:"last_arrival_unix_ms"`
}

// Counts holds the counters of a server's requests and connections.
type Counts struct {
	Arrived int `json:"arrived"`
	Run     int `json:"run"`
	Shed    int `json:"shed"`
	// Expired counts requests that arrived after their deadline.
	Expired int `json:"expired"`
	// Cancelled counts requests that the caller cancelled while they ran.
	Cancelled  int `json:"cancelled"`
	NoDeadline int `json:"no_deadline"`
	// WithAuthorization counts requests with a caller's API key.
	WithAuthorization  int `json:"with_authorization"`
	Connections        int `json:"connections"`
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
}

// Server is the stand-in for one backend server.
type Server struct {
	cfg      ServerConfig
	bookings *BookingLog

	mu             sync.Mutex
	rng            *rand.Rand
	status         Status
	started        time.Time
	lastConnection uint64 // number of the last connection
	blackholedUpTo uint64 // connections up to this number get no responses
}

// NewServer returns a server whose cold start begins now. It records the bookings
// that it runs in the given log.
func NewServer(cfg ServerConfig, bookings *BookingLog, rng *rand.Rand) *Server {
	return &Server{cfg: cfg.withDefaults(), bookings: bookings, rng: rng, started: time.Now(),
		status: Status{Name: cfg.Name, Service: cfg.Service, Region: cfg.Region, Mode: Normal, Slots: cfg.Slots}}
}

// Status returns the state and the counters.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Apply changes the server.
func (s *Server) Apply(c ServerChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Mode != nil {
		s.status.Mode = *c.Mode
	}
	if c.Leaving != nil {
		s.status.Leaving = *c.Leaving
	}
	if c.BlackholeConnections {
		s.blackholedUpTo = s.lastConnection
	}
	if c.Restart {
		s.started = time.Now()
	}
}

type connectionKey struct{}

// HTTP returns an HTTP server for HTTP/1.1 and cleartext HTTP/2.
func (s *Server) HTTP() *http.Server {
	h := serve.NewHTTP(s)
	h.Protocols = new(http.Protocols)
	h.Protocols.SetHTTP1(true)
	h.Protocols.SetUnencryptedHTTP2(true)
	h.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, s.nextConnection())
	}
	h.ConnState = s.connState
	return h
}

func (s *Server) nextConnection() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnection++
	return s.lastConnection
}

// connState counts connections and closes those above the bound.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.status.Connections++
		s.status.PeakConnections = max(s.status.PeakConnections, s.status.Connections)
		if s.cfg.MaxConnections > 0 && s.status.Connections > s.cfg.MaxConnections {
			s.status.RefusedConnections++
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.status.Connections--
	}
}

// cold reports whether the server is in its cold start. The caller holds s.mu.
func (s *Server) cold(now time.Time) bool {
	return now.Sub(s.started) < time.Duration(s.cfg.ColdStartMS)*time.Millisecond
}

// serviceTime draws the service time of a request. The caller holds s.mu.
func (s *Server) serviceTime(now time.Time) time.Duration {
	ms := s.cfg.ServiceTimeMS * (1 + s.cfg.ServiceTimeSpread*(2*s.rng.Float64()-1))
	if s.cold(now) {
		ms *= s.cfg.ColdFactor
	}
	if s.status.Mode == Slow || s.status.Mode == Misreporting {
		ms *= s.cfg.SlowFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}
