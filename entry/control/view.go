package control

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/core/membership"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// silentAfter is the time without a heartbeat, four intervals, after which a
// member is no longer given to callers as healthy.
const silentAfter = time.Second

// LeaseValid reports whether this VM may admit requests at the given time. It
// compares the monotonic clock, so that a process that was paused past its lease
// sees that at once, and the wall clock, since the monotonic clock may stand
// still while a VM is suspended.
func (c *Control) LeaseValid(now time.Time) bool {
	return int64(now.Sub(c.base)) < c.leaseUntil.Load() && now.UnixNano() < c.leaseWall.Load()
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

// Retry is Take for a request that waits, see quota.Manager.
func (c *Control) Retry(now time.Time, limit string, n float64) quota.Decision {
	c.quotaMu.Lock()
	d := c.quota.Retry(now, limit, n)
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
func (c *Control) UnitsArrived() <-chan struct{} {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	return c.arrived
}

// wakeWaiters needs quotaMu.
func (c *Control) wakeWaiters() {
	close(c.arrived)
	c.arrived = make(chan struct{})
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
	if m := c.seeds[vm]; m != nil {
		return m
	}
	for _, m := range c.membership.Members() {
		if m.Member.GetVm() == vm {
			return m.Member
		}
	}
	return nil
}

// Size returns the number of members of the fleet, at least 1.
func (c *Control) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, len(c.members))
}

// SetLeaving marks this VM as leaving in heartbeats.
func (c *Control) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.Leaving = true
	c.membership.SetLeaving()
}

// SetInFlight tells the requests in flight by region, for heartbeats.
func (c *Control) SetInFlight(byRegion map[string]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.InFlightByRegion = byRegion
}

// milliSlots is the number of units of a slot in heartbeats.
const milliSlots = 1000

// SetServiceDemand tells the slots that the requests offered to this VM would
// use, by service, for heartbeats.
func (c *Control) SetServiceDemand(slots map[string]float64) {
	demand := make(map[string]uint32, len(slots))
	for name, n := range slots {
		demand[name] = uint32(min(n, math.MaxUint32/milliSlots) * milliSlots)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.ServiceDemand = demand
}

// PeerServiceDemand returns the number of members of a region, this VM included, and
// the slots that the other ones last asked for, by service.
func (c *Control) PeerServiceDemand(region string) (vms int, others map[string]float64) {
	others = map[string]float64{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for vm, m := range c.members {
		if region != "" && m.Region != region {
			continue
		}
		vms++
		if vm == c.Self().Vm {
			continue
		}
		for name, n := range c.peerDemand[vm] {
			others[name] += float64(n) / milliSlots
		}
	}
	return vms, others
}

// HandOver gives this VM's units to the members that stay. Those that do not
// answer get none while there are others.
func (c *Control) HandOver(now time.Time) {
	var alive, others []string
	for _, p := range c.Peers() {
		switch {
		case p.Member.Vm == c.Self().Vm || p.Leaving:
		case p.Alive:
			alive = append(alive, p.Member.Vm)
		default:
			others = append(others, p.Member.Vm)
		}
	}
	to := alive
	if len(to) == 0 {
		to = others
	}
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
	c.sender.Send(c.step(now, func(m *fleet.Machine) fleet.Output { return m.Leave(now) }))
}

// Left reports whether this VM is no longer a member.
func (c *Control) Left() bool { return c.left.Load() }

// PeerState is what this VM knows of a member of the fleet.
type PeerState struct {
	Member *peerv1.Member
	// Alive tells that the member's heartbeats arrive and that no VM suspects
	// it.
	Alive         bool
	Leaving       bool
	ConfigVersion uint64
}

// Peers returns the members of the current epoch, this VM included.
func (c *Control) Peers() []PeerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	silence := c.silence()
	liveness := c.liveness()
	out := make([]PeerState, 0, len(c.members))
	for vm, m := range c.members {
		state := PeerState{Member: m, Leaving: c.leavingPeers[vm], ConfigVersion: c.peerVersions[vm]}
		switch liveness[vm] {
		case membership.Dead, membership.Suspect:
		case membership.Leaving:
			state.Leaving = true
			fallthrough
		default:
			quiet, ok := silence[vm]
			state.Alive = ok && quiet < silentAfter
		}
		if vm == c.Self().Vm {
			state.Alive = true
			state.Leaving = c.info.Leaving
			state.ConfigVersion = c.policy.Load().Version
		}
		out = append(out, state)
	}
	return out
}

// silence returns the time since the last heartbeat of each member. It needs mu.
func (c *Control) silence() map[string]time.Duration {
	silence := map[string]time.Duration{}
	for _, m := range c.fleet.Snapshot(time.Now()).Members {
		silence[m.VM] = m.Silence
	}
	return silence
}

// liveness returns the state that probes and other VMs' reports give to the
// members. A member that they do not know is left out. It needs mu.
func (c *Control) liveness() map[string]membership.State {
	liveness := map[string]membership.State{}
	for _, m := range c.membership.Members() {
		vm := m.Member.GetVm()
		if c.members[vm].GetIncarnation() == m.Member.GetIncarnation() {
			liveness[vm] = m.State
		}
	}
	return liveness
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

// AllHolders returns the units of a limit that members last told, and those of
// this VM.
func (c *Control) AllHolders(now time.Time, limit string) map[string]uint32 {
	out := c.Holders(limit)
	for _, l := range c.LimitStatus(now) {
		if l.Limit.Name == limit {
			out[c.Self().Vm] = l.Units
		}
	}
	return out
}

// Demand returns the demand for a limit at the other members, as a part of the
// limit's rate.
func (c *Control) PeerDemand(limit string) float64 {
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
