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
	// capPart is the part of a region's slots that its cap lets in use.
	capPart = 0.9
	// burstSeconds is the burst of caps and links, in seconds of their rate.
	burstSeconds = 0.05
	// measureLag is the age of a measurement when the VMs get it.
	measureLag = 2 * time.Second
	// noticeFailure is when VMs know that a region has failed.
	noticeFailure = 3 * time.Second
	// largeAccountFactor is the rate of the two large accounts relative to the
	// others.
	largeAccountFactor = 4
	largeAccounts      = 2
)

// regionChooser chooses regions for one VM.
type regionChooser interface {
	choose(now time.Time, from, client string) (string, bool)
	done(now time.Time, region string)
	measure(now time.Time, region string, m routing.Measurement)
	failed(region string)
	vms(n int)
}

// regionFleet models the callers, entry VMs and regions of a deployment. Each
// region has a cap that is a token bucket over all VMs.
type regionFleet struct {
	*virtual.Clock
	d        Deployment
	rnd      *rand.Rand
	caps     map[string]*bucket
	audits   map[string]*audit
	inFlight map[string]int
	history  map[string][]float64 // requests per region in each second
	vms      []*regionVM
	accounts []accountCount
	shifted  int
	// shiftedTo counts the requests shifted to a region in the present second,
	// shifts holds the counts of the seconds before.
	shiftedTo map[string]int
	shifts    map[string][]float64
}

type regionVM struct {
	region  string
	dead    bool
	chooser regionChooser
}

// accountCount counts the requests of one client account.
type accountCount struct{ offered, refused int }

// capOf returns the cap of a region in requests per second.
func (d Deployment) capOf(region string) float64 {
	return capPart * float64(d.slotsOf(region)) / serviceMean.Seconds()
}

// newRegionFleet builds a fleet whose callers send the given part of their
// region's cap.
func newRegionFleet(d Deployment, demand map[string]float64, seed uint64, build func(*regionFleet, string) regionChooser) *regionFleet {
	f := &regionFleet{
		Clock: virtual.New(), d: d, rnd: rand.New(rand.NewPCG(seed, 0)),
		caps: map[string]*bucket{}, audits: map[string]*audit{}, inFlight: map[string]int{},
		history: map[string][]float64{}, accounts: newAccounts(d),
		shiftedTo: map[string]int{}, shifts: map[string][]float64{},
	}
	for _, r := range d.Regions {
		rate := d.capOf(r)
		f.caps[r] = newBucket(rate, rate*burstSeconds)
		f.audits[r] = &audit{rate: rate, burst: rate * burstSeconds, at: virtual.Epoch}
	}
	for i := range d.EntryVMs {
		region := d.regionOf(i)
		f.vms = append(f.vms, &regionVM{region: region, chooser: build(f, region)})
	}
	for _, v := range f.vms {
		v.chooser.vms(len(f.vms))
	}
	for _, r := range d.Regions {
		f.callers(r, demand[r]*d.capOf(r))
	}
	f.Every(time.Second, time.Second, f.second)
	return f
}

func newAccounts(d Deployment) []accountCount { return make([]accountCount, d.Accounts) }

// callers schedules the requests of the callers of one region.
func (f *regionFleet) callers(region string, rate float64) {
	f.After(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		f.request(region)
		f.callers(region, rate)
	})
}

// account draws the client account of a request.
func (f *regionFleet) account() *accountCount {
	n := len(f.accounts)
	i := f.rnd.IntN(n - largeAccounts + largeAccounts*largeAccountFactor)
	if i >= n {
		i = (i - n) % largeAccounts
	}
	return &f.accounts[i]
}

// request sends one request through an entry VM of the caller's region, or any
// other if those are gone, as an answer of locate orders them.
func (f *regionFleet) request(region string) {
	a := f.account()
	a.offered++
	v := f.entryVM(region)
	to, ok := v.chooser.choose(f.Now, v.region, region)
	if !ok {
		a.refused++
		return
	}
	if to != region {
		f.shifted++
		f.shiftedTo[to]++
	}
	f.audits[to].add(f.Now)
	f.inFlight[to]++
	f.After(serviceMean, func() {
		f.inFlight[to]--
		v.chooser.done(f.Now, to)
	})
}

func (f *regionFleet) entryVM(region string) *regionVM {
	var near, all []*regionVM
	for _, v := range f.vms {
		if v.dead {
			continue
		}
		all = append(all, v)
		if v.region == region {
			near = append(near, v)
		}
	}
	if len(near) > 0 {
		return near[f.rnd.IntN(len(near))]
	}
	return all[f.rnd.IntN(len(all))]
}

// second records each region's rate and gives all VMs the same measurement,
// which is old by the time that it arrives.
func (f *regionFleet) second() {
	for _, r := range f.d.Regions {
		a := f.audits[r]
		f.history[r] = append(f.history[r], float64(a.count))
		m := routing.Measurement{At: f.Now, RatePerSecond: float64(a.count), InFlight: f.inFlight[r], Slots: f.d.slotsOf(r)}
		a.count = 0
		f.shifts[r] = append(f.shifts[r], float64(f.shiftedTo[r]))
		f.shiftedTo[r] = 0
		f.After(measureLag, func() {
			for _, v := range f.vms {
				v.chooser.measure(f.Now, r, m)
			}
		})
	}
}

// fail stops a region's VMs and servers; the others notice later.
func (f *regionFleet) fail(region string) {
	alive := 0
	for _, v := range f.vms {
		v.dead = v.region == region
		if !v.dead {
			alive++
		}
	}
	f.After(noticeFailure, func() {
		for _, v := range f.vms {
			v.chooser.failed(region)
			v.chooser.vms(alive)
		}
	})
}

// over returns the number of requests beyond a region's cap.
func (f *regionFleet) over() float64 {
	n := 0
	for _, r := range f.d.Regions {
		n += f.audits[r].over
	}
	return float64(n)
}

// peak returns the highest rate of a region in any second from a time on,
// relative to its cap.
func (f *regionFleet) peak(region string, from time.Duration) float64 {
	highest := 0.0
	for _, v := range f.history[region][int(from/time.Second):] {
		highest = max(highest, v)
	}
	return highest / f.d.capOf(region)
}

// spread returns the standard deviation of a region's rate from a time on,
// relative to its cap.
func (f *regionFleet) spread(region string, from time.Duration) float64 {
	values := f.history[region][int(from/time.Second):]
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	n := float64(len(values))
	return math.Sqrt(max(0, squares/n-sum*sum/n/n)) / f.d.capOf(region)
}

// rampExcess returns by how much the rate shifted to a region exceeded what the
// ramp allows the fleet: the peak of the 10 s before, or the floor, plus the
// declared growth, relative to the cap; 0 if it never did.
func (f *regionFleet) rampExcess(region string, from time.Duration) float64 {
	const memory, growth, floor = 10, 0.05, 0.2
	history, limit := f.shifts[region], f.d.capOf(region)
	worst := 0.0
	for i := int(from / time.Second); i < len(history); i++ {
		allowed := floor * limit
		for _, v := range history[max(0, i-memory):i] {
			allowed = max(allowed, v)
		}
		worst = max(worst, history[i]-allowed-growth*limit)
	}
	return worst / limit
}

// regionsChooser is the chooser under test.
type regionsChooser struct {
	*routing.Regions
	f *regionFleet
}

func newRegionsChooser(f *regionFleet, _ string) regionChooser {
	cfg := make([]routing.RegionConfig, 0, len(f.d.Regions))
	for _, r := range f.d.Regions {
		cfg = append(cfg, routing.RegionConfig{Name: r, CapPerSecond: f.d.capOf(r), CapLimit: r, DelayMS: f.d.delays(r)})
	}
	return regionsChooser{routing.NewRegions(cfg), f}
}

func (c regionsChooser) choose(now time.Time, from, client string) (string, bool) {
	choice, err := c.Choose(now, routing.ChooseInput{From: from, ClientRegion: client}, func(limit string) bool { return c.f.caps[limit].take(now) })
	return choice.Region, err == nil
}
func (c regionsChooser) done(now time.Time, region string) { c.Done(now, region) }
func (c regionsChooser) measure(_ time.Time, region string, m routing.Measurement) {
	c.RecordMeasurement(region, m)
}
func (c regionsChooser) failed(region string) { c.SetFailed(region, true) }
func (c regionsChooser) vms(n int)            { c.SetVMs(n) }

// weightsChooser is the baseline: it draws the region by weights from the
// measured free capacity.
type weightsChooser struct {
	f    *regionFleet
	free map[string]float64
	own  string
}

func newWeightsChooser(f *regionFleet, own string) regionChooser {
	return &weightsChooser{f: f, own: own, free: make(map[string]float64)}
}

// choose keeps the part of the traffic that the own region had capacity for when
// it was measured, and draws the others by their free capacity.
func (c *weightsChooser) choose(_ time.Time, _, _ string) (string, bool) {
	const minimum = 0.001
	sum := 0.0
	for _, r := range c.f.d.Regions {
		sum += c.weight(r, minimum)
	}
	if sum == 0 {
		return "", false
	}
	x := c.f.rnd.Float64() * sum
	for _, r := range c.f.d.Regions {
		if x -= c.weight(r, minimum); x < 0 {
			return r, true
		}
	}
	return c.own, true
}

func (c *weightsChooser) weight(region string, minimum float64) float64 {
	free, ok := c.free[region]
	if !ok {
		free = c.f.d.capOf(region)
	}
	if free < 0 {
		return 0
	}
	return max(minimum*c.f.d.capOf(region), free)
}

func (c *weightsChooser) done(time.Time, string) {}
func (c *weightsChooser) measure(_ time.Time, region string, m routing.Measurement) {
	if _, failed := c.free[region]; failed && c.free[region] < 0 {
		return
	}
	c.free[region] = max(0, c.f.d.capOf(region)-m.RatePerSecond)
}
func (c *weightsChooser) failed(region string) { c.free[region] = -1 }
func (c *weightsChooser) vms(int)              {}

func accountName(i int) string { return accountPrefix + strconv.Itoa(i) }

const accountPrefix = "account-"
