// Command reviewkit holds the stand-ins and the scripts of the review: clients, backends
// and the platform's store, as the users' pages describe them, around gateway processes.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setup is one run of a case: its record, its processes and its addresses.
type setup struct {
	trouble bool
	folder  string
	prefix  string
	start   time.Time
	store   *store
	// drain is the bound of the same name in the settings.
	drain string

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
}

func newSetup(folder string) (*setup, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &setup{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, start: time.Now(), record: record, store: newStore(), drain: "2500ms"}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", s.prefix+"1:8206"); err == nil {
			_ = l.Close()
			break
		}
	}
	s.note("trouble=%v", s.trouble)
	return s, nil
}

// note writes a line to the record.
func (s *setup) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.start).Seconds()}, args...)...)
}

func (s *setup) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// serve starts an HTTP server on an address of this run.
func (s *setup) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

func (s *setup) ip(i int) string { return s.prefix + strconv.Itoa(i) }

// place is where a gateway runs.
type place struct{ name, zone string }

// gateway is one gateway process and the platform that starts it again.
type gateway struct {
	s        *setup
	place    place
	ip       string
	settings string
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	peakRSS int64
}

var zones = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// addGateway starts a gateway with the command of the deploy file. The settings are those
// of the pages' example, with the bounds of the small site.
func (s *setup) addGateway(p place, storeAddress string) (*gateway, error) {
	i := len(s.gateways) + 1
	g := &gateway{s: s, place: p, ip: s.ip(i), settings: filepath.Join(s.folder, p.name+".json")}
	settings, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"node_name": p.name, "role": "gateway", "machine_class": "front", "serves": []string{"front", "directory"}, "ip": g.ip, "zone": p.zone,
			"region": zones[p.zone], "bootstrap": true,
			"limits": map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		},
		"network": map[string]any{
			"listen":         map[string]any{"front": g.ip + ":8206", "ready": g.ip + ":8201", "directory": g.ip + ":8209"},
			"internal_ports": []int{7600, 7615}, "zones": zones, "seeds": []string{},
		},
		"platform": map[string]any{"discovery": "platform", "entry": "directory", "heartbeat": "1500ms", "platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx": "3ms", "part_writes_s": 300, "row_bytes": 65536,
		}},
		"terms": map[string]any{"bounds": map[string]any{
			"drain": g.s.drain, "grace_period": "6s", "config_apply": "2500ms", "stable_window": "4000ms", "retry_budget_ratio": 0.2, "retry_budget_slack": 60,
			"budget_window": "10s", "quota_tolerance": 0.1, "quota_slack": 20, "quota_window": "5s", "cold_over": 1.5, "cold_slack": 5,
			"max_region_shift": 0.15, "ttl_max": "5s",
		}},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(g.settings, settings, 0o644); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(s.folder, p.name+".log")); err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, g)
	return g, g.run()
}

func (g *gateway) run() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command("target/cassiawind", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CASSIAWIND_BOOT=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(sig syscall.Signal) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(sig)
	return g.exited
}

func (g *gateway) kill() { <-g.signal(syscall.SIGKILL) }

// rss returns the resident memory that belongs to the process alone, in bytes.
func (g *gateway) rss() int64 {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// awaitReady waits until a gateway says that it is ready.
func (g *gateway) awaitReady() bool {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		if resp, err := client.Get("http://" + g.ip + ":8201/v1/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// backend is a sound backend: it runs what names it, and says what it did not run.
type backend struct {
	s                          *setup
	id, service, zone, address string
	work                       time.Duration

	mu     sync.Mutex
	runs   []run
	active int
}

// run is one request that a backend began to work on.
type run struct {
	attempt, tenant, path string
	at                    time.Time
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, run{id, r.Header.Get("X-Tenant"), r.URL.Path, time.Now()})
	b.active++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.active--
		b.mu.Unlock()
	}()
	received := drainBody(r)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+b.id)
	w.Header().Set("X-Server-Load", "1,0,8")
	if size, ok := strings.CutPrefix(r.URL.Path, "/files/"); ok && r.Method == http.MethodGet {
		sendFile(w, size)
		return
	}
	fmt.Fprintf(w, "%s %d", id, received)
}

// sendFile sends a body of a size.
func sendFile(w http.ResponseWriter, size string) {
	left, _ := strconv.Atoi(size)
	w.Header().Set("Content-Length", size)
	chunk := make([]byte, 64<<10)
	for left > 0 {
		n, err := w.Write(chunk[:min(left, len(chunk))])
		if err != nil {
			return
		}
		left -= n
	}
}

func drainBody(r *http.Request) (n int64) {
	buf := make([]byte, 64<<10)
	for {
		m, err := r.Body.Read(buf)
		n += int64(m)
		if err != nil {
			return n
		}
	}
}

// register writes the backend's entry.
func (b *backend) register(state string) uint64 {
	return b.s.store.put("servers", b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "1", "slots": 8, "state": state, "cold_left": "0ms",
		"sequence": time.Since(b.s.start).Milliseconds() + 1, "born": b.s.start.UnixMilli(),
	})
}

func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run{}, b.runs...)
}

type object = map[string]any

// route returns a route of the configuration.
func route(prefix, kind, service, timeout string) object {
	return object{
		"host": "shop.example", "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "400ms", "priority": 1, "service": service,
		"max_attempts": 2, "allow_anonymous": false, "affinity": false, "home_regions": []string{},
	}
}

// limits are those of the pages' example.
var limits = object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}

const memoryMB = 284

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE FOLDER")
		os.Exit(exitNotRun)
	}
	s, err := newSetup(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := func() int {
		defer s.close()
		code, err := cases[os.Args[1]](s)
		if err != nil {
			s.note("not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		s.note("exit %d", code)
		return code
	}()
	os.Exit(code)
}

var cases = map[string]func(*setup) (int, error){}
