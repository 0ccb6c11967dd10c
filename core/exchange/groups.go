package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/serverlimit"
)

// In a large fleet, VMs report to the leader of their group instead of to the
// hubs. The leader sends the hubs one message with the demand of its group and
// the members that are alive, forwards the digest to its group, and sends
// heartbeats with the versions that it has read from a hub. The number of messages
// of a hub then grows with the number of groups. If a leader fails, the digests of
// its VMs expire, and the VMs report directly to the hubs, as in a small fleet,
// until the digest implies another leader.

const (
	// maxGroupSize bounds the number of VMs in a group.
	maxGroupSize = 64
	// maxUngroupedVMs is the largest fleet without groups: a hub sends a digest to
	// each VM, about 100 in a second.
	maxUngroupedVMs = 96
)

// GroupReport is the message of a group leader to the hubs.
type GroupReport struct {
	Leader      string `json:"leader"`
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	// VMs are those that reported to the leader recently, the leader included.
	VMs map[string]MemberStatus `json:"vms"`
	// Demand, Work and Pinned are sums as in a digest.
	Demand map[string]float64            `json:"demand,omitempty"`
	Work   map[string]map[string]float64 `json:"work,omitempty"`
	Pinned map[string]map[string]float64 `json:"pinned,omitempty"`
	// Limits are the members' recent observations of limits of backend servers, Suspects
	// those of requests that may crash servers.
	Limits   []serverlimit.Shared `json:"limits,omitempty"`
	Suspects []poison.Shared      `json:"suspects,omitempty"`
}

// MemberStatus is the newest report of a VM as listed in a group report.
type MemberStatus struct {
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	Unready     bool   `json:"unready,omitempty"`
}

type receivedGroupReport struct {
	GroupReport
	receivedAt time.Duration
}

func (m *Machine) usesGroups() bool { return len(m.roster) > maxUngroupedVMs }

// groupKey identifies a group. Its VMs are in one region, so that most messages
// stay in that region.
type groupKey struct {
	region    string
	partition uint64
}

// assignGroups returns the group of each VM of a roster. The number of groups of a
// region is a power of two, so that few VMs change groups when the fleet grows.
func assignGroups(roster []Member) map[string]groupKey {
	vmCounts := make(map[string]int)
	for _, vm := range roster {
		vmCounts[vm.Region]++
	}
	groupCounts := make(map[string]uint64, len(vmCounts))
	for region, vms := range vmCounts {
		groupCounts[region] = 1
		for uint64(vms) > groupCounts[region]*maxGroupSize {
			groupCounts[region] *= 2
		}
	}
	groups := make(map[string]groupKey, len(roster))
	for _, vm := range roster {
		groups[vm.Name] = groupKey{vm.Region, xxhash.Sum64String(vm.Name) & (groupCounts[vm.Region] - 1)}
	}
	return groups
}

// groupLeaders returns the first VM of each group that is neither known to be
// silent nor a hub. Hubs send no group reports, so the other hub would not learn
// about the group.
func (m *Machine) groupLeaders(d Digest) map[groupKey]string {
	excluded := make(map[string]bool, len(d.Silent)+hubCount)
	for _, vm := range d.Silent {
		excluded[vm] = true
	}
	for _, vm := range m.firstAlive(d) {
		excluded[vm] = true
	}
	out := make(map[groupKey]string)
	for _, vm := range m.roster {
		if g := m.groupOf[vm]; out[g] == "" && !excluded[vm] {
			out[g] = vm
		}
	}
	return out
}

// ReportTargets returns the VMs to report to at now; a group leader reports to
// itself. A hub reports to silent VMs before it as well: one of them may be the hub of
// VMs that this one was cut from.
func (m *Machine) ReportTargets(now time.Duration) []string {
	digest, fresh := m.Digest(now)
	hubs := m.Hubs(now)
	if fresh && digest.Settled && digest.Hub == m.self {
		return slices.Concat(hubs, m.silentBefore(now, digest))
	}
	if !m.usesGroups() || !fresh || !digest.Settled || slices.Contains(hubs, m.self) {
		return hubs
	}
	if leader := m.groupLeaders(digest)[m.groupOf[m.self]]; leader != "" {
		return []string{leader}
	}
	return hubs
}

// silentBefore returns some of the silent VMs before this one in the roster: the first ones, which
// are hubs as soon as they are alive, and the next ones of the others in each report interval.
func (m *Machine) silentBefore(now time.Duration, d Digest) []string {
	rank := slices.Index(m.roster, m.self)
	silent := slices.DeleteFunc(slices.Clone(m.roster[:max(0, rank)]), func(vm string) bool { return !slices.Contains(d.Silent, vm) })
	if len(silent) <= hubSearchCount {
		return silent
	}
	first, others := silent[:hubCount], silent[hubCount:]
	offset := int(now/ReportInterval(len(m.roster))) * (hubSearchCount - hubCount)
	for i := range hubSearchCount - hubCount {
		first = append(slices.Clip(first), others[(offset+i)%len(others)])
	}
	return first
}

// directMembers returns the VMs that reported to this one recently, itself
// included.
func (m *Machine) directMembers(now time.Duration) map[string]*receivedReport {
	out := make(map[string]*receivedReport)
	for vm, known := range m.receivedReports {
		if known.via == "" && now-known.lastSeenAt < silenceTimeout(len(m.roster)) {
			out[vm] = known
		}
	}
	return out
}

// groupMembers returns the VMs of this VM's group that reported to it recently.
// VMs of other groups that did so are searching for a hub and would be counted
// twice.
func (m *Machine) groupMembers(now time.Duration) map[string]*receivedReport {
	out := m.directMembers(now)
	for vm := range out {
		if m.groupOf[vm] != m.groupOf[m.self] {
			delete(out, vm)
		}
	}
	return out
}

// GroupReport returns the report of this VM about the VMs that report to it; ok is
// false if there are none or this VM is a hub.
func (m *Machine) GroupReport(now time.Duration) (r GroupReport, ok bool) {
	if !m.usesGroups() || m.IsHub(now) {
		return GroupReport{}, false
	}
	members := m.groupMembers(now)
	if len(members) == 0 {
		return GroupReport{}, false
	}
	m.seq++
	r = GroupReport{
		Leader: m.self, Incarnation: m.incarnation, Seq: m.seq, VMs: make(map[string]MemberStatus, len(members)),
	}
	sum := newTotals()
	for vm, known := range members {
		r.VMs[vm] = MemberStatus{Incarnation: known.report.Incarnation, Seq: known.report.Seq, Unready: known.report.Unready}
		sum.addReport(known.report)
	}
	r.Demand, r.Work, r.Pinned = sum.rounded()
	r.Limits, r.Suspects = m.limits.Reported(now), m.suspects.Reported(now)
	m.sentGroupReports[r.Seq] = r.VMs
	for seq := range m.sentGroupReports {
		if seq+4*retainedReports < m.seq {
			delete(m.sentGroupReports, seq)
		}
	}
	return r, true
}

// HandleGroupReport processes a report of a group leader.
func (m *Machine) HandleGroupReport(now time.Duration, r GroupReport) {
	old := m.groupReports[r.Leader]
	if old != nil && r.Incarnation == old.Incarnation && r.Seq <= old.Seq || !slices.Contains(m.roster, r.Leader) {
		return
	}
	m.groupReports[r.Leader] = &receivedGroupReport{r, now}
	m.limits.MergeReported(now, r.Limits)
	m.suspects.MergeReported(now, r.Suspects)
	for vm, status := range r.VMs {
		lastSeenAt := now
		if known := m.receivedReports[vm]; known != nil && known.report.Incarnation == status.Incarnation {
			if known.report.Seq > status.Seq {
				continue
			}
			if known.report.Seq == status.Seq {
				// The group report contains nothing new from this VM.
				lastSeenAt = known.lastSeenAt
			}
		}
		m.receivedReports[vm] = &receivedReport{
			report: Report{VM: vm, Region: m.regionOf[vm], Incarnation: status.Incarnation, Seq: status.Seq, Unready: status.Unready}, lastSeenAt: lastSeenAt, via: r.Leader,
		}
	}
}

// currentGroupReports returns the group reports that count: those of which at
// least half of the VMs have not been reported by another sender since.
func (m *Machine) currentGroupReports(now time.Duration) []*receivedGroupReport {
	var out []*receivedGroupReport
	for _, leader := range m.roster {
		r := m.groupReports[leader]
		if r == nil || now-r.receivedAt >= silenceTimeout(len(m.roster)) {
			continue
		}
		current := 0
		for vm := range r.VMs {
			if known := m.receivedReports[vm]; known != nil && known.via == leader {
				current++
			}
		}
		if 2*current >= len(r.VMs) {
			out = append(out, r)
		}
	}
	return out
}

// digestsForGroup returns the digests for the VMs of this leader's group. Each
// acknowledges the report that was included in the group report which d
// acknowledges.
func (m *Machine) digestsForGroup(d Digest) map[string]Digest {
	digests := make(map[string]Digest)
	for vm, status := range m.sentGroupReports[d.Ack] {
		if vm != m.self {
			d.Ack, d.AcksGroupReport = status.Seq, false
			digests[vm] = d
		}
	}
	return digests
}

// HeartbeatTargets returns the VMs that get this VM's heartbeats: all VMs from a
// hub of a small fleet; the leaders and the VMs that report to it from a hub of a
// large fleet; its group from a leader.
func (m *Machine) HeartbeatTargets(now time.Duration) []string {
	isHub := m.IsHub(now)
	digest, fresh := m.Digest(now)
	switch {
	case isHub && (!m.usesGroups() || !fresh):
		return m.roster
	case !m.usesGroups():
		return nil
	}
	targets := make(map[string]bool)
	reporters := m.groupMembers(now)
	if isHub {
		reporters = m.directMembers(now)
		for _, vm := range m.groupLeaders(digest) {
			targets[vm] = true
		}
		for _, vm := range m.firstAlive(digest) {
			targets[vm] = true
		}
	}
	for vm := range reporters {
		targets[vm] = true
	}
	delete(targets, m.self)
	return slices.Sorted(maps.Keys(targets))
}

// relays reports whether other VMs learn from this one what a hub has read.
func (m *Machine) relays(now time.Duration) bool {
	return m.usesGroups() && !m.IsHub(now) && len(m.groupMembers(now)) > 1
}
