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

// controlTimeout bounds a call to the backend stand-in's control end point.
const controlTimeout = 10 * time.Second

// run is what was seen during a run.
type run struct {
	cfg     Config
	start   time.Time
	records []record
	dropped []int // by client
	locates int   // failed look-ups of entry VMs
	events  []Event
	servers []backend.Status
	runs    backend.RunReport
}

// Run plays all clients and returns the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return Report{}, err
	}
	r := &run{cfg: cfg, dropped: make([]int, len(cfg.Clients))}
	r.play(ctx)
	var err error
	if r.events, err = readEvents(cfg.EventsFile); err != nil {
		return Report{}, err
	}
	if err := r.askBackend(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

func (r *run) play(ctx context.Context) {
	var left atomic.Int64
	left.Store(int64(r.cfg.MaxRequests))
	done := make(chan record)
	var running sync.WaitGroup
	r.start = time.Now()
	var clients []*client
	for i, cc := range r.cfg.Clients {
		transport := newTransport(cc.SourceAddress)
		c := &client{cfg: r.cfg, index: i, client: cc, rnd: rand.New(rand.NewPCG(r.cfg.Seed, uint64(i))),
			transport: transport, locator: &locator{transport: transport, seeds: r.cfg.Entries}, left: &left, done: done}
		clients = append(clients, c)
		running.Go(func() { c.run(ctx, r.start) })
	}
	go func() {
		running.Wait()
		close(done)
	}()
	for rec := range done {
		r.records = append(r.records, rec)
	}
	for i, c := range clients {
		r.dropped[i] = c.dropped
		r.locates += c.locator.failures
	}
}

func (r *run) askBackend(ctx context.Context) error {
	if r.cfg.BackendControl == "" {
		return nil
	}
	if err := getJSON(ctx, r.cfg.BackendControl+backend.PathRuns, &r.runs); err != nil {
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
