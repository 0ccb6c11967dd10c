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

// heartbeatTimeout is the time without a heartbeat, four heartbeat intervals,
// after which a member is no longer returned to callers as healthy.
const heartbeatTimeout = time.Second

// LeaseValid reports whether this VM may admit requests at the given time. It
// compares the monotonic clock, so that a process that was paused beyond the
// end of its lease notices that immediately. It also compares the wall clock,
// because the monotonic clock may stop while a VM is suspended.
func (c *Control) LeaseValid(now time.Time) bool {
	return int64(now.Sub(c.monotonicBase)) < c.leaseUntilMonotonic.Load() && now.UnixNano() < c.leaseUntilWall.Load()
}

// Policy returns the configuration in effect.
func (c *Control) Policy() *policy.Policy { return c.policy.Load() }

// Take takes n tokens of a limit, see quota.Manager.
func (c *Control) Take(now time.Time, limit string, n float64) quota.Decision {
	c.quotaMu.Lock()
	d := c.quota.Take(now, limit, n)
	c.quotaMu.Unlock()
	if len(d.Sends) > 0 {
		c.sender.Send(d.Sends)
	}
	return d
}

// Retry is Take for a request that is waiting, see quota.Manager.
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

// UnitsArrived returns a channel that is closed when units may have arrived.
func (c *Control) UnitsArrived() <-chan struct{} {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	return c.unitsArrived
}

// wakeWaiters wakes the requests that wait for units or tokens. It requires
// quotaMu.
func (c *Control) wakeWaiters() {
	close(c.unitsArrived)
	c.unitsArrived = make(chan struct{})
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

// SetLeaving marks this VM as leaving in its heartbeats.
func (c *Control) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeatInfo.Leaving = true
	c.membership.SetLeaving()
}

// SetInFlight sets the requests in flight by region for the next heartbeats.
func (c *Control) SetInFlight(byRegion map[string]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeatInfo.InFlightByRegion = byRegion
}

// milliSlotsPerSlot converts slots to the unit of heartbeats, thousandths of a
// slot.
const milliSlotsPerSlot = 1000

// SetServiceDemand sets, for the next heartbeats, the number of slots by
// service that the requests offered to this VM would use.
func (c *Control) SetServiceDemand(slots map[string]float64) {
	demand := make(map[string]uint32, len(slots))
	for name, n := range slots {
		demand[name] = uint32(min(n, math.MaxUint32/milliSlotsPerSlot) * milliSlotsPerSlot)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeatInfo.ServiceDemand = demand
}

// PeerServiceDemand returns the number of members in a region, including this
// VM, and the slots that the other members last requested, by service. The
// empty region stands for all regions.
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
		for name, n := range c.peerServiceDemand[vm] {
			others[name] += float64(n) / milliSlotsPerSlot
		}
	}
	return vms, others
}

// HandOver transfers this VM's units to the members that stay. Members that are
// not alive receive units only if there are no others.
func (c *Control) HandOver(now time.Time) {
	var alive, silent []string
	for _, p := range c.Peers() {
		switch {
		case p.Member.Vm == c.Self().Vm || p.Leaving:
		case p.Alive:
			alive = append(alive, p.Member.Vm)
		default:
			silent = append(silent, p.Member.Vm)
		}
	}
	recipients := alive
	if len(recipients) == 0 {
		recipients = silent
	}
	c.quotaMu.Lock()
	sends := c.quota.HandOver(now, recipients)
	c.quotaMu.Unlock()
	c.sender.Send(sends)
}

// UnitsHeld returns the sum of the units of all limits that this VM holds.
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

// Left reports whether this VM has left the fleet.
func (c *Control) Left() bool { return c.left.Load() }

// PeerState is the last known state of a member of the fleet.
type PeerState struct {
	Member *peerv1.Member
	// Alive is set if the member's heartbeats arrive and no VM suspects the
	// member.
	Alive         bool
	Leaving       bool
	ConfigVersion uint64
}

// Peers returns the members of the current epoch, including this VM.
func (c *Control) Peers() []PeerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeatAges := c.heartbeatAges()
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
			age, ok := heartbeatAges[vm]
			state.Alive = ok && age < heartbeatTimeout
		}
		if vm == c.Self().Vm {
			state.Alive = true
			state.Leaving = c.heartbeatInfo.Leaving
			state.ConfigVersion = c.policy.Load().Version
		}
		out = append(out, state)
	}
	return out
}

// heartbeatAges returns the time since the last heartbeat of each member. It
// requires mu.
func (c *Control) heartbeatAges() map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, m := range c.fleet.Snapshot(time.Now()).Members {
		ages[m.VM] = m.Silence
	}
	return ages
}

// liveness returns the state of the members according to probes and the reports
// of other VMs. Members without a known state are left out. It requires mu.
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

// Holders returns the units of a limit that the other members last reported.
func (c *Control) Holders(limit string) map[string]uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint32, len(c.peerHints[limit]))
	for vm, hint := range c.peerHints[limit] {
		out[vm] = hint.Units
	}
	return out
}

// AllHolders returns the units of a limit that the other members last reported,
// and those of this VM.
func (c *Control) AllHolders(now time.Time, limit string) map[string]uint32 {
	out := c.Holders(limit)
	for _, l := range c.LimitStatus(now) {
		if l.Limit.Name == limit {
			out[c.Self().Vm] = l.Units
		}
	}
	return out
}

// PeerDemand returns the demand of the other members for a limit, as a fraction
// of the limit's rate.
func (c *Control) PeerDemand(limit string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0.0
	for _, hint := range c.peerHints[limit] {
		sum += float64(hint.DemandUnits) / quota.TotalUnits
	}
	return sum
}

// Epoch returns the membership epoch, or 0 while this VM is not a member.
func (c *Control) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Fleet().GetEpoch()
}
