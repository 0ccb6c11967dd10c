package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

// maxColdUtilization is the utilization, by the rank of a server for an object, at
// which the server stops getting requests for objects that it is not warm for.
// Without this limit every server would do cold work under load. Rejecting such
// requests and serving them when callers retry serves more callers in time. A
// server that already got the object from this VM counts as warm and is exempt,
// so that a heavily requested object spreads to more servers.
var maxColdUtilization = [...]float64{rankSecond: 0.3, rankOther: 0.05, rankSubstitute: 0.6}

// maxWaitOfObjective is the longest acceptable wait in a server's queue as a
// fraction of the request's objective, by priority. Under overload the least
// important requests are rejected first, and the accepted ones still finish in
// time: with longer queues every response would be late.
var maxWaitOfObjective = []float64{0.7, 0.55, 0.4}

// maxWaitMS returns the longest acceptable wait of a request in milliseconds.
func maxWaitMS(r *Request) float64 {
	return maxWaitOfObjective[min(max(r.Priority, 0), len(maxWaitOfObjective)-1)] * float64(r.Objective) / float64(time.Millisecond)
}

// Reason is the reason why a request got no server.
type Reason string

// Reasons for which Pick rejects a request.
const (
	// NoServer means that the service has no server that may be used.
	NoServer Reason = "no usable server"
	// NoServerInTime means that no server is expected to respond in time.
	NoServerInTime Reason = "no server in time"
	// Overloaded means that the wait exceeds what the priority allows.
	Overloaded Reason = "overloaded"
	// ServerLimit means that the usable servers get no more requests now because of
	// the limits that they name.
	ServerLimit Reason = "server limit"
	// ServerPause means that the usable servers want no requests from this VM now.
	ServerPause Reason = "servers want no requests"
	// Quarantined means that the request crashes the servers that run it. Pick does not
	// return it.
	Quarantined Reason = "request crashes servers"
	// LinksLost means that this VM has lost its links to the backend servers. Pick does
	// not return it.
	LinksLost Reason = "links to backend servers lost"
)

// Departure is the reason why a request leaves its preferred region.
type Departure string

// Departures of a request. The first one means that it stays.
const (
	NoDeparture Departure = ""
	// Spillover means that the servers of the region are full.
	Spillover Departure = "spillover"
	// RegionWithoutServer means that the region has no usable server for the request.
	RegionWithoutServer Departure = "region without server"
)

// Choice is the result of Picker.Pick.
type Choice struct {
	// Server is nil if the request is rejected.
	Server *steering.Server
	Reason Reason
	// RetryAfter is the time after which there may be capacity.
	RetryAfter time.Duration
	// ExpectedLatency is the expected time until the response. Warm reports
	// whether the server is assumed to be warm for the object.
	ExpectedLatency time.Duration
	Warm            bool
	// LimitOwner is the VM that has to grant the request before it is sent, because
	// the server names a limit; empty if no grant is needed.
	LimitOwner string
	// Departure is why the server is not in the preferred region.
	Departure Departure
	// waitMS and workMS are the parts of ExpectedLatency. The slowness of the
	// server is not included in workMS.
	waitMS, workMS float64
}

// Pick chooses a server for a request. The caller must call RequestStarted if it
// uses the choice, and LimitRefused if the owner of the server's limit refuses it.
func (p *Picker) Pick(now time.Duration, r *Request) Choice {
	g := p.groups[r.Service]
	if g == nil || len(g.servers) == 0 {
		return Choice{Reason: NoServer, RetryAfter: maxRetryAfter}
	}
	if g.meanWorkMS == 0 {
		g.meanWorkMS = (p.workEstimate(r).coldMS + p.workEstimate(r).warmMS) / 2
	}
	g.spillover.addRequest(now)
	best := p.bestInRegion(now, g, r, r.PreferredRegion)
	if p.rejectionReason(r, best) == "" {
		return best
	}
	if best.Server == nil && best.Reason == "" {
		// The preferred region has no server for this request.
		best = p.bestElsewhere(now, g, r, func(string) bool { return true })
		if p.rejectionReason(r, best) == "" {
			best.Departure = RegionWithoutServer
			return best
		}
		return p.rejection(r, best)
	}
	other := p.bestElsewhere(now, g, r, func(region string) bool { return g.spareRegions[region] })
	if p.rejectionReason(r, other) == "" && g.spillover.take() {
		other.Departure = Spillover
		return other
	}
	return p.rejection(r, best)
}

// bestElsewhere returns the choice with the shortest expected latency in the
// considered regions other than the preferred one.
func (p *Picker) bestElsewhere(now time.Duration, g *serverGroup, r *Request, considered func(region string) bool) Choice {
	var other Choice
	for _, region := range g.regions {
		if region == r.PreferredRegion || !considered(region) {
			continue
		}
		if c := p.bestInRegion(now, g, r, region); c.betterThan(other) {
			other = c
		}
	}
	return other
}

// betterThan reports whether c is preferred to other: a choice with a server to
// one without, the lower expected latency, or the choice that has a reason for
// the missing server.
func (c Choice) betterThan(other Choice) bool {
	if c.Server == nil {
		return other.Server == nil && other.Reason == ""
	}
	return other.Server == nil || c.ExpectedLatency < other.ExpectedLatency
}

// rejectionReason returns why a choice is not acceptable, or "" if it is.
func (p *Picker) rejectionReason(r *Request, c Choice) Reason {
	switch {
	case c.Server == nil:
		return cmp.Or(c.Reason, NoServer)
	case c.ExpectedLatency > r.Remaining:
		return NoServerInTime
	case c.waitMS > maxWaitMS(r):
		return Overloaded
	default:
		return ""
	}
}

// rejection returns the choice that rejects r; c is the best one that was found.
func (p *Picker) rejection(r *Request, c Choice) Choice {
	reason := p.rejectionReason(r, c)
	if reason == ServerLimit || reason == ServerPause {
		return Choice{Reason: reason, RetryAfter: max(c.RetryAfter, minRetryAfter)}
	}
	retryAfter := maxRetryAfter
	if c.Server != nil {
		retryAfter = time.Duration(c.waitMS/2) * time.Millisecond
	}
	return Choice{Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter), ExpectedLatency: c.ExpectedLatency}
}

// bestInRegion returns the choice of the cheapest usable server of a region.
func (p *Picker) bestInRegion(now time.Duration, g *serverGroup, r *Request, region string) Choice {
	if r.Allowed != nil && !r.Allowed(region) {
		return Choice{}
	}
	regionPool := g.byRegion[region]
	if regionPool == nil {
		return Choice{}
	}
	ranked, sample := regionPool.candidates(r.Object)
	best := p.cheapest(now, g, r, ranked, true, candidate{cost: math.Inf(1)})
	best = p.cheapest(now, g, r, sample, false, best)
	if best.server == nil && len(ranked)+len(sample) < len(regionPool.servers) {
		best = p.cheapest(now, g, r, regionPool.servers, false, best)
	}
	chosen, choice := best.server, best.choice
	if chosen == nil && best.sawFullServer {
		return Choice{Reason: Overloaded}
	}
	if chosen == nil && best.limitWait > 0 {
		return Choice{Reason: best.waitReason, RetryAfter: best.limitWait}
	}
	if chosen != nil && chosen.isCold(now) {
		if ok, _ := chosen.coldBucket.Take(now); !ok {
			return Choice{}
		}
	}
	return choice
}

// candidate is the cheapest server found so far.
type candidate struct {
	server *server
	choice Choice
	cost   float64
	// sawFullServer reports whether there are usable servers without capacity.
	sawFullServer bool
	// limitWait is the shortest wait for a usable server that names a limit or wants no
	// requests, and waitReason which of both; 0 if there is none.
	limitWait  time.Duration
	waitReason Reason
}

// cheapest returns the cheapest usable server of list if it is cheaper than
// best. A ranked list is in the order of the object's servers. A suspended or leaving
// server and one that gets no more requests for a time pass their rank to the next one; otherwise their objects would be rejected while the other servers are
// in use. A cold server keeps its rank: its objects would return to it within
// seconds and evict others from the next server meanwhile.
func (p *Picker) cheapest(now time.Duration, g *serverGroup, r *Request, list []*server, ranked bool, best candidate) candidate {
	nextRank := rankFirst
	for i, s := range list {
		rank := rankOther
		limitWait, waitReason := p.limitWait(now, s, r), ServerLimit
		if pause := s.pausedUntil - now; pause > limitWait {
			limitWait, waitReason = pause, ServerPause
		}
		if ranked && !s.leaving && !s.isSuspended(now) && limitWait == 0 {
			rank = nextRank
			nextRank = min(nextRank+1, rankOther)
		}
		if !p.usable(now, s, r) {
			continue
		}
		if limitWait > 0 {
			if best.limitWait == 0 || limitWait < best.limitWait {
				best.limitWait, best.waitReason = limitWait, waitReason
			}
			continue
		}
		if rank == rankFirst && i > 0 {
			rank = rankSubstitute
		}
		choice, cost, ok := p.estimate(now, g, r, s, rank)
		switch {
		case !ok:
			best.sawFullServer = true
		case cost < best.cost:
			best.server, best.choice, best.cost = s, choice, cost
		}
	}
	return best
}

// affinityRank is the rank of a server for an object.
type affinityRank int

const (
	rankFirst affinityRank = iota
	rankSecond
	rankOther
	// rankSubstitute is the rank of the first server that is not suspended, if
	// suspended servers come before it in the ranking.
	rankSubstitute
)

// estimate returns the expected latency of a request at a server and the cost of
// sending it there; ok is false if the server has no capacity for it.
func (p *Picker) estimate(now time.Duration, g *serverGroup, r *Request, s *server, rank affinityRank) (c Choice, cost float64, ok bool) {
	estimated := p.workEstimate(r)
	utilization := s.load(now) / float64(s.registration.Slots)
	// Once the first server of an object has been in use for a while, other VMs
	// have warmed it.
	warmedUp := s.inUse && now-s.inUseSince > warmUpTime
	warm := r.Object == 0 || rank == rankFirst && warmedUp || s.isWarm(now, r.Object)
	workMS, extraMS := estimated.coldMS, estimated.coldMS-estimated.warmMS
	switch {
	case warm:
		workMS, extraMS = estimated.warmMS, 0
	case rank == rankFirst:
		extraMS = 0
	case utilization >= maxColdUtilization[rank]:
		return Choice{}, 0, false
	}
	if rank == rankSecond && warmedUp && !warm {
		workMS, extraMS = (estimated.coldMS+estimated.warmMS)/2, extraMS/2
	}
	waitMS := p.waitMS(g, s, utilization*float64(s.registration.Slots))
	expectedMS := p.rtt(s.registration.Region) + waitMS + workMS*s.slowness
	cost = expectedMS + utilizationCostFactor*min(utilization, 1)*min(utilization, 1)*g.meanWorkMS + extraWorkCostFactor*extraMS +
		s.failureShare*failureCostMS + s.shedShare*shedCostMS
	// A server with too long a queue is the last resort: if other servers have
	// capacity, a heavily requested object spreads to one more of them.
	if waitMS > maxWaitMS(r) {
		cost += longQueueCostMS
	}
	c = Choice{
		Server: s.registration, ExpectedLatency: time.Duration(expectedMS * float64(time.Millisecond)), Warm: warm, waitMS: waitMS, workMS: workMS,
	}
	if s.limit.named && s.limit.owner != p.vm {
		c.LimitOwner = s.limit.owner
	}
	return c, cost, true
}

// waitMS returns the expected wait in the queue of a server in milliseconds.
func (p *Picker) waitMS(g *serverGroup, s *server, load float64) float64 {
	excess := load + 1 - float64(s.registration.Slots)
	if excess <= 0 {
		return 0
	}
	return excess / float64(s.registration.Slots) * g.meanWorkMS * s.slowness
}

func (p *Picker) usable(now time.Duration, s *server, r *Request) bool {
	s.decayPenalties(now)
	if s.leaving || s.isSuspended(now) || slices.Contains(r.Tried, s.registration.ID) || r.Reachable != nil && !r.Reachable(s.registration.ID) {
		return false
	}
	if r.Excluded != nil && r.Excluded(s.registration) {
		return false
	}
	if s.isCold(now) && (!s.sharesColdRate || s.coldBucket.Tokens(now) < 1) {
		return false
	}
	return true
}
