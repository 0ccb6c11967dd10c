package steersim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/regionflow"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

// chooser chooses backend servers for the requests of one VM.
type chooser interface {
	pick(now time.Duration, r *placement.Request) placement.Choice
	requestStarted(now time.Duration, r *placement.Request, c placement.Choice)
	requestFinished(now time.Duration, r *placement.Request, c placement.Choice, result placement.Result, elapsed time.Duration)
	// loadReported records the load that a server reported with a response.
	loadReported(now time.Duration, server string, running, waiting int)
	// capacity returns the number of usable slots by region.
	capacity(now time.Duration) map[string]float64
	// setSpareRegions sets the regions that have room for spillover.
	setSpareRegions(spare map[string]bool)
	// setLimits sets the limits that servers name and the VMs that share them.
	setLimits(now time.Duration, limits map[string]serverlimit.Limit, vms []exchange.Member, mayOwn bool)
	// grantLimit and limitRefused are the decisions of the owner of a server's limit
	// and of the VM that it refused.
	grantLimit(now time.Duration, server string) (granted bool, wait time.Duration)
	limitRefused(now time.Duration, server string, wait time.Duration)
}

// policy decides which region and which server serve a request.
type policy struct {
	name string
	// newChooser creates the chooser of a VM; nil selects placement.Picker.
	newChooser func(s site, region string, rnd *rand.Rand) chooser
	// hideObject and hidePriority withhold the object and the priority of a
	// request from the chooser.
	hideObject, hidePriority bool
	// ignoreLimits withholds the limits that servers name from the chooser.
	ignoreLimits bool
	// crashMemory is what VMs remember of requests that crash servers.
	crashMemory crashMemory
	// shares is how the VM divides its requests among regions.
	shares shareMode
}

// shareMode is how a VM computes the shares of its requests that go to each
// region.
type shareMode int

const (
	// gradualShares follow demand and capacity at a bounded speed, as the
	// gateway does with regionflow.Flow.
	gradualShares shareMode = iota
	// localShares keep all requests in the region of the VM.
	localShares
	// staticShares are proportional to the number of servers in each region.
	staticShares
	// unboundedShares follow demand and capacity at once.
	unboundedShares
)

// corePolicy is what the gateway does. Each of the other policies replaces one
// or two of its decisions.
var corePolicy = policy{name: "core"}

var (
	noAffinity         = policy{name: "no affinity", hideObject: true}
	noLimits           = policy{name: "limits ignored", ignoreLimits: true}
	noPriorities       = policy{name: "ranks ignored", hidePriority: true}
	nearest            = policy{name: "nearest, fewest own requests", newChooser: newNearest, shares: localShares}
	randomOfTwo        = policy{name: "random of two", newChooser: newRandomOfTwo, shares: localShares}
	ownRegionOnly      = policy{name: "own region only", shares: localShares}
	fixedShares        = policy{name: "static shares", shares: staticShares}
	sharesWithoutBound = policy{name: "shares without a bound", shares: unboundedShares}
)

// coreChooser is the gateway's placement.Picker.
type coreChooser struct{ *placement.Picker }

func newCoreChooser(s site, vm, region string, vms []string) chooser {
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
func (c coreChooser) requestStarted(now time.Duration, r *placement.Request, choice placement.Choice) {
	c.RequestStarted(now, r, choice)
}
func (c coreChooser) requestFinished(now time.Duration, r *placement.Request, choice placement.Choice, result placement.Result, elapsed time.Duration) {
	c.RequestFinished(now, r, choice, result, elapsed)
}
func (c coreChooser) loadReported(now time.Duration, server string, running, waiting int) {
	c.LoadReported(now, server, running, waiting)
}
func (c coreChooser) setSpareRegions(spare map[string]bool) {
	c.SetSpareRegions(serviceName, spare)
}

func (c coreChooser) setLimits(now time.Duration, limits map[string]serverlimit.Limit, vms []exchange.Member, mayOwn bool) {
	c.SetActiveVMs(now, vms, mayOwn)
	c.SetLimits(now, limits)
}

func (c coreChooser) grantLimit(now time.Duration, server string) (bool, time.Duration) {
	return c.GrantLimit(now, server)
}

func (c coreChooser) limitRefused(now time.Duration, server string, wait time.Duration) {
	c.LimitRefused(now, server, wait)
}

func (c coreChooser) capacity(now time.Duration) map[string]float64 {
	return c.Capacity(now, serviceName)
}

// leastRequestsChooser chooses the server in its own region with the fewest
// requests in flight from its own VM. It has no other information on the load.
type leastRequestsChooser struct {
	servers  []*steering.Server
	inFlight map[string]int
	rnd      *rand.Rand
	// sampleSize is the number of random servers that are compared for a
	// request; 0 compares all.
	sampleSize int
}

func newLeastRequests(s site, region string, rnd *rand.Rand, sampleSize int) chooser {
	c := &leastRequestsChooser{inFlight: make(map[string]int), rnd: rnd, sampleSize: sampleSize}
	for _, server := range s.servers() {
		if server.Region == region {
			c.servers = append(c.servers, server)
		}
	}
	return c
}

func newNearest(s site, region string, rnd *rand.Rand) chooser {
	return newLeastRequests(s, region, rnd, 0)
}

func newRandomOfTwo(s site, region string, rnd *rand.Rand) chooser {
	return newLeastRequests(s, region, rnd, 2)
}

func (c *leastRequestsChooser) pick(_ time.Duration, r *placement.Request) placement.Choice {
	var best *steering.Server
	examined := 0
	for _, i := range c.rnd.Perm(len(c.servers)) {
		server := c.servers[i]
		if slices.Contains(r.Tried, server.ID) {
			continue
		}
		if best == nil || c.inFlight[server.ID] < c.inFlight[best.ID] {
			best = server
		}
		if examined++; examined == c.sampleSize {
			break
		}
	}
	return placement.Choice{Server: best}
}

func (c *leastRequestsChooser) requestStarted(_ time.Duration, _ *placement.Request, choice placement.Choice) {
	c.inFlight[choice.Server.ID]++
}

func (c *leastRequestsChooser) requestFinished(_ time.Duration, _ *placement.Request, choice placement.Choice, _ placement.Result, _ time.Duration) {
	c.inFlight[choice.Server.ID]--
}

func (c *leastRequestsChooser) loadReported(time.Duration, string, int, int) {}

func (c *leastRequestsChooser) capacity(time.Duration) map[string]float64 { return nil }

func (c *leastRequestsChooser) setSpareRegions(map[string]bool) {}

func (c *leastRequestsChooser) grantLimit(time.Duration, string) (bool, time.Duration) {
	return true, 0
}

func (c *leastRequestsChooser) limitRefused(time.Duration, string, time.Duration) {}

func (c *leastRequestsChooser) setLimits(time.Duration, map[string]serverlimit.Limit, []exchange.Member, bool) {
}

// maxShiftPerSecond bounds the change of a region's share. The bound on the
// users' deployments is 0.15 within 2 s, and the gateway uses a third of it.
const maxShiftPerSecond = 0.15 / 6

// updateShares updates the region shares of a VM according to the share mode. adopt is set if
// they begin at their target.
func (p policy) updateShares(f *regionflow.Flow, now time.Duration, ownRegion string, s site, loads []regionflow.RegionLoad, adopt bool) {
	switch p.shares {
	case gradualShares:
		f.Step(now, regionflow.TargetShares(ownRegion, loads), maxShiftPerSecond, now == 0 || adopt)
	case unboundedShares:
		f.Step(now, regionflow.TargetShares(ownRegion, loads), 1, true)
	case localShares:
		f.Step(now, map[string]float64{ownRegion: 1}, 1, true)
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
