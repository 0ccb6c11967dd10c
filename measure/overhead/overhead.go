// Package overhead measures the latency and processor time that the entry process
// and the gateway add to a forwarded request. The baseline is httputil.ReverseProxy
// in the same process, with the same backend server and the same load.
package overhead

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/locate"
	"github.com/cassiawind/cassiawind/entry/server"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform/memory"
	"github.com/cassiawind/cassiawind/standin/platformstore"
)

const (
	apiKey = "overhead-key"
	// requestPath is the path of all requests but the lookup.
	requestPath = "/lots/7"
	// readyTimeout bounds the start of the entry process and the gateway.
	readyTimeout = 20 * time.Second
	// idleConns is the number of idle connections that the entry process keeps
	// to a backend server.
	idleConns = 64
	// maxLatencyMicros is the largest value of the histograms.
	maxLatencyMicros = 10_000_000
)

// Errors of a measurement.
var (
	ErrNotReady = errors.New("process did not become ready in time")
	ErrStatus   = errors.New("response has an unexpected status")
)

// Config configures a measurement.
type Config struct {
	// Workers is the number of concurrent senders, each of which sends one
	// request after another; default 16.
	Workers int
	// Requests is the number of requests in a round; default 20000.
	Requests int
	// Rounds is the number of rounds of each target; default 6. The targets
	// alternate, so that a drift of the machine's speed affects all of them.
	Rounds int
	// BodyBytes is the size of a response body; default 1024.
	BodyBytes int
}

// Result holds the measured values of one target.
type Result struct {
	Target string `json:"target"`
	// P50 and P99 are latencies in microseconds. CPU is the processor time of
	// the whole process (load, target and backend server) in microseconds per
	// request.
	P50 int64   `json:"p50_us"`
	P99 int64   `json:"p99_us"`
	CPU float64 `json:"cpu_us_per_request"`
}

// target is an address under measurement with its results so far.
type target struct {
	name     string
	url      string
	hist     *hdrhistogram.Histogram
	cpu      time.Duration
	requests int
}

// Run measures requests over a direct connection, through the reverse proxy and
// through the entry process, a lookup of entry VMs, and requests through the gateway.
// The results are in this order.
func Run(ctx context.Context, c Config) ([]Result, error) {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	backend, err := startServer(ctx, backendHandler(c.BodyBytes))
	if err != nil {
		return nil, err
	}
	proxy, err := startServer(ctx, reverseProxy(backend))
	if err != nil {
		return nil, err
	}
	entry, err := startEntry(ctx, backend)
	if err != nil {
		return nil, err
	}
	gateway, err := startGateway(ctx, backend)
	if err != nil {
		return nil, err
	}
	targets := []*target{
		newTarget("direct", backend, requestPath), newTarget("reverse proxy", proxy, requestPath),
		newTarget("entry", entry, requestPath), newTarget("lookup", entry, locate.Path),
		newTarget("gateway", gateway, requestPath),
	}
	for round := range c.Rounds + 1 {
		for _, t := range targets {
			if err := t.round(ctx, c, round > 0); err != nil {
				return nil, err
			}
		}
	}
	var out []Result
	for _, t := range targets {
		out = append(out, t.result())
	}
	return out, nil
}

func (c Config) withDefaults() Config {
	setDefault := func(value *int, defaultValue int) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&c.Workers, 16)
	setDefault(&c.Requests, 20_000)
	setDefault(&c.Rounds, 6)
	setDefault(&c.BodyBytes, 1024)
	return c
}

func newTarget(name, address, path string) *target {
	return &target{name: name, url: "http://" + address + path, hist: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// round sends the requests of one round. If record is false, as in the first round,
// the requests only warm up the target.
func (t *target) round(ctx context.Context, c Config, record bool) error {
	transport := &http.Transport{MaxIdleConnsPerHost: c.Workers}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	var workers sync.WaitGroup
	var workerErr error
	before := cpuTime()
	for range c.Workers {
		workers.Go(func() {
			hist := hdrhistogram.New(1, maxLatencyMicros, 3)
			err := t.send(ctx, transport, c.Requests/c.Workers, hist)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				workerErr = err
			}
			if record {
				t.hist.Merge(hist)
				t.requests += int(hist.TotalCount())
			}
		})
	}
	workers.Wait()
	if record {
		t.cpu += cpuTime() - before
	}
	return workerErr
}

// send sends requests one after another and records their latencies.
func (t *target) send(ctx context.Context, transport *http.Transport, n int, hist *hdrhistogram.Histogram) error {
	for range n {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url, nil)
		if err != nil {
			return errors.WithStack(err)
		}
		req.Header.Set("Authorization", "Bearer "+apiKey)
		platformstore.SetSampleRequestHeaders(req.Header)
		started := time.Now()
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return errors.WithStack(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return errors.WithStack(err)
		}
		if resp.StatusCode != http.StatusOK {
			return errors.Wrap(ErrStatus, resp.Status)
		}
		if err := hist.RecordValue(max(1, time.Since(started).Microseconds())); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func (t *target) result() Result {
	return Result{
		Target: t.name, P50: t.hist.ValueAtQuantile(50), P99: t.hist.ValueAtQuantile(99),
		CPU: float64(t.cpu.Microseconds()) / float64(max(1, t.requests)),
	}
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// backendHandler returns a backend server that gives the same response to
// all requests.
func backendHandler(size int) http.Handler {
	body := make([]byte, size)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			io.WriteString(w, `{"state":"serving","slots":1000,"in_flight":0}`)
			return
		}
		platformstore.SetSampleResponseHeaders(w.Header(), r)
		w.Write(body)
	})
}

// startServer serves a handler on a loopback address until the context ends, and
// returns the address.
func startServer(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	context.AfterFunc(ctx, func() { srv.Close() })
	return l.Addr().String(), nil
}

// reverseProxy is the baseline. It keeps as many idle connections as the entry
// process. With net/http's default of two it would open a connection for most
// requests.
func reverseProxy(backend string) http.Handler {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return proxy
}

// startEntry runs an entry process with in-memory platform services and waits
// until it is ready. It returns the address for callers.
func startEntry(ctx context.Context, backend string) (string, error) {
	platform := control.Platform{Table: memory.NewTable(), Objects: memory.NewObjects(), VMs: memory.NewVMList(0, nil)}
	if err := publish(ctx, platform, backend); err != nil {
		return "", err
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return "", err
	}
	settings := declare.Settings{
		VM: "vm1", Region: "r1", FailureDomain: "d1",
		CallerAddress: addresses[0].String(), PeerAddress: addresses[1].String(), OperatorAddress: addresses[2].String(),
		MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, LookupValidityMS: 5000, StopTimeoutMS: 60000,
	}
	go server.New(ctx, settings, platform, "overhead", logr.Discard()).Run(ctx, make(chan struct{}))
	return addresses[0].String(), waitReady(ctx, addresses[2].String(), "/ready")
}

// waitReady polls a readiness endpoint until it reports success.
func waitReady(ctx context.Context, address, path string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		resp, err := http.Get("http://" + address + path)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ErrNotReady
}

// publish publishes a configuration whose limits are above the load.
func publish(ctx context.Context, p control.Platform, backend string) error {
	digest := sha256.Sum256([]byte(apiKey))
	content, err := json.Marshal(&declare.Config{
		Accounts: []declare.Account{{Name: "acme", RatePerSecond: 1e6, Burst: 1e6}},
		Keys:     []declare.Key{{Name: "k", Account: "acme", SHA256: hex.EncodeToString(digest[:])}},
		Services: []declare.Service{{Name: "lotdesk", BackendServers: []declare.BackendServer{
			{Name: "b1", Address: backend, Region: "r1", FailureDomain: "d1", Slots: 1000, Connections: 1000}}}},
		Routes:  []declare.Route{{Name: "lots", PathPrefix: "/lots", Service: "lotdesk", Idempotent: true, DeadlineMS: 5000}},
		Regions: []declare.Region{{Name: "r1", FailureDomains: []string{"d1"}, CapPerSecond: 1e6, CapBurst: 1e6, RampPerSecond: 1}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	plan := configsync.NewPublish([]*peerv1.ConfigEntry{{Name: "10.json", Content: content}}, 0, "overhead")
	step := plan.Start()
	for step.Kind != configsync.PublishDone {
		switch step.Kind {
		case configsync.PublishTable:
			step = plan.TableResult(control.RunOp(ctx, p.Table, step.Op))
		case configsync.PublishPutObject:
			step = plan.ObjectResult(nil, p.Objects.Put(ctx, step.Object, step.Content))
		default:
			step = plan.Waited()
		}
	}
	return step.Err
}
