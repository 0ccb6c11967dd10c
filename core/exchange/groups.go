package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a large fleet, VMs report to a leader of their group instead of to the hubs.
// The leader tells the hubs in one message what its group asks for and who of it
// lives, hands the digest on to its group, and pulses what it has read from a
// hub. What a hub sends and receives then grows with the number of groups. A VM
// whose leader fails has no valid digest after a while and reports to the hubs
// itself, as in a small fleet, until the digest names another leader.

const (
	// groupSize bounds the VMs of a group.
	groupSize = 64
	// ungrouped is the largest fleet without groups: a hub sends a digest to
	// each VM, 100 in a second.
	ungrouped = 96
)

// Bundle is what a leader tells the hubs of its group.
type GroupReport struct {
	Leader      string `json:"leader"`
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	// VMs are those that reported lately, the leader included.
	VMs map[string]MemberStatus `json:"vms"`
	// Demand, Work and Pinned are sums as in a digest.
	Demand map[string]float64            `json:"demand,omitempty"`
	Work   map[string]map[string]float64 `json:"work,omitempty"`
	Pinned map[string]map[string]float64 `json:"pinned,omitempty"`
}

// Presence is the newest report of a VM in a bundle.
type MemberStatus struct {
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	Unready     bool   `json:"unready,omitempty"`
}

type heardBundle struct {
	GroupReport
	heard time.Duration
}

func (m *Machine) grouped() bool { return len(m.roster) > ungrouped }

// groupKey names a group: VMs of one region, so that most messages stay in it.
type groupKey struct {
	region string
	part   uint64
}

// groupsOf returns the groups of the VMs of a roster. The number of groups of a
// region is a power of two, so that few VMs change theirs when the fleet grows.
func groupsOf(roster []Member) map[string]groupKey {
	size := make(map[string]int)
	for _, vm := range roster {
		size[vm.Region]++
	}
	parts := make(map[string]uint64, len(size))
	for region, vms := range size {
		parts[region] = 1
		for uint64(vms) > parts[region]*groupSize {
			parts[region] *= 2
		}
	}
	groups := make(map[string]groupKey, len(roster))
	for _, vm := range roster {
		groups[vm.Name] = groupKey{vm.Region, xxhash.Sum64String(vm.Name) & (parts[vm.Region] - 1)}
	}
	return groups
}

// leaders returns the first VM of each group that is not known to be silent and
// is no hub: hubs do not bundle, so that the other hub would not hear of the
// group.
func (m *Machine) leaders(d Digest) map[groupKey]string {
	skip := make(map[string]bool, len(d.Silent)+hubCount)
	for _, vm := range d.Silent {
		skip[vm] = true
	}
	for _, vm := range m.firstLive(d) {
		skip[vm] = true
	}
	out := make(map[groupKey]string)
	for _, vm := range m.roster {
		if g := m.groups[vm]; out[g] == "" && !skip[vm] {
			out[g] = vm
		}
	}
	return out
}

// ReportTargets returns the VMs to report to now, this one itself if it leads its
// group.
func (m *Machine) ReportTargets(now time.Duration) []string {
	digest, fresh := m.Digest(now)
	hubs := m.Hubs(now)
	if !m.grouped() || !fresh || !digest.Settled || slices.Contains(hubs, m.self) {
		return hubs
	}
	if leader := m.leaders(digest)[m.groups[m.self]]; leader != "" {
		return []string{leader}
	}
	return hubs
}

// direct returns the VMs that reported to this one lately, itself included.
func (m *Machine) direct(now time.Duration) map[string]*member {
	out := make(map[string]*member)
	for vm, o := range m.members {
		if o.via == "" && now-o.heard < silentAfter(len(m.roster)) {
			out[vm] = o
		}
	}
	return out
}

// ownGroup returns the VMs of this one's group that reported to it lately.
// Others that did so are looking for a hub and would be counted twice.
func (m *Machine) ownGroup(now time.Duration) map[string]*member {
	out := m.direct(now)
	for vm := range out {
		if m.groups[vm] != m.groups[m.self] {
			delete(out, vm)
		}
	}
	return out
}

// Bundle returns what this VM tells the hubs of the VMs that report to it; ok is
// false if none does or this VM is a hub.
func (m *Machine) GroupReport(now time.Duration) (b GroupReport, ok bool) {
	if !m.grouped() || m.IsHub(now) {
		return GroupReport{}, false
	}
	group := m.ownGroup(now)
	if len(group) == 0 {
		return GroupReport{}, false
	}
	m.seq++
	b = GroupReport{
		Leader: m.self, Incarnation: m.born, Seq: m.seq, VMs: make(map[string]MemberStatus, len(group)),
	}
	sum := newTotals()
	for vm, o := range group {
		b.VMs[vm] = MemberStatus{Incarnation: o.report.Incarnation, Seq: o.report.Seq, Unready: o.report.Unready}
		sum.addReport(o.report)
	}
	b.Demand, b.Work, b.Pinned = sum.rounded()
	m.bundled[b.Seq] = b.VMs
	for seq := range m.bundled {
		if seq+4*keptReports < m.seq {
			delete(m.bundled, seq)
		}
	}
	return b, true
}

// HandleGroupReport takes a bundle of a leader.
func (m *Machine) HandleGroupReport(now time.Duration, b GroupReport) {
	old := m.bundles[b.Leader]
	if old != nil && b.Incarnation == old.Incarnation && b.Seq <= old.Seq || !slices.Contains(m.roster, b.Leader) {
		return
	}
	m.bundles[b.Leader] = &heardBundle{b, now}
	for vm, p := range b.VMs {
		heard := now
		if o := m.members[vm]; o != nil && o.report.Incarnation == p.Incarnation {
			if o.report.Seq > p.Seq {
				continue
			}
			if o.report.Seq == p.Seq {
				// Nothing new was heard of it.
				heard = o.heard
			}
		}
		m.members[vm] = &member{
			report: Report{VM: vm, Region: m.regions[vm], Incarnation: p.Incarnation, Seq: p.Seq, Unready: p.Unready}, heard: heard, via: b.Leader,
		}
	}
}

// freshBundles returns the bundles that count: most of their VMs were not heard
// by another way since.
func (m *Machine) freshBundles(now time.Duration) []*heardBundle {
	var out []*heardBundle
	for _, leader := range m.roster {
		b := m.bundles[leader]
		if b == nil || now-b.heard >= silentAfter(len(m.roster)) {
			continue
		}
		current := 0
		for vm := range b.VMs {
			if o := m.members[vm]; o != nil && o.via == leader {
				current++
			}
		}
		if 2*current >= len(b.VMs) {
			out = append(out, b)
		}
	}
	return out
}

// forwards returns the digests for the VMs of this leader's group: each confirms
// the report that was in the bundle which d confirms.
func (m *Machine) forwards(d Digest) map[string]Digest {
	out := make(map[string]Digest)
	for vm, p := range m.bundled[d.Ack] {
		if vm != m.self {
			d.Ack, d.AcksGroupReport = p.Seq, false
			out[vm] = d
		}
	}
	return out
}

// HeartbeatTargets returns the VMs that get pulses of this one: all from a hub of a small
// fleet; the leaders, and the VMs that report to it, from one of a large fleet;
// its group from a leader.
func (m *Machine) HeartbeatTargets(now time.Duration) []string {
	hub := m.IsHub(now)
	digest, fresh := m.Digest(now)
	switch {
	case hub && (!m.grouped() || !fresh):
		return m.roster
	case !m.grouped():
		return nil
	}
	to := make(map[string]bool)
	reporting := m.ownGroup(now)
	if hub {
		reporting = m.direct(now)
		for _, vm := range m.leaders(digest) {
			to[vm] = true
		}
		for _, vm := range m.firstLive(digest) {
			to[vm] = true
		}
	}
	for vm := range reporting {
		to[vm] = true
	}
	delete(to, m.self)
	return slices.Sorted(maps.Keys(to))
}

// relays reports whether other VMs hear from this one what a hub holds.
func (m *Machine) relays(now time.Duration) bool {
	return m.grouped() && !m.IsHub(now) && len(m.ownGroup(now)) > 1
}
