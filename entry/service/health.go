package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/bodies"
)

const (
	// pollInterval and pollTimeout bound the age of a report, so that a leaving
	// backend server gets no new requests after 3 s.
	pollInterval = time.Second
	pollTimeout  = time.Second
	// idlePollIntervals is the number of poll intervals for which an idle
	// connection is kept.
	idlePollIntervals = 5
	// maxHealthBytes bounds the size of a health report.
	maxHealthBytes = 4 << 10
)

// Health is the response of a backend server to GET /health.
type Health struct {
	// State is "serving", "leaving" or "cold".
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// Poller polls the health of the backend servers of all services.
type Poller struct {
	client *http.Client
}

// NewPoller returns a Poller. It keeps one connection open to each backend
// server, because opening a connection for each poll would be most of the cost
// of a poll. An unresponsive connection costs one poll: the timeout closes the
// connection, and the next poll opens another within the 2.5 s after which a
// server counts as not reporting.
func NewPoller() *Poller {
	return &Poller{client: &http.Client{
		Timeout: pollTimeout,
		Transport: httpsyntax.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idlePollIntervals * pollInterval,
			DialContext:         (&net.Dialer{Timeout: pollTimeout}).DialContext,
		}),
	}}
}

// Run polls the backend servers of a service until the context is done.
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

// poll reads one health report. Without a valid report, only the failed poll is
// recorded, and the balancer acts on the age of the last report.
func (p *Poller) poll(ctx context.Context, s *Service, b balance.Server) {
	health, err := p.fetchHealth(ctx, b.Address)
	if ctx.Err() != nil {
		return
	}
	s.recordPoll(time.Now(), b.Name, health, err)
}

// recordPoll records the result of one poll.
func (s *Service) recordPoll(now time.Time, server string, health Health, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.serverStates[server]
	if state == nil {
		return // The server is no longer declared.
	}
	if err != nil {
		state.failedPolls++
		return
	}
	state.Health, state.reportedAt, state.failedPolls = health, now, 0
	s.balancer.Report(now, server, balance.Report{
		At: now, State: stateByName[health.State], Slots: health.Slots, InFlight: health.InFlight,
	})
}

// States that a backend server reports.
const (
	stateServing = "serving"
	stateLeaving = "leaving"
	stateCold    = "cold"
)

var stateByName = map[string]balance.State{
	stateServing: balance.StateServing, stateLeaving: balance.StateLeaving, stateCold: balance.StateCold,
}

// ErrInvalidReport means that the response to GET /health is not a valid
// report.
var ErrInvalidReport = errors.New("response to the health poll is not a valid report")

func (p *Poller) fetchHealth(ctx context.Context, address string) (Health, error) {
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
	if err := bodies.DecodeJSON(io.LimitReader(resp.Body, maxHealthBytes), &h); err != nil {
		return h, errors.Wrap(ErrInvalidReport, err.Error())
	}
	if _, known := stateByName[h.State]; !known {
		return h, errors.Wrap(ErrInvalidReport, strconv.Quote(h.State))
	}
	return h, nil
}
