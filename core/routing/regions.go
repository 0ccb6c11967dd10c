package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNoRegion means that no region can take the request now. Choose returns
// it as a *NoRegionError.
var ErrNoRegion = errors.New("no region can take the request")

const (
	defaultRampShare = 0.05
	defaultRampFloor = 0.2
	// measurementValidity is the age above which a measurement of a region is
	// ignored. The tokens of the cap bound the traffic even then.
	measurementValidity = 10 * time.Second
	// maxUtilization is the utilization of a region's slots up to which traffic
	// is shifted to it.
	maxUtilization = 0.97
	// utilizationGain is the weight of one measurement in the average
	// utilization. Requests in flight at one moment differ by 15% from their
	// mean at 40 slots.
	utilizationGain = 0.2
	// minExtrapolatedUtilization is the utilization below which the capacity is
	// not extrapolated from it.
	minExtrapolatedUtilization = 0.3
	// retryAfterNoTokens is one ramp window. By then the ramp has grown and the
	// buckets of caps and links have been refilled with the tokens of a second.
	retryAfterNoTokens = time.Second
	// retryAfterNoService is the validity of a locate response, after which the
	// caller asks for entry VMs again.
	retryAfterNoService = 5 * time.Second

	messageSeparator = "; "
	messageColon     = ": "
)

// Refusal is the reason why a region did not take a request.
type Refusal uint8

// Refusals of Choose. Those up to RefusedDrained are not expected to end
// soon. If there are no others, NoRegionError.RetryAfter is longer.
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

// String returns the refusal as it appears in logs and metrics.
func (r Refusal) String() string { return refusalNames[r] }

// RegionRefusal is the refusal of one region.
type RegionRefusal struct {
	Region  string
	Refusal Refusal
}

// NoRegionError is an ErrNoRegion with the refusal of each region.
type NoRegionError struct {
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	Refusals   []RegionRefusal
}

// Error implements error.
func (e *NoRegionError) Error() string {
	s := ErrNoRegion.Error()
	for _, r := range e.Refusals {
		s += messageSeparator + r.Region + messageColon + r.Refusal.String()
	}
	return s
}

// Is makes errors.Is match ErrNoRegion.
func (e *NoRegionError) Is(target error) bool { return target == ErrNoRegion }

// RegionConfig is the configuration of a region.
type RegionConfig struct {
	Name string
	// CapPerSecond is the cap of the region over all VMs, in requests per
	// second.
	CapPerSecond float64
	// RampSharePerSecond is the share of the cap by which the traffic shifted to
	// the region may grow each second, over all VMs; default 0.05.
	RampSharePerSecond float64
	// RampFloor is the share of the cap that the ramp allows in any case while
	// the region carries less; default 0.2.
	RampFloor float64
	// CapLimit is the name of the cap's quota limit; if "", no tokens are taken.
	CapLimit string
	// LinkLimits are the names of the quota limits of the links to this region,
	// by the region of the entry VM.
	LinkLimits map[string]string
	// DelayMS is the one-way delay in milliseconds, by the other region.
	DelayMS map[string]float64
}

// Measurement is the last measured load of a region over all VMs.
type Measurement struct {
	// At is the time of the measurement, not of its arrival.
	At time.Time
	// RatePerSecond is the rate of requests to the region. If it is 0, it is
	// unknown, and only the caps and the ramp bound the shifted traffic.
	RatePerSecond float64
	InFlight      int
	Slots         int
}

// ChooseInput is the input of Choose.
type ChooseInput struct {
	// From is the region of this entry VM.
	From string
	// ClientRegion is the region of the caller's block; if "", From is used.
	ClientRegion string
	// Exclude has the regions that must not be used, for example because the
	// service has no backend server there.
	Exclude []string
	// Refund returns a link token if the region's cap then refuses the request;
	// may be nil.
	Refund func(limit string)
}

// RegionChoice is the region chosen for a request.
type RegionChoice struct {
	Region string
	// Shifted is true if the region is not the caller's own.
	Shifted bool
	// NearestRefusal is the reason why the region nearest to this VM did not
	// take the request.
	NearestRefusal Refusal
}

// Regions chooses the region for each request of this VM. All bounds hold
// over all VMs together without communication per request. Caps and links are
// bounded by the quota tokens that the take callback takes; the ramp and the
// measured headroom are divided by the number of VMs.
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
	utilization float64 // average over the measurements
	// requests counts this VM's requests to the region; shiftedRequests counts
	// only those of callers of other regions.
	requests, shiftedRequests rateHistory
	// recovered is set when the region is no longer failed or drained; rampUntil
	// follows from it.
	recovered bool
	rampUntil time.Time
	inFlight  int
}

// NewRegions returns a Regions for one VM. Call SetVMs when the number of
// entry VMs changes.
func NewRegions(cfg []RegionConfig) *Regions {
	r := &Regions{vms: 1, byName: make(map[string]*region)}
	r.SetConfig(cfg)
	return r
}

// SetConfig replaces the configuration. Regions that remain keep their ramps
// and their requests in flight.
func (r *Regions) SetConfig(cfg []RegionConfig) {
	byName := make(map[string]*region, len(cfg))
	sorted := make([]*region, 0, len(cfg))
	for _, c := range cfg {
		if c.RampSharePerSecond <= 0 {
			c.RampSharePerSecond = defaultRampShare
		}
		if c.RampFloor <= 0 {
			c.RampFloor = defaultRampFloor
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

// SetVMs sets the number of entry VMs by which ramps and measured headroom
// are divided.
func (r *Regions) SetVMs(n int) { r.vms = max(1, n) }

// SetFailed marks a region as failed or as working again.
func (r *Regions) SetFailed(name string, failed bool) {
	if g := r.byName[name]; g != nil {
		g.recovered = g.recovered || g.failed && !failed
		g.failed = failed
	}
}

// SetDrained marks a region as drained by the configuration, or as no longer
// drained.
func (r *Regions) SetDrained(name string, drained bool) {
	if g := r.byName[name]; g != nil {
		g.recovered = g.recovered || g.drained && !drained
		g.drained = drained
	}
}

// RecordMeasurement records the load of a region. It ignores a measurement
// that is not newer than the last one.
func (r *Regions) RecordMeasurement(name string, m Measurement) {
	g := r.byName[name]
	if g == nil || !m.At.After(g.measurement.At) {
		return
	}
	utilization := m.utilization()
	if g.measurement.At.IsZero() || m.At.Sub(g.measurement.At) > measurementValidity {
		g.utilization = utilization
	}
	g.utilization += utilizationGain * (utilization - g.utilization)
	g.measurement = m
}

// Choose returns the nearest region that can take a request, after taking its
// tokens with the take callback. The error is a *NoRegionError. Each success
// must be followed by one Done.
//
// Shifted traffic is that of callers of another region, whatever the reason.
// Only shifted traffic is subject to the ramp and bounded by measured load. A
// region's own callers are bounded by the cap alone, except for some time
// after the region has failed or was drained. A caller that changes to
// another VM of its region does not add to the region's traffic: a ramp on
// each VM's own callers refused 1.1 to 1.7% of the requests when a killed VM
// was replaced (measure/trafficsim). If measured load shifted own callers
// too, all VMs would shift them at once because of the same outdated
// measurement.
func (r *Regions) Choose(now time.Time, in ChooseInput, take func(limit string) bool) (RegionChoice, error) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	nearestRefusal := NotRefused
	for i, g := range r.order(in.From) {
		refusal := r.tryRegion(now, g, in, take)
		if refusal == NotRefused {
			g.requests.add(now)
			if in.shifts(g) {
				g.shiftedRequests.add(now)
			}
			g.inFlight++
			return RegionChoice{Region: g.cfg.Name, Shifted: in.shifts(g), NearestRefusal: nearestRefusal}, nil
		}
		if i == 0 {
			nearestRefusal = refusal
		}
	}
	return RegionChoice{}, r.noRegionError(now, in)
}

// tryRegion checks the region and takes its tokens. Tokens are taken last, those of
// the link first, so that a request refused for another reason uses none.
func (r *Regions) tryRegion(now time.Time, g *region, in ChooseInput, take func(string) bool) Refusal {
	if refusal := r.check(now, g, in); refusal != NotRefused {
		return refusal
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

// check checks all conditions that need no tokens.
func (r *Regions) check(now time.Time, g *region, in ChooseInput) Refusal {
	switch {
	case slices.Contains(in.Exclude, g.cfg.Name):
		return RefusedExcluded
	case g.drained:
		return RefusedDrained
	case g.failed:
		return RefusedFailed
	case g.recovering(now) && g.requests.lastSecond(now) >= r.rampLimit(now, g, &g.requests):
		return RefusedRamp
	case !in.shifts(g):
		return NotRefused
	case g.requests.lastSecond(now) >= r.shiftLimit(now, g):
		return RefusedMeasuredLoad
	case g.shiftedRequests.lastSecond(now) >= r.rampLimit(now, g, &g.shiftedRequests):
		return RefusedRamp
	}
	return NotRefused
}

// shifts reports whether the request would be shifted to the region.
func (in ChooseInput) shifts(g *region) bool {
	return g.cfg.Name != cmp.Or(in.ClientRegion, in.From)
}

// recovering reports whether the region has recovered so recently that its
// own callers are subject to the ramp too. This lasts for the time in which
// the ramp grows from 0 to the cap.
func (g *region) recovering(now time.Time) bool {
	if g.recovered {
		g.recovered = false
		g.rampUntil = now.Add(time.Duration(float64(time.Second) / g.cfg.RampSharePerSecond))
	}
	return now.Before(g.rampUntil)
}

// shiftLimit returns the number of requests per second at which this VM stops
// shifting requests to the region, by the last measurement. It is relative to
// what this VM sent when the measurement was taken, so that its later
// requests count although the measurement has not seen them. Each VM may add
// an equal part of the free capacity, so that VMs with the same measurement
// together add no more than that. Above the capacity, each VM reduces its
// traffic in proportion.
func (r *Regions) shiftLimit(now time.Time, g *region) float64 {
	m := g.measurement
	if m.At.IsZero() || m.RatePerSecond <= 0 || now.Sub(m.At) > measurementValidity {
		return math.MaxFloat64
	}
	ownRate := float64(g.requests.rateAt(now, m.At))
	capacity := g.capacity()
	if capacity < m.RatePerSecond {
		return ownRate * capacity / m.RatePerSecond
	}
	return ownRate + (capacity-m.RatePerSecond)/float64(r.vms)
}

// utilization returns the fraction of the slots in use, 0 if unknown.
func (m Measurement) utilization() float64 {
	if m.Slots <= 0 {
		return 0
	}
	return float64(m.InFlight) / float64(m.Slots)
}

// capacity estimates the rate that the region can carry. It is the cap, or
// less if the slots would be full at a lower rate, for example because
// servers are slow or missing.
func (g *region) capacity() float64 {
	if g.utilization < minExtrapolatedUtilization {
		return g.cfg.CapPerSecond
	}
	return min(g.cfg.CapPerSecond, g.measurement.RatePerSecond*maxUtilization/g.utilization)
}

// rampFloor returns the number of requests per second that the ramp allows
// this VM regardless of its earlier traffic. It is 0 for a VM that has run
// for 10 s if the region is known to carry more than the floor. Otherwise VMs
// that never sent to the region could each add their part of the floor at
// once, which exceeds the configured growth.
func (r *Regions) rampFloor(now time.Time, g *region, share float64) float64 {
	recentlyStarted := now.Sub(r.startedAt) < rampHistorySteps*rampStep
	m := g.measurement
	measured := !m.At.IsZero() && now.Sub(m.At) <= measurementValidity
	if !recentlyStarted && measured && m.RatePerSecond > g.cfg.RampFloor*g.cfg.CapPerSecond {
		return 0
	}
	return g.cfg.RampFloor * share
}

// rampLimit returns the number of requests that the ramp allows this VM in
// any second: its peak second of the last 10 s or its part of the floor,
// whichever is higher, plus its part of the region's growth. The parts are
// equal, 1/number of VMs, so that they add up to the configured growth for
// any distribution of the traffic. A shift that only few VMs carry is
// therefore slower than configured, never faster. At least one request per
// second is allowed, since a VM's part of a small cap can be less than that.
func (r *Regions) rampLimit(now time.Time, g *region, history *rateHistory) float64 {
	share := g.cfg.CapPerSecond / float64(r.vms)
	limit := math.Floor(max(float64(history.peak(now)), r.rampFloor(now, g, share)) + g.cfg.RampSharePerSecond*share)
	return max(1, limit)
}

// noRegionError builds the error. Whether the token limits would refuse is
// not known without asking for tokens again, so a region that passes the
// other checks counts as refused by its cap.
func (r *Regions) noRegionError(now time.Time, in ChooseInput) *NoRegionError {
	e := &NoRegionError{RetryAfter: retryAfterNoService}
	for _, g := range r.order(in.From) {
		refusal := r.check(now, g, in)
		if refusal == NotRefused {
			refusal = RefusedCap
		}
		if refusal >= RefusedMeasuredLoad {
			e.RetryAfter = retryAfterNoTokens
		}
		e.Refusals = append(e.Refusals, RegionRefusal{Region: g.cfg.Name, Refusal: refusal})
	}
	return e
}

// order returns the regions sorted by their delay from the given one.
func (r *Regions) order(from string) []*region {
	if regions, ok := r.orders[from]; ok {
		return regions
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

// InFlight returns the number of this VM's requests in flight to a region,
// for heartbeats.
func (r *Regions) InFlight(name string) int {
	if g := r.byName[name]; g != nil {
		return g.inFlight
	}
	return 0
}
