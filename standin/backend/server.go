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

// Mode is how a server misbehaves.
type Mode string

// Modes.
const (
	// Normal is the mode without a fault.
	Normal Mode = "normal"
	// Slow multiplies the service time.
	Slow Mode = "slow"
	// Lying is Slow with load reports that show an idle server.
	Misreporting Mode = "lying"
	// Silent accepts connections and answers nothing.
	Unresponsive Mode = "silent"
)

// Change changes a server at run time. Absent members change nothing.
type ServerChange struct {
	Mode    *Mode `json:"mode,omitempty"`
	Leaving *bool `json:"leaving,omitempty"`
	// BlackholeConnections leaves the connections that are open now without
	// answers for good; new ones work.
	BlackholeConnections bool `json:"silence_connections,omitempty"`
	// Restart begins a cold start.
	Restart bool `json:"restart,omitempty"`
}

// Status is the state of a server and its counts since the start.
type Status struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Region   string `json:"region"`
	Mode     Mode   `json:"mode"`
	Leaving  bool   `json:"leaving"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Counts
	// LastArrivalUnixMS is the time of the last request other than a health
	// request.
	LastArrivalUnixMS int64 `json:"last_arrival_unix_ms"`
}

// Counts counts requests and connections of a server.
type Counts struct {
	Arrived int `json:"arrived"`
	Run     int `json:"run"`
	Shed    int `json:"shed"`
	// Expired requests arrived after their deadline.
	Expired    int `json:"expired"`
	Cancelled  int `json:"cancelled"`
	NoDeadline int `json:"no_deadline"`
	// WithAuthorization requests carried a caller's key.
	WithAuthorization  int `json:"with_authorization"`
	Connections        int `json:"connections"`
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
}

// Server is one backend server.
type Server struct {
	cfg  ServerConfig
	runs *BookingLog

	mu           sync.Mutex
	rnd          *rand.Rand
	status       Status
	started      time.Time
	opened       uint64 // number of the last connection
	silencedUpTo uint64 // connections up to this number get no answers
}

// NewServer returns a server that starts cold now and records its bookings in
// runs.
func NewServer(cfg ServerConfig, runs *BookingLog, rnd *rand.Rand) *Server {
	return &Server{cfg: cfg.withDefaults(), runs: runs, rnd: rnd, started: time.Now(),
		status: Status{Name: cfg.Name, Service: cfg.Service, Region: cfg.Region, Mode: Normal, Slots: cfg.Slots}}
}

// Status returns the state and the counts.
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
		s.silencedUpTo = s.opened
	}
	if c.Restart {
		s.started = time.Now()
	}
}

type connectionKey struct{}

// HTTP returns the server's HTTP/1.1 and HTTP/2 (cleartext) server.
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
	s.opened++
	return s.opened
}

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

func (s *Server) cold(now time.Time) bool {
	return now.Sub(s.started) < time.Duration(s.cfg.ColdStartMS)*time.Millisecond
}

// serviceTime draws the service time of a request; s.mu is held.
func (s *Server) serviceTime(now time.Time) time.Duration {
	ms := s.cfg.ServiceTimeMS * (1 + s.cfg.ServiceTimeSpread*(2*s.rnd.Float64()-1))
	if s.cold(now) {
		ms *= s.cfg.ColdFactor
	}
	if s.status.Mode == Slow || s.status.Mode == Misreporting {
		ms *= s.cfg.SlowFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}
