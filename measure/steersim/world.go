package steersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/demand"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/regionflow"
	"github.com/cassiawind/cassiawind/core/retrybudget"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	// shareInterval is the interval at which VMs update their region shares.
	shareInterval = 250 * time.Millisecond
	// maxAttempts is the largest number of servers to which a request is sent.
	maxAttempts = 3
	// zipfExponent is the exponent of the distribution of requests over objects.
	zipfExponent = 0.8
)

// retryLimits are the limits of the retry budget on the users' deployments.
var retryLimits = retrybudget.Limits{Ratio: 0.2, Margin: 60, Window: 10 * time.Second}

// workload describes the requests of the callers and the faults of the servers.
type workload struct {
	// requestRate returns the requests per second in a region at a time.
	requestRate func(s site, region string, now time.Duration) float64
	// hotFraction is the fraction of requests for one object.
	hotFraction float64
	// injectFault changes servers. It is called once, at the start.
	injectFault func(w *world)
	duration    time.Duration
}

// world is one run of a workload with a policy.
type world struct {
	*virtual.Clock
	site                 site
	policy               policy
	workload             workload
	rnd                  *rand.Rand
	servers              map[string]*server
	serverList           []*server
	vmsByRegion          map[string][]*vm
	fleet                *peerNetwork
	cumulativePopularity []float64
	// Each request is counted in arrived and in one of the others, by priority.
	// Requests in timedOut reached their deadline during an attempt.
	arrived, inTime, late, rejected, timedOut [priorities]int
	attempts                                  int
	// crashing describes the requests that crash servers.
	crashing crashingRequests
	// limited counts the requests that were rejected because of the limits of servers,
	// limitedRetryAfter is the sum of their Retry-After times.
	limited           int
	limitedRetryAfter time.Duration
	// remoteAttempts counts the attempts in another region.
	remoteAttempts int
}

// vm is the gateway on one VM.
type vm struct {
	*peer
	world       *world
	chooser     chooser
	flow        regionflow.Flow
	retryBudget *retrybudget.Budget
	demand      regionflow.DemandTracker
	// startedAt is when the VM last started.
	startedAt time.Duration
	// ownSuspects is used in place of the suspects that VMs exchange, if the policy says so.
	ownSuspects *poison.Book
}

// simulate runs a workload with a policy.
func simulate(deployment site, p policy, load workload, seed uint64) *world {
	w := &world{
		Clock: virtual.New(), site: deployment, policy: p, workload: load, rnd: rand.New(rand.NewPCG(seed, 0)),
		servers: make(map[string]*server), vmsByRegion: make(map[string][]*vm),
	}
	for i, registration := range deployment.servers() {
		srv := &server{
			registration: registration, clock: w.Clock, rnd: rand.New(rand.NewPCG(seed, uint64(100+i))), slowFactor: 1, toldAt: make(map[string]time.Duration),
		}
		w.servers[registration.ID] = srv
		w.serverList = append(w.serverList, srv)
	}
	w.addVMs(seed)
	total := 0.0
	for i := range objectCount {
		total += math.Pow(float64(i+1), -zipfExponent)
		w.cumulativePopularity = append(w.cumulativePopularity, total)
	}
	if load.injectFault != nil {
		load.injectFault(w)
	}
	for _, r := range deployment.regions {
		w.scheduleArrivals(r.name)
	}
	w.RunUntil(load.duration + deadline)
	return w
}

// addVMs creates the gateways and starts their periodic actions.
func (w *world) addVMs(seed uint64) {
	w.fleet = newPeerNetwork(w.Clock, w.site)
	vms := w.fleet.names()
	for i, p := range w.fleet.all {
		v := &vm{peer: p, world: w, retryBudget: retrybudget.New(retryLimits), ownSuspects: poison.New()}
		if w.policy.newChooser == nil {
			v.chooser = newCoreChooser(w.site, p.name, p.region, vms)
		} else {
			v.chooser = w.policy.newChooser(w.site, p.region, rand.New(rand.NewPCG(seed, uint64(1000+i))))
		}
		w.vmsByRegion[p.region] = append(w.vmsByRegion[p.region], v)
		// The offsets spread the periodic actions of the VMs over the interval.
		offset := shareInterval * time.Duration(i) / time.Duration(len(vms))
		v.updateShares()
		v.onDigest = v.updateShares
		w.Every(offset, shareInterval, v.updateShares)
		w.fleet.startExchange(p, offset)
	}
}

// restart starts a killed VM again. It knows nothing of its earlier run.
func (v *vm) restart() {
	w := v.world
	now := w.Elapsed()
	vms := w.fleet.names()
	v.killed, v.startedAt = false, now
	v.exchange, v.meter = exchange.New(v.name, int64(now), now), demand.New()
	v.exchange.SetRoster(w.fleet.roster)
	v.readQuarantine()
	v.chooser, v.flow, v.demand = newCoreChooser(w.site, v.name, v.region, vms), regionflow.Flow{}, regionflow.DemandTracker{}
	v.updateShares()
	for _, s := range w.serverList {
		delete(s.toldAt, v.name)
	}
}

// updateShares updates the region shares of the VM. It assumes equal demand in
// all regions until a digest reports some.
func (v *vm) updateShares() {
	now := v.world.Elapsed()
	v.applyLimits()
	digest, fresh := v.exchange.Digest(now)
	loads := regionflow.Loads(serviceName, v.world.site.regionNames(), digest.Work, digest.Pinned, v.chooser.capacity(now))
	measured, adopt := v.demand.Observe(loads, fresh, digest.Settled)
	if !measured {
		loads = regionflow.AssumeEqualDemand(loads, nil)
	}
	v.chooser.setSpareRegions(regionflow.SpareRegions(loads))
	v.world.policy.updateShares(&v.flow, now, v.region, v.world.site, loads, adopt)
}

// scheduleArrivals sends the requests of the callers in a region, each to a random
// VM of the region.
func (w *world) scheduleArrivals(region string) {
	rate := w.workload.requestRate(w.site, region, w.Elapsed())
	w.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.Elapsed() >= w.workload.duration {
			return
		}
		var alive []*vm
		for _, v := range w.vmsByRegion[region] {
			if !v.killed {
				alive = append(alive, v)
			}
		}
		alive[w.rnd.IntN(len(alive))].accept(w.drawObject(), w.rnd.IntN(priorities))
		w.scheduleArrivals(region)
	})
}

// drawObject returns a random object with the popularity of the workload.
func (w *world) drawObject() uint64 {
	if w.rnd.Float64() < w.workload.hotFraction {
		return placement.HashObject(routeName, "hot")
	}
	point := w.rnd.Float64() * w.cumulativePopularity[len(w.cumulativePopularity)-1]
	for i, sum := range w.cumulativePopularity {
		if point < sum {
			return placement.HashObject(routeName, fmt.Sprint(i))
		}
	}
	return 1
}

// accept handles a request of a caller.
func (v *vm) accept(object uint64, priority int) {
	w := v.world
	r := &request{vm: v, object: object, priority: priority, arrivedAt: w.Elapsed()}
	r.placement = placement.Request{
		Service: serviceName, Route: routeName, Object: object, Priority: priority, Objective: objective,
		PreferredRegion: v.flow.ChooseRegion(v.region, placement.ObjectFraction(object)),
	}
	if w.policy.hideObject {
		r.placement.Object = 0
	}
	if w.policy.hidePriority {
		r.placement.Priority = 1
	}
	r.content = contentOf(object, w.rnd.IntN(accountCount))
	w.arrived[priority]++
	workMS := float64(coldWorkMS * warmWorkFraction)
	if c, ok := v.chooser.(coreChooser); ok {
		workMS = c.WorkMS(&r.placement)
	}
	v.meter.AddWork(serviceName, "", workMS)
	r.send()
}

// request is a request of a caller that is not finished.
type request struct {
	vm        *vm
	object    uint64
	priority  int
	arrivedAt time.Duration
	placement placement.Request
	attempts  int
	// content identifies the request; crashes is set if it crashes servers. trial is set
	// once a trial was claimed.
	content        poison.Fingerprints
	crashes, trial bool
}

// send starts an attempt. It rejects the request if there is no usable server, all
// attempts are used, or the retry budget is used up.
func (r *request) send() {
	w, now := r.vm.world, r.vm.world.Elapsed()
	if r.isHeldBack() {
		return
	}
	r.placement.Remaining = r.arrivedAt + deadline - now
	r.placement.Waited = now - r.arrivedAt
	choice := r.vm.chooser.pick(now, &r.placement)
	switch {
	case choice.Server == nil:
		if choice.Reason == placement.ServerLimit {
			w.limited++
			w.limitedRetryAfter += choice.RetryAfter
		}
		w.rejected[r.priority]++
	case choice.LimitOwner != "":
		r.requestLimitGrant(choice)
	default:
		r.start(choice)
	}
}

// requestLimitGrant asks the owner of the limit of the chosen server and starts the
// attempt if it is granted. Otherwise it sends to another server.
func (r *request) requestLimitGrant(choice placement.Choice) {
	w, server := r.vm.world, choice.Server.ID
	answered := false
	answer := func(granted bool, wait time.Duration) {
		if answered {
			return
		}
		answered = true
		if granted {
			r.start(choice)
			return
		}
		r.vm.chooser.limitRefused(w.Elapsed(), server, wait)
		r.send()
	}
	owner := w.vmByName(choice.LimitOwner)
	limit, _ := r.vm.exchange.ServerLimits().Observation(w.Elapsed(), server)
	w.fleet.send(r.vm.peer, owner.peer, func(*peer) {
		now := w.Elapsed()
		if owner.exchange.ServerLimits().Merge(now, limit) {
			owner.applyLimits()
		}
		known, _ := owner.exchange.ServerLimits().Observation(now, server)
		granted, wait := owner.chooser.grantLimit(now, server)
		w.fleet.send(owner.peer, r.vm.peer, func(*peer) {
			if r.vm.exchange.ServerLimits().Merge(w.Elapsed(), known) {
				r.vm.applyLimits()
			}
			answer(granted || known.Ended, wait)
		})
	})
	w.After(placement.LimitGrantTimeout+2*w.site.delay(r.vm.region, owner.region), func() { answer(false, placement.SilentLimitOwnerWait) })
}

// start sends the request to the chosen server.
func (r *request) start(choice placement.Choice) {
	w, now := r.vm.world, r.vm.world.Elapsed()
	switch {
	case r.attempts >= maxAttempts, r.attempts > 0 && !r.vm.retryBudget.Take(now, len(w.fleet.all)):
		w.rejected[r.priority]++
		return
	case r.attempts == 0:
		r.vm.retryBudget.AddRequest(now)
	}
	r.attempts++
	w.attempts++
	if choice.Server.Region != r.vm.region {
		w.remoteAttempts++
	}
	r.vm.chooser.requestStarted(now, &r.placement, choice)
	r.placement.Tried = append(r.placement.Tried, choice.Server.ID)
	delay := w.site.delay(r.vm.region, choice.Server.Region)
	server := w.servers[choice.Server.ID]
	completed := false
	complete := func(result placement.Result) {
		if completed {
			return
		}
		completed = true
		endedAt := w.Elapsed()
		r.vm.chooser.requestFinished(endedAt, &r.placement, choice, result, endedAt-now)
		r.handleResult(result)
	}
	w.After(delay, func() {
		if r.crashes && w.Elapsed()-r.vm.startedAt >= crashNotice {
			w.crashing.arrivals = append(w.crashing.arrivals, w.Elapsed())
		}
		server.accept(&job{object: r.object, vm: r.vm.name, crashes: r.crashes, done: func(o outcome) {
			running, waiting, namesLimit := server.running, len(server.queue), server.namesLimit(w.Elapsed())
			w.After(delay, func() {
				r.vm.chooser.loadReported(w.Elapsed(), choice.Server.ID, running, waiting)
				r.vm.recordLimit(server, now, namesLimit)
				r.recordOutcome(server, now, o)
				complete(resultOf(o))
			})
		}})
	})
	w.After(r.placement.Remaining, func() { complete(placement.Unresponsive) })
}

// recordLimit records whether a response to an attempt that was sent at sentAt names a
// limit.
func (v *vm) recordLimit(s *server, sentAt time.Duration, namesLimit bool) {
	now, limits, changed := v.world.Elapsed(), v.exchange.ServerLimits(), false
	if namesLimit {
		changed = limits.Named(now, s.registration.ID, s.limit)
		if _, told := s.toldAt[v.name]; !told {
			s.toldAt[v.name] = now
		}
	} else {
		changed = limits.NotNamed(s.registration.ID, sentAt)
	}
	if changed {
		v.applyLimits()
	}
}

// applyLimits passes the known limits and VMs to the chooser.
func (v *vm) applyLimits() {
	if v.world.policy.ignoreLimits {
		return
	}
	now := v.world.Elapsed()
	v.chooser.setLimits(now, v.exchange.ServerLimits().Limits(), v.exchange.ActiveVMs(now), v.exchange.CountsAsActive(now))
}

func (w *world) vmByName(name string) *vm {
	for _, vms := range w.vmsByRegion {
		for _, v := range vms {
			if v.name == name {
				return v
			}
		}
	}
	return nil
}

func resultOf(o outcome) placement.Result {
	return [...]placement.Result{succeeded: placement.Succeeded, failed: placement.Failed, shed: placement.Shed, lost: placement.Failed, refused: placement.Unreachable}[o]
}

// handleResult handles the result of an attempt: it counts the request, or retries it
// if the server failed or shed it.
func (r *request) handleResult(result placement.Result) {
	w := r.vm.world
	switch {
	case result == placement.Unresponsive:
		w.timedOut[r.priority]++
	case result != placement.Succeeded:
		r.send()
	case w.Elapsed()-r.arrivedAt <= objective:
		w.inTime[r.priority]++
	default:
		w.late[r.priority]++
	}
}
