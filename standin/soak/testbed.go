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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/standin/platformstore"
)

const (
	host = "shop.example"
	// gatewayCount and serverCount are the processes and backend servers of a run.
	gatewayCount = 4
	serverCount  = 6
	// recoveryTime is the time after the last fault until requests must be served
	// again; the share of served requests is measured over measurementTime.
	recoveryTime    = 8 * time.Second
	measurementTime = 2 * time.Second
	// stayingCallers is the number of callers that use a gateway until its connections
	// end, whatever the directory says.
	stayingCallers = 3
	// startupTime is the time from the start of the processes to the first
	// request.
	startupTime = 1500 * time.Millisecond
	// restartDelay is how long a process stays down after it exited.
	restartDelay = 300 * time.Millisecond
	// stopTimeout bounds a planned stop; a process that takes longer is killed.
	stopTimeout = 6 * time.Second
	// drainBound is the time after which a draining server must get no requests.
	drainBound = 2 * time.Second
	// storeFaultMargin is added to the bounds of the checks for the time in which
	// the store may be unavailable or unresponsive.
	storeFaultMargin = 6 * time.Second
	// drainDuration is how long a draining server stays unregistered,
	// evacuationDuration how long a failure domain is evacuated. Both are longer
	// than the bounds, so that the bounds are checked.
	drainDuration      = drainBound + storeFaultMargin + 4*time.Second
	evacuationDuration = evacuationBound + storeFaultMargin + 3*time.Second
)

// Options are the options of a run.
type Options struct {
	// Binary is the cassiawind program with which all gateways start, OtherBinary the
	// build that replaces it.
	Binary, OtherBinary string
	// Folder is where the settings and logs of the gateways are written.
	Folder string
	Seed   uint64
	// FaultPeriod is the time in which faults start.
	FaultPeriod time.Duration
	// Plan replaces the plan of the seed if it is not nil.
	Plan []Event
	// MemoryMB is the memory that the settings allow each gateway, in MB; 0 states no limit.
	MemoryMB float64
}

var failureDomains = []string{"north-a", "north-b", "south-a"}

var regionOf = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// accountConfig is a client account of the configuration.
type accountConfig struct {
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// The limited account has callers that send more than its rate.
const (
	limitedAccount = "limited"
	limitedRate    = 40.0
	limitedBurst   = 40.0
)

// testbed holds the gateway processes of a run, the stand-ins around them and what
// they recorded.
type testbed struct {
	options Options
	// run is the number of the run in this process.
	run          uint64
	store        *platformstore.Store
	storeServer  *http.Server
	storeProxies []*proxy
	gateways     []*gateway
	backends     []*backendServer
	executions   *executionLog
	outcomes     *outcomeLog
	pauses       *pauseLog

	mu       sync.Mutex
	version  int
	accounts map[string]*accountConfig
	// bookToHall routes bookings to the service hall instead of desk.
	bookToHall bool
	faults     []appliedFault
	// reserved holds the failure domains, servers and links with a fault in
	// progress. A second fault of the same target would be ended by the first.
	reserved   map[string]bool
	injections sync.WaitGroup

	// copies are the newest copies of the store, the oldest first.
	copies []platformstore.Copy
}

// appliedFault records a fault for the checks. A zero end means that it has not
// ended.
type appliedFault struct {
	kind          Kind
	start, end    time.Time
	target        int
	key           string
	failureDomain string
	server        string
	// link identifies the link to a server. It differs from the server's id, so
	// that a fault of the link and one of the server may overlap.
	link string
	// limitedServer names the limit, in requests per second.
	limitedServer string
	limit         float64
}

// reservation returns what a fault reserves, so that a second one of the same kind of target
// does not overlap it; empty if nothing.
func (f appliedFault) reservation() string {
	if f.limitedServer != "" {
		return "limit of " + f.limitedServer
	}
	return f.failureDomain + f.server + f.link
}

// namedLimit returns the limit that a server names, in requests per second.
func namedLimit(server int) float64 { return 1.5 + 1.7*float64(server) }

// gateway is one gateway process.
type gateway struct {
	index                         int
	ip, settingsFile, optionsFile string
	logFile                       *os.File

	// restartMu is held while the process is stopped and started again. A
	// concurrent second start would leave an unmanaged process behind. It guards
	// binary, the build that runs.
	restartMu sync.Mutex
	binary    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// runs counts the runs of this process, at most maxConcurrentRuns of which overlap.
var runs atomic.Uint64

const (
	maxConcurrentRuns = 64
	// processes is the number of process ids that differ in the addresses of a run.
	processes = 250
)

// ErrStart means that the gateways or stand-ins of a run could not be started.
var ErrStart = errors.New("soak did not start")

func newTestbed(options Options) (*testbed, error) {
	tb := &testbed{
		options: options, run: runs.Add(1), store: platformstore.New(), executions: &executionLog{byID: make(map[string][]execution)}, outcomes: &outcomeLog{}, pauses: &pauseLog{arrivals: make(map[string][]pauseArrival)}, reserved: make(map[string]bool),
		accounts: map[string]*accountConfig{
			"free": {Keys: []string{"free-1", "free-2"}}, limitedAccount: {Keys: []string{"limited-1"}, Rate: limitedRate, Burst: limitedBurst},
		},
	}
	// The oldest copy lacks all that is written from here on.
	tb.copies = append(tb.copies, tb.store.Copy())
	listener, err := net.Listen("tcp", tb.address(200, 9000))
	if err != nil {
		return nil, errors.Wrap(ErrStart, err.Error())
	}
	tb.storeServer = &http.Server{Handler: tb.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = tb.storeServer.Serve(listener) }()
	for i := range serverCount {
		service := "desk"
		if i >= serverCount/2 {
			service = "hall"
		}
		b, err := newBackendServer(fmt.Sprintf("i-%d", i), service, failureDomains[i%len(failureDomains)], tb.address(100+i, 8000), tb.address(150+i, 8000), tb.store, tb.executions, tb.pauses)
		if err != nil {
			return nil, errors.Wrap(ErrStart, err.Error())
		}
		tb.backends = append(tb.backends, b)
		if err := b.register("ready"); err != nil {
			return nil, errors.Wrap(ErrStart, err.Error())
		}
	}
	if err := tb.writeConfig(); err != nil {
		return nil, err
	}
	for i := range gatewayCount {
		if err := tb.addGateway(i, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// address returns a loopback address that no concurrent run uses: it depends on the number
// of the run in this process and on the process id.
func (tb *testbed) address(lastOctet, port int) string {
	pid := os.Getpid()
	run := (tb.run + uint64(pid/processes)) % maxConcurrentRuns
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 64+run, pid%processes+1, lastOctet), strconv.Itoa(port))
}

// writeConfig writes the current configuration with a new version.
func (tb *testbed) writeConfig() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version += 1 + tb.version%3
	bookService := "desk"
	if tb.bookToHall {
		bookService = "hall"
	}
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"host": host, "prefix": prefix, "kind": kind, "timeout": "1400ms", "target_latency": "300ms", "priority": 1,
			"service": service, "max_attempts": 2, "affinity": true,
		}
	}
	service := map[string]any{"health_path": "/health", "max_conns": 500, "cold_start": "1s", "cold_per_s": 500}
	err := tb.store.Put("op", "config", map[string]any{
		"version":  fmt.Sprintf("%08x", tb.version),
		"routes":   map[string]any{"look": route("/look/", "safe", "desk"), "book": route("/book/", "unsafe", bookService)},
		"services": map[string]any{"desk": service, "hall": service},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout": "3s", "idle_timeout": "15s"},
		"tenants":  tb.accounts,
	})
	return errors.Wrap(err, ErrStart.Error())
}

// addGateway starts gateway i with its own proxy to the store.
func (tb *testbed) addGateway(i int, store string) error {
	storeProxy, err := newProxy(tb.address(150+i, 9000), store)
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	tb.storeProxies = append(tb.storeProxies, storeProxy)
	ip, _, _ := net.SplitHostPort(tb.address(1+i, 1))
	g := &gateway{index: i, ip: ip, settingsFile: filepath.Join(tb.options.Folder, fmt.Sprintf("gateway-%d.json", i)), optionsFile: filepath.Join(tb.options.Folder, "options.json")}
	// The address of a gateway tells the servers' proxies which one a connection comes from.
	if err := os.WriteFile(g.optionsFile, []byte(`{"upstream": {"bind_source": true}}`), 0o644); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	failureDomain := failureDomains[i%len(failureDomains)]
	settings, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"node_name": fmt.Sprintf("gateway-%d", i), "ip": ip, "zone": failureDomain, "region": regionOf[failureDomain],
			"limits": map[string]any{"cpu_share": 1, "cores": 1, "link_mbps": 1000, "memory_mb": tb.options.MemoryMB},
		},
		"network": map[string]any{
			"listen":         map[string]any{"front": ip + ":8206", "ready": ip + ":8201", "directory": ip + ":8209"},
			"internal_ports": []int{7600, 7615}, "zones": regionOf,
		},
		"platform": map[string]any{"heartbeat": "1500ms", "platform": map[string]any{"address": storeProxy.address}},
		"terms": map[string]any{"bounds": map[string]any{
			"drain": "2000ms", "grace_period": "6s", "config_apply": "2000ms", "retry_budget_ratio": 0.2, "retry_budget_slack": 60,
			"budget_window": "10s", "quota_tolerance": 0.1, "quota_slack": 20, "quota_window": "5s", "cold_over": 1.5, "cold_slack": 5,
			"max_region_shift": 0.15, "ttl_max": "5s",
		}},
	})
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	if err := os.WriteFile(g.settingsFile, settings, 0o644); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	if g.logFile, err = os.Create(filepath.Join(tb.options.Folder, fmt.Sprintf("gateway-%d.log", i))); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	g.binary = tb.options.Binary
	tb.gateways = append(tb.gateways, g)
	return g.start()
}

// start starts the process. The caller holds restartMu, or is the only one.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command(g.binary, "gateway", "--settings", g.settingsFile, "--options", g.optionsFile)
	cmd.Stdout, cmd.Stderr = g.logFile, g.logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. The returned channel is closed when the
// process exits.
func (g *gateway) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The error means that the process has already exited.
	_ = g.cmd.Process.Signal(s)
	return g.exited
}

// restart stops a process with a signal, or with SIGKILL after stopTimeout, and
// starts it again, or the other build in its place.
func (tb *testbed) restart(g *gateway, s syscall.Signal, replace bool) {
	g.restartMu.Lock()
	defer g.restartMu.Unlock()
	exited := g.signal(s)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		<-g.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	if replace {
		g.binary = tb.otherBinary(g)
	}
	if err := g.start(); err != nil {
		_, _ = fmt.Fprintln(g.logFile, err)
	}
}

// Run injects the faults of a seed's plan into a new testbed and returns the
// violations that the checks found.
func Run(ctx context.Context, options Options) ([]string, error) {
	tb, err := newTestbed(options)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	time.Sleep(startupTime)
	callCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	var directories []string
	for _, g := range tb.gateways {
		directories = append(directories, g.ip+":8209")
	}
	for i, key := range []string{"free-1", "free-2", "free-1", "free-2", "free-1", "free-2", "limited-1", "limited-1", "limited-1", "limited-1"} {
		accountName := "free"
		if i > 5 {
			accountName = limitedAccount
		}
		c := newCaller(i, regionOf[failureDomains[i%len(failureDomains)]], key, accountName, directories, tb.outcomes)
		c.stays = i < stayingCallers
		rng := rand.New(rand.NewPCG(options.Seed, uint64(i)))
		callers.Go(func() { c.run(callCtx, rng) })
	}
	go tb.copyStore(callCtx)
	go tb.writeOddRows(callCtx)
	plan := options.Plan
	if plan == nil {
		plan = Plan(options.Seed, options.FaultPeriod, gatewayCount, serverCount)
	}
	tb.runPlan(plan)
	tb.injections.Wait()
	time.Sleep(recoveryTime + measurementTime)
	stopCallers()
	callers.Wait()
	return tb.check(), nil
}

func (tb *testbed) close() {
	for _, g := range tb.gateways {
		<-g.signal(syscall.SIGKILL)
		_ = g.logFile.Close()
	}
	_ = tb.storeServer.Close()
	for _, p := range tb.storeProxies {
		p.close()
	}
	for _, b := range tb.backends {
		b.proxy.close()
		_ = b.listener.Close()
	}
}

// runPlan starts each fault of the plan at its time.
func (tb *testbed) runPlan(plan []Event) {
	start := time.Now()
	for _, e := range plan {
		time.Sleep(time.Until(start.Add(e.Start)))
		tb.injections.Go(func() { tb.inject(e) })
	}
}

// reserve reserves a failure domain, server or link for one fault. It reports
// false if another fault holds it.
func (tb *testbed) reserve(name string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.reserved[name] {
		return false
	}
	tb.reserved[name] = true
	return true
}

func (tb *testbed) release(name string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	delete(tb.reserved, name)
}

// recordFault records a fault that starts now. The returned function records its
// end.
func (tb *testbed) recordFault(fault appliedFault) func() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	fault.start = time.Now()
	i := len(tb.faults)
	tb.faults = append(tb.faults, fault)
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.faults[i].end = time.Now()
	}
}

// inject applies one fault and waits until it ends. A fault whose target is
// already reserved is skipped.
func (tb *testbed) inject(e Event) {
	fault := appliedFault{kind: e.Kind, target: e.Target}
	switch e.Kind {
	case ServerDrains, ServerVanishes, ServerPauses, ServerSlow, ServerSheds, ServerFails, ServerAborts, ServerTruncates:
		fault.server = tb.backends[e.Target].id
	case Evacuate:
		fault.failureDomain = failureDomains[e.Target%len(failureDomains)]
	case LinkCut, LinkUnresponsive, LinkOneWay, LinkConnsBlackholed:
		fault.link = "link " + tb.backends[e.Target].id
	case GatewayCut:
		fault.link = "links of gateway " + tb.gateways[e.Target].ip
	case ServerLimits:
		fault.limit, fault.limitedServer = namedLimit(e.Target), tb.backends[e.Target].id
	}
	if e.Kind == Replace {
		// For the checks, a replacement is a planned stop.
		fault.kind = PlannedStop
	}
	if e.Kind == WithdrawKey {
		tb.withdrawKey(fault)
		return
	}
	if name := fault.reservation(); name != "" {
		if !tb.reserve(name) {
			return
		}
		defer tb.release(name)
	}
	finish := tb.recordFault(fault)
	defer finish()
	switch e.Kind {
	case Kill:
		tb.restart(tb.gateways[e.Target], syscall.SIGKILL, false)
	case KillAll:
		var restarts sync.WaitGroup
		for _, g := range tb.gateways {
			restarts.Go(func() { tb.restart(g, syscall.SIGKILL, false) })
		}
		restarts.Wait()
	case PlannedStop, Replace:
		tb.restart(tb.gateways[e.Target], syscall.SIGTERM, e.Kind == Replace)
	case Pause:
		tb.gateways[e.Target].signal(syscall.SIGSTOP)
		time.Sleep(e.Duration)
		tb.gateways[e.Target].signal(syscall.SIGCONT)
	case Reload:
		tb.gateways[e.Target].signal(syscall.SIGHUP)
	case StoreCut, StoreUnresponsive, StoreConnsBlackholed:
		proxies := tb.storeProxies
		if e.Target >= 0 {
			proxies = proxies[e.Target : e.Target+1]
		}
		disturbConns(e, proxies)
	case LinkCut, LinkUnresponsive, LinkOneWay, LinkConnsBlackholed:
		disturbConns(e, []*proxy{tb.backends[e.Target].proxy})
	case GatewayCut:
		tb.cutGateway(tb.gateways[e.Target], true)
		time.Sleep(e.Duration)
		tb.cutGateway(tb.gateways[e.Target], false)
	case StoreUnavailable, StoreSlow, StoreLosesResponses:
		tb.store.SetFaults(storeFaults(e.Kind))
		time.Sleep(e.Duration)
		tb.store.SetFaults(platformstore.Faults{})
	case StoreDropsHistory:
		tb.store.DropHistory()
	case StoreRestored:
		tb.restoreStore(e)
	case ConfigChange:
		tb.mu.Lock()
		tb.bookToHall = !tb.bookToHall
		tb.mu.Unlock()
		if err := tb.writeConfig(); err != nil {
			panic(err)
		}
	case CrashingRequests:
		tb.sendCrashingRequests(e)
	case ServerLimits:
		tb.backends[e.Target].setLimit(fault.limit)
		time.Sleep(e.Duration)
		tb.backends[e.Target].setLimit(0)
	default:
		tb.injectServerFault(e)
	}
}

// cutGateway cuts a gateway from all backend servers, or ends that.
func (tb *testbed) cutGateway(g *gateway, cut bool) {
	for _, b := range tb.backends {
		b.proxy.abort(g.ip, cut)
	}
}

// proxyModes maps the faults of connections to the proxy mode during the fault.
var proxyModes = map[Kind]proxyMode{
	StoreCut: refuse, StoreUnresponsive: blackhole, StoreConnsBlackholed: blackholeOpen,
	LinkCut: refuse, LinkUnresponsive: blackhole, LinkOneWay: blackholeResponses, LinkConnsBlackholed: blackholeOpen,
}

// disturbConns sets the proxies to the mode of the fault for its duration.
func disturbConns(e Event, proxies []*proxy) {
	for _, p := range proxies {
		p.setMode(proxyModes[e.Kind])
	}
	time.Sleep(e.Duration)
	for _, p := range proxies {
		p.setMode(forward)
	}
}

// injectServerFault applies an evacuation or a fault of one backend server.
func (tb *testbed) injectServerFault(e Event) {
	switch e.Kind {
	case Evacuate:
		key := "evacuate/" + failureDomains[e.Target%len(failureDomains)]
		if err := tb.store.Put("op", key, struct{}{}); err != nil {
			panic(err)
		}
		time.Sleep(evacuationDuration)
		tb.store.Delete("op", key)
	case ServerVanishes:
		b := tb.backends[e.Target]
		b.unregister()
		time.Sleep(drainDuration)
		if err := b.register("ready"); err != nil {
			panic(err)
		}
	case ServerDrains:
		b := tb.backends[e.Target]
		if err := b.register("draining"); err != nil {
			panic(err)
		}
		b.mu.Lock()
		b.draining = true
		b.mu.Unlock()
		time.Sleep(time.Second)
		b.unregister()
		time.Sleep(drainDuration)
		// A server does not take back that it leaves: this is its next start.
		b.mu.Lock()
		b.born.Add(1)
		b.draining = false
		b.mu.Unlock()
		if err := b.register("ready"); err != nil {
			panic(err)
		}
	default:
		tb.backends[e.Target].setBehaviour(behaviour(e.Kind))
		time.Sleep(e.Duration)
		tb.backends[e.Target].setBehaviour("")
	}
}

const (
	// copyInterval is the interval at which the store is copied.
	copyInterval = 500 * time.Millisecond
	// restoreOutage is how long the store is unavailable when it is restored.
	restoreOutage = 300 * time.Millisecond
)

// copyStore keeps copies of the store until ctx ends.
func (tb *testbed) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		current := tb.store.Copy()
		tb.mu.Lock()
		tb.copies = append(tb.copies, current)
		if len(tb.copies) > int(maxCopyAge/copyInterval) {
			tb.copies = tb.copies[1:]
		}
		tb.mu.Unlock()
		time.Sleep(copyInterval)
	}
}

// restoreStore restores the store from a copy. The operator and the backend servers
// then repeat their writes.
func (tb *testbed) restoreStore(e Event) {
	tb.store.SetFaults(platformstore.Faults{Down: true})
	time.Sleep(restoreOutage)
	tb.mu.Lock()
	age := time.Duration(e.Target) * time.Second
	from := tb.copies[max(0, len(tb.copies)-int(age/copyInterval))]
	tb.mu.Unlock()
	tb.store.Restore(from)
	tb.store.SetFaults(platformstore.Faults{})
	tb.store.WriteAgain(rand.New(rand.NewPCG(tb.options.Seed, uint64(e.Start))), e.Duration)
}

// withdrawKey permanently removes the second key of the account without a rate
// limit.
func (tb *testbed) withdrawKey(fault appliedFault) {
	tb.mu.Lock()
	free := tb.accounts["free"]
	if len(free.Keys) < 2 {
		tb.mu.Unlock()
		return
	}
	fault.key, free.Keys = free.Keys[1], free.Keys[:1]
	tb.mu.Unlock()
	if err := tb.writeConfig(); err != nil {
		panic(err)
	}
	tb.recordFault(fault)
}

const (
	// storeDelayMS is the delay of the store's responses while it is slow.
	storeDelayMS = 300
	// unlimitedWrites exceeds the number of writes of a run.
	unlimitedWrites = 1 << 20
)

func storeFaults(k Kind) platformstore.Faults {
	switch k {
	case StoreUnavailable:
		return platformstore.Faults{Down: true}
	case StoreLosesResponses:
		return platformstore.Faults{LoseResponses: unlimitedWrites}
	case StoreSlow:
		return platformstore.Faults{DelayMS: storeDelayMS}
	default:
		return platformstore.Faults{}
	}
}
