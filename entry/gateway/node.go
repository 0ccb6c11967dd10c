package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/demand"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/regionflow"
	"github.com/cassiawind/cassiawind/core/retrybudget"
	"github.com/cassiawind/cassiawind/entry/eventlog"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/telemetry"
	"github.com/cassiawind/cassiawind/entry/upstream"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// tick is the interval of the work that waits for nothing else.
	tick = 250 * time.Millisecond
	// gaugeInterval is the interval of the gauges: well below that at which
	// metrics are collected.
	gaugeInterval = 2 * time.Second
	// unreadHeaderTimeout bounds the head of a call to the directory.
	unreadHeaderTimeout = 2 * time.Second
	// serviceIdleTimeout is how long connections of the directory's callers and
	// of the platform's checks are kept.
	serviceIdleTimeout = 30 * time.Second
)

// Node is one gateway process.
type Node struct {
	// settings do not change, apart from the bounds.
	settings adapter.Settings
	bounds   atomic.Pointer[adapter.Bounds]
	options  atomic.Pointer[Options]
	log      logr.Logger
	metrics  *telemetry.Metrics
	start    time.Time
	// born identifies this start of the process. It is drawn at random, since
	// the time of day may jump back between two starts.
	born     int64
	store    *adapter.Store
	pool     *upstream.Pool
	ingress  *ingress.Server
	view     atomic.Pointer[catalog.View]
	stopping atomic.Bool
	// stopAt is when the process was told to stop, as a time.Duration since its
	// start.
	stopAt atomic.Int64
	// operatorLost is set while the operator's rows cannot be read.
	operatorLost atomic.Bool
	// serversLost is set while the backend servers' entries cannot be read.
	serversLost atomic.Bool
	// registering is set while this VM's entry is written, entrySeen once the
	// entry was read back: if it is gone then, it has to be written again.
	registering, entrySeen atomic.Bool
	// storeHeard is when the store answered last, as a time.Duration.
	storeHeard atomic.Int64
	relay      *http.Client
	mirrors    *mirrors
	watchers   map[string]*watcher
	// relayWake and pulseWake make their loops run at once.
	relayWake, pulseWake chan struct{}

	feedMu     sync.Mutex
	feedCtx    context.Context
	feedCancel context.CancelFunc

	udp      *net.UDPConn
	failures chan error

	mu      sync.Mutex
	catalog *catalog.Catalog
	picker  *placement.Picker
	peers   *exchange.Machine
	// buckets are those of the accounts that this VM counts for its region,
	// reserves are used where the VM that counts does not answer.
	buckets, reserves map[string]*ratelimit.Bucket
	wallets           map[string]*ratelimit.Wallet
	// counters are the VMs that count the accounts in this region.
	counters map[string]string
	grants   map[uint64]chan grant
	asked    uint64
	budgets  map[string]*retrybudget.Budget
	flows    map[string]*regionflow.Flow
	regions  []string
	// demanded are the services whose demand was measured.
	demanded map[string]bool
	splits   map[string]*placement.Split
	demand   *demand.Meter
	lines    *eventlog.Limiter
}

// New returns a node that does not run yet.
func New(settings adapter.Settings, log logr.Logger) *Node {
	return newNode(settings, log, newServerDialer(), newStoreTransport())
}

func newNode(settings adapter.Settings, log logr.Logger, servers upstream.Dialer, store http.RoundTripper) *Node {
	start, born := time.Now(), rand.Int64()
	n := &Node{
		settings: settings, log: log, start: start, born: born, metrics: telemetry.New(start),
		store:    adapter.NewStore(settings.StoreAddress, store),
		pool:     upstream.NewPool(servers),
		failures: make(chan error, 1), relay: newRelayClient(), mirrors: newMirrors(),
		relayWake: make(chan struct{}, 1), pulseWake: make(chan struct{}, 1),
		catalog: catalog.New(), picker: placement.New(settings.VM, settings.Region),
		peers:   exchange.New(settings.VM, born, 0),
		buckets: make(map[string]*ratelimit.Bucket), reserves: make(map[string]*ratelimit.Bucket),
		wallets: make(map[string]*ratelimit.Wallet), counters: make(map[string]string), grants: make(map[uint64]chan grant),
		budgets: make(map[string]*retrybudget.Budget),
		flows:   make(map[string]*regionflow.Flow), splits: make(map[string]*placement.Split),
		demand: demand.New(), lines: eventlog.NewLimiter(), regions: regionsOf(settings), demanded: make(map[string]bool),
	}
	n.bounds.Store(&settings.Bounds)
	options := DefaultOptions()
	n.options.Store(&options)
	n.view.Store(&catalog.View{})
	n.storeHeard.Store(math.MinInt64 / 2)
	n.resetFeeds()
	n.watchers = map[string]*watcher{
		adapter.TableOperator: n.operatorWatcher(), adapter.TableServers: n.serversWatcher(), adapter.TableVMs: n.vmsWatcher(),
	}
	n.ingress = ingress.NewServer(&handler{n})
	return n
}

// regionsOf returns the regions of the deployment in the order of their names.
func regionsOf(s adapter.Settings) []string {
	names := make(map[string]bool)
	for _, r := range s.RegionOf {
		names[r] = true
	}
	return sortedKeys(names)
}

// now is the time since the start of the process. It follows the steady clock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Run serves until stop is closed and every caller was answered.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.log.Info("started", "vm", n.settings.VM, "failureDomain", n.settings.FailureDomain, "region", n.settings.Region)
	var background sync.WaitGroup
	for _, run := range []func(context.Context){
		n.registerVM, n.receivePeers, n.exchangeLoop, n.pulseLoop, n.relayLoop, n.tickLoop,
	} {
		background.Go(func() { run(ctx) })
	}
	for _, w := range n.watchers {
		background.Go(func() { n.follow(ctx, w) })
	}
	var err error
	select {
	case <-stop:
		n.drain(ctx)
	case err = <-n.failures:
	}
	cancel()
	_ = n.udp.Close()
	background.Wait()
	n.log.Info("stopped", "vm", n.settings.VM)
	return err
}

// ErrListen means that an address cannot be listened on.
var ErrListen = errors.New("cannot listen")

func (n *Node) listen(ctx context.Context) error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	open := func(address string) (net.Listener, error) {
		l, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, errors.Wrapf(ErrListen, "%s: %v", address, err)
		}
		return l, nil
	}
	front, err := open(n.settings.FrontAddress)
	if err != nil {
		return err
	}
	ready, err := open(n.settings.ReadinessAddress)
	if err != nil {
		return err
	}
	metrics, err := open(joinPort(n.settings.IP, n.settings.MetricsPort))
	if err != nil {
		return err
	}
	exchange, err := open(n.exchangeAddress())
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp", n.exchangeAddress())
	if err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	if n.udp, err = net.ListenUDP("udp", address); err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	if n.settings.DirectoryAddress != "" {
		directory, err := open(n.settings.DirectoryAddress)
		if err != nil {
			return err
		}
		n.serve(directory, adapter.PathResolve, http.HandlerFunc(n.resolve))
	}
	n.serve(ready, adapter.PathReady, http.HandlerFunc(n.readiness))
	n.serve(exchange, pathChanges, http.HandlerFunc(n.serveChanges))
	n.serve(metrics, "/metrics", n.metrics.Prometheus())
	go func() {
		if err := n.ingress.Serve(front); err != nil {
			n.fail(err)
		}
	}()
	return nil
}

func (n *Node) serve(l net.Listener, path string, h http.Handler) {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: unreadHeaderTimeout, IdleTimeout: serviceIdleTimeout}
	go func() {
		if err := server.Serve(l); err != nil {
			n.fail(err)
		}
	}()
}

// Reload puts changed settings in force. Addresses and places belong to one
// start of the process; a change there is logged and waits for the next start.
func (n *Node) Reload(settings adapter.Settings) {
	n.bounds.Store(&settings.Bounds)
	fixed := settings
	fixed.Bounds = n.settings.Bounds
	n.log.Info("settings reloaded", "restartNeeded", !reflect.DeepEqual(fixed, n.settings))
}

// fail ends the process with an error.
func (n *Node) fail(err error) {
	select {
	case n.failures <- err:
	default:
	}
}

func (n *Node) exchangeAddress() string { return joinPort(n.settings.IP, n.settings.ExchangePort) }

// tickLoop does the work that waits for nothing else: probes, region flows,
// lapsed entries and connections that were unused for too long.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	gauged := -gaugeInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.now()
		n.mu.Lock()
		if n.catalog.Expire(now) {
			n.rebuild(now)
		}
		if n.entrySeen.Load() && n.view.Load().VMs[n.settings.VM] == nil && !n.stopping.Load() {
			n.entrySeen.Store(false)
			go n.registerVM(ctx)
		}
		n.stepFlows(now)
		if view := n.view.Load(); view.Config != nil {
			n.setRates(now, view)
		}
		if now-gauged >= gaugeInterval {
			gauged = now
			n.gaugeBeliefs(now, n.view.Load())
		}
		probes := n.picker.Probes(now)
		n.mu.Unlock()
		for _, s := range probes {
			go n.probe(ctx, s)
		}
		n.pool.CloseExpired()
	}
}

// rebuild puts what the catalog knows in force; the caller holds mu.
func (n *Node) rebuild(now time.Duration) {
	view := n.catalog.Build(now)
	n.view.Store(view)
	if view.Config == nil {
		return
	}
	for _, gone := range n.picker.Update(now, view.Config.Services, view.Servers) {
		go n.pool.CloseIdle(gone.ID)
	}
	roster := make([]exchange.Member, 0, len(view.VMs))
	for name, vm := range view.VMs {
		roster = append(roster, exchange.Member{Name: name, Region: vm.Region, Weight: vm.Weight})
	}
	if view.VMs[n.settings.VM] != nil {
		n.entrySeen.Store(true)
	}
	n.peers.SetRoster(roster)
	n.picker.SetVMs(now, sortedKeys(view.VMs))
	n.setRates(now, view)
}

// stepFlows moves the shares of the regions; the caller holds mu.
func (n *Node) stepFlows(now time.Duration) {
	view := n.view.Load()
	if view.Config == nil {
		return
	}
	digest, fresh := n.peers.Digest(now)
	for service := range view.Config.Services {
		flow := n.flows[service]
		if flow == nil {
			flow = &regionflow.Flow{}
			n.flows[service] = flow
		}
		if !fresh && n.demanded[service] {
			continue
		}
		loads := regionflow.Loads(service, n.regions, digest.Work, digest.Pinned, n.picker.Capacity(now, service))
		if slices.ContainsFunc(loads, func(l regionflow.Load) bool { return l.Demand > 0 }) {
			n.demanded[service] = true
		}
		if !n.demanded[service] {
			loads = regionflow.Assume(loads, view.Config.PinnedShares())
		}
		// A third of the bound on shifts within 2 s: the rest is left for
		// requests that spill.
		flow.Step(now, regionflow.Target(n.settings.Region, loads), n.bounds.Load().MaxRegionShift/6, !n.demanded[service])
	}
}
