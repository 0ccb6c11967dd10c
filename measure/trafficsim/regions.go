package trafficsim

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	// capFraction is the fraction of a region's slots that are in use when the
	// requests reach the region's cap.
	capFraction = 0.9
	// burstSeconds is the burst of a region's cap, in seconds of its rate.
	burstSeconds = 0.05
	// measurementDelay is the age of a measurement when the VMs receive it.
	measurementDelay = 2 * time.Second
	// failureDetectionDelay is the time until the VMs know that a region has
	// failed.
	failureDetectionDelay = 3 * time.Second
	// largeAccountFactor is the rate of each large account relative to the rate of
	// each other account.
	largeAccountFactor = 4
	largeAccounts      = 2
)

// regionChooser selects the region of each request at one VM.
type regionChooser interface {
	choose(now time.Time, from, client string) (string, bool)
	done(now time.Time, region string)
	recordMeasurement(now time.Time, region string, m routing.Measurement)
	setFailed(region string)
	setVMCount(n int)
}

// regionFleet models the callers, entry VMs and regions of a deployment. The cap of
// each region is a token bucket that all VMs share.
type regionFleet struct {
	*virtual.Clock
	deployment        Deployment
	rng               *rand.Rand
	caps              map[string]*bucket
	capCheckers       map[string]*capChecker
	inFlight          map[string]int
	requestsPerSecond map[string][]float64 // requests per region in each second
	vms               []*regionVM
	accounts          []counts
	shifted           int
	// shiftedThisSecond counts the requests that were shifted to a region in the
	// present second. shiftedPerSecond holds the counts of the seconds before.
	shiftedThisSecond map[string]int
	shiftedPerSecond  map[string][]float64
}

type regionVM struct {
	region  string
	stopped bool
	chooser regionChooser
}

// counts holds the numbers of requests of one client account.
type counts struct{ offered, rejected int }

// capOf returns the cap of a region in requests per second.
func (d Deployment) capOf(region string) float64 {
	return capFraction * float64(d.slotsOf(region)) / meanServiceTime.Seconds()
}

// newRegionFleet returns a fleet. The demand is the rate of each region's callers
// relative to the region's cap.
func newRegionFleet(d Deployment, demand map[string]float64, seed uint64, build func(*regionFleet, string) regionChooser) *regionFleet {
	f := &regionFleet{
		Clock: virtual.New(), deployment: d, rng: rand.New(rand.NewPCG(seed, 0)),
		caps: map[string]*bucket{}, capCheckers: map[string]*capChecker{}, inFlight: map[string]int{},
		requestsPerSecond: map[string][]float64{}, accounts: newAccounts(d),
		shiftedThisSecond: map[string]int{}, shiftedPerSecond: map[string][]float64{},
	}
	for _, r := range d.Regions {
		rate := d.capOf(r)
		f.caps[r] = newBucket(rate, rate*burstSeconds)
		f.capCheckers[r] = &capChecker{rate: rate, burst: rate * burstSeconds, updatedAt: virtual.Epoch}
	}
	for i := range d.EntryVMs {
		region := d.regionOf(i)
		f.vms = append(f.vms, &regionVM{region: region, chooser: build(f, region)})
	}
	for _, v := range f.vms {
		v.chooser.setVMCount(len(f.vms))
	}
	for _, r := range d.Regions {
		f.scheduleArrival(r, demand[r]*d.capOf(r))
	}
	f.Every(time.Second, time.Second, f.recordSecond)
	return f
}

func newAccounts(d Deployment) []counts { return make([]counts, d.Accounts) }

// scheduleArrival schedules the next request of the callers in a region.
func (f *regionFleet) scheduleArrival(region string, rate float64) {
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		f.routeRequest(region)
		f.scheduleArrival(region, rate)
	})
}

// drawAccount draws the client account of a request.
func (f *regionFleet) drawAccount() *counts {
	n := len(f.accounts)
	i := f.rng.IntN(n - largeAccounts + largeAccounts*largeAccountFactor)
	if i >= n {
		i = (i - n) % largeAccounts
	}
	return &f.accounts[i]
}

// routeRequest sends one request through an entry VM of the caller's region, or
// through any other VM if none runs there. This is the order in which locate responses
// list the VMs.
func (f *regionFleet) routeRequest(region string) {
	a := f.drawAccount()
	a.offered++
	v := f.entryVM(region)
	to, ok := v.chooser.choose(f.Now, v.region, region)
	if !ok {
		a.rejected++
		return
	}
	if to != region {
		f.shifted++
		f.shiftedThisSecond[to]++
	}
	f.capCheckers[to].add(f.Now)
	f.inFlight[to]++
	f.After(meanServiceTime, func() {
		f.inFlight[to]--
		v.chooser.done(f.Now, to)
	})
}

func (f *regionFleet) entryVM(region string) *regionVM {
	var inRegion, running []*regionVM
	for _, v := range f.vms {
		if v.stopped {
			continue
		}
		running = append(running, v)
		if v.region == region {
			inRegion = append(inRegion, v)
		}
	}
	if len(inRegion) > 0 {
		return inRegion[f.rng.IntN(len(inRegion))]
	}
	return running[f.rng.IntN(len(running))]
}

// recordSecond records the rate of each region in the last second. It sends the same
// measurement to all VMs, which receive it after measurementDelay.
func (f *regionFleet) recordSecond() {
	for _, r := range f.deployment.Regions {
		checker := f.capCheckers[r]
		f.requestsPerSecond[r] = append(f.requestsPerSecond[r], float64(checker.count))
		m := routing.Measurement{At: f.Now, RatePerSecond: float64(checker.count), InFlight: f.inFlight[r], Slots: f.deployment.slotsOf(r)}
		checker.count = 0
		f.shiftedPerSecond[r] = append(f.shiftedPerSecond[r], float64(f.shiftedThisSecond[r]))
		f.shiftedThisSecond[r] = 0
		f.After(measurementDelay, func() {
			for _, v := range f.vms {
				v.chooser.recordMeasurement(f.Now, r, m)
			}
		})
	}
}

// failRegion stops the VMs and servers of a region. The other VMs detect the failure
// after failureDetectionDelay.
func (f *regionFleet) failRegion(region string) {
	alive := 0
	for _, v := range f.vms {
		v.stopped = v.region == region
		if !v.stopped {
			alive++
		}
	}
	f.After(failureDetectionDelay, func() {
		for _, v := range f.vms {
			v.chooser.setFailed(region)
			v.chooser.setVMCount(alive)
		}
	})
}

// requestsOverCap returns the number of requests beyond the caps of all regions.
func (f *regionFleet) requestsOverCap() float64 {
	n := 0
	for _, r := range f.deployment.Regions {
		n += f.capCheckers[r].excess
	}
	return float64(n)
}

// peakRate returns the highest rate of a region in any second from the given time on,
// relative to its cap.
func (f *regionFleet) peakRate(region string, from time.Duration) float64 {
	highest := 0.0
	for _, v := range f.requestsPerSecond[region][int(from/time.Second):] {
		highest = max(highest, v)
	}
	return highest / f.deployment.capOf(region)
}

// rateDeviation returns the standard deviation of a region's rate from the given time
// on, relative to its cap.
func (f *regionFleet) rateDeviation(region string, from time.Duration) float64 {
	values := f.requestsPerSecond[region][int(from/time.Second):]
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	n := float64(len(values))
	return math.Sqrt(max(0, squares/n-sum*sum/n/n)) / f.deployment.capOf(region)
}

// rampExcess returns the largest amount by which the rate shifted to a region exceeded
// the rate that the ramp allows the fleet, relative to the cap, or 0 if it never did.
// The allowed rate is the highest one of the 10 s before, or the floor if that is
// higher, plus the declared growth.
func (f *regionFleet) rampExcess(region string, from time.Duration) float64 {
	const historySeconds, growthFraction, floorFraction = 10, 0.05, 0.2
	shifted, regionCap := f.shiftedPerSecond[region], f.deployment.capOf(region)
	worst := 0.0
	for i := int(from / time.Second); i < len(shifted); i++ {
		allowed := floorFraction * regionCap
		for _, v := range shifted[max(0, i-historySeconds):i] {
			allowed = max(allowed, v)
		}
		worst = max(worst, shifted[i]-allowed-growthFraction*regionCap)
	}
	return worst / regionCap
}

// routingChooser is the chooser under test.
type routingChooser struct {
	*routing.Regions
	fleet *regionFleet
}

func newRoutingChooser(f *regionFleet, _ string) regionChooser {
	cfg := make([]routing.RegionConfig, 0, len(f.deployment.Regions))
	for _, r := range f.deployment.Regions {
		cfg = append(cfg, routing.RegionConfig{Name: r, CapPerSecond: f.deployment.capOf(r), CapLimit: r, DelayMS: f.deployment.delaysMS(r)})
	}
	return routingChooser{routing.NewRegions(cfg), f}
}

func (c routingChooser) choose(now time.Time, from, client string) (string, bool) {
	choice, err := c.Choose(now, routing.ChooseInput{From: from, ClientRegion: client}, func(limit string) bool { return c.fleet.caps[limit].take(now) })
	return choice.Region, err == nil
}
func (c routingChooser) done(now time.Time, region string) { c.Done(now, region) }
func (c routingChooser) recordMeasurement(_ time.Time, region string, m routing.Measurement) {
	c.RecordMeasurement(region, m)
}
func (c routingChooser) setFailed(region string) { c.SetFailed(region, true) }
func (c routingChooser) setVMCount(n int)        { c.SetVMs(n) }

// weightedChooser is the baseline. It draws the region at random, with weights from
// the measured free capacity.
type weightedChooser struct {
	fleet     *regionFleet
	free      map[string]float64
	ownRegion string
}

func newWeightedChooser(f *regionFleet, ownRegion string) regionChooser {
	return &weightedChooser{fleet: f, ownRegion: ownRegion, free: make(map[string]float64)}
}

// choose draws one of all regions, including the VM's own. The weight of a region is
// the free capacity that it had when it was measured, but at least 0.1% of its cap. A
// failed region has the weight 0.
func (c *weightedChooser) choose(_ time.Time, _, _ string) (string, bool) {
	const minimum = 0.001
	sum := 0.0
	for _, r := range c.fleet.deployment.Regions {
		sum += c.weight(r, minimum)
	}
	if sum == 0 {
		return "", false
	}
	x := c.fleet.rng.Float64() * sum
	for _, r := range c.fleet.deployment.Regions {
		if x -= c.weight(r, minimum); x < 0 {
			return r, true
		}
	}
	return c.ownRegion, true
}

func (c *weightedChooser) weight(region string, minimum float64) float64 {
	free, ok := c.free[region]
	if !ok {
		free = c.fleet.deployment.capOf(region)
	}
	if free < 0 {
		return 0
	}
	return max(minimum*c.fleet.deployment.capOf(region), free)
}

func (c *weightedChooser) done(time.Time, string) {}
func (c *weightedChooser) recordMeasurement(_ time.Time, region string, m routing.Measurement) {
	if _, failed := c.free[region]; failed && c.free[region] < 0 {
		return
	}
	c.free[region] = max(0, c.fleet.deployment.capOf(region)-m.RatePerSecond)
}
func (c *weightedChooser) setFailed(region string) { c.free[region] = -1 }
func (c *weightedChooser) setVMCount(int)          {}

func accountName(i int) string { return accountPrefix + strconv.Itoa(i) }

const accountPrefix = "account-"
