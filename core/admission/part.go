package admission

import (
	"math"
	"time"
)

const (
	// overcommit is the factor on a VM's part of the slots. With equal parts and
	// factor 1, VMs whose traffic is 25% above the mean queue while slots are free
	// elsewhere: in measure/trafficsim, p50 at 80% load was 1.1 s with factor 1
	// and 22 ms with factor 2. What exceeds the slots is shed by the backend
	// servers; a request that was shed must keep its slot here until it has run or
	// is given up, otherwise the servers decide what is rejected and accounts are
	// no longer served by their shares.
	overcommit = 2
	// leastPart is the part of an equal share that a VM without demand keeps, for
	// the time until its demand is known to others.
	leastPart = 0.5
	// demandTime is the time constant of the average rate of requests.
	demandTime = 2 * time.Second
)

// Part returns a VM's part of a service's slots for SetSlots: in proportion to its
// part of the demand of all VMs, but at least half of an equal share. Unknown
// demand (0) gives an equal share.
func SlotShare(slots, vms int, own, all float64) int {
	if vms <= 1 || slots <= 0 {
		return slots
	}
	equal := 1 / float64(vms)
	share := equal
	if all > 0 {
		share = max(leastPart*equal, min(1, own/all))
	}
	return min(slots, max(1, int(math.Ceil(overcommit*share*float64(slots)))))
}

// demand is the average rate of requests offered.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(now time.Time, requests float64) {
	d.perSecond *= math.Exp(-max(0, now.Sub(d.at).Seconds()) / demandTime.Seconds())
	d.perSecond += requests / demandTime.Seconds()
	d.at = now
}

// Demand returns the number of slots that the requests offered to this VM would
// use, including those rejected. Requests in flight and queued would not do:
// under overload they follow from the VM's slots.
func (s *Scheduler) Demand(now time.Time) float64 {
	s.demand.add(now, 0)
	return s.demand.perSecond * s.service
}
