package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

// regionVMs are the pickers of all VMs of one region, which has one server.
type regionVMs struct {
	pickers []*Picker
	now     time.Duration
}

func newRegionVMs(count int) *regionVMs {
	r := &regionVMs{}
	for i := range count {
		p := New(fmt.Sprintf("vm-%d", i), "north")
		p.Update(0, testServices, map[string][]*steering.Server{"desk": append(testServers("north", 1, 1), testServers("south", 8, 8)...)})
		p.SetSpareRegions("desk", map[string]bool{"south": true})
		r.pickers = append(r.pickers, p)
	}
	return r
}

// setFull fills the region's server, or makes room on it.
func (r *regionVMs) setFull(full bool) {
	for _, p := range r.pickers {
		load := 0.0
		if full {
			load = 100
		}
		p.servers["north-0"].othersLoad, p.servers["north-0"].othersLoadAt = load, r.now+time.Hour
	}
}

// replay sends perSecond requests per second through the VMs in turn and returns the share of
// them that left the region.
func (r *regionVMs) replay(perSecond int, duration time.Duration) float64 {
	left, requests := 0, 0
	for end := r.now + duration; r.now < end; r.now += time.Second / time.Duration(perSecond) {
		p := r.pickers[requests%len(r.pickers)]
		requests++
		if p.Pick(r.now, testRequest(0)).Departure == Spillover {
			left++
		}
	}
	return float64(left) / float64(requests)
}

// Replays a region that becomes full at once after it had room, and traffic that ends while it
// is full. Guards against spillover that each VM saves up: with many VMs it exceeds the bound
// on shifts, 15% within 2 s, of which the shares of the regions use a third.
func TestSpilloverOfManyVMsStaysWithinTheBoundOnShifts(t *testing.T) {
	const maxShift, bound, window = 0.15, 0.10, 2 * time.Second
	for _, vms := range []int{1, 4, 24, 90} {
		r := newRegionVMs(vms)
		r.setFull(false)
		require.Zero(t, r.replay(320, 10*time.Second))
		r.setFull(true)
		total := 0.0
		for i := range 10 {
			share := r.replay(320, window)
			require.LessOrEqual(t, share, bound, "window %d of %d VMs", i, vms)
			total += share
		}
		require.Greater(t, total/10, 0.04, "%d VMs: the allowance is used", vms)
		r.setFull(false)
		require.Zero(t, r.replay(320, 10*time.Second))
		r.setFull(true)
		require.LessOrEqual(t, r.replay(50, window), maxShift, "%d VMs, as traffic ends", vms)
	}
}
