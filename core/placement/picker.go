package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// failureCostMS is added for a server all of whose requests fail.
	failureCostMS = 1500
	// shedCostMS is added for a server that sheds all requests: the round trip
	// and the repeat that the budget pays.
	shedCostMS = 600
	// queueCost weighs the load below a full server, which spreads requests
	// before queues form.
	queueCost = 0.25
	// extraWorkCost weighs the extra work of a request at a server that is not
	// warm for its object: it takes the place of other requests, and the object
	// pushes out another one that is asked for again.
	extraWorkCost = 2
	// tooLongCost puts servers with room before those without.
	tooLongCost = 1e6
	// spillPerRequest is the share of requests that may leave the region that
	// the flow chose because its servers are full, and spillMax how many may
	// do so at once. It stays below half of the bound on shifts of 15%.
	spillPerRequest = 0.05
	spillMax        = 10
	// coldOwners share the rate of a cold server.
	coldOwners = 2
	// coldShare of the tolerated rate is used; the rest covers VMs that see
	// other owners for a moment.
	coldShare = 0.7
	// defaultRTTMS is assumed to a region that was not measured yet.
	defaultRTTMS    = 2
	defaultFarRTTMS = 60
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = time.Second
)

// spillLoad is the utilization from which on a server gets no requests for
// objects that it is not warm for, by its place in their ranking: under load
// every server would do cold work. Rejecting them and serving them when they
// come back serves more callers in time. A server that has got an object from
// this VM is warm for it and not bound by this, so that an object that is asked
// for a lot spreads.
var spillLoad = [...]float64{secondPlace: 0.3, otherPlace: 0.05, standIn: 0.6}

// patience is the longest wait in a server's queue that a request is sent to, as
// a part of its objective, by rank. Under overload, the least important requests
// are rejected first, and those that are accepted are still in time: with longer
// queues every answer is late.
var patience = []float64{0.7, 0.55, 0.4}

// longestWait is the longest wait that a request is sent to, in milliseconds.
func longestWait(r *Request) float64 {
	return patience[min(max(r.Priority, 0), len(patience)-1)] * float64(r.Objective) / float64(time.Millisecond)
}

// Request is a request that needs a server.
type Request struct {
	Service string
	// Class names the route; its work is learned from its requests.
	Class string
	// Object is the hash of what the request is about; 0 if it is not told or
	// does not matter.
	Object   uint64
	Priority int
	// Objective is the latency that the caller expects, and Waited how long it
	// has waited already.
	Objective, Waited time.Duration
	// Remaining is the time until the answer is of no use.
	Remaining time.Duration
	// Allowed reports whether a region may serve the request.
	Allowed func(region string) bool
	// Region is where the flow between regions wants it served.
	PreferredRegion string
	// Tried are the servers that had the request already.
	Tried []string
}

// Reason is why a request got no server.
type Reason string

// Reasons.
const (
	// NoServer means that no server of the service may be used.
	NoServer Reason = "no usable server"
	// NoServerInTime means that no server would answer in time.
	NoServerInTime Reason = "no server in time"
	// Overloaded means that the wait exceeds what the rank allows.
	Overloaded Reason = "overloaded"
)

// Choice is the outcome of Pick.
type Choice struct {
	// Server is nil if the request is rejected.
	Server *steering.Server
	Reason Reason
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
	// Expected is the expected time until the answer, and Warm whether the
	// server is taken to be warm for the object.
	ExpectedLatency time.Duration
	Warm            bool
	// wait and work are the parts of Expected, in milliseconds; work without
	// the slowness of the server.
	wait, work float64
}

type group struct {
	service  *steering.Service
	servers  []*server
	byRegion map[string]*pool
	// regions are the keys of byRegion in order.
	regions []string
	// meanMS is the mean work of a request, for the wait in queues.
	meanMS float64
	// ratio is how many times longer than expected requests take.
	ratio float64
	spill float64
}

// Picker chooses servers for one VM.
type Picker struct {
	self, region string
	groups       map[string]*group
	servers      map[string]*server
	classes      map[string]*class
	rttMS        map[string]float64
	vms          []string
}

// New returns a picker for the VM self in region.
func New(self, region string) *Picker {
	return &Picker{
		self: self, region: region, groups: make(map[string]*group), servers: make(map[string]*server),
		classes: make(map[string]*class), rttMS: make(map[string]float64),
	}
}

// Update takes what the store says about the servers. What is known of a
// server from requests stays unless it was started anew. It returns the servers
// that are gone.
func (p *Picker) Update(now time.Duration, services map[string]*steering.Service, told map[string][]*steering.Server) []*steering.Server {
	groups := make(map[string]*group, len(services))
	servers := make(map[string]*server)
	for name, list := range told {
		service := services[name]
		if service == nil {
			service = &steering.Service{Name: name}
		}
		g := &group{service: service, byRegion: make(map[string]*pool), ratio: 1}
		if old := p.groups[name]; old != nil {
			g.meanMS, g.ratio, g.spill = old.meanMS, old.ratio, old.spill
		}
		for _, t := range list {
			s := p.servers[t.ID]
			if s == nil || s.told.Incarnation != t.Incarnation || s.told.Address != t.Address {
				inflight := 0
				if s != nil {
					inflight = s.inflight
				}
				s = newServer(t)
				s.inflight = inflight
				s.suspect = t.Expired
			}
			// After a cut of this VM, a vanished server may have left long ago.
			if t.Expired && !s.told.Expired {
				s.suspect, s.suspendedUntil = true, now
			}
			s.told = t
			s.coldUntil = max(s.coldUntil, t.ColdUntil)
			servers[t.ID] = s
			g.servers = append(g.servers, s)
		}
		slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.told.ID, b.told.ID) })
		for _, s := range g.servers {
			in := g.byRegion[s.told.Region]
			if in == nil {
				in = &pool{ranked: make(map[uint64][]*server)}
				g.byRegion[s.told.Region] = in
			}
			in.servers = append(in.servers, s)
		}
		g.regions = slices.Sorted(maps.Keys(g.byRegion))
		groups[name] = g
	}
	var gone []*steering.Server
	for id, s := range p.servers {
		if servers[id] != s {
			gone = append(gone, s.told)
		}
	}
	p.groups, p.servers = groups, servers
	p.assignCold(now)
	return gone
}

// SetVMs replaces the VMs that share the rates of cold servers.
func (p *Picker) SetVMs(now time.Duration, vms []string) {
	p.vms = vms
	p.assignCold(now)
}

// assignCold decides which cold servers this VM may use and how much.
func (p *Picker) assignCold(now time.Duration) {
	for _, g := range p.groups {
		for _, s := range g.servers {
			if !s.isCold(now) {
				continue
			}
			p.assignColdServer(now, g, s)
		}
	}
}

func (p *Picker) assignColdServer(now time.Duration, g *group, s *server) {
	before := 0
	own := mix(s.hash ^ hashString(p.self))
	for _, vm := range p.vms {
		if vm != p.self && mix(s.hash^hashString(vm)) > own {
			before++
		}
	}
	s.coldOwner = before < coldOwners
	rate := g.service.ColdRatePerSecond * coldShare / float64(min(coldOwners, max(1, len(p.vms))))
	s.cold.SetLimits(now, rate, 1)
}

// class returns the measured work of a route.
func (p *Picker) class(r *Request) *class {
	c := p.classes[r.Class]
	if c == nil {
		c = newClass(r.Objective)
		p.classes[r.Class] = c
	}
	return c
}

// WorkMS returns the expected work of a request of a class, in milliseconds.
func (p *Picker) WorkMS(r *Request) float64 { return p.class(r).warm }

// Capacity returns the slots of the usable servers of a service by region.
func (p *Picker) Capacity(now time.Duration, service string) map[string]float64 {
	g := p.groups[service]
	if g == nil {
		return nil
	}
	capacity := make(map[string]float64)
	for _, s := range g.servers {
		s.fade(now)
		if !s.suspect && !s.isCold(now) && s.failing < 0.5 {
			capacity[s.told.Region] += float64(s.told.Slots) / max(1, s.slow)
		}
	}
	return capacity
}

func (p *Picker) rtt(region string) float64 {
	if ms, ok := p.rttMS[region]; ok {
		return ms
	}
	if region == p.region {
		return defaultRTTMS
	}
	return defaultFarRTTMS
}

// Pick chooses a server. The caller must call Started if it uses the choice.
func (p *Picker) Pick(now time.Duration, r *Request) Choice {
	g := p.groups[r.Service]
	if g == nil || len(g.servers) == 0 {
		return Choice{Reason: NoServer, RetryAfter: maxRetryAfter}
	}
	if g.meanMS == 0 {
		g.meanMS = (p.class(r).cold + p.class(r).warm) / 2
	}
	g.spill = min(spillMax, g.spill+spillPerRequest)
	best := p.best(now, g, r, r.PreferredRegion)
	if p.judge(r, best) == "" {
		return best
	}
	// Elsewhere there may be room, or servers at all.
	other := p.elsewhere(now, g, r)
	if best.Server == nil && (other.Server != nil || best.Reason == "") {
		best = other
	}
	switch {
	case p.judge(r, best) == "":
		return best
	case p.judge(r, other) == "" && g.spill >= 1:
		g.spill--
		return other
	default:
		return p.reject(r, best)
	}
}

// elsewhere returns the choice with the shortest expected time in the regions
// that the flow did not choose.
func (p *Picker) elsewhere(now time.Duration, g *group, r *Request) Choice {
	var other Choice
	for _, region := range g.regions {
		if region == r.PreferredRegion {
			continue
		}
		if c := p.best(now, g, r, region); c.better(other) {
			other = c
		}
	}
	return other
}

// better reports whether a choice is preferred to another: one with a server, the
// one that answers sooner, or the one that tells why there is none.
func (c Choice) better(other Choice) bool {
	if c.Server == nil {
		return other.Server == nil && other.Reason == ""
	}
	return other.Server == nil || c.ExpectedLatency < other.ExpectedLatency
}

// judge returns why a choice is not good enough; empty if it is.
func (p *Picker) judge(r *Request, c Choice) Reason {
	switch {
	case c.Server == nil:
		return cmp.Or(c.Reason, NoServer)
	case c.ExpectedLatency > r.Remaining:
		return NoServerInTime
	case c.wait > longestWait(r):
		return Overloaded
	default:
		return ""
	}
}

func (p *Picker) reject(r *Request, c Choice) Choice {
	reason := p.judge(r, c)
	retry := maxRetryAfter
	if c.Server != nil {
		retry = time.Duration(c.wait/2) * time.Millisecond
	}
	return Choice{Reason: reason, RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter), ExpectedLatency: c.ExpectedLatency}
}

// best returns the cheapest usable server of a region.
func (p *Picker) best(now time.Duration, g *group, r *Request, region string) Choice {
	if r.Allowed != nil && !r.Allowed(region) {
		return Choice{}
	}
	in := g.byRegion[region]
	if in == nil {
		return Choice{}
	}
	ranked, sample := in.candidates(r.Object)
	found := p.cheapest(now, g, r, ranked, true, bid{cost: math.Inf(1)})
	found = p.cheapest(now, g, r, sample, false, found)
	if found.server == nil && len(ranked)+len(sample) < len(in.servers) {
		found = p.cheapest(now, g, r, in.servers, false, found)
	}
	chosen, choice := found.server, found.choice
	if chosen == nil && found.full {
		return Choice{Reason: Overloaded}
	}
	if chosen != nil && chosen.isCold(now) {
		if ok, _ := chosen.cold.Take(now); !ok {
			return Choice{}
		}
	}
	return choice
}

// bid is the best server so far.
type bid struct {
	server *server
	choice Choice
	cost   float64
	// full is set if there are usable servers without room.
	full bool
}

// cheapest returns the cheapest usable server of list if it is cheaper than
// best. Ranked lists are in the order of the object's servers; a suspended one
// leaves its place to the next, or its objects would be served by nobody while
// the others are in use. A cold one keeps it: its objects would be back within
// seconds, and push out others meanwhile.
func (p *Picker) cheapest(now time.Duration, g *group, r *Request, list []*server, ranked bool, best bid) bid {
	next := firstPlace
	for i, s := range list {
		at := otherPlace
		if ranked && !s.isSuspended(now) {
			at = next
			next = min(next+1, otherPlace)
		}
		if !p.usable(now, s, r) {
			continue
		}
		if at == firstPlace && i > 0 {
			at = standIn
		}
		choice, cost, ok := p.weigh(now, g, r, s, at)
		switch {
		case !ok:
			best.full = true
		case cost < best.cost:
			best = bid{server: s, choice: choice, cost: cost}
		}
	}
	return best
}

// place is where a server stands in the ranking of an object.
type place int

const (
	firstPlace place = iota
	secondPlace
	otherPlace
	// standIn is the first server that is not suspended.
	standIn
)

// weigh returns what a request expects of a server and the cost of sending it
// there; ok is false if the server has no room for it.
func (p *Picker) weigh(now time.Duration, g *group, r *Request, s *server, at place) (c Choice, cost float64, ok bool) {
	class := p.class(r)
	load := s.load(now) / float64(s.told.Slots)
	// Other VMs have warmed the first server of an object by the time that it
	// has been in use for a while.
	settled := s.used && now-s.usedSince > warmingTime
	warm := r.Object == 0 || at == firstPlace && settled || s.isWarm(now, r.Object)
	work, extra := class.cold, class.cold-class.warm
	switch {
	case warm:
		work, extra = class.warm, 0
	case at == firstPlace:
		extra = 0
	case load >= spillLoad[at]:
		return Choice{}, 0, false
	}
	if at == secondPlace && settled && !warm {
		work, extra = (class.cold+class.warm)/2, extra/2
	}
	wait := p.waitMS(g, s, load*float64(s.told.Slots))
	expected := p.rtt(s.told.Region) + wait + work*s.slow
	cost = expected + queueCost*min(load, 1)*min(load, 1)*g.meanMS + extraWorkCost*extra +
		s.failing*failureCostMS + s.shedding*shedCostMS
	// A server whose queue is too long is the last resort: where others have
	// room, an object that is asked for a lot gets one more server.
	if wait > longestWait(r) {
		cost += tooLongCost
	}
	return Choice{
		Server: s.told, ExpectedLatency: time.Duration(expected * float64(time.Millisecond)), Warm: warm, wait: wait, work: work,
	}, cost, true
}

// waitMS is the expected wait in the queue of a server.
func (p *Picker) waitMS(g *group, s *server, load float64) float64 {
	over := load + 1 - float64(s.told.Slots)
	if over <= 0 {
		return 0
	}
	return over / float64(s.told.Slots) * g.meanMS * s.slow
}

func (p *Picker) usable(now time.Duration, s *server, r *Request) bool {
	s.fade(now)
	if s.isSuspended(now) || slices.Contains(r.Tried, s.told.ID) {
		return false
	}
	if s.isCold(now) && (!s.coldOwner || s.cold.Tokens(now) < 1) {
		return false
	}
	return true
}

// Started notes that a request was sent to the chosen server.
func (p *Picker) RequestStarted(now time.Duration, r *Request, c Choice) {
	if s := p.servers[c.Server.ID]; s != nil {
		if !s.used {
			s.used, s.usedSince = true, now
		}
		s.inflight++
		s.touched(now, r.Object)
		if g := p.groups[r.Service]; g != nil {
			g.meanMS += (c.work - g.meanMS) * workWeight
		}
	}
}

// Result is how a request to a server ended.
type Result int

// Results.
const (
	// Succeeded means a whole answer that is not a failure of the server.
	Succeeded Result = iota
	// Failed means a failure answer, a broken answer or none in time.
	Failed
	// Mute means that no answer came in time.
	Unresponsive
	// Shed means that the server rejected the request without running it.
	Shed
	// Unreachable means that no connection was made.
	Unreachable
	// Misdirected means that another server has the address.
	Misdirected
	// Abandoned means that the caller left; it tells nothing of the server.
	Abandoned
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"succeeded", "failed", "mute", "shed", "unreachable", "misdirected", "abandoned"}[r]
}

// Finished notes how a started request ended after elapsed.
func (p *Picker) RequestFinished(now time.Duration, r *Request, c Choice, result Result, elapsed time.Duration) {
	s := p.servers[c.Server.ID]
	if s == nil {
		return
	}
	s.inflight = max(0, s.inflight-1)
	s.fade(now)
	switch result {
	case Succeeded:
		s.failures = 0
		s.suspension = 0
		s.failing -= s.failing * markWeight
		s.shedding -= s.shedding * markWeight
		p.observe(r, c, s, elapsed)
	case Failed:
		s.failures++
		s.failing += (1 - s.failing) * markWeight
		if s.failures >= failuresInRow {
			s.failures = 0
			s.suspend(now)
		}
	case Unresponsive:
		// A server that is gone without a word costs each request its whole
		// time; a probe tells within a round trip whether it was only slow.
		s.failing += (1 - s.failing) * markWeight
		s.suspend(now)
	case Shed:
		s.shedding += (1 - s.shedding) * markWeight
	case Unreachable, Misdirected:
		s.suspend(now)
	}
}

func (p *Picker) observe(r *Request, c Choice, s *server, elapsed time.Duration) {
	g := p.groups[r.Service]
	if g == nil {
		return
	}
	ms := float64(elapsed) / float64(time.Millisecond)
	expected := max(1, float64(c.ExpectedLatency)/float64(time.Millisecond))
	ratio := min(max(ms/expected, 0.2), maxSlow)
	// A server is slow compared with the others: what all of them show is load
	// or work that was not known.
	g.ratio += (ratio - g.ratio) * ratioWeight
	s.slow = max(1, s.slow+(ratio/max(1, g.ratio)*s.slow-s.slow)*slowWeight)
	work := ms - p.rtt(s.told.Region)
	if c.wait > 0 || work <= 0 || s.slow > knownSlow {
		return
	}
	class := p.class(r)
	work = min(work, maxSample*class.cold)
	class.observe(c.Warm, work)
}

const (
	// ratioWeight is the weight of the newest request in how much longer than
	// expected the requests of a service take.
	ratioWeight = 0.02
	// knownSlow servers do not count for the work of a class.
	knownSlow = 1.5
	// maxSample bounds one measurement: a request that met a queue which was
	// not known tells little about the work.
	maxSample = 2
)

// Reported notes the load that a server told with an answer.
func (p *Picker) LoadReported(now time.Duration, id string, running, waiting int) {
	if s := p.servers[id]; s != nil {
		s.report(now, running, waiting)
	}
}

// Connected notes how long it took to open a connection to a region.
func (p *Picker) ConnectionOpened(region string, elapsed time.Duration) {
	ms := float64(elapsed) / float64(time.Millisecond)
	if old, ok := p.rttMS[region]; ok {
		ms = old + (ms-old)*rttWeight
	}
	p.rttMS[region] = ms
}

// rttWeight is the weight of the newest connection in the round trip time.
const rttWeight = 0.1

// Probes returns the suspended servers that may be probed now, and postpones
// the next probe of each.
func (p *Picker) DueProbes(now time.Duration) []*steering.Server {
	var due []*steering.Server
	for _, s := range p.servers {
		if s.suspect && now >= s.suspendedUntil {
			due = append(due, s.told)
			s.suspension = min(max(2*s.suspension, firstSuspension), maxSuspension)
			s.suspendedUntil = now + s.suspension
		}
	}
	return due
}

// Probed notes a good answer to a probe; cold is how long the server stays
// cold.
func (p *Picker) ProbeSucceeded(now time.Duration, id string, cold time.Duration) {
	s := p.servers[id]
	if s == nil || !s.suspect {
		return
	}
	s.suspect, s.suspendedUntil = false, now
	s.coldUntil = max(s.coldUntil, now+cold)
	if g := p.groups[s.told.Service]; g != nil && s.isCold(now) {
		p.assignColdServer(now, g, s)
	}
}
