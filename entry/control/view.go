package control

import (
	"context"
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// silentAfter is the time without a heartbeat, three intervals, after which a
// member is no longer given to callers as healthy.
const silentAfter = 1500 * time.Millisecond

// LeaseValid reports whether this VM may admit requests at the given time. It
// uses the monotonic clock, so that a process that was paused past its lease
// sees that at once.
func (c *Control) LeaseValid(now time.Time) bool {
	return int64(now.Sub(c.base)) < c.leaseUntil.Load()
}

// Policy returns the configuration in force.
func (c *Control) Policy() *policy.Policy { return c.policy.Load() }

// Take admits n requests against a limit, see quota.Manager.
func (c *Control) Take(now time.Time, limit string, n float64) quota.Decision {
	c.quotaMu.Lock()
	d := c.quota.Take(now, limit, n)
	c.quotaMu.Unlock()
	if len(d.Sends) > 0 {
		c.sender.Send(d.Sends)
	}
	return d
}

// Refund returns the tokens of a request that was not run.
func (c *Control) Refund(now time.Time, limit string, n float64) {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	c.quota.Refund(now, limit, n)
}

// Arrived returns a channel that is closed when units may have arrived.
func (c *Control) Arrived() <-chan struct{} {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	return c.arrived
}

// wakeWaiters needs quotaMu.
func (c *Control) wakeWaiters() {
	close(c.arrived)
	c.arrived = make(chan struct{})
}

// WaitUnits waits until units may have arrived, the deadline, or the end of
// the caller's context. It returns false if it is no use to try again.
func (c *Control) WaitUnits(ctx context.Context, arrived <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-arrived:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Self implements peers.Directory.
func (c *Control) Self() *peerv1.Member { return c.self.Load() }

// Peer implements peers.Directory.
func (c *Control) Peer(vm string) *peerv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[vm]; m != nil {
		return m
	}
	return c.seeds[vm]
}

// SetLeaving marks this VM as leaving in heartbeats.
func (c *Control) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.Leaving = true
}

// SetInFlight tells the requests in flight by region, for heartbeats.
func (c *Control) SetInFlight(byRegion map[string]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.InFlightByRegion = byRegion
}

// HandOver gives this VM's units to the members that stay.
func (c *Control) HandOver(now time.Time) {
	c.mu.Lock()
	var to []string
	for vm := range c.members {
		if vm != c.Self().Vm && !c.leavingPeers[vm] {
			to = append(to, vm)
		}
	}
	c.mu.Unlock()
	c.quotaMu.Lock()
	sends := c.quota.HandOver(now, to)
	c.quotaMu.Unlock()
	c.sender.Send(sends)
}

// UnitsHeld returns the units of all limits that this VM holds.
func (c *Control) UnitsHeld(now time.Time) uint64 {
	var sum uint64
	for _, l := range c.LimitStatus(now) {
		sum += uint64(l.Units)
	}
	return sum
}

// LimitStatus returns the state of every limit at this VM.
func (c *Control) LimitStatus(now time.Time) []quota.LimitStatus {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	return c.quota.Status(now)
}

// Leave starts the removal of this VM from the fleet.
func (c *Control) Leave(now time.Time) {
	c.mu.Lock()
	machine := c.fleet
	out := machine.Leave(now)
	c.mu.Unlock()
	c.apply(now, machine, out)
}

// Left reports whether this VM is no longer a member.
func (c *Control) Left() bool { return c.left.Load() }

// PeerState is what this VM knows of a member of the fleet.
type PeerState struct {
	Member        *peerv1.Member
	Alive         bool
	Leaving       bool
	ConfigVersion uint64
}

// Peers returns the members of the current epoch, this VM included.
func (c *Control) Peers() []PeerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive := c.aliveVMs()
	out := make([]PeerState, 0, len(c.members))
	for vm, m := range c.members {
		state := PeerState{Member: m, Alive: alive[vm], Leaving: c.leavingPeers[vm], ConfigVersion: c.peerVersions[vm]}
		if vm == c.Self().Vm {
			state.Alive = true
			state.Leaving = c.info.Leaving
			state.ConfigVersion = c.policy.Load().Version
		}
		out = append(out, state)
	}
	return out
}

// aliveVMs needs mu.
func (c *Control) aliveVMs() map[string]bool {
	alive := map[string]bool{}
	for _, m := range c.fleet.Snapshot(time.Now()).Members {
		if m.Silence < silentAfter {
			alive[m.VM] = true
		}
	}
	return alive
}

// Holders returns the units of a limit that members last told.
func (c *Control) Holders(limit string) map[string]uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint32, len(c.hints[limit]))
	for vm, hint := range c.hints[limit] {
		out[vm] = hint.Units
	}
	return out
}

// Demand returns the demand for a limit at the other members, as a part of the
// limit's rate.
func (c *Control) Demand(limit string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0.0
	for _, hint := range c.hints[limit] {
		sum += float64(hint.DemandUnits) / quota.TotalUnits
	}
	return sum
}

// Epoch returns the membership epoch, 0 while this VM is not a member.
func (c *Control) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Fleet().GetEpoch()
}
