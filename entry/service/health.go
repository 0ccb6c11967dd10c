package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
)

const (
	// pollInterval and pollTimeout bound the age of a report, so that a
	// leaving backend server gets no new work after 3 s.
	pollInterval = time.Second
	pollTimeout  = time.Second
	// maxHealthBytes bounds a health answer.
	maxHealthBytes = 4 << 10
)

// Health is the answer of a backend server's GET /health.
type Health struct {
	// State is "serving", "leaving" or "cold".
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// Poller reads the health of the backend servers of all services.
type Poller struct {
	client *http.Client
}

// NewPoller returns a Poller. Each poll opens a connection of its own: a poll
// on a connection that went silent would say nothing of the server.
func NewPoller() *Poller {
	return &Poller{client: &http.Client{
		Timeout: pollTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: pollTimeout}).DialContext,
		},
	}}
}

// Run polls the backend servers of a service until the context ends.
func (p *Poller) Run(ctx context.Context, s *Service) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.pollAll(ctx, s)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) pollAll(ctx context.Context, s *Service) {
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, b := range servers {
		go p.poll(ctx, s, b)
	}
}

// poll reads one report. A server that does not answer is left without a new
// report; the balancer acts on the age of the last one.
func (p *Poller) poll(ctx context.Context, s *Service, b balance.Server) {
	health, err := p.get(ctx, b.Address)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[b.Name] = health
	s.balancer.Report(now, b.Name, balance.Report{
		At: now, State: stateOf(health.State), Slots: health.Slots, InFlight: health.InFlight,
	})
	s.updateSlots(now)
}

func stateOf(state string) balance.State {
	switch state {
	case "leaving":
		return balance.StateLeaving
	case "cold":
		return balance.StateCold
	default:
		return balance.StateServing
	}
}

func (p *Poller) get(ctx context.Context, address string) (Health, error) {
	var h Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return h, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return h, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&h)
	return h, err
}
