package steersim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/regionflow"
	"github.com/cassiawind/cassiawind/core/steering"
)

// chooser places the requests of one VM.
type chooser interface {
	pick(now time.Duration, r *placement.Request) placement.Choice
	started(now time.Duration, r *placement.Request, c placement.Choice)
	finished(now time.Duration, r *placement.Request, c placement.Choice, result placement.Result, elapsed time.Duration)
	// reported takes the load that a server told with an answer.
	reported(now time.Duration, server string, running, waiting int)
	// capacity returns the usable slots by region.
	capacity(now time.Duration) map[string]float64
}

// policy is one way to decide.
type policy struct {
	name string
	// newChooser places requests; nil stands for placement.Picker.
	newChooser func(s site, region string, rnd *rand.Rand) chooser
	// noAffinity hides the object of a request, and noRanks its rank.
	noAffinity, noRanks bool
	// shares decide the regions.
	shares shares
}

// shares is how a VM decides which region serves a request.
type shares int

const (
	// flowShares move slowly with demand and capacity: regionflow.Flow.
	flowShares shares = iota
	// ownShares serve all requests in the caller's region.
	ownShares
	// staticShares follow the number of servers and nothing else.
	staticShares
	// suddenShares follow demand and capacity without a bound.
	suddenShares
)

// core is what the gateway does; the others replace one decision each.
var core = policy{name: "core"}

var (
	noAffinity   = policy{name: "no affinity", noAffinity: true}
	noRanks      = policy{name: "ranks ignored", noRanks: true}
	nearest      = policy{name: "nearest, fewest own requests", newChooser: newNearest, shares: ownShares}
	randomOfTwo  = policy{name: "random of two", newChooser: newRandomOfTwo, shares: ownShares}
	ownRegion    = policy{name: "own region only", shares: ownShares}
	byServers    = policy{name: "static shares", shares: staticShares}
	withoutBound = policy{name: "shares without a bound", shares: suddenShares}
)

// coreChooser is the gateway's placement.
type coreChooser struct{ *placement.Picker }

func newCore(s site, vm, region string, vms []string) chooser {
	p := placement.New(vm, region)
	p.Update(0, map[string]*steering.Service{serviceName: {Name: serviceName}}, map[string][]*steering.Server{serviceName: s.servers()})
	p.SetVMs(0, vms)
	for _, r := range s.regions {
		p.ConnectionOpened(r.name, 2*s.delay(region, r.name))
	}
	return coreChooser{p}
}

func (c coreChooser) pick(now time.Duration, r *placement.Request) placement.Choice {
	return c.Pick(now, r)
}
func (c coreChooser) started(now time.Duration, r *placement.Request, choice placement.Choice) {
	c.RequestStarted(now, r, choice)
}
func (c coreChooser) finished(now time.Duration, r *placement.Request, choice placement.Choice, result placement.Result, elapsed time.Duration) {
	c.RequestFinished(now, r, choice, result, elapsed)
}
func (c coreChooser) reported(now time.Duration, server string, running, waiting int) {
	c.LoadReported(now, server, running, waiting)
}
func (c coreChooser) capacity(now time.Duration) map[string]float64 {
	return c.Capacity(now, serviceName)
}

// counting knows only the requests of its own VM in flight.
type counting struct {
	list     []*steering.Server
	inflight map[string]int
	rnd      *rand.Rand
	// sample is the number of servers looked at; 0 stands for all.
	sample int
}

func newCounting(s site, region string, rnd *rand.Rand, sample int) chooser {
	c := &counting{inflight: make(map[string]int), rnd: rnd, sample: sample}
	for _, server := range s.servers() {
		if server.Region == region {
			c.list = append(c.list, server)
		}
	}
	return c
}

func newNearest(s site, region string, rnd *rand.Rand) chooser {
	return newCounting(s, region, rnd, 0)
}

func newRandomOfTwo(s site, region string, rnd *rand.Rand) chooser {
	return newCounting(s, region, rnd, 2)
}

func (c *counting) pick(_ time.Duration, r *placement.Request) placement.Choice {
	var best *steering.Server
	looked := 0
	for _, i := range c.rnd.Perm(len(c.list)) {
		server := c.list[i]
		if slices.Contains(r.Tried, server.ID) {
			continue
		}
		if best == nil || c.inflight[server.ID] < c.inflight[best.ID] {
			best = server
		}
		if looked++; looked == c.sample {
			break
		}
	}
	return placement.Choice{Server: best}
}

func (c *counting) started(_ time.Duration, _ *placement.Request, choice placement.Choice) {
	c.inflight[choice.Server.ID]++
}

func (c *counting) finished(_ time.Duration, _ *placement.Request, choice placement.Choice, _ placement.Result, _ time.Duration) {
	c.inflight[choice.Server.ID]--
}

func (c *counting) reported(time.Duration, string, int, int) {}

func (c *counting) capacity(time.Duration) map[string]float64 { return nil }

// maxShiftPerSecond is the bound on shifts in force on the users' deployments
// (0.15 within 2 s), of which the gateway uses a third.
const maxShiftPerSecond = 0.15 / 6

// stepShares moves the shares of a VM.
func (p policy) stepShares(f *regionflow.Flow, now time.Duration, own string, s site, loads []regionflow.RegionLoad) {
	switch p.shares {
	case flowShares:
		f.Step(now, regionflow.TargetShares(own, loads), maxShiftPerSecond, now == 0)
	case suddenShares:
		f.Step(now, regionflow.TargetShares(own, loads), 1, true)
	case ownShares:
		f.Step(now, map[string]float64{own: 1}, 1, true)
	case staticShares:
		total := 0
		for _, r := range s.regions {
			total += r.servers
		}
		shares := make(map[string]float64)
		for _, r := range s.regions {
			shares[r.name] = float64(r.servers) / float64(total)
		}
		f.Step(now, shares, 1, true)
	}
}
