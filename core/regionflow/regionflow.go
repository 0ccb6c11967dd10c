// Package regionflow decides how much of a region's demand for a service is
// served in which region.
//
// The load pattern it answers: callers and backend servers are not in the same
// places, and regions peak at different times. A region keeps its requests
// while its servers have room and moves only what exceeds it, to the regions
// with the most room. Shares move slowly, so that VMs which see the same late
// figures do not swing together and servers elsewhere warm up gradually.
package regionflow

import (
	"math"
	"slices"
	"time"
)

const (
	// comfortable is the utilization up to which a region keeps all of its
	// own requests; above it queues begin to form.
	comfortable = 0.6
	// slackAboveMean is how far above the mean utilization a region may be
	// before it moves requests: moving them costs a round trip.
	slackAboveMean = 1.15
)

// Load is the demand and the capacity of one region, both in busy slots.
type RegionLoad struct {
	Region   string
	Demand   float64
	Capacity float64
}

// Loads returns the loads of a service in the given regions. Demand is what may
// move between regions, pinned what only one region may serve, both in busy
// slots by region and service; capacity is in slots by region. What only one
// region may serve goes before what may move.
func Loads(service string, regions []string, demand, pinned map[string]map[string]float64, capacity map[string]float64) []RegionLoad {
	loads := make([]RegionLoad, 0, len(regions))
	for _, r := range regions {
		loads = append(loads, RegionLoad{Region: r, Demand: demand[r][service], Capacity: max(0, capacity[r]-pinned[r][service])})
	}
	return loads
}

// Target returns the shares of the requests of region own that each region is
// to serve. Loads are sorted by region name, so that all VMs agree.
func TargetShares(own string, loads []RegionLoad) map[string]float64 {
	var demand, capacity float64
	for _, l := range loads {
		demand += l.Demand
		capacity += l.Capacity
	}
	if capacity <= 0 {
		return map[string]float64{own: 1}
	}
	bound := max(comfortable, demand/capacity*slackAboveMean)
	var excess, spare float64
	for _, l := range loads {
		room := bound*l.Capacity - l.Demand
		if l.Region == own {
			excess = max(0, -room)
		}
		spare += max(0, room)
	}
	var ownDemand float64
	for _, l := range loads {
		if l.Region == own {
			ownDemand = l.Demand
		}
	}
	if excess <= 0 || spare <= 0 || ownDemand <= 0 {
		return map[string]float64{own: 1}
	}
	moved := min(1, excess/ownDemand)
	shares := map[string]float64{own: 1 - moved}
	for _, l := range loads {
		if room := bound*l.Capacity - l.Demand; l.Region != own && room > 0 {
			shares[l.Region] = moved * room / spare
		}
	}
	return shares
}

// assumedUtilization is the utilization that Assume takes for granted.
const assumedUtilization = 0.8

// Assume returns loads with the same demand for every region, for the time
// before any was measured: regions with few servers then start with shares
// elsewhere, which takes seconds to reach later. Pinned is the share of all
// demand that only one region may serve, by that region.
func AssumeEqualDemand(loads []RegionLoad, pinned map[string]float64) []RegionLoad {
	var capacity, free float64 = 0, 1
	for _, l := range loads {
		capacity += l.Capacity
		free -= pinned[l.Region]
	}
	demand := assumedUtilization * capacity
	out := make([]RegionLoad, len(loads))
	for i, l := range loads {
		l.Capacity = max(0, l.Capacity-pinned[l.Region]*demand)
		l.Demand = max(0, free) * demand / float64(len(loads))
		out[i] = l
	}
	return out
}

// Flow holds the shares in force and moves them towards a target.
type Flow struct {
	shares map[string]float64
	last   time.Duration
	primed bool
}

// Step moves the shares towards target; at most perSecond of the region's
// requests change the region that serves them in a second. The first target
// is taken as it is if prime is set.
func (f *Flow) Step(now time.Duration, target map[string]float64, perSecond float64, prime bool) {
	if !f.primed || prime {
		f.shares, f.last, f.primed = target, now, true
		return
	}
	var distance float64
	regions := f.regions(target)
	for _, r := range regions {
		distance += math.Abs(target[r]-f.shares[r]) / 2
	}
	allowed := perSecond * (now - f.last).Seconds()
	f.last = now
	if distance <= allowed {
		f.shares = target
		return
	}
	next := make(map[string]float64, len(regions))
	for _, r := range regions {
		v := f.shares[r] + (target[r]-f.shares[r])*allowed/distance
		if v > minShare {
			next[r] = v
		}
	}
	f.shares = next
}

// minShare is dropped, since a region that serves less stays cold.
const minShare = 0.001

func (f *Flow) regions(target map[string]float64) []string {
	var all []string
	for r := range f.shares {
		all = append(all, r)
	}
	for r := range target {
		if _, ok := f.shares[r]; !ok {
			all = append(all, r)
		}
	}
	slices.Sort(all)
	return all
}

// Shares returns the shares in force; the caller must not change them.
func (f *Flow) Shares() map[string]float64 { return f.shares }

// Choose returns the region of a request; u is in [0, 1). A request keeps its
// region as long as the shares of the regions before it in order keep theirs:
// the own region comes first.
func (f *Flow) ChooseRegion(own string, u float64) string {
	if u -= f.shares[own]; u < 0 || len(f.shares) == 0 {
		return own
	}
	for _, r := range f.regions(nil) {
		if r == own {
			continue
		}
		if u -= f.shares[r]; u < 0 {
			return r
		}
	}
	return own
}
