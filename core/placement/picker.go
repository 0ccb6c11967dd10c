package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// failureCostMS is added to the cost of a server all of whose requests fail.
	failureCostMS = 1500
	// shedCostMS is added to the cost of a server that sheds all requests: the
	// round trip and the retry that the retry budget pays for.
	shedCostMS = 600
	// utilizationCostFactor weighs the utilization below a full server, which
	// spreads requests before queues form.
	utilizationCostFactor = 0.25
	// extraWorkCostFactor weighs the extra work of a request at a server that is
	// not warm for its object: the work displaces other requests, and the object
	// evicts another one that will be requested again.
	extraWorkCostFactor = 2
	// longQueueCostMS ranks servers with capacity before those without.
	longQueueCostMS = 1e6
	// vmsPerColdServer is the number of VMs that share the rate of a cold server.
	vmsPerColdServer = 2
	// coldRateShare is the fraction of the tolerated rate that is used. The rest
	// is a margin for VMs that briefly disagree about which VMs share the rate.
	coldRateShare = 0.7
	// defaultRTTMS and defaultRemoteRTTMS are the round-trip times assumed for the
	// own region and for other regions before any was measured.
	defaultRTTMS       = 2
	defaultRemoteRTTMS = 60
	// minRetryAfter and maxRetryAfter bound the Retry-After time given to callers.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = time.Second
)

// Request is a request that needs a backend server.
type Request struct {
	Service string
	// Route is the name of the route. The work of its requests is measured.
	Route string
	// Object is the hash of the object that the request is about, or 0 if it is
	// not known or does not matter.
	Object   uint64
	Priority int
	// Objective is the latency that the caller expects, and Waited how long the
	// request has waited already.
	Objective, Waited time.Duration
	// Remaining is the time until the response becomes useless.
	Remaining time.Duration
	// Allowed reports whether a region may serve the request.
	Allowed func(region string) bool
	// PreferredRegion is the region that the region flow chose for the request.
	PreferredRegion string
	// Tried lists the IDs of the servers that already got the request.
	Tried []string
	// Reachable reports whether a server can be reached; nil if all can.
	Reachable func(server string) bool
	// Excluded reports whether a server must not get the request; nil if all may.
	Excluded func(server *steering.Server) bool
	// OwnLimitsOnly excludes servers whose limit another VM owns.
	OwnLimitsOnly bool
}

// serverGroup holds the backend servers of one service.
type serverGroup struct {
	service  *steering.Service
	servers  []*server
	byRegion map[string]*pool
	// regions holds the keys of byRegion in sorted order.
	regions []string
	// meanWorkMS is the mean work of a request, used to estimate queue waits.
	meanWorkMS float64
	// latencyRatio is the mean ratio of measured to expected latency.
	latencyRatio float64
	// spillover bounds the requests that leave their region, and spareRegions are those
	// that they may go to.
	spillover    spilloverAllowance
	spareRegions map[string]bool
}

// Picker chooses backend servers on behalf of one VM.
type Picker struct {
	vm, region    string
	groups        map[string]*serverGroup
	servers       map[string]*server
	workEstimates map[string]*workEstimate
	rttMS         map[string]float64
	vms           []string
	// activeVMs, with activeVersion as the number of its changes and activeSince as the
	// time of the last one, and mayOwnLimits are those of SetActiveVMs.
	activeVMs     []exchange.Member
	activeVersion int
	activeSince   time.Duration
	mayOwnLimits  bool
	limits        map[string]serverlimit.Limit
	notices       map[startKey]*notice
}

// New returns a Picker for the VM self in the given region.
func New(self, region string) *Picker {
	return &Picker{
		vm: self, region: region, groups: make(map[string]*serverGroup), servers: make(map[string]*server),
		workEstimates: make(map[string]*workEstimate), rttMS: make(map[string]float64), notices: make(map[startKey]*notice),
	}
}

// Update replaces the registered servers with those read from the store. What was
// learned from requests to a server is kept unless the server was restarted. It
// returns the servers that were removed.
func (p *Picker) Update(now time.Duration, services map[string]*steering.Service, registrations map[string][]*steering.Server) []*steering.Server {
	groups := make(map[string]*serverGroup, len(services))
	servers := make(map[string]*server)
	for name, list := range registrations {
		service := services[name]
		if service == nil {
			service = &steering.Service{Name: name}
		}
		g := &serverGroup{
			service: service, byRegion: make(map[string]*pool), latencyRatio: 1,
			spillover: spilloverAllowance{phase: SplitPhase(p.vm, name)},
		}
		if old := p.groups[name]; old != nil {
			g.meanWorkMS, g.latencyRatio = old.meanWorkMS, old.latencyRatio
			g.spillover, g.spareRegions = old.spillover, old.spareRegions
		}
		for _, r := range list {
			s := p.servers[r.ID]
			if s == nil || s.registration.Incarnation != r.Incarnation || s.registration.Address != r.Address {
				inflight := 0
				if s != nil {
					inflight = s.inflight
				}
				s = newServer(r)
				s.inflight = inflight
				s.needsProbe = r.Expired
			}
			// If this VM was partitioned, an expired server may have stopped long ago.
			if r.Expired && !s.registration.Expired {
				s.registrationLost(now)
			}
			if !r.Expired {
				s.verifyUntil = 0
			}
			s.registration = r
			s.coldUntil = max(s.coldUntil, r.ColdUntil)
			servers[r.ID] = s
			g.servers = append(g.servers, s)
		}
		slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.registration.ID, b.registration.ID) })
		for _, s := range g.servers {
			regionPool := g.byRegion[s.registration.Region]
			if regionPool == nil {
				regionPool = &pool{rankings: make(map[uint64][]*server)}
				g.byRegion[s.registration.Region] = regionPool
			}
			regionPool.servers = append(regionPool.servers, s)
		}
		g.regions = slices.Sorted(maps.Keys(g.byRegion))
		groups[name] = g
	}
	var removed []*steering.Server
	for id, s := range p.servers {
		if servers[id] != s {
			removed = append(removed, s.registration)
		}
	}
	p.groups, p.servers = groups, servers
	p.forgetNotices(now)
	for id := range servers {
		p.applyNotice(id)
	}
	p.assignColdServers(now)
	p.SetLimits(now, p.limits)
	return removed
}

// SetVMs replaces the VMs that share the rates of cold servers.
func (p *Picker) SetVMs(now time.Duration, vms []string) {
	p.vms = vms
	p.assignColdServers(now)
}

// assignColdServers decides which cold servers this VM may use and at what rate.
func (p *Picker) assignColdServers(now time.Duration) {
	for _, g := range p.groups {
		for _, s := range g.servers {
			if !s.isCold(now) {
				continue
			}
			p.assignColdServer(now, g, s)
		}
	}
}

func (p *Picker) assignColdServer(now time.Duration, g *serverGroup, s *server) {
	preferred := 0
	ownHash := mix(s.hash ^ hashString(p.vm))
	for _, vm := range p.vms {
		if vm != p.vm && mix(s.hash^hashString(vm)) > ownHash {
			preferred++
		}
	}
	s.sharesColdRate = preferred < vmsPerColdServer
	rate := g.service.ColdRatePerSecond * coldRateShare / float64(min(vmsPerColdServer, max(1, len(p.vms))))
	s.coldBucket.SetLimits(now, rate, 1)
}

// workEstimate returns the measured work of the requests of r's route.
func (p *Picker) workEstimate(r *Request) *workEstimate {
	estimate := p.workEstimates[r.Route]
	if estimate == nil {
		estimate = newWorkEstimate(r.Objective)
		p.workEstimates[r.Route] = estimate
	}
	return estimate
}

// WorkMS returns the expected work of a request in milliseconds.
func (p *Picker) WorkMS(r *Request) float64 { return p.workEstimate(r).warmMS }

// Capacity returns the slots of the usable servers of a service by region.
func (p *Picker) Capacity(now time.Duration, service string) map[string]float64 {
	g := p.groups[service]
	if g == nil {
		return nil
	}
	capacity := make(map[string]float64)
	for _, s := range g.servers {
		s.decayPenalties(now)
		if !s.needsProbe && !s.leaving && !s.isPaused(now) && !s.isCold(now) && s.failureShare < 0.5 {
			slots := float64(s.registration.Slots) / max(1, s.slowness)
			if s.limit.named && g.meanWorkMS > 0 {
				slots = min(slots, s.limit.perSecond*g.meanWorkMS/1000)
			}
			capacity[s.registration.Region] += slots
		}
	}
	return capacity
}

// SuspendedServers returns how many of the servers of a service are suspended, and how
// many there are.
func (p *Picker) SuspendedServers(service string) (suspended, servers int) {
	g := p.groups[service]
	if g == nil {
		return 0, 0
	}
	for _, s := range g.servers {
		if s.needsProbe {
			suspended++
		}
	}
	return suspended, len(g.servers)
}

// RTT returns the measured or assumed round-trip time to a region.
func (p *Picker) RTT(region string) time.Duration {
	return time.Duration(p.rtt(region) * float64(time.Millisecond))
}

func (p *Picker) rtt(region string) float64 {
	if ms, ok := p.rttMS[region]; ok {
		return ms
	}
	if region == p.region {
		return defaultRTTMS
	}
	return defaultRemoteRTTMS
}

// SetSpareRegions sets the regions that have room for requests that their own region
// cannot serve. A VM sees the load of a remote server only in the responses to its own
// requests, so that a full region looks free to it.
func (p *Picker) SetSpareRegions(service string, spare map[string]bool) {
	g := p.groups[service]
	if g == nil {
		return
	}
	g.spareRegions = spare
	for _, isSpare := range spare {
		if isSpare {
			return
		}
	}
	// What was saved up would be used at once when a region has room again.
	g.spillover.requests = 0
}

// DueProbes returns the suspended servers that are due for a probe, and
// schedules the next probe of each.
func (p *Picker) DueProbes(now time.Duration) []*steering.Server {
	var due []*steering.Server
	for _, s := range p.servers {
		if s.leaving || s.isPaused(now) || !s.isProbeDue(now) {
			continue
		}
		due = append(due, s.registration)
		if s.needsProbe {
			s.suspensionTime = min(max(2*s.suspensionTime, minSuspension), maxSuspension)
			s.suspendedUntil = now + s.suspensionTime
		}
	}
	return due
}

// ProbeSucceeded records a successful probe of a server; cold is how long the
// server remains cold.
func (p *Picker) ProbeSucceeded(now time.Duration, id string, cold time.Duration) {
	s := p.servers[id]
	if s == nil || !s.needsProbe && s.verifyUntil == 0 {
		return
	}
	s.verifyUntil = 0
	s.needsProbe, s.unreachable, s.misdirected, s.suspendedUntil = false, false, false, now
	s.coldUntil = max(s.coldUntil, now+cold)
	if g := p.groups[s.registration.Service]; g != nil && s.isCold(now) {
		p.assignColdServer(now, g, s)
	}
}
