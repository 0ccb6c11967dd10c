package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNoRegion means that no region can take the request now. The error returned
// by Choose is a *NoRegionError.
var ErrNoRegion = errors.New("no region can take the request")

const (
	defaultRamp  = 0.05
	defaultFloor = 0.2
	// measurementValidity is the age above which a measurement of a region is
	// ignored; the cap's tokens still bound the traffic.
	measurementValidity = 10 * time.Second
	// fullUse is the part of a region's slots in use up to which traffic is
	// shifted to it.
	fullUse = 0.97
	// useGain weighs one measurement in the average use of the slots: requests
	// in flight at one moment differ by 15% from their mean at 40 slots.
	useGain = 0.2
	// minMeasuredUse is the use below which the capacity is not extrapolated
	// from it.
	minMeasuredUse = 0.3
	// retryNoTokens is one ramp window: by then the ramp has grown and the
	// buckets of caps and links have been refilled by a second's rate.
	retryNoTokens = time.Second
	// retryNoService is the validity of a locate answer, after which the caller
	// asks for entry VMs again.
	retryNoService = 5 * time.Second

	refusalSeparator = "; "
	refusalColon     = ": "
)

// Refusal tells why a region did not take a request.
type Refusal uint8

// Refusals of Choose. The first four do not pass with time.
const (
	NotRefused Refusal = iota
	RefusedExcluded
	RefusedFailed
	RefusedDrained
	RefusedMeasuredLoad
	RefusedRamp
	RefusedLink
	RefusedCap
)

var refusalNames = [...]string{"", "excluded", "failed", "drained", "measured load", "ramp", "link limit", "region cap"}

// String returns the refusal as written in logs and metrics.
func (f Refusal) String() string { return refusalNames[f] }

// RegionRefusal is the refusal of one region.
type RegionRefusal struct {
	Region  string
	Refusal Refusal
}

// NoRegionError is an ErrNoRegion with the refusal of each region.
type NoRegionError struct {
	// RetryAfter is when a retry may succeed.
	RetryAfter time.Duration
	Refusals   []RegionRefusal
}

// Error implements error.
func (e *NoRegionError) Error() string {
	s := ErrNoRegion.Error()
	for _, r := range e.Refusals {
		s += refusalSeparator + r.Region + refusalColon + r.Refusal.String()
	}
	return s
}

// Is reports that a NoRegionError is an ErrNoRegion.
func (e *NoRegionError) Is(target error) bool { return target == ErrNoRegion }

// RegionConfig is a region as declared.
type RegionConfig struct {
	Name string
	// CapPerSecond is the region's cap over all VMs, in requests per second.
	CapPerSecond float64
	// RampSharePerSecond is the part of the cap by which the traffic shifted to the
	// region may grow each second over all VMs; default 0.05.
	RampSharePerSecond float64
	// Floor is the part of the cap that the ramp allows while the region carries
	// less; default 0.2.
	RampFloor float64
	// Limit is the name of the cap's quota limit; "" takes no tokens.
	CapLimit string
	// LinkLimits are the names of the quota limits of the links to this
	// region, by the region of the entry VM.
	LinkLimits map[string]string
	// DelayMS is the one-way delay to other regions, in milliseconds.
	DelayMS map[string]float64
}

// Measurement is the load of a region over all VMs, as last measured.
type Measurement struct {
	// At is the time of the measurement, not of its arrival.
	At time.Time
	// RatePerSecond is the rate of requests to the region; 0 is unknown and
	// leaves the shift to the caps and the ramp.
	RatePerSecond float64
	InFlight      int
	Slots         int
}

// ChooseInput is the input of Choose.
type ChooseInput struct {
	// From is the region of this entry VM.
	From string
	// ClientRegion is the region of the caller's block; "" takes From.
	ClientRegion string
	// Exclude are regions that must not be used, for example because the
	// service has no backend server there.
	Exclude []string
	// Refund returns a link token when the region's cap then refuses; may be
	// nil.
	Refund func(limit string)
}

// RegionChoice is the region chosen for a request.
type RegionChoice struct {
	Region string
	// Shifted is true if the region is not the caller's own.
	Shifted bool
	// Nearest is why the region nearest to this VM did not take the request.
	NearestRefusal Refusal
}

// Regions chooses the region for each request of this VM. All bounds hold over
// all VMs together without communication per request: caps and links by the
// quota tokens that the take callback takes, the ramp and the measured headroom
// by dividing both by the number of VMs.
type Regions struct {
	byName map[string]*region
	sorted []*region
	orders map[string][]*region
	vms    int
	// startedAt is the time of the first request.
	startedAt time.Time
}

type region struct {
	cfg         RegionConfig
	failed      bool
	drained     bool
	measurement Measurement
	use         float64 // average of measurements
	// all counts this VM's requests to the region, shifted only those of callers
	// of other regions.
	all, shifted ramp
	// returned is set when the region comes back; warmUntil follows from it.
	returned  bool
	warmUntil time.Time
	inFlight  int
}

// NewRegions returns a Regions for one VM; call SetVMs as the fleet changes.
func NewRegions(cfg []RegionConfig) *Regions {
	r := &Regions{vms: 1, byName: make(map[string]*region)}
	r.SetConfig(cfg)
	return r
}

// SetConfig replaces the declarations. The ramps and the work in flight of
// regions that remain are kept.
func (r *Regions) SetConfig(cfg []RegionConfig) {
	byName := make(map[string]*region, len(cfg))
	sorted := make([]*region, 0, len(cfg))
	for _, c := range cfg {
		if c.RampSharePerSecond <= 0 {
			c.RampSharePerSecond = defaultRamp
		}
		if c.RampFloor <= 0 {
			c.RampFloor = defaultFloor
		}
		g := r.byName[c.Name]
		if g == nil {
			g = &region{}
		}
		g.cfg = c
		byName[c.Name] = g
		sorted = append(sorted, g)
	}
	slices.SortFunc(sorted, func(a, b *region) int { return cmp.Compare(a.cfg.Name, b.cfg.Name) })
	r.byName, r.sorted, r.orders = byName, sorted, make(map[string][]*region)
}

// SetVMs sets the number of entry VMs by which ramps and measured headroom are
// divided.
func (r *Regions) SetVMs(n int) { r.vms = max(1, n) }

// SetFailed marks a region as failed or as working again.
func (r *Regions) SetFailed(name string, failed bool) {
	if g := r.byName[name]; g != nil {
		g.returned = g.returned || g.failed && !failed
		g.failed = failed
	}
}

// SetDrained marks a region as drained by declaration.
func (r *Regions) SetDrained(name string, drained bool) {
	if g := r.byName[name]; g != nil {
		g.returned = g.returned || g.drained && !drained
		g.drained = drained
	}
}

// Measure records the load of a region. An older measurement is dropped.
func (r *Regions) RecordMeasurement(name string, m Measurement) {
	g := r.byName[name]
	if g == nil || !m.At.After(g.measurement.At) {
		return
	}
	use := m.use()
	if g.measurement.At.IsZero() || m.At.Sub(g.measurement.At) > measurementValidity {
		g.use = use
	}
	g.use += useGain * (use - g.use)
	g.measurement = m
}

// Choose returns the nearest region that can take a request, after taking its
// tokens by the take callback. The error is a *NoRegionError. Each success must
// be followed by one Done.
//
// Shifted traffic is that of callers of another region, whatever the reason. Only
// it is ramped and bounded by measured load. A region's own callers are bounded
// by the cap alone, but for the time after the region has failed or was drained:
// a caller that changes to another VM of its region does not add to the region's
// traffic, and a ramp on each VM's own callers refused 1.1 to 1.7% of the requests
// when a killed VM was replaced (measure/trafficsim). If measured load moved own
// callers, all VMs would move them on the same stale measurement.
func (r *Regions) Choose(now time.Time, in ChooseInput, take func(limit string) bool) (RegionChoice, error) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	first := NotRefused
	for i, g := range r.order(in.From) {
		refusal := r.try(now, g, in, take)
		if refusal == NotRefused {
			g.all.add(now)
			if in.shifts(g) {
				g.shifted.add(now)
			}
			g.inFlight++
			return RegionChoice{Region: g.cfg.Name, Shifted: in.shifts(g), NearestRefusal: first}, nil
		}
		if i == 0 {
			first = refusal
		}
	}
	return RegionChoice{}, r.refused(now, in)
}

// try tests the region and takes its tokens. Tokens are taken last, the link's
// first, so that a request refused for another reason costs none.
func (r *Regions) try(now time.Time, g *region, in ChooseInput, take func(string) bool) Refusal {
	if f := r.check(now, g, in); f != NotRefused {
		return f
	}
	link := ""
	if g.cfg.Name != in.From {
		link = g.cfg.LinkLimits[in.From]
	}
	if link != "" && !take(link) {
		return RefusedLink
	}
	if g.cfg.CapLimit != "" && !take(g.cfg.CapLimit) {
		if link != "" && in.Refund != nil {
			in.Refund(link)
		}
		return RefusedCap
	}
	return NotRefused
}

// check tests everything that takes no tokens.
func (r *Regions) check(now time.Time, g *region, in ChooseInput) Refusal {
	switch {
	case slices.Contains(in.Exclude, g.cfg.Name):
		return RefusedExcluded
	case g.drained:
		return RefusedDrained
	case g.failed:
		return RefusedFailed
	case g.warming(now) && g.all.used(now) >= r.allowed(now, g, &g.all):
		return RefusedRamp
	case !in.shifts(g):
		return NotRefused
	case g.all.used(now) >= r.shiftAllowed(now, g):
		return RefusedMeasuredLoad
	case g.shifted.used(now) >= r.allowed(now, g, &g.shifted):
		return RefusedRamp
	}
	return NotRefused
}

// shifts reports whether the request would be shifted to the region.
func (in ChooseInput) shifts(g *region) bool {
	return g.cfg.Name != cmp.Or(in.ClientRegion, in.From)
}

// warming reports whether the region has returned so recently that its own callers
// are ramped too: for the time in which the ramp grows from 0 to the cap.
func (g *region) warming(now time.Time) bool {
	if g.returned {
		g.returned = false
		g.warmUntil = now.Add(time.Duration(float64(time.Second) / g.cfg.RampSharePerSecond))
	}
	return now.Before(g.warmUntil)
}

// shiftAllowed returns the requests per second that this VM may send to a region,
// by the last measurement, if the next one is shifted. The bound is relative to
// what this VM sent when the measurement was taken, so its own work that the
// measurement has not seen counts, and equal measurements at all VMs allow no
// more than the free capacity together: each may add an equal part of it. Above
// capacity, each VM reduces its traffic in proportion.
func (r *Regions) shiftAllowed(now time.Time, g *region) float64 {
	m := g.measurement
	if m.At.IsZero() || m.RatePerSecond <= 0 || now.Sub(m.At) > measurementValidity {
		return math.MaxFloat64
	}
	own := float64(g.all.rateAt(now, m.At))
	capacity := g.capacity()
	if capacity < m.RatePerSecond {
		return own * capacity / m.RatePerSecond
	}
	return own + (capacity-m.RatePerSecond)/float64(r.vms)
}

// use returns the part of the slots in use, 0 if unknown.
func (m Measurement) use() float64 {
	if m.Slots <= 0 {
		return 0
	}
	return float64(m.InFlight) / float64(m.Slots)
}

// capacity estimates the rate that the region can carry: its cap, or less if its
// slots would be full at a lower rate, as when servers are slow or missing.
func (g *region) capacity() float64 {
	if g.use < minMeasuredUse {
		return g.cfg.CapPerSecond
	}
	return min(g.cfg.CapPerSecond, g.measurement.RatePerSecond*fullUse/g.use)
}

// floor is the part of the cap that the ramp allows this VM whatever its traffic
// was. It is 0 for a VM that has run for 10 s if the region is known to carry
// more than the floor: otherwise VMs that never sent to the region could each add
// their part of the floor at once, beyond the growth declared.
func (r *Regions) floor(now time.Time, g *region, part float64) float64 {
	fresh := now.Sub(r.startedAt) < rampMemory*rampStep
	m := g.measurement
	known := !m.At.IsZero() && now.Sub(m.At) <= measurementValidity
	if !fresh && known && m.RatePerSecond > g.cfg.RampFloor*g.cfg.CapPerSecond {
		return 0
	}
	return g.cfg.RampFloor * part
}

// allowed returns the number of requests that the ramp allows this VM in any
// second: its peak second of the last 10 s or its part of the floor, plus its
// part of the region's growth. The parts are equal, 1/number of VMs, so that
// they sum to the declared growth whatever the VMs' traffic is. A shift that
// few VMs carry is therefore slower than declared, never faster. One request per
// second is always allowed: with a small cap, a VM's part is less than that.
func (r *Regions) allowed(now time.Time, g *region, p *ramp) float64 {
	part := g.cfg.CapPerSecond / float64(r.vms)
	allowed := math.Floor(max(float64(p.peak(now)), r.floor(now, g, part)) + g.cfg.RampSharePerSecond*part)
	return max(1, allowed)
}

// refused builds the error. The refusals of the token limits are not known
// here without asking for tokens again; they count as the cap.
func (r *Regions) refused(now time.Time, in ChooseInput) *NoRegionError {
	e := &NoRegionError{RetryAfter: retryNoService}
	for _, g := range r.order(in.From) {
		f := r.check(now, g, in)
		if f == NotRefused {
			f = RefusedCap
		}
		if f >= RefusedMeasuredLoad {
			e.RetryAfter = retryNoTokens
		}
		e.Refusals = append(e.Refusals, RegionRefusal{Region: g.cfg.Name, Refusal: f})
	}
	return e
}

// order returns the regions by their delay from the given one.
func (r *Regions) order(from string) []*region {
	if o, ok := r.orders[from]; ok {
		return o
	}
	o := slices.Clone(r.sorted)
	slices.SortStableFunc(o, func(a, b *region) int { return cmp.Compare(delay(from, a), delay(from, b)) })
	r.orders[from] = o
	return o
}

func delay(from string, to *region) float64 {
	if to.cfg.Name == from {
		return -1
	}
	if d, ok := to.cfg.DelayMS[from]; ok {
		return d
	}
	return math.MaxFloat64
}

// Done ends a request that Choose admitted to the region.
func (r *Regions) Done(_ time.Time, name string) {
	if g := r.byName[name]; g != nil && g.inFlight > 0 {
		g.inFlight--
	}
}

// InFlight returns the VM's own requests in flight to a region, for heartbeats.
func (r *Regions) InFlight(name string) int {
	if g := r.byName[name]; g != nil {
		return g.inFlight
	}
	return 0
}
