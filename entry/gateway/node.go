package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/demand"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/linkhealth"
	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/regionflow"
	"github.com/cassiawind/cassiawind/core/relay"
	"github.com/cassiawind/cassiawind/core/retrybudget"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/eventlog"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/telemetry"
	"github.com/cassiawind/cassiawind/entry/upstream"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// tickInterval is the interval of the periodic work of tickLoop.
	tickInterval = 250 * time.Millisecond
	// gaugeInterval is the interval at which gauges are updated. It is well
	// below the interval at which metrics are collected.
	gaugeInterval = 2 * time.Second
	// auxHeaderTimeout bounds reading the header of a request to the directory
	// or to another listener of serveAux.
	auxHeaderTimeout = 2 * time.Second
	// auxIdleTimeout is how long unused connections to these listeners are
	// kept, such as those of the directory's callers and of the platform's
	// checks.
	auxIdleTimeout = 30 * time.Second
)

// Node is one gateway process.
type Node struct {
	// settings do not change after the start. The bounds do: their current
	// values are in bounds.
	settings adapter.Settings
	bounds   atomic.Pointer[adapter.Bounds]
	options  atomic.Pointer[Options]
	log      logr.Logger
	metrics  *telemetry.Metrics
	start    time.Time
	// incarnation identifies this start of the process. It is random, because
	// the time of day may jump back between two starts.
	incarnation int64
	store       *adapter.Store
	pool        *upstream.Pool
	ingress     *ingress.Server
	// relayPool holds connections to relays, relayServer serves the requests that other VMs
	// relay through this one.
	relayPool   *upstream.Pool
	relayServer *ingress.Server
	// backendDialer opens the connections of pool.
	backendDialer upstream.Dialer
	// linksCtx ends when no response is expected any more because the links to the backend
	// servers are lost.
	linksCtx atomic.Pointer[context.Context]
	view     atomic.Pointer[catalog.View]
	stopping atomic.Bool
	// stoppingSince is when the process may have got the signal to stop at the earliest,
	// as a time.Duration since its start; it is negative if the process stood still since.
	stoppingSince atomic.Int64
	// uptime goes on while the machine is suspended.
	uptime func() time.Duration
	// operatorUnavailable is set while the operator's rows cannot be read.
	operatorUnavailable atomic.Bool
	// serversUnavailable is set while the registrations of backend servers
	// cannot be read.
	serversUnavailable atomic.Bool
	// registering is set while this VM's registration is being written,
	// registrationSeen once it was read back. A registration that disappears
	// after that has to be written again.
	registering, registrationSeen atomic.Bool
	// storeLastSeenAt is when the store last answered, as a time.Duration since
	// the start of the process.
	storeLastSeenAt atomic.Int64
	hubClient       *http.Client
	replicas        *replicas
	watchers        map[string]*watcher
	// hubReadWake and heartbeatWake make their loops run at once.
	hubReadWake, heartbeatWake chan struct{}

	// watchMu guards watchCtx, which is cancelled to end the polls of the store
	// that are in progress.
	watchMu     sync.Mutex
	watchCtx    context.Context
	watchCancel context.CancelCauseFunc

	// peerConn is the UDP socket for messages between VMs. An error in
	// fatalErrors ends Run.
	peerConn    *net.UDPConn
	fatalErrors chan error
	// sendDatagram sends a message to the address of another VM.
	sendDatagram func(address string, datagram []byte) error

	// mu guards the fields below.
	mu sync.Mutex
	// standstill tells whether the process stood still.
	standstill standstill
	catalog    *catalog.Catalog
	picker     *placement.Picker
	peers      *exchange.Machine
	// buckets are those of the accounts that this VM owns in its region,
	// requesters those through which it gets tokens of each account.
	buckets    map[string]*ratelimit.OwnerBucket
	requesters map[string]*ratelimit.Requester
	// burstEstimates follow how much of the bursts of all accounts is left.
	burstEstimates map[string]*ratelimit.BurstEstimate
	// rateOwners are the owners of the accounts in this region.
	rateOwners map[string]string
	// pendingGrants are the token requests that were not answered yet, by id.
	pendingGrants      map[uint64]*pendingGrant
	lastTokenRequestID uint64
	// tokenWaiters are the token requests that wait for tokens of owners in other
	// regions, by account. loanTurn selects the regions that are asked.
	tokenWaiters map[string][]tokenWaiter
	loanTurn     int
	// pendingLimitGrants are the requests to owners of limits of backend servers that
	// wait for the answer, by id.
	pendingLimitGrants map[uint64]chan limitGrant
	// retryBudgets and regionFlows are kept for each service.
	retryBudgets map[string]*retrybudget.Budget
	regionFlows  map[string]*regionflow.Flow
	regions      []string
	// demandTrackers are kept for each service.
	demandTrackers map[string]*regionflow.DemandTracker
	routeSplits    map[string]*placement.TrafficSplitter
	demandMeter    *demand.Meter
	// serverLimits are the limits of backend servers that the picker uses.
	serverLimits map[string]serverlimit.Limit
	logLimiter   *eventlog.Limiter
	// links monitors the links to the backend servers, which were last lost at linksLostAt.
	// linkChecks counts their checks, and linksCancel ends linksCtx.
	links       *linkhealth.Monitor
	linksLostAt time.Duration
	linkChecks  uint64
	linksCancel context.CancelFunc
	// relays selects among relaysByRegion.
	relays         *relay.Selector
	relaysByRegion map[string][]relay.Candidate
	// suspectsKnown is set while any request is known that may crash servers. Both it and
	// quarantined are those of suspectChanges; quarantined has the crashes in a row of those that are logged as quarantined.
	suspectsKnown  atomic.Bool
	suspectChanges uint64
	quarantined    map[poison.Fingerprint]int
	// storedQuarantine has the states of the rows of quarantined requests that this VM has
	// read from the store, or written there in quarantineEra.
	quarantineRows    quarantineRows
	storedQuarantine  map[poison.Fingerprint]quarantineState
	quarantineEra     uint64
	quarantineLoaded  bool
	storingQuarantine bool
	// storeQuarantineAt is when the rows may be written again after a failed write.
	storeQuarantineAt time.Duration
	// lostConns are the servers whose connections ended lately with requests in progress.
	// suspectsInProgress counts the suspect requests that this VM has sent to each server.
	lostConns          map[string]*lostServer
	suspectsInProgress map[string]int
	// unannounced are requests in progress at crashes of which this VM has not told the
	// others. announcing is set for announceInterval after it told them of some.
	unannounced []poison.Fingerprints
	announcing  bool
	// unservedUntil is when requests for a service may be relayed again.
	unservedUntil map[string]time.Duration
}

// New returns a node, which serves once Run is called.
func New(settings adapter.Settings, log logr.Logger) *Node {
	return newNode(settings, log, nil, newStoreTransport())
}

// newNode returns a node that connects to backend servers and relays with backendDialer;
// nil stands for connections over the network.
func newNode(settings adapter.Settings, log logr.Logger, backendDialer upstream.Dialer, storeTransport http.RoundTripper) *Node {
	start, incarnation := time.Now(), rand.Int64()
	n := &Node{
		settings: settings, log: log, start: start, incarnation: incarnation, metrics: telemetry.New(start),
		store: adapter.NewStore(settings.StoreAddress, storeTransport),
		links: linkhealth.New(), relays: relay.NewSelector(rand.Float64), unservedUntil: make(map[string]time.Duration),
		quarantined: make(map[poison.Fingerprint]int), storedQuarantine: make(map[poison.Fingerprint]quarantineState), lostConns: make(map[string]*lostServer), suspectsInProgress: make(map[string]int),
		fatalErrors: make(chan error, 1), hubClient: newHubClient(), replicas: newReplicas(),
		hubReadWake: make(chan struct{}, 1), heartbeatWake: make(chan struct{}, 1),
		catalog: catalog.New(), picker: placement.New(settings.VM, settings.Region),
		peers:   exchange.New(settings.VM, incarnation, 0),
		buckets: make(map[string]*ratelimit.OwnerBucket), requesters: make(map[string]*ratelimit.Requester),
		burstEstimates: make(map[string]*ratelimit.BurstEstimate),
		rateOwners:     make(map[string]string), pendingGrants: make(map[uint64]*pendingGrant), pendingLimitGrants: make(map[uint64]chan limitGrant),
		tokenWaiters: make(map[string][]tokenWaiter),
		retryBudgets: make(map[string]*retrybudget.Budget),
		regionFlows:  make(map[string]*regionflow.Flow), routeSplits: make(map[string]*placement.TrafficSplitter),
		demandMeter: demand.New(), logLimiter: eventlog.NewLimiter(), regions: regionNames(settings), demandTrackers: make(map[string]*regionflow.DemandTracker),
	}
	if backendDialer == nil {
		backendDialer = networkDialer{n}
	}
	n.sendDatagram, n.quarantineRows, n.uptime = n.sendUDP, n.store, n.readUptime
	responseMemory, requestMemory := upstream.NewBodyMemory(), ingress.NewBodyMemory()
	n.backendDialer, n.pool, n.relayPool = backendDialer, upstream.NewPool(backendDialer, responseMemory), upstream.NewPool(backendDialer, responseMemory)
	n.bounds.Store(&settings.Bounds)
	options := DefaultOptions()
	n.options.Store(&options)
	n.view.Store(&catalog.View{})
	n.storeLastSeenAt.Store(math.MinInt64 / 2)
	n.resetWatches(nil)
	n.watchers = map[string]*watcher{
		adapter.TableOperator: n.operatorWatcher(), adapter.TableServers: n.serversWatcher(), adapter.TableVMs: n.vmsWatcher(),
	}
	n.ingress = ingress.NewServer(&handler{n}, requestMemory)
	n.relayServer = ingress.NewServer(&relayHandler{handler{n}}, requestMemory)
	n.newLinksContext()
	return n
}

// regionNames returns the names of the deployment's regions in sorted order.
func regionNames(s adapter.Settings) []string {
	names := make(map[string]bool)
	for _, r := range s.RegionOf {
		names[r] = true
	}
	return sortedKeys(names)
}

// now returns the time since the start of the process, by the monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Run serves until stop is closed and every caller has been answered. It
// returns an error if the process cannot listen or accept connections.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.log.Info("started", "vm", n.settings.VM, "failureDomain", n.settings.FailureDomain, "region", n.settings.Region)
	var background sync.WaitGroup
	for _, run := range []func(context.Context){
		n.registerVM, n.receivePeerMessages, n.reportLoop, n.heartbeatLoop, n.hubReadLoop, n.tickLoop, n.loadQuarantine,
	} {
		background.Go(func() { run(ctx) })
	}
	for _, w := range n.watchers {
		background.Go(func() { n.watchTable(ctx, w) })
	}
	var err error
	select {
	case <-stop:
		n.drain(ctx)
	case err = <-n.fatalErrors:
	}
	cancel()
	_ = n.peerConn.Close()
	background.Wait()
	n.log.Info("stopped", "vm", n.settings.VM)
	return err
}

// ErrListen means that the process cannot listen on an address.
var ErrListen = errors.New("cannot listen on address")

func (n *Node) listen(ctx context.Context) error {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
	listenTCP := func(address string) (net.Listener, error) {
		l, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, errors.Wrapf(ErrListen, "%s: %v", address, err)
		}
		return l, nil
	}
	frontListener, err := listenTCP(n.settings.FrontAddress)
	if err != nil {
		return err
	}
	readyListener, err := listenTCP(n.settings.ReadinessAddress)
	if err != nil {
		return err
	}
	metricsListener, err := listenTCP(joinHostPort(n.settings.IP, n.settings.MetricsPort))
	if err != nil {
		return err
	}
	peerListener, err := listenTCP(n.peerAddress())
	if err != nil {
		return err
	}
	udpAddress, err := net.ResolveUDPAddr("udp", n.peerAddress())
	if err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	if n.peerConn, err = net.ListenUDP("udp", udpAddress); err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	if n.settings.DirectoryAddress != "" {
		directoryListener, err := listenTCP(n.settings.DirectoryAddress)
		if err != nil {
			return err
		}
		n.serveAux(directoryListener, adapter.PathResolve, http.HandlerFunc(n.serveResolve))
	}
	n.serveAux(readyListener, adapter.PathReady, http.HandlerFunc(n.serveReadiness))
	n.serveAux(peerListener, changesPath, http.HandlerFunc(n.serveChanges))
	n.serveAux(metricsListener, "/metrics", n.metrics.Prometheus())
	relayListener, err := listenTCP(joinHostPort(n.settings.IP, n.relayPort()))
	if err != nil {
		return err
	}
	n.serveRequests(n.ingress, frontListener)
	n.serveRequests(n.relayServer, relayListener)
	return nil
}

// serveRequests serves the requests of callers, or those that other VMs relay.
func (n *Node) serveRequests(server *ingress.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); err != nil {
			n.fail(err)
		}
	}()
}

// serveAux serves one path on a listener of its own, apart from the listener
// for callers' requests.
func (n *Node) serveAux(l net.Listener, path string, h http.Handler) {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: auxHeaderTimeout, IdleTimeout: auxIdleTimeout}
	go func() {
		if err := server.Serve(l); err != nil {
			n.fail(err)
		}
	}()
}

// Reload applies the bounds of changed settings. All other settings are fixed
// for the lifetime of the process. The log line says whether one of them changed;
// such a change takes effect at the next start.
func (n *Node) Reload(settings adapter.Settings) {
	n.bounds.Store(&settings.Bounds)
	restartOnly := settings
	restartOnly.Bounds = n.settings.Bounds
	n.log.Info("settings reloaded", "restartNeeded", !reflect.DeepEqual(restartOnly, n.settings))
}

// fail makes Run end with an error.
func (n *Node) fail(err error) {
	select {
	case n.fatalErrors <- err:
	default:
	}
}

func (n *Node) peerAddress() string { return joinHostPort(n.settings.IP, n.settings.PeerPort) }

// tickLoop does the periodic work: it sends probes, adjusts region flows,
// updates gauges, removes expired registrations and closes connections that
// were idle for too long.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastGaugeUpdate, lastTick := -gaugeInterval, n.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.now()
		n.mu.Lock()
		n.standstill.tick(n.uptime())
		// The catalog counts its periods by the monotonic clock, unlike standstill.
		if now-lastTick >= minStandstill {
			n.catalog.Suspended(now, now-lastTick)
		}
		lastTick = now
		if removed := n.catalog.RemoveExpired(now); removed > 0 {
			n.log.Info("rows that were not written again were removed", "rows", removed)
			n.publishView(now)
		}
		if n.registrationSeen.Load() && n.catalog.RegistrationLost(n.settings.VM, n.incarnation) && !n.stopping.Load() {
			n.registrationSeen.Store(false)
			go n.registerAgain(ctx, len(n.view.Load().VMs))
		}
		n.dropPendingGrants(now)
		overdue := n.answerOverdueWaiters(now)
		n.applyServerLimits(now)
		n.expireSuspects(now)
		n.storeQuarantine(ctx, now)
		n.checkLinks(now)
		if !n.links.Lost() {
			// Without links, the capacity of the regions is not known.
			n.updateRegionFlows(now)
		}
		if view := n.view.Load(); view.Config != nil {
			n.updateRates(now, view)
		}
		if now-lastGaugeUpdate >= gaugeInterval {
			lastGaugeUpdate = now
			n.updateGauges(now, n.view.Load())
		}
		var probes []*steering.Server
		if !n.links.Lost() {
			probes = n.picker.DueProbes(now)
		}
		n.mu.Unlock()
		n.sendAll(overdue)
		for _, s := range probes {
			go n.probe(ctx, s)
		}
		n.pool.CloseExpired()
		n.relayPool.CloseExpired()
	}
}

// publishView makes the state of the catalog the view that requests use, and
// updates everything that depends on it. The caller holds mu.
func (n *Node) publishView(now time.Duration) {
	view := n.catalog.BuildView(now)
	n.view.Store(view)
	if view.Config == nil {
		return
	}
	for _, removed := range n.picker.Update(now, view.Config.Services, view.Servers) {
		n.peers.ServerLimits().Forget(removed.ID)
		go n.pool.CloseIdle(removed.ID)
	}
	roster := make([]exchange.Member, 0, len(view.VMs))
	for name, vm := range view.VMs {
		roster = append(roster, exchange.Member{Name: name, Region: vm.Region, Weight: vm.Weight})
	}
	if !n.catalog.RegistrationLost(n.settings.VM, n.incarnation) {
		n.registrationSeen.Store(true)
	}
	n.peers.SetRoster(roster)
	n.setRelays(view.VMs)
	n.picker.SetVMs(now, sortedKeys(view.VMs))
	n.updateActiveVMs(now)
	n.updateRates(now, view)
}

// updateActiveVMs sets the VMs that may own the limits of backend servers. The caller holds mu.
func (n *Node) updateActiveVMs(now time.Duration) {
	n.picker.SetActiveVMs(now, n.peers.ActiveVMs(now), n.peers.CountsAsActive(now))
}

// updateRegionFlows adjusts the shares of requests that go to each region. The
// caller holds mu.
func (n *Node) updateRegionFlows(now time.Duration) {
	view := n.view.Load()
	if view.Config == nil {
		return
	}
	digest, fresh := n.peers.Digest(now)
	for service := range view.Config.Services {
		flow, tracker := n.regionFlow(service)
		if !fresh && tracker.Measured() {
			continue
		}
		loads := regionflow.Loads(service, n.regions, digest.Work, digest.Pinned, n.picker.Capacity(now, service))
		measured, adopt := tracker.Observe(loads, fresh, digest.Settled)
		if !measured {
			loads = regionflow.AssumeEqualDemand(loads, view.Config.PinnedShares())
		}
		n.picker.SetSpareRegions(service, regionflow.SpareRegions(loads))
		// This rate uses a third of the bound on shifts within 2 s. The rest is
		// left for spillover.
		flow.Step(now, regionflow.TargetShares(n.settings.Region, loads), n.bounds.Load().MaxRegionShift/6, !measured || adopt)
	}
}

// regionFlow returns the shares of a service and what is known of its demand. The caller holds
// mu.
func (n *Node) regionFlow(service string) (*regionflow.Flow, *regionflow.DemandTracker) {
	if n.regionFlows[service] == nil {
		n.regionFlows[service], n.demandTrackers[service] = &regionflow.Flow{}, &regionflow.DemandTracker{}
	}
	return n.regionFlows[service], n.demandTrackers[service]
}
