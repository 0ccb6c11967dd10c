package steersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/regionflow"
	"github.com/cassiawind/cassiawind/core/retrybudget"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	// tick is the interval at which VMs move their shares.
	tick = 250 * time.Millisecond
	// maxAttempts bounds the servers that one request is sent to.
	maxAttempts = 3
	// zipf is the exponent of the popularity of objects.
	zipf = 0.8
)

// budget is that of the users' deployments.
var budget = retrybudget.Limits{Ratio: 0.2, Margin: 60, Window: 10 * time.Second}

// load is what callers ask for.
type load struct {
	// perSecond returns the requests per second of a region at a time.
	perSecond func(s site, region string, now time.Duration) float64
	// hot is the share of requests for one object.
	hot float64
	// trouble changes servers, once at the start.
	trouble func(w *world)
	length  time.Duration
}

// world is one run of a load with a policy.
type world struct {
	*virtual.Clock
	site    site
	policy  policy
	load    load
	rnd     *rand.Rand
	servers map[string]*server
	order   []*server
	vms     map[string][]*vm
	fleet   *peers
	popular []float64
	// The counts are by rank.
	offered, inTime, late, rejected, lost [accounts]int
	sends                                 int
	// moved counts the sends to another region.
	moved int
}

// vm is one gateway.
type vm struct {
	*peer
	world   *world
	chooser chooser
	flow    regionflow.Flow
	budget  *retrybudget.Budget
	known   bool
}

// play runs a load with a policy.
func play(s site, p policy, l load, seed uint64) *world {
	w := &world{
		Clock: virtual.New(), site: s, policy: p, load: l, rnd: rand.New(rand.NewPCG(seed, 0)),
		servers: make(map[string]*server), vms: make(map[string][]*vm),
	}
	for i, told := range s.servers() {
		srv := &server{told: told, clock: w.Clock, rnd: rand.New(rand.NewPCG(seed, uint64(100+i))), slow: 1}
		w.servers[told.ID] = srv
		w.order = append(w.order, srv)
	}
	w.addVMs(seed)
	total := 0.0
	for i := range objects {
		total += math.Pow(float64(i+1), -zipf)
		w.popular = append(w.popular, total)
	}
	if l.trouble != nil {
		l.trouble(w)
	}
	for _, r := range s.regions {
		w.arrivals(r.name)
	}
	w.RunUntil(l.length + deadline)
	return w
}

func (w *world) addVMs(seed uint64) {
	w.fleet = newPeers(w.Clock, w.site)
	var names []string
	for _, p := range w.fleet.all {
		names = append(names, p.name)
	}
	for i, p := range w.fleet.all {
		v := &vm{peer: p, world: w, budget: retrybudget.New(budget)}
		if w.policy.newChooser == nil {
			v.chooser = newCore(w.site, p.name, p.region, names)
		} else {
			v.chooser = w.policy.newChooser(w.site, p.region, rand.New(rand.NewPCG(seed, uint64(1000+i))))
		}
		w.vms[p.region] = append(w.vms[p.region], v)
		// VMs do not tick together.
		offset := tick * time.Duration(i) / time.Duration(len(names))
		v.step()
		w.Every(offset, tick, v.step)
		w.fleet.talk(p, offset)
	}
}

// step moves the shares of the regions.
func (v *vm) step() {
	now := v.world.Elapsed()
	digest, fresh := v.peers.Digest(now)
	loads := regionflow.Loads(serviceName, v.world.site.regionNames(), digest.Work, digest.Pinned, v.chooser.capacity(now))
	for _, l := range loads {
		v.known = v.known || fresh && l.Demand > 0
	}
	if !v.known {
		loads = regionflow.AssumeEqualDemand(loads, nil)
	}
	v.world.policy.stepShares(&v.flow, now, v.region, v.world.site, loads)
}

// arrivals draws the requests of a region's callers.
func (w *world) arrivals(region string) {
	rate := w.load.perSecond(w.site, region, w.Elapsed())
	w.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.Elapsed() >= w.load.length {
			return
		}
		vms := w.vms[region]
		vms[w.rnd.IntN(len(vms))].accept(w.object(), w.rnd.IntN(accounts))
		w.arrivals(region)
	})
}

func (w *world) object() uint64 {
	if w.rnd.Float64() < w.load.hot {
		return placement.HashObject(routeName, "hot")
	}
	at := w.rnd.Float64() * w.popular[len(w.popular)-1]
	for i, sum := range w.popular {
		if at < sum {
			return placement.HashObject(routeName, fmt.Sprint(i))
		}
	}
	return 1
}

// accept takes a caller's request.
func (v *vm) accept(object uint64, rank int) {
	w := v.world
	r := &request{vm: v, object: object, rank: rank, arrived: w.Elapsed()}
	r.place = placement.Request{
		Service: serviceName, Class: routeName, Object: object, Priority: rank, Objective: objective,
		PreferredRegion: v.flow.ChooseRegion(v.region, placement.ObjectFraction(object)),
	}
	if w.policy.noAffinity {
		r.place.Object = 0
	}
	if w.policy.noRanks {
		r.place.Priority = 1
	}
	w.offered[rank]++
	workMS := float64(coldWorkMS * warmPart)
	if c, ok := v.chooser.(coreChooser); ok {
		workMS = c.WorkMS(&r.place)
	}
	v.meter.AddWork(serviceName, "", workMS)
	r.send()
}

// request is a caller's request on its way.
type request struct {
	vm      *vm
	object  uint64
	rank    int
	arrived time.Duration
	place   placement.Request
	sent    int
}

// send sends the request to a server, or ends it.
func (r *request) send() {
	w, now := r.vm.world, r.vm.world.Elapsed()
	r.place.Remaining = r.arrived + deadline - now
	r.place.Waited = now - r.arrived
	choice := r.vm.chooser.pick(now, &r.place)
	switch {
	case choice.Server == nil, r.sent >= maxAttempts, r.sent > 0 && !r.vm.budget.Take(now, len(w.fleet.all)):
		w.rejected[r.rank]++
		return
	case r.sent == 0:
		r.vm.budget.AddRequest(now)
	}
	r.sent++
	w.sends++
	if choice.Server.Region != r.vm.region {
		w.moved++
	}
	r.vm.chooser.started(now, &r.place, choice)
	r.place.Tried = append(r.place.Tried, choice.Server.ID)
	travel := w.site.delay(r.vm.region, choice.Server.Region)
	to := w.servers[choice.Server.ID]
	over := false
	end := func(result placement.Result) {
		if over {
			return
		}
		over = true
		at := w.Elapsed()
		r.vm.chooser.finished(at, &r.place, choice, result, at-now)
		r.ended(result)
	}
	w.After(travel, func() {
		to.arrive(&job{object: r.object, done: func(o outcome) {
			running, waiting := to.running, len(to.queue)
			w.After(travel, func() {
				r.vm.chooser.reported(w.Elapsed(), choice.Server.ID, running, waiting)
				end(resultOf(o))
			})
		}})
	})
	w.After(r.place.Remaining, func() { end(placement.Unresponsive) })
}

func resultOf(o outcome) placement.Result {
	return [...]placement.Result{answered: placement.Succeeded, failed: placement.Failed, shed: placement.Shed}[o]
}

// ended counts a request or sends it again.
func (r *request) ended(result placement.Result) {
	w := r.vm.world
	switch {
	case result == placement.Unresponsive:
		w.lost[r.rank]++
	case result != placement.Succeeded:
		r.send()
	case w.Elapsed()-r.arrived <= objective:
		w.inTime[r.rank]++
	default:
		w.late[r.rank]++
	}
}
