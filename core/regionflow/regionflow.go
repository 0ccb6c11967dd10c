// Package regionflow decides which share of a region's demand for a service is
// served in which region.
//
// It handles callers and backend servers that are not in the same places, and
// regions whose load peaks at different times. A region keeps its requests while
// its servers have capacity and moves only the excess, to the regions with the most
// spare capacity. Shares change slowly, so that VMs which see the same delayed
// figures do not oscillate together and the servers of other regions warm up
// gradually.
package regionflow

import (
	"math"
	"slices"
	"time"
)

const (
	// maxLocalUtilization is the utilization up to which a region keeps all of
	// its own requests; above it queues begin to form.
	maxLocalUtilization = 0.6
	// meanUtilizationMargin is the factor by which a region may exceed the mean
	// utilization before it moves requests, since moving costs a round trip.
	meanUtilizationMargin = 1.15
)

// RegionLoad is the demand and the capacity of one region, both in busy slots.
type RegionLoad struct {
	Region   string
	Demand   float64
	Capacity float64
}

// Loads returns the loads of a service in the given regions. demand may be served in
// any region and pinned only in one, both in busy slots by region and service;
// capacity is in slots by region. Pinned demand has precedence, so it is subtracted
// from the capacity.
func Loads(service string, regions []string, demand, pinned map[string]map[string]float64, capacity map[string]float64) []RegionLoad {
	loads := make([]RegionLoad, 0, len(regions))
	for _, r := range regions {
		loads = append(loads, RegionLoad{Region: r, Demand: demand[r][service], Capacity: max(0, capacity[r]-pinned[r][service])})
	}
	return loads
}

// balance is how the excess of some regions is divided among the others.
type balance struct {
	// maxUtilization is the utilization above which a region moves requests.
	maxUtilization float64
	// spare is the capacity of all regions below maxUtilization, in slots.
	spare float64
}

func newBalance(loads []RegionLoad) balance {
	var demand, capacity float64
	for _, l := range loads {
		demand += l.Demand
		capacity += l.Capacity
	}
	if capacity <= 0 {
		return balance{}
	}
	b := balance{maxUtilization: max(maxLocalUtilization, demand/capacity*meanUtilizationMargin)}
	for _, l := range loads {
		b.spare += b.headroom(l)
	}
	return b
}

// headroom returns the demand that a region can take over from others, in slots.
func (b balance) headroom(l RegionLoad) float64 { return max(0, b.maxUtilization*l.Capacity-l.Demand) }

// moved returns the demand that a region moves to others, in slots.
func (b balance) moved(l RegionLoad) float64 {
	if b.spare <= 0 {
		return 0
	}
	return max(0, l.Demand-b.maxUtilization*l.Capacity)
}

// TargetShares returns the shares of the requests of region own that each region
// should serve. Loads must be sorted by region name, so that all VMs agree.
func TargetShares(own string, loads []RegionLoad) map[string]float64 {
	b := newBalance(loads)
	movedShare := 0.0
	for _, l := range loads {
		if moved := b.moved(l); l.Region == own && moved > 0 {
			movedShare = moved / l.Demand
		}
	}
	if movedShare == 0 {
		return map[string]float64{own: 1}
	}
	shares := map[string]float64{own: 1 - movedShare}
	for _, l := range loads {
		if headroom := b.headroom(l); l.Region != own && headroom > 0 {
			shares[l.Region] = movedShare * headroom / b.spare
		}
	}
	return shares
}

// SpareRegions returns the regions that stay below maxLocalUtilization with the
// requests that the target shares of all regions bring them.
func SpareRegions(loads []RegionLoad) map[string]bool {
	b := newBalance(loads)
	moved := 0.0
	for _, l := range loads {
		moved += b.moved(l)
	}
	spare := make(map[string]bool, len(loads))
	for _, l := range loads {
		served := l.Demand
		if b.spare > 0 {
			served += moved * b.headroom(l) / b.spare
		}
		// A region that moves requests keeps as much as fills it.
		spare[l.Region] = b.moved(l) == 0 && served < maxLocalUtilization*l.Capacity
	}
	return spare
}

// assumedUtilization is the utilization that AssumeEqualDemand assumes.
const assumedUtilization = 0.8

// AssumeEqualDemand returns loads with the same demand in every region, for the
// time before any demand was measured. Regions with few servers then start with
// shares in other regions, which would otherwise take seconds to build up. pinned is
// the share of all demand that only one region may serve, by that region.
func AssumeEqualDemand(loads []RegionLoad, pinned map[string]float64) []RegionLoad {
	var capacity, unpinnedShare float64 = 0, 1
	for _, l := range loads {
		capacity += l.Capacity
		unpinnedShare -= pinned[l.Region]
	}
	demand := assumedUtilization * capacity
	out := make([]RegionLoad, len(loads))
	for i, l := range loads {
		l.Capacity = max(0, l.Capacity-pinned[l.Region]*demand)
		l.Demand = max(0, unpinnedShare) * demand / float64(len(loads))
		out[i] = l
	}
	return out
}

// DemandTracker decides what a VM that has started computes its shares from.
type DemandTracker struct{ measured, fleetWasIdle bool }

// Observe records the loads of a service. valid is set if they come from a digest that may be
// used, settled if its hub has run long enough to know the demand of all VMs. measured is set
// once there was any demand; until then AssumeEqualDemand applies.
//
// adopt is set if the shares are to begin at their target. The other VMs of a fleet that has
// demand already have moved theirs there; from equal demand, those of a VM that replaces one of
// them would need seconds. A fleet that starts together moves its shares gradually.
func (t *DemandTracker) Observe(loads []RegionLoad, valid, settled bool) (measured, adopt bool) {
	hasDemand := slices.ContainsFunc(loads, func(l RegionLoad) bool { return l.Demand > 0 })
	if !t.measured && hasDemand {
		t.measured = true
		return true, valid && settled && !t.fleetWasIdle
	}
	t.fleetWasIdle = t.fleetWasIdle || valid && !hasDemand
	return t.measured, false
}

// Measured reports whether there was any demand.
func (t *DemandTracker) Measured() bool { return t.measured }

// Flow holds the current shares and moves them towards a target.
type Flow struct {
	shares      map[string]float64
	lastStepAt  time.Duration
	initialized bool
}

// maxStepTime is the longest time since the last step that counts. Shares that were not moved
// for longer, because the demand was not known, must not move by all of it at once. It is above
// the interval at which VMs call Step.
const maxStepTime = 500 * time.Millisecond

// Step moves the shares towards target. At most the fraction
// maxShiftPerSecond of the region's requests moves to another serving region per
// second, and within one step that of maxStepTime. The first target is adopted as it is,
// and so is any target if immediate is set.
func (f *Flow) Step(now time.Duration, target map[string]float64, maxShiftPerSecond float64, immediate bool) {
	if !f.initialized || immediate {
		f.shares, f.lastStepAt, f.initialized = target, now, true
		return
	}
	var distance float64
	regions := f.regions(target)
	for _, r := range regions {
		distance += math.Abs(target[r]-f.shares[r]) / 2
	}
	allowed := maxShiftPerSecond * min(now-f.lastStepAt, maxStepTime).Seconds()
	f.lastStepAt = now
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

// minShare is the share up to which a region gets no requests while shares move,
// since its servers would stay cold.
const minShare = 0.001

func (f *Flow) regions(target map[string]float64) []string {
	var names []string
	for r := range f.shares {
		names = append(names, r)
	}
	for r := range target {
		if _, ok := f.shares[r]; !ok {
			names = append(names, r)
		}
	}
	slices.Sort(names)
	return names
}

// Shares returns the current shares; the caller must not modify them.
func (f *Flow) Shares() map[string]float64 { return f.shares }

// ChooseRegion returns the region of a request; u is in [0, 1). Region own comes
// first and the others follow in sorted order. A request keeps its region as long as
// the shares of that region and the ones before it do not change.
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
