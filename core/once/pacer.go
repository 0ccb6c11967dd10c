package once

import (
	"time"
)

// pacerBurst is the time by which a VM may be ahead of its share of the table's
// rate, so that single bookings do not wait.
const pacerBurst = 250 * time.Millisecond

// Pacer spaces the transactions of a VM so that all VMs together stay within the
// table's rate. While transactions wait, the following batches grow. Without it,
// VMs close to the table send more transactions than the table accepts: 1,529
// transactions per second at 1,000 bookings per second and a round trip of 5 ms.
// The zero value is ready for use.
type Pacer struct {
	// nextAt is the time of the next transaction if transactions were evenly
	// spaced.
	nextAt time.Time
}

// Wait returns the time to wait before a transaction is sent. It takes the number
// of VMs in the fleet and the rate of the whole fleet in transactions per second.
func (p *Pacer) Wait(now time.Time, vms int, fleetRate float64) time.Duration {
	wait := max(p.nextAt.Add(-pacerBurst).Sub(now), 0)
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	p.nextAt = p.nextAt.Add(time.Duration(float64(vms) / fleetRate * float64(time.Second)))
	return wait
}
