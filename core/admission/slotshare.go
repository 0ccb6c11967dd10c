package admission

import (
	"math"
	"time"
)

const (
	// overcommitFactor multiplies a VM's share of the slots. With equal shares
	// and factor 1, VMs whose traffic is 25% above the mean queue requests while
	// slots are free elsewhere: in measure/trafficsim, p50 at 80% load was 1.1 s
	// with factor 1 and 22 ms with factor 2. The backend servers shed what
	// exceeds their slots. A request that was shed must keep its slot here until
	// it has run or is dropped. Otherwise the servers decide what is rejected,
	// and accounts are no longer served according to their shares.
	overcommitFactor = 2
	// minShare is the fraction of an equal share that a VM keeps even without
	// demand. It serves new requests until their demand is known to the other
	// VMs.
	minShare = 0.5
	// demandTimeConstant is the time constant of the average request rate.
	demandTimeConstant = 2 * time.Second
)

// SlotShare returns a VM's share of a service's slots for SetSlots. It is
// proportional to the VM's share of the total demand, but at least half of an
// equal share. If the demand is unknown (0), the share is equal.
func SlotShare(slots, vms int, own, total float64) int {
	if vms <= 1 || slots <= 0 {
		return slots
	}
	equal := 1 / float64(vms)
	share := equal
	if total > 0 {
		share = max(minShare*equal, min(1, own/total))
	}
	return min(slots, max(1, int(math.Ceil(overcommitFactor*share*float64(slots)))))
}

// demand is the average rate of offered requests.
type demand struct {
	perSecond float64
	updatedAt time.Time
}

func (d *demand) add(now time.Time, requests float64) {
	d.perSecond *= math.Exp(-max(0, now.Sub(d.updatedAt).Seconds()) / demandTimeConstant.Seconds())
	d.perSecond += requests / demandTimeConstant.Seconds()
	d.updatedAt = now
}

// Demand returns the number of slots that the requests offered to this VM
// would use, including rejected ones. It cannot be derived from the requests in
// flight and queued, because under overload the VM's slots bound their number.
func (s *Scheduler) Demand(now time.Time) float64 {
	s.demand.add(now, 0)
	return s.demand.perSecond * s.serviceSeconds
}
