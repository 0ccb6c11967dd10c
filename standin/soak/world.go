package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/standin/platformstore"
)

const (
	host = "shop.example"
	// gateways and servers of a run.
	gateways = 4
	servers  = 6
	// quiet is the time after the last fault before service is expected, and
	// tail the time in which it is measured.
	quiet = 8 * time.Second
	tail  = 2 * time.Second
	// warmUp is the time from the start of the processes to the first request.
	warmUp = 1500 * time.Millisecond
	// restartPause is how long a process stays down after it ended.
	restartPause = 300 * time.Millisecond
	grace        = 6 * time.Second
	drainBound   = 2 * time.Second
	// stretch is the time that bounds get while the store is not sound.
	stretch = 6 * time.Second
	// leaveTime is how long a leaving server is away, evacuateTime how long a
	// failure domain is evacuated: beyond the bounds, so that they are checked.
	leaveTime    = drainBound + stretch + 4*time.Second
	evacuateTime = evacuateBound + stretch + 3*time.Second
)

// Options of a run.
type Options struct {
	// Binary is the cassiawind program.
	Binary string
	// Folder gets settings and logs.
	Folder string
	Seed   uint64
	// Length is the time in which faults begin.
	FaultPeriod time.Duration
}

var zones = []string{"north-a", "north-b", "south-a"}

var regionOf = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// account is a client account of the stand-in configuration.
type account struct {
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// limited is the account whose callers send more than its rate.
const (
	limited      = "limited"
	limitedRate  = 40.0
	limitedBurst = 40.0
)

type world struct {
	opt     Options
	store   *platformstore.Store
	proxies []*proxy
	nodes   []*node
	backs   []*backend
	ledger  *ledger
	answers *answers

	mu       sync.Mutex
	version  int
	accounts map[string]*account
	hall     bool
	history  []fact
	// busy are the failure domains and servers that an event holds: a second
	// one would end with the first.
	busy  map[string]bool
	tasks sync.WaitGroup
}

// fact is something that was done to the system, for the checks.
type fact struct {
	kind     Kind
	from, to time.Time
	target   int
	key      string
	zone     string
	server   string
	// link names the server of a disturbed link. It has a name of its own, so
	// that faults of the server itself go on beside those of its link.
	link string
}

// node is one gateway process.
type node struct {
	number   int
	ip, path string
	log      *os.File

	// restarting is held while the process is ended and started again: a second
	// start would leave the first process behind.
	restarting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// ErrStart means that a part of the run did not start.
var ErrStart = errors.New("soak did not start")

func newWorld(opt Options) (*world, error) {
	w := &world{
		opt: opt, store: platformstore.New(), ledger: &ledger{runs: make(map[string][]run)}, answers: &answers{}, busy: make(map[string]bool),
		accounts: map[string]*account{
			"free": {Keys: []string{"free-1", "free-2"}}, limited: {Keys: []string{"limited-1"}, Rate: limitedRate, Burst: limitedBurst},
		},
	}
	l, err := net.Listen("tcp", w.address(200, 9000))
	if err != nil {
		return nil, errors.Wrap(ErrStart, err.Error())
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	for i := range servers {
		service := "desk"
		if i >= servers/2 {
			service = "hall"
		}
		b, err := newBackend(fmt.Sprintf("i-%d", i), service, zones[i%len(zones)], w.address(100+i, 8000), w.address(150+i, 8000), w.ledger)
		if err != nil {
			return nil, errors.Wrap(ErrStart, err.Error())
		}
		w.backs = append(w.backs, b)
		if err := b.register(w.store, "ready"); err != nil {
			return nil, errors.Wrap(ErrStart, err.Error())
		}
	}
	if err := w.configure(); err != nil {
		return nil, err
	}
	for i := range gateways {
		if err := w.addNode(i, l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// address returns an address that no other run uses at the same time.
func (w *world) address(last, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 64+w.opt.Seed%64, os.Getpid()%250+1, last), strconv.Itoa(port))
}

// configure writes a new configuration.
func (w *world) configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	book := "desk"
	if w.hall {
		book = "hall"
	}
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"host": host, "prefix": prefix, "kind": kind, "timeout": "1400ms", "target_latency": "300ms", "priority": 1,
			"service": service, "max_attempts": 2, "affinity": true,
		}
	}
	service := map[string]any{"health_path": "/health", "max_conns": 500, "cold_start": "1s", "cold_per_s": 500}
	err := w.store.Put("op", "config", map[string]any{
		"version":  fmt.Sprintf("%08x", w.version),
		"routes":   map[string]any{"look": route("/look/", "safe", "desk"), "book": route("/book/", "unsafe", book)},
		"services": map[string]any{"desk": service, "hall": service},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout": "3s", "idle_timeout": "15s"},
		"tenants":  w.accounts,
	})
	return errors.Wrap(err, ErrStart.Error())
}

func (w *world) addNode(i int, store string) error {
	p, err := newProxy(w.address(150+i, 9000), store)
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	w.proxies = append(w.proxies, p)
	ip, _, _ := net.SplitHostPort(w.address(1+i, 1))
	n := &node{number: i, ip: ip, path: filepath.Join(w.opt.Folder, fmt.Sprintf("gateway-%d.json", i))}
	zone := zones[i%len(zones)]
	raw, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"node_name": fmt.Sprintf("gateway-%d", i), "ip": ip, "zone": zone, "region": regionOf[zone],
			"limits": map[string]any{"cpu_share": 1, "cores": 1, "link_mbps": 1000},
		},
		"network": map[string]any{
			"listen":         map[string]any{"front": ip + ":8206", "ready": ip + ":8201", "directory": ip + ":8209"},
			"internal_ports": []int{7600, 7615}, "zones": regionOf,
		},
		"platform": map[string]any{"heartbeat": "1500ms", "platform": map[string]any{"address": p.listener.Addr().String()}},
		"terms": map[string]any{"bounds": map[string]any{
			"drain": "2000ms", "grace_period": "6s", "config_apply": "2000ms", "retry_budget_ratio": 0.2, "retry_budget_slack": 60,
			"budget_window": "10s", "quota_tolerance": 0.1, "quota_slack": 20, "cold_over": 1.5, "cold_slack": 5,
			"max_region_shift": 0.15, "ttl_max": "5s",
		}},
	})
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	if err := os.WriteFile(n.path, raw, 0o644); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	if n.log, err = os.Create(filepath.Join(w.opt.Folder, fmt.Sprintf("gateway-%d.log", i))); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	w.nodes = append(w.nodes, n)
	return n.start(w.opt.Binary)
}

func (n *node) start(binary string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(binary, "gateway", "--settings", n.path)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal signals the process of a node, by its id.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that has ended already needs no signal.
	_ = n.cmd.Process.Signal(s)
	return n.done
}

// end ends a process with a signal and starts it again.
func (w *world) end(n *node, s syscall.Signal) {
	n.restarting.Lock()
	defer n.restarting.Unlock()
	done := n.signal(s)
	select {
	case <-done:
	case <-time.After(grace):
		<-n.signal(syscall.SIGKILL)
	}
	time.Sleep(restartPause)
	if err := n.start(w.opt.Binary); err != nil {
		_, _ = fmt.Fprintln(n.log, err)
	}
}

// Run plays the plan of a seed and returns the promises that were broken.
func Run(ctx context.Context, opt Options) ([]string, error) {
	w, err := newWorld(opt)
	if err != nil {
		return nil, err
	}
	defer w.close()
	time.Sleep(warmUp)
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	var directories []string
	for _, n := range w.nodes {
		directories = append(directories, n.ip+":8209")
	}
	for i, key := range []string{"free-1", "free-2", "free-1", "free-2", "free-1", "free-2", "limited-1", "limited-1", "limited-1", "limited-1"} {
		name := "free"
		if i > 5 {
			name = limited
		}
		c := newCaller(i, regionOf[zones[i%len(zones)]], key, name, directories, w.answers)
		random := rand.New(rand.NewPCG(opt.Seed, uint64(i)))
		callers.Go(func() { c.run(calling, random) })
	}
	w.play(Plan(opt.Seed, opt.FaultPeriod, gateways, servers))
	w.tasks.Wait()
	time.Sleep(quiet + tail)
	stop()
	callers.Wait()
	return w.check(), nil
}

func (w *world) close() {
	for _, n := range w.nodes {
		<-n.signal(syscall.SIGKILL)
		_ = n.log.Close()
	}
	for _, p := range w.proxies {
		p.close()
	}
	for _, b := range w.backs {
		b.link.close()
		_ = b.listener.Close()
	}
}

func (w *world) play(plan []Event) {
	begin := time.Now()
	for _, e := range plan {
		time.Sleep(time.Until(begin.Add(e.Start)))
		w.tasks.Go(func() { w.inject(e) })
	}
}

// claim reserves a failure domain or a server for one event.
func (w *world) claim(thing string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[thing] {
		return false
	}
	w.busy[thing] = true
	return true
}

func (w *world) release(thing string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, thing)
}

// note remembers a fact from its beginning on; the result ends it.
func (w *world) note(f fact) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.from = time.Now()
	i := len(w.history)
	w.history = append(w.history, f)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.history[i].to = time.Now()
	}
}

// inject does one fault and waits for its end.
func (w *world) inject(e Event) {
	f := fact{kind: e.Kind, target: e.Target}
	switch e.Kind {
	case ServerDrains, ServerSlow, ServerSheds, ServerFails, ServerAborts, ServerTruncates:
		f.server = w.backs[e.Target].id
	case Evacuate:
		f.zone = zones[e.Target%len(zones)]
	case LinkCut, LinkUnresponsive, LinkOneWay, LinkConnsBlackholed:
		f.link = "link " + w.backs[e.Target].id
	}
	if e.Kind == WithdrawKey {
		w.withdraw(f)
		return
	}
	if thing := f.zone + f.server + f.link; thing != "" {
		if !w.claim(thing) {
			return
		}
		defer w.release(thing)
	}
	end := w.note(f)
	defer end()
	switch e.Kind {
	case Kill:
		w.end(w.nodes[e.Target], syscall.SIGKILL)
	case KillAll:
		var all sync.WaitGroup
		for _, n := range w.nodes {
			all.Go(func() { w.end(n, syscall.SIGKILL) })
		}
		all.Wait()
	case PlannedStop:
		w.end(w.nodes[e.Target], syscall.SIGTERM)
	case Pause:
		w.nodes[e.Target].signal(syscall.SIGSTOP)
		time.Sleep(e.Duration)
		w.nodes[e.Target].signal(syscall.SIGCONT)
	case Reload:
		w.nodes[e.Target].signal(syscall.SIGHUP)
	case StoreCut, StoreUnresponsive, StoreConnsBlackholed:
		proxies := w.proxies
		if e.Target >= 0 {
			proxies = proxies[e.Target : e.Target+1]
		}
		cut(e, proxies)
	case LinkCut, LinkUnresponsive, LinkOneWay, LinkConnsBlackholed:
		cut(e, []*proxy{w.backs[e.Target].link})
	case StoreUnavailable, StoreSlow, StoreLosesResponses:
		w.store.SetFaults(storeFaults(e.Kind))
		time.Sleep(e.Duration)
		w.store.SetFaults(platformstore.Faults{})
	case StoreDropsHistory:
		w.store.DropHistory()
	case ConfigChange:
		w.mu.Lock()
		w.hall = !w.hall
		w.mu.Unlock()
		if err := w.configure(); err != nil {
			panic(err)
		}
	default:
		w.disturbServers(e)
	}
}

// modes are what proxies do while an event lasts.
var modes = map[Kind]proxyMode{
	StoreCut: refuse, StoreUnresponsive: silence, StoreConnsBlackholed: forgetOpen,
	LinkCut: refuse, LinkUnresponsive: silence, LinkOneWay: oneWay, LinkConnsBlackholed: forgetOpen,
}

// cut disturbs the connections of some proxies.
func cut(e Event, proxies []*proxy) {
	for _, p := range proxies {
		p.set(modes[e.Kind])
	}
	time.Sleep(e.Duration)
	for _, p := range proxies {
		p.set(pass)
	}
}

func (w *world) disturbServers(e Event) {
	switch e.Kind {
	case Evacuate:
		zone := "evacuate/" + zones[e.Target%len(zones)]
		if err := w.store.Put("op", zone, struct{}{}); err != nil {
			panic(err)
		}
		time.Sleep(evacuateTime)
		w.store.Delete("op", zone)
	case ServerDrains:
		b := w.backs[e.Target]
		if err := b.register(w.store, "draining"); err != nil {
			panic(err)
		}
		b.mu.Lock()
		b.draining = true
		b.mu.Unlock()
		time.Sleep(time.Second)
		w.store.Delete("servers", b.id)
		time.Sleep(leaveTime)
		b.mu.Lock()
		b.draining = false
		b.mu.Unlock()
		if err := b.register(w.store, "ready"); err != nil {
			panic(err)
		}
	default:
		w.backs[e.Target].set(behaviour(e.Kind))
		time.Sleep(e.Duration)
		w.backs[e.Target].set("")
	}
}

// withdraw takes the second key of the account without a limit away for good.
func (w *world) withdraw(f fact) {
	w.mu.Lock()
	free := w.accounts["free"]
	if len(free.Keys) < 2 {
		w.mu.Unlock()
		return
	}
	f.key, free.Keys = free.Keys[1], free.Keys[:1]
	w.mu.Unlock()
	if err := w.configure(); err != nil {
		panic(err)
	}
	w.note(f)
}

const (
	// storeSlowMS delays the store's answers.
	storeSlowMS = 300
	// allWrites is more than the writes of a run.
	allWrites = 1 << 20
)

func storeFaults(k Kind) platformstore.Faults {
	switch k {
	case StoreUnavailable:
		return platformstore.Faults{Down: true}
	case StoreLosesResponses:
		return platformstore.Faults{LoseAnswers: allWrites}
	case StoreSlow:
		return platformstore.Faults{DelayMS: storeSlowMS}
	default:
		return platformstore.Faults{}
	}
}
