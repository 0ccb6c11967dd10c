package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/balance"
)

const (
	// pollInterval and pollTimeout bound the age of a report, so that a
	// leaving backend server gets no new work after 3 s.
	pollInterval = time.Second
	pollTimeout  = time.Second
	// idlePolls is the number of poll intervals for which a connection is kept.
	idlePolls = 5
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

// NewPoller returns a Poller. It keeps one connection to each backend server,
// since opening one for each poll costs most of a poll. A connection that went
// silent costs one poll: the time-out closes it, and the next poll opens another
// within the 2.5 s after which a server counts as not reporting.
func NewPoller() *Poller {
	return &Poller{client: &http.Client{
		Timeout: pollTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idlePolls * pollInterval,
			DialContext:         (&net.Dialer{Timeout: pollTimeout}).DialContext,
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
	if ctx.Err() != nil {
		return
	}
	s.report(time.Now(), b.Name, health, err)
}

// report takes the result of one poll.
func (s *Service) report(now time.Time, server string, health Health, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.observed[server]
	if o == nil {
		return // no longer declared
	}
	if err != nil {
		o.failures++
		return
	}
	o.Health, o.reportedAt, o.failures = health, now, 0
	s.balancer.Report(now, server, balance.Report{
		At: now, State: states[health.State], Slots: health.Slots, InFlight: health.InFlight,
	})
}

// States of a backend server, as it reports them.
const (
	stateServing = "serving"
	stateLeaving = "leaving"
	stateCold    = "cold"
)

var states = map[string]balance.State{
	stateServing: balance.StateServing, stateLeaving: balance.StateLeaving, stateCold: balance.StateCold,
}

// ErrInvalidReport means that an answer to GET /health is no report.
var ErrInvalidReport = errors.New("answer to the health poll is not a report")

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
	if resp.StatusCode != http.StatusOK {
		return h, errors.Wrap(ErrInvalidReport, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&h); err != nil {
		return h, errors.Wrap(ErrInvalidReport, err.Error())
	}
	if _, known := states[h.State]; !known {
		return h, errors.Wrap(ErrInvalidReport, strconv.Quote(h.State))
	}
	return h, nil
}
