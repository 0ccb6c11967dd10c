package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/standin/backend"
)

// controlTimeout bounds a call to the control endpoint of the backend stand-in.
const controlTimeout = 10 * time.Second

// run holds what was recorded during a run.
type run struct {
	cfg           Config
	start         time.Time
	records       []record
	dropped       []int // requests not sent, by client
	failedLocates int   // failed requests for the addresses of entry VMs
	events        []Event
	servers       []backend.Status
	bookingRuns   backend.RunReport
}

// Run runs all clients and returns the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return Report{}, err
	}
	r := &run{cfg: cfg, dropped: make([]int, len(cfg.Clients))}
	r.runClients(ctx)
	var err error
	if r.events, err = readEvents(cfg.EventsFile); err != nil {
		return Report{}, err
	}
	if err := r.fetchBackendState(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

// runClients runs all clients to their end and collects their records.
func (r *run) runClients(ctx context.Context) {
	var remaining atomic.Int64
	remaining.Store(int64(r.cfg.MaxRequests))
	records := make(chan record)
	var running sync.WaitGroup
	r.start = time.Now()
	var clients []*client
	for i, clientConfig := range r.cfg.Clients {
		transport := newTransport(clientConfig.SourceAddress)
		c := &client{cfg: r.cfg, index: i, clientConfig: clientConfig, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(i))),
			transport: transport, locator: &locator{transport: transport, initialEntries: r.cfg.Entries}, remaining: &remaining, records: records}
		clients = append(clients, c)
		running.Go(func() { c.run(ctx, r.start) })
	}
	go func() {
		running.Wait()
		close(records)
	}()
	for rec := range records {
		r.records = append(r.records, rec)
	}
	for i, c := range clients {
		r.dropped[i] = c.dropped
		r.failedLocates += c.locator.failedRequests
	}
}

// fetchBackendState reads the bookings that ran and the status of all servers from
// the backend stand-in, if there is one.
func (r *run) fetchBackendState(ctx context.Context) error {
	if r.cfg.BackendControl == "" {
		return nil
	}
	if err := getJSON(ctx, r.cfg.BackendControl+backend.PathRuns, &r.bookingRuns); err != nil {
		return err
	}
	return getJSON(ctx, r.cfg.BackendControl+backend.PathServers, &r.servers)
}

func getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.StatusCode}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}
