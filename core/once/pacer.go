package once

import (
	"time"
)

// pacerBurst is the time for which a VM may exceed its part of the table's rate.
// It lets single bookings pass without a wait.
const pacerBurst = 250 * time.Millisecond

// Pacer spaces the transactions of a VM, so that all VMs together stay within the
// table's rate. While transactions wait, the following batches grow. Without it, a
// near table is sent more transactions than it takes: at 1,000 bookings per second
// and a round trip of 5 ms, 1,529 transactions per second. The zero value is ready
// for use.
type Pacer struct {
	// next is the time of the next transaction if they were evenly spaced.
	next time.Time
}

// Wait returns the time to wait before a transaction is sent, for a fleet of the
// given number of VMs and a rate of the whole fleet in transactions per second.
func (p *Pacer) Wait(now time.Time, vms int, fleetRate float64) time.Duration {
	wait := max(p.next.Add(-pacerBurst).Sub(now), 0)
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(vms) / fleetRate * float64(time.Second)))
	return wait
}
