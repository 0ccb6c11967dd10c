// Package exchange implements the protocol by which the VMs of a fleet share
// their demand, the limits that backend servers name, and the contents of the
// platform's store.
//
// Two VMs are hubs: the first two that are alive, in an order that all VMs compute
// alike. Each VM reports to both, and the first one answers with a digest: the VMs
// that are not alive, and the demand by account and region. Both hubs follow the
// platform's store and send heartbeats with the versions of its tables. The other
// VMs read changes from a hub and call the store only when no hub is healthy. The
// number of messages grows with the number of VMs, not with its square, and the
// number of calls to the store does not grow.
//
// Fleets of more than maxUngroupedVMs VMs put group leaders between the hubs and
// the other VMs (groups.go).
//
// Any VM may be a hub, and there is no election. If VMs disagree about the hubs,
// some of them read the store unnecessarily, and the tolerance of the rate limits
// covers the differences between digests. A VM that receives no digest uses an
// equal share, which the hub keeps free for it.
package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/serverlimit"
)

const (
	// MissedReports is the number of report intervals without a report after
	// which a VM is silent, and minSilence the lower bound of that time.
	MissedReports = 4
	minSilence    = 2500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a hub.
	HeartbeatInterval = 500 * time.Millisecond
	// heartbeatValidity is how long a heartbeat shows that its hub is healthy. It
	// covers one lost heartbeat and is well below the time within which a change
	// must be in effect.
	heartbeatValidity = 1300 * time.Millisecond
	// minReportInterval is the report interval of a small fleet.
	minReportInterval = 500 * time.Millisecond
	// reportIntervalPerVM limits the digests that a hub sends to about 80 per
	// second. maxReportInterval bounds the interval of larger fleets.
	reportIntervalPerVM = 12 * time.Millisecond
	maxReportInterval   = 960 * time.Millisecond
	// hubCount is the number of hubs; with two, one may fail without a gap.
	hubCount = 2
	// hubSearchCount is the number of VMs that get each report while no hub is
	// known.
	hubSearchCount = 4
	// retainedReports is the number of own reports that are kept, so that a digest
	// can acknowledge one of them.
	retainedReports = 16
	// maxSilentShare is the share of silent VMs above which the hub is assumed to
	// receive no messages, rather than all of these VMs to have failed.
	maxSilentShare = 0.6
)

// ReportInterval returns the time between two reports of a VM.
func ReportInterval(vms int) time.Duration {
	return min(max(minReportInterval, time.Duration(vms)*reportIntervalPerVM), maxReportInterval)
}

// silenceTimeout returns the time without a report after which a VM is silent.
func silenceTimeout(vms int) time.Duration { return max(minSilence, MissedReports*ReportInterval(vms)) }

// digestValidity returns how long a VM may use a digest.
func digestValidity(vms int) time.Duration { return silenceTimeout(vms) + ReportInterval(vms) }

// shareValidity returns how long after a report was sent a digest that
// acknowledges it entitles to a share of the rates. The hub gives the shares of a
// VM to the others once the VM has been silent for silenceTimeout. Without this
// limit, a VM whose reports are lost but that still receives digests would use
// its share as well (spec/shares.pml).
func shareValidity(vms int) time.Duration { return digestValidity(vms) + ReportInterval(vms) }

// hubTimeout returns the time without a digest after which digests of a hub later
// in the roster are accepted.
func hubTimeout(vms int) time.Duration { return 3 * ReportInterval(vms) }

// Member is one VM of the roster.
type Member struct {
	Name   string
	Region string
	// Weight is higher for VMs that can carry more load. VMs with the highest weight
	// are hubs, and a VM owns accounts in proportion to the root of its weight.
	Weight float64
}

// receivedReport is the newest report of a VM.
type receivedReport struct {
	report     Report
	lastSeenAt time.Duration
	// via is the group leader that reported the VM; empty if it reported here.
	via string
}

type receivedHeartbeat struct {
	Heartbeat
	receivedAt time.Duration
}

// Machine is the protocol's state machine of one VM, both as a member and as a
// possible hub. It is not safe for concurrent use.
type Machine struct {
	self        string
	incarnation int64
	started     time.Duration
	roster      []string
	regionOf    map[string]string
	// regions are those of the roster, in sorted order.
	regions []string
	// ownerWeightOf maps the VMs of the roster to their weights as owners.
	ownerWeightOf map[string]float64
	// groupOf maps the VMs of the roster to their groups, regionOf to their regions.
	groupOf            map[string]groupKey
	lastTokenRequestAt map[string]time.Duration
	seq                uint64
	// sentReports holds the newest reports of this VM by sequence number.
	sentReports     map[uint64]sentReport
	receivedReports map[string]*receivedReport
	// awaitedSince is when this VM, as the hub that sends digests, began to expect reports
	// of each VM of the roster. It sent the last digests at digestsSentAt.
	awaitedSince  map[string]time.Duration
	digestsSentAt time.Duration
	// removedAt is when this VM removed the registrations of VMs that have not reported since.
	removedAt  map[string]time.Duration
	heartbeats map[string]*receivedHeartbeat
	// groupReports holds those received from group leaders, sentGroupReports the
	// members of those that this VM sent as a leader, by sequence number.
	groupReports     map[string]*receivedGroupReport
	sentGroupReports map[uint64]map[string]MemberStatus
	digest           Digest
	// hubRank is the position in the roster of the hub that sent digest, and
	// digestAt when the digest was received.
	hubRank   int
	digestAt  time.Duration
	hasDigest bool
	// owners caches the VM that owns each account, by region. The entries are valid
	// for the roster and for ownersExcluded, the VMs that the digest excluded when
	// the entries were computed.
	owners         map[ownerKey]string
	ownersExcluded []string
	// lost is the demand of accounts whose owners became silent.
	lost lostDemand
	// excluded are the silent and the unready VMs of the newest digest.
	excluded []string
	// storeEra is the newest era of the store that this VM has seen or heard of.
	storeEra uint64
	// limits is what this VM knows of the limits that backend servers name, suspects what
	// it knows of the requests that may crash them.
	limits   *serverlimit.Book
	suspects *poison.Book
}

// New returns the state machine of a VM that starts at now.
func New(self string, incarnation int64, now time.Duration) *Machine {
	return &Machine{
		self: self, incarnation: incarnation, started: now, sentReports: make(map[uint64]sentReport),
		receivedReports: make(map[string]*receivedReport), awaitedSince: make(map[string]time.Duration), removedAt: make(map[string]time.Duration), heartbeats: make(map[string]*receivedHeartbeat), regionOf: make(map[string]string), ownerWeightOf: make(map[string]float64),
		lastTokenRequestAt: make(map[string]time.Duration), owners: make(map[ownerKey]string),
		groupOf: make(map[string]groupKey), groupReports: make(map[string]*receivedGroupReport), sentGroupReports: make(map[uint64]map[string]MemberStatus),
		limits: serverlimit.New(), suspects: poison.New(),
	}
}

// SetRoster replaces the VMs that are registered in the store.
func (m *Machine) SetRoster(vms []Member) {
	roster := slices.Clone(vms)
	slices.SortFunc(roster, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	m.roster = m.roster[:0]
	clear(m.owners)
	inRoster := make(map[string]bool, len(roster))
	clear(m.regionOf)
	clear(m.ownerWeightOf)
	for _, vm := range roster {
		m.roster = append(m.roster, vm.Name)
		m.regionOf[vm.Name] = vm.Region
		m.ownerWeightOf[vm.Name] = ownerWeight(vm)
		inRoster[vm.Name] = true
	}
	m.regions = slices.Compact(slices.Sorted(maps.Values(m.regionOf)))
	m.groupOf = assignGroups(roster)
	for vm := range m.receivedReports {
		if !inRoster[vm] {
			delete(m.receivedReports, vm)
		}
	}
	maps.DeleteFunc(m.awaitedSince, func(vm string, _ time.Duration) bool { return !inRoster[vm] })
	for vm := range m.heartbeats {
		if !inRoster[vm] {
			delete(m.heartbeats, vm)
		}
	}
	for vm := range m.groupReports {
		if !inRoster[vm] {
			delete(m.groupReports, vm)
		}
	}
}

// RosterSize returns the number of VMs in the roster, at least 1.
func (m *Machine) RosterSize() int { return max(1, len(m.roster)) }

// Hubs returns the VMs to report to at now.
func (m *Machine) Hubs(now time.Duration) []string {
	if digest, fresh := m.Digest(now); fresh && digest.Settled {
		return m.firstAlive(digest)
	}
	return m.searchHubs(now)
}

// firstAlive returns the first VMs of the roster that are not known to be silent.
func (m *Machine) firstAlive(d Digest) []string {
	var hubs []string
	for _, vm := range m.roster {
		if vm == d.Hub || !slices.Contains(d.Silent, vm) {
			if hubs = append(hubs, vm); len(hubs) == hubCount {
				break
			}
		}
	}
	return hubs
}

// searchHubs returns the VMs to try while no hub is known: the first ones, whose messages may have
// been lost, and a window that moves along the roster until it covers a hub that is alive.
func (m *Machine) searchHubs(now time.Duration) []string {
	if len(m.roster) <= hubSearchCount {
		return slices.Clone(m.roster)
	}
	searchTime := max(0, now-max(m.digestAt, m.started)-digestValidity(len(m.roster)))
	hubs, others := slices.Clone(m.roster[:hubCount]), m.roster[hubCount:]
	offset := int(searchTime/time.Second) * hubCount
	for i := range hubSearchCount - hubCount {
		hubs = append(hubs, others[(offset+i)%len(others)])
	}
	return hubs
}

// IsHub reports whether this VM follows the store for others.
func (m *Machine) IsHub(now time.Duration) bool {
	hubs := m.Hubs(now)
	return slices.Contains(hubs[:min(len(hubs), hubCount)], m.self)
}

// UpstreamHub returns the newest heartbeat of the first healthy hub. A hub that does
// not know the newest era of the store is not one: what it has read was lost when
// the store was restored.
func (m *Machine) UpstreamHub(now time.Duration) (Heartbeat, bool) {
	// Two leaders that read from each other would never read anything new.
	relays := m.relays(now)
	for _, vm := range m.roster {
		if h := m.heartbeats[vm]; h != nil && vm != m.self && h.Healthy && now-h.receivedAt < heartbeatValidity && h.Versions.Era() >= m.storeEra && !(relays && h.Relayed) {
			return h.Heartbeat, true
		}
	}
	return Heartbeat{}, false
}

// SetStoreEra records an era of the store that this VM has seen.
func (m *Machine) SetStoreEra(era uint64) { m.storeEra = max(m.storeEra, era) }

// ServerLimits returns what is known of the limits that backend servers name.
func (m *Machine) ServerLimits() *serverlimit.Book { return m.limits }

// Suspects returns what is known of the requests that may crash backend servers.
func (m *Machine) Suspects() *poison.Book { return m.suspects }

// UrgentTargets returns the VMs that get a message which must not wait for the next
// report: all others in a small fleet, the hubs and the group leader in a large one.
func (m *Machine) UrgentTargets(now time.Duration) []string {
	if !m.usesGroups() {
		return m.OtherVMs()
	}
	targets := slices.Concat(m.Hubs(now), m.ReportTargets(now))
	targets = slices.DeleteFunc(targets, func(vm string) bool { return vm == m.self })
	slices.Sort(targets)
	return slices.Compact(targets)
}

// OtherVMs returns the VMs of the roster but this one.
func (m *Machine) OtherVMs() []string {
	return slices.DeleteFunc(slices.Clone(m.roster), func(vm string) bool { return vm == m.self })
}

// ActiveVMs returns the VMs of the roster that accept callers according to the newest
// digest. It returns all of them if none does or there is no valid digest.
func (m *Machine) ActiveVMs(now time.Duration) []Member {
	excluded := m.excludedVMs(now)
	active := make([]Member, 0, len(m.roster))
	for _, vm := range m.roster {
		if !slices.Contains(excluded, vm) {
			active = append(active, Member{Name: vm, Region: m.regionOf[vm]})
		}
	}
	if len(active) > 0 || len(excluded) == 0 {
		return active
	}
	for _, vm := range m.roster {
		active = append(active, Member{Name: vm, Region: m.regionOf[vm]})
	}
	return active
}

// CountsAsActive reports whether the other VMs count this one as active: a hub has
// received its reports recently. A VM that the hub takes to be silent is replaced in
// what it owns.
func (m *Machine) CountsAsActive(now time.Duration) bool {
	d, fresh := m.Digest(now)
	return fresh && now-m.sentReports[d.Ack].sentAt < shareValidity(len(m.roster))
}

// UpstreamLastSeenAt returns when the upstream hub was last seen.
func (m *Machine) UpstreamLastSeenAt(now time.Duration) (time.Duration, bool) {
	upstream, ok := m.UpstreamHub(now)
	if !ok {
		return 0, false
	}
	return m.heartbeats[upstream.Hub].receivedAt, true
}

// ReadsStore reports whether this VM must follow the store itself.
func (m *Machine) ReadsStore(now time.Duration) bool {
	if m.IsHub(now) {
		return true
	}
	_, ok := m.UpstreamHub(now)
	return !ok
}

// Heartbeat returns this VM's next heartbeat. healthy reports whether the store
// answered this VM recently; a leader that reads from a healthy hub is healthy too.
func (m *Machine) Heartbeat(now time.Duration, v Versions, healthy bool) Heartbeat {
	m.seq++
	h := Heartbeat{Hub: m.self, Incarnation: m.incarnation, Seq: m.seq, Versions: v, Healthy: healthy}
	if m.relays(now) {
		_, hasUpstream := m.UpstreamHub(now)
		h.Relayed, h.Healthy = true, healthy || hasUpstream
	}
	return h
}

// HandleHeartbeat processes a heartbeat of a hub.
func (m *Machine) HandleHeartbeat(now time.Duration, h Heartbeat) {
	if !slices.Contains(m.roster, h.Hub) {
		return
	}
	old := m.heartbeats[h.Hub]
	if old != nil && h.Incarnation == old.Incarnation && h.Seq <= old.Seq {
		return
	}
	m.heartbeats[h.Hub] = &receivedHeartbeat{h, now}
	m.SetStoreEra(h.Versions.Era())
}

// MarkHubUnhealthy marks a hub that did not answer a call as unhealthy until its
// next heartbeat.
func (m *Machine) MarkHubUnhealthy(hub string) {
	if h := m.heartbeats[hub]; h != nil {
		h.Healthy = false
	}
}

// Report returns this VM's next report, to be sent at now.
func (m *Machine) Report(now time.Duration, region string, demand map[string]float64, work Work, ready bool) Report {
	m.seq++
	demand = rounded(demand)
	m.sentReports[m.seq] = sentReport{demand, now}
	for seq := range m.sentReports {
		if len(m.sentReports) > retainedReports && seq+4*retainedReports < m.seq {
			delete(m.sentReports, seq)
		}
	}
	return Report{
		VM: m.self, Region: region, Incarnation: m.incarnation, Seq: m.seq, Demand: demand, Work: rounded(work.Unpinned),
		Pinned: roundedAll(work.Pinned), Unready: !ready, Limits: m.limits.Reported(now), Suspects: m.suspects.Reported(now),
	}
}

// HandleDigest processes a digest. A digest of a hub earlier in the roster takes
// precedence while it is fresh. HandleDigest returns the digests that a group
// leader forwards to its group.
func (m *Machine) HandleDigest(now time.Duration, d Digest) map[string]Digest {
	rank := slices.Index(m.roster, d.Hub)
	if rank < 0 {
		return nil
	}
	if m.hasDigest && d.Hub == m.digest.Hub && d.Incarnation == m.digest.Incarnation && d.Seq <= m.digest.Seq {
		return nil
	}
	if m.hasDigest && d.Hub != m.digest.Hub && rank > m.hubRank && now-m.digestAt < hubTimeout(len(m.roster)) || m.knowsMoreThan(now, d) {
		return nil
	}
	var digests map[string]Digest
	if d.AcksGroupReport {
		digests = m.digestsForGroup(d)
		d.Ack, d.AcksGroupReport = m.sentGroupReports[d.Ack][m.self].Seq, false
	}
	m.recordLostDemand(now, d)
	m.limits.Merge(now, d.Limits...)
	m.suspects.Merge(now, d.Suspects...)
	m.digest, m.hubRank, m.digestAt, m.hasDigest = d, rank, now, true
	m.excluded = slices.Concat(d.Silent, d.Unready)
	return digests
}

// knowsMoreThan reports whether this VM is a hub that has heard of more than twice the VMs that are
// alive in the digest of another one. That one was cut off: the others report to it once their
// digests of this VM have expired.
func (m *Machine) knowsMoreThan(now time.Duration, d Digest) bool {
	own, fresh := m.Digest(now)
	return fresh && own.Hub == m.self && d.Hub != m.self && own.Alive > 2*d.Alive
}

// Digest returns the newest digest and whether it may still be used.
func (m *Machine) Digest(now time.Duration) (Digest, bool) {
	return m.digest, m.hasDigest && now-m.digestAt < digestValidity(len(m.roster))
}

// DigestAge returns the age of the newest digest, or the time that this VM has run
// without any.
func (m *Machine) DigestAge(now time.Duration) time.Duration { return now - max(m.digestAt, m.started) }

// AcceptsCallers returns a function that reports whether callers may be sent to a
// VM. known is false without a valid digest, or if so many VMs are silent that the
// hub probably receives no messages.
func (m *Machine) AcceptsCallers(now time.Duration) (acceptsCallers func(vm string) bool, known bool) {
	d, fresh := m.Digest(now)
	if !fresh || !d.Settled || float64(len(d.Silent)) > maxSilentShare*float64(d.RosterSize) {
		return nil, false
	}
	excluded := m.excluded
	return func(vm string) bool { return !slices.Contains(excluded, vm) }, true
}
