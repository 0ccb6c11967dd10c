// Package exchange is the protocol by which the VMs of a fleet tell each other
// what they are asked for and what the platform's store holds.
//
// Two VMs are hubs: the first two that live in an order which all compute
// alike. Each VM reports to both; the first one answers with a digest: who does
// not live, what each account and region asks for. Both hubs follow the
// platform's store and pulse the versions of its tables, so that the other VMs
// read from a hub what has changed and call the store only when no hub is
// sound. Messages grow with the number of VMs, not with its square, and the
// calls to the store not at all.
//
// Fleets of more than ungrouped VMs put leaders of groups between the hubs and
// the others (groups.go).
//
// Any VM may be a hub; nothing is elected. If VMs differ about who is, some
// read the store that need not, and the tolerance of the rates covers differing
// digests. A VM that hears no digest uses an equal part, which the hub keeps
// free for it.
package exchange

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiawind/cassiawind/core/ratelimit"
)

const (
	// MissedReports is for how many intervals without a report a VM counts
	// as not alive, and minSilent the least time for that.
	MissedReports = 4
	minSilent     = 2500 * time.Millisecond
	// RemovalTimeout is without a report for how long a VM's entry is removed.
	RemovalTimeout = 90 * time.Second
	// HeartbeatInterval is the time between two pulses of a hub.
	HeartbeatInterval = 500 * time.Millisecond
	// pulseValid is for how long a pulse shows that its hub is sound: two may
	// be lost. It is well below the time in which a change must be in force.
	pulseValid = 1300 * time.Millisecond
	// minInterval is the interval of reports in a small fleet.
	minInterval = 500 * time.Millisecond
	// intervalPerVM bounds the digests that a hub sends to some 80 per second,
	// and maxInterval the interval of fleets that are in groups.
	intervalPerVM = 12 * time.Millisecond
	maxInterval   = 960 * time.Millisecond
	// hubCount VMs are hubs, so that one may fail without a gap.
	hubCount = 2
	// searchCount VMs get each report while no hub is known.
	searchCount = 4
	// keptReports of this VM are remembered until a digest confirms one.
	keptReports = 16
	// deafShare of the fleet silent at once means that the hub does not hear,
	// rather than that they all died.
	deafShare = 0.6
)

// Interval returns the time between two reports of a VM.
func ReportInterval(vms int) time.Duration {
	return min(max(minInterval, time.Duration(vms)*intervalPerVM), maxInterval)
}

// silentAfter is without a report for how long a VM counts as not alive.
func silentAfter(vms int) time.Duration { return max(minSilent, MissedReports*ReportInterval(vms)) }

// digestValid is for how long a VM uses a digest.
func digestValid(vms int) time.Duration { return silentAfter(vms) + ReportInterval(vms) }

// partValid is for how long after a report was sent a digest that confirms it
// gives a part of the rates. The hub divides the parts of a VM among the others
// once it has not heard it for silentAfter; a VM whose reports are lost but that
// still gets digests would use its part as well (spec/shares.pml).
func partValid(vms int) time.Duration { return digestValid(vms) + ReportInterval(vms) }

// hubTimeout is after how long without a digest the next hub is believed.
func hubTimeout(vms int) time.Duration { return 3 * ReportInterval(vms) }

// Report is what a VM tells the hubs.
type Report struct {
	VM     string `json:"vm"`
	Region string `json:"region"`
	// Born identifies one start of the VM, and Seq orders its reports.
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	// Demand is in requests per second for each client account that this VM
	// counts for its region, the rejected ones included.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Work is the demand in busy slots for each service that may be served in
	// any region, and Pinned what only one region may serve, by region.
	Work   map[string]float64            `json:"work,omitempty"`
	Pinned map[string]map[string]float64 `json:"pinned,omitempty"`
	// Unready VMs are not named to callers.
	Unready bool `json:"unready,omitempty"`
}

// Digest is what the first hub tells a VM.
type Digest struct {
	Hub         string `json:"hub"`
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	// Ack is the newest report of the receiver that the digest counts, its
	// newest bundle if Bundled is set.
	Ack             uint64 `json:"ack"`
	AcksGroupReport bool   `json:"bundled,omitempty"`
	// Silent VMs did not report lately, Unready ones take no callers.
	Silent  []string `json:"silent,omitempty"`
	Unready []string `json:"unready,omitempty"`
	// Demand is the sum over the live VMs for each account.
	Demand     map[string]float64 `json:"demand,omitempty"`
	Alive      int                `json:"live"`
	RosterSize int                `json:"size"`
	// Work is the demand in busy slots by the region of the callers and by
	// service, Pinned that by the only region that may serve it.
	Work   map[string]map[string]float64 `json:"work,omitempty"`
	Pinned map[string]map[string]float64 `json:"pinned,omitempty"`
	// Settled is set once the hub has listened long enough to know who is not
	// alive.
	Settled bool `json:"settled,omitempty"`
}

// Versions are the newest versions of the store's tables that a VM holds.
type Versions struct {
	Operator uint64 `json:"operator"`
	Servers  uint64 `json:"servers"`
	VMs      uint64 `json:"vms"`
}

// Pulse is what each hub tells all VMs several times a second.
type Heartbeat struct {
	Hub         string   `json:"hub"`
	Incarnation int64    `json:"born"`
	Seq         uint64   `json:"seq"`
	Versions    Versions `json:"versions"`
	// Sound hubs were answered by the store a moment ago.
	Healthy bool `json:"sound,omitempty"`
	// Relayed pulses are those of a leader that reads from a hub.
	Relayed bool `json:"relayed,omitempty"`
}

// Member is one VM of the roster.
type Member struct {
	Name   string
	Region string
	// Weight orders the hubs: those with the highest weight come first.
	Weight float64
}

type member struct {
	report Report
	heard  time.Duration
	// via is the leader whose bundle told of the VM; empty if it reported here.
	via string
}

type pulse struct {
	Heartbeat
	heard time.Duration
}

// Machine is the state of one VM, as a member and as a possible hub. It is not
// safe for concurrent use.
type Machine struct {
	self    string
	born    int64
	started time.Duration
	roster  []string
	regions map[string]string
	// groups are those of the VMs of the roster.
	groups map[string]groupKey
	asked  map[string]time.Duration
	seq    uint64
	// reports are the newest ones of this VM, by number.
	reports map[uint64]sentReport
	members map[string]*member
	pulses  map[string]*pulse
	// bundles are those of leaders, bundled what this leader's own ones hold.
	bundles map[string]*heardBundle
	bundled map[uint64]map[string]MemberStatus
	digest  Digest
	rank    int
	heardAt time.Duration
	heard   bool
	// counters are the VMs that count each account, by region; they hold for
	// the roster and the VMs that the digest they were computed with leaves
	// out.
	counters     map[counterKey]string
	countersLeft []string
	// orphans is what VMs counted that fell silent.
	orphans orphans
	// left are the silent and the unready VMs of the newest digest.
	left []string
}

// orphans is the demand that VMs of one region counted before they fell silent,
// until their successors have measured it.
type orphans struct {
	region string
	demand map[string]float64
	until  time.Duration
}

// sentReport is the demand of a report and when it was sent.
type sentReport struct {
	demand map[string]float64
	at     time.Duration
}

type counterKey struct{ region, account string }

// New returns the machine of a VM that starts now.
func New(self string, born int64, now time.Duration) *Machine {
	return &Machine{
		self: self, born: born, started: now, reports: make(map[uint64]sentReport),
		members: make(map[string]*member), pulses: make(map[string]*pulse), regions: make(map[string]string),
		asked: make(map[string]time.Duration), counters: make(map[counterKey]string),
		groups: make(map[string]groupKey), bundles: make(map[string]*heardBundle), bundled: make(map[uint64]map[string]MemberStatus),
	}
}

// SetRoster replaces the VMs that have an entry in the store.
func (m *Machine) SetRoster(vms []Member) {
	roster := slices.Clone(vms)
	slices.SortFunc(roster, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	m.roster = m.roster[:0]
	clear(m.counters)
	present := make(map[string]bool, len(roster))
	clear(m.regions)
	for _, vm := range roster {
		m.roster = append(m.roster, vm.Name)
		m.regions[vm.Name] = vm.Region
		present[vm.Name] = true
	}
	m.groups = groupsOf(roster)
	for vm := range m.members {
		if !present[vm] {
			delete(m.members, vm)
		}
	}
	for vm := range m.pulses {
		if !present[vm] {
			delete(m.pulses, vm)
		}
	}
	for vm := range m.bundles {
		if !present[vm] {
			delete(m.bundles, vm)
		}
	}
}

// Size returns the number of VMs in the roster, at least 1.
func (m *Machine) RosterSize() int { return max(1, len(m.roster)) }

// Hubs returns the VMs to report to now.
func (m *Machine) Hubs(now time.Duration) []string {
	if digest, fresh := m.Digest(now); fresh && digest.Settled {
		return m.firstLive(digest)
	}
	return m.search(now)
}

// firstLive returns the first VMs of the roster that are not known to be
// silent.
func (m *Machine) firstLive(d Digest) []string {
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

// search returns the VMs to try while no hub is known. The window moves along
// the roster, so that a living hub is found.
func (m *Machine) search(now time.Duration) []string {
	if len(m.roster) == 0 {
		return nil
	}
	since := max(0, now-max(m.heardAt, m.started)-digestValid(len(m.roster)))
	skip := int(since/time.Second) * hubCount % len(m.roster)
	var hubs []string
	for i := range min(searchCount, len(m.roster)) {
		hubs = append(hubs, m.roster[(skip+i)%len(m.roster)])
	}
	return hubs
}

// IsHub reports whether this VM follows the store for others.
func (m *Machine) IsHub(now time.Duration) bool {
	hubs := m.Hubs(now)
	return slices.Contains(hubs[:min(len(hubs), hubCount)], m.self)
}

// Source returns the first hub that is sound and the versions it holds.
func (m *Machine) UpstreamHub(now time.Duration) (Heartbeat, bool) {
	// Two leaders that read from each other would never read anything new.
	relays := m.relays(now)
	for _, vm := range m.roster {
		if p := m.pulses[vm]; p != nil && vm != m.self && p.Healthy && now-p.heard < pulseValid && !(relays && p.Relayed) {
			return p.Heartbeat, true
		}
	}
	return Heartbeat{}, false
}

// UpstreamLastSeenAt returns when a sound hub was heard last.
func (m *Machine) UpstreamLastSeenAt(now time.Duration) (time.Duration, bool) {
	source, ok := m.UpstreamHub(now)
	if !ok {
		return 0, false
	}
	return m.pulses[source.Hub].heard, true
}

// Reads reports whether this VM must follow the store itself.
func (m *Machine) ReadsStore(now time.Duration) bool {
	if m.IsHub(now) {
		return true
	}
	_, ok := m.UpstreamHub(now)
	return !ok
}

// Pulse returns this VM's next pulse. Sound tells whether the store answered this
// VM a moment ago; a leader that reads from a sound hub is sound as well.
func (m *Machine) Heartbeat(now time.Duration, v Versions, sound bool) Heartbeat {
	m.seq++
	p := Heartbeat{Hub: m.self, Incarnation: m.born, Seq: m.seq, Versions: v, Healthy: sound}
	if m.relays(now) {
		_, fed := m.UpstreamHub(now)
		p.Relayed, p.Healthy = true, sound || fed
	}
	return p
}

// HandleHeartbeat takes a pulse of a hub.
func (m *Machine) HandleHeartbeat(now time.Duration, p Heartbeat) {
	if !slices.Contains(m.roster, p.Hub) {
		return
	}
	old := m.pulses[p.Hub]
	if old != nil && p.Incarnation == old.Incarnation && p.Seq <= old.Seq {
		return
	}
	m.pulses[p.Hub] = &pulse{p, now}
}

// MarkHubUnhealthy forgets the pulses of a hub that did not answer a call.
func (m *Machine) MarkHubUnhealthy(hub string) {
	if p := m.pulses[hub]; p != nil {
		p.Healthy = false
	}
}

// Report returns this VM's next report, which is to be sent at now.
func (m *Machine) Report(now time.Duration, region string, demand map[string]float64, work Work, ready bool) Report {
	m.seq++
	demand = rounded(demand)
	m.reports[m.seq] = sentReport{demand, now}
	for seq := range m.reports {
		if len(m.reports) > keptReports && seq+4*keptReports < m.seq {
			delete(m.reports, seq)
		}
	}
	return Report{VM: m.self, Region: region, Incarnation: m.born, Seq: m.seq, Demand: demand, Work: rounded(work.Unpinned), Pinned: roundedAll(work.Pinned), Unready: !ready}
}

// Work is what the callers of a VM ask for, in busy slots by service.
type Work struct {
	// Free work may be served in any region, Pinned only in the one that is its
	// first key.
	Unpinned map[string]float64
	Pinned   map[string]map[string]float64
}

func roundedAll(values map[string]map[string]float64) map[string]map[string]float64 {
	out := make(map[string]map[string]float64, len(values))
	for k, v := range values {
		if v = rounded(v); len(v) > 0 {
			out[k] = v
		}
	}
	return out
}

// rounded keeps messages short: a tenth of a request per second is less than
// what any bound distinguishes.
func rounded(values map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(values))
	for k, v := range values {
		if v = math.Round(v*10) / 10; v > 0 {
			out[k] = v
		}
	}
	return out
}

// HandleReport takes a report of a VM, this one included.
func (m *Machine) HandleReport(now time.Duration, r Report) {
	old := m.members[r.VM]
	if old != nil && r.Incarnation == old.report.Incarnation && r.Seq <= old.report.Seq {
		return
	}
	m.members[r.VM] = &member{report: r, heard: now}
}

// HandleDigest takes a digest; one of a hub earlier in the roster counts more
// while it is fresh. It returns the digests that a leader hands on to its group.
func (m *Machine) HandleDigest(now time.Duration, d Digest) map[string]Digest {
	rank := slices.Index(m.roster, d.Hub)
	if rank < 0 {
		return nil
	}
	if m.heard && d.Hub == m.digest.Hub && d.Incarnation == m.digest.Incarnation && d.Seq <= m.digest.Seq {
		return nil
	}
	if m.heard && d.Hub != m.digest.Hub && rank > m.rank && now-m.heardAt < hubTimeout(len(m.roster)) {
		return nil
	}
	var forwards map[string]Digest
	if d.AcksGroupReport {
		forwards = m.forwards(d)
		d.Ack, d.AcksGroupReport = m.bundled[d.Ack][m.self].Seq, false
	}
	m.noteOrphans(now, d)
	m.digest, m.rank, m.heardAt, m.heard = d, rank, now, true
	m.left = slices.Concat(d.Silent, d.Unready)
	return forwards
}

// Digest returns the newest digest and whether it may still be used.
func (m *Machine) Digest(now time.Duration) (Digest, bool) {
	return m.digest, m.heard && now-m.heardAt < digestValid(len(m.roster))
}

// Part returns the fraction of an account's rate that this VM may use as the
// one that counts the account in its region.
func (m *Machine) RateShare(now time.Duration, account string, rate float64) float64 {
	d, fresh := m.Digest(now)
	if !fresh || now-m.reports[d.Ack].at >= partValid(len(m.roster)) {
		// As many equal parts as VMs ask here: they do not use theirs.
		return min(1, float64(1+m.askers(now))*m.EqualShare())
	}
	// Silent VMs keep an equal part each, which is what they use while they do
	// not reach the one that counts.
	free := float64(d.Alive) / float64(max(1, d.RosterSize))
	own, sum := m.ownDemand(now, d, account, rate*free)
	return free * ratelimit.DemandShare(rate*free, own, sum, m.liveRegions(d))
}

// noteOrphans remembers what VMs counted that a new digest calls silent. If VMs
// of several regions fell silent at once, it is not known who counted what.
func (m *Machine) noteOrphans(now time.Duration, next Digest) {
	last, fresh := m.Digest(now)
	if !fresh || !last.Settled || !next.Settled {
		return
	}
	region := ""
	for _, vm := range next.Silent {
		if slices.Contains(last.Silent, vm) {
			continue
		}
		if region != "" && region != m.regions[vm] {
			return
		}
		region = m.regions[vm]
	}
	if region == "" {
		return
	}
	m.orphans = orphans{region, make(map[string]float64), now + orphanIntervals*ReportInterval(len(m.roster))}
	for account, demand := range last.Demand {
		if lost := demand - next.Demand[account]; lost > 0 {
			m.orphans.demand[account] = lost
		}
	}
}

// orphanIntervals pass until a successor's own measurement has come back in a
// digest: one that is cut short, a whole one and the way to the hub and back.
const orphanIntervals = 4

// ownDemand returns the demand of an account that this VM is to use, and the sum
// over the fleet that goes with it. A VM that takes over the counting of an
// account has not measured it yet. What its predecessor counted is used only if
// the whole demand fits into the rate: then it takes nothing from others.
func (m *Machine) ownDemand(now time.Duration, d Digest, account string, rate float64) (own, sum float64) {
	own, sum = m.reports[d.Ack].demand[account], d.Demand[account]
	if now >= m.orphans.until || m.orphans.region != m.regions[m.self] {
		return own, sum
	}
	if lost := m.orphans.demand[account] - own; lost > 0 && ratelimit.DemandFits(rate, sum+lost) {
		return own + lost, sum + lost
	}
	return own, sum
}

// DigestAge returns how old the newest digest is, or how long this VM has had
// none.
func (m *Machine) DigestAge(now time.Duration) time.Duration { return now - max(m.heardAt, m.started) }

// EqualShare returns the fraction of a rate that a VM may use which does not reach
// the one that counts an account.
func (m *Machine) EqualShare() float64 { return 1 / float64(m.RosterSize()) }

// HandleTokenRequest notes that another VM asks this one for tokens.
func (m *Machine) HandleTokenRequest(now time.Duration, vm string) { m.asked[vm] = now }

// askers returns how many other VMs asked lately.
func (m *Machine) askers(now time.Duration) int {
	n := 0
	for vm, at := range m.asked {
		if now-at > askedFor {
			delete(m.asked, vm)
			continue
		}
		n++
	}
	return n
}

// askedFor is for how long a VM that asked counts as one that asks.
const askedFor = 2 * time.Second

func (m *Machine) liveRegions(d Digest) int {
	seen := make(map[string]bool)
	for _, vm := range m.roster {
		if !slices.Contains(d.Silent, vm) {
			seen[m.regions[vm]] = true
		}
	}
	return max(1, len(seen))
}

// Counter returns the VM that counts an account in a region: the first of its
// live VMs in an order that depends on the account, so that accounts are spread
// over them. It is empty if no VM of the region is known.
func (m *Machine) RateOwner(now time.Duration, region, account string) string {
	if left := m.leftOut(now); !slices.Equal(left, m.countersLeft) {
		m.countersLeft = left
		clear(m.counters)
	}
	key := counterKey{region, account}
	if vm, ok := m.counters[key]; ok {
		return vm
	}
	best, top := "", uint64(0)
	for _, vm := range m.roster {
		if m.regions[vm] != region || slices.Contains(m.countersLeft, vm) {
			continue
		}
		if h := xxhash.Sum64String(vm + "/" + account); best == "" || h > top {
			best, top = vm, h
		}
	}
	m.counters[key] = best
	return best
}

// leftOut returns the VMs that count no account, as far as the digest tells.
func (m *Machine) leftOut(now time.Duration) []string {
	d, fresh := m.Digest(now)
	if !fresh || !d.Settled {
		return nil
	}
	return m.left
}

// Callable reports whether callers may be sent to a VM, as far as the digest
// tells; known is false while it does not tell.
func (m *Machine) AcceptsCallers(now time.Duration) (callable func(vm string) bool, known bool) {
	d, fresh := m.Digest(now)
	if !fresh || !d.Settled || float64(len(d.Silent)) > deafShare*float64(d.RosterSize) {
		return nil, false
	}
	left := m.left
	return func(vm string) bool { return !slices.Contains(left, vm) }, true
}

// Leads reports whether this VM is the hub that sends digests now: it is the
// first hub, or the ones before it are silent.
func (m *Machine) SendsDigests(now time.Duration) bool {
	if len(m.members) == 0 {
		return false
	}
	if m.grouped() && !slices.Contains(m.Hubs(now), m.self) {
		return false
	}
	silent := silentAfter(len(m.roster))
	for _, vm := range m.roster {
		if vm == m.self {
			return true
		}
		if other := m.members[vm]; other != nil && now-other.heard < silent {
			return false
		}
		if m.heard && m.digest.Hub == vm && now-m.heardAt < hubTimeout(len(m.roster)) {
			return false
		}
	}
	return false
}

// Digests returns a digest for each VM that reported here lately and for each
// leader of a group; they differ only in what they confirm.
func (m *Machine) Digests(now time.Duration) map[string]Digest {
	silentAfter := silentAfter(len(m.roster))
	m.seq++
	base := Digest{
		Hub: m.self, Incarnation: m.born, Seq: m.seq, RosterSize: m.RosterSize(), Settled: now-m.started > silentAfter,
	}
	sum := newTotals()
	digests := make(map[string]Digest, len(m.roster))
	for _, vm := range m.roster {
		o := m.members[vm]
		if o == nil || now-o.heard >= silentAfter {
			base.Silent = append(base.Silent, vm)
			continue
		}
		base.Alive++
		if o.report.Unready {
			base.Unready = append(base.Unready, vm)
		}
		sum.addReport(o.report)
	}
	bundles := m.freshBundles(now)
	for _, b := range bundles {
		sum.addBundle(b.GroupReport)
	}
	base.Demand, base.Work, base.Pinned = sum.rounded()
	for _, vm := range m.roster {
		if o := m.members[vm]; o != nil && o.via == "" && now-o.heard < silentAfter {
			d := base
			d.Ack = o.report.Seq
			digests[vm] = d
		}
	}
	for _, b := range bundles {
		d := base
		d.Ack, d.AcksGroupReport = b.Seq, true
		digests[b.Leader] = d
	}
	return digests
}

// totals are what several VMs ask for: requests per second by account, and busy
// slots by region and service.
type totals struct {
	demand       map[string]float64
	work, pinned map[string]map[string]float64
}

func newTotals() totals {
	return totals{make(map[string]float64), make(map[string]map[string]float64), make(map[string]map[string]float64)}
}

func (t totals) addReport(r Report) {
	add(t.demand, r.Demand)
	addAll(t.work, r.Region, r.Work)
	for region, work := range r.Pinned {
		addAll(t.pinned, region, work)
	}
}

func (t totals) addBundle(b GroupReport) {
	add(t.demand, b.Demand)
	for region, work := range b.Work {
		addAll(t.work, region, work)
	}
	for region, work := range b.Pinned {
		addAll(t.pinned, region, work)
	}
}

func (t totals) rounded() (demand map[string]float64, work, pinned map[string]map[string]float64) {
	return rounded(t.demand), roundedAll(t.work), roundedAll(t.pinned)
}

func addAll(sums map[string]map[string]float64, region string, values map[string]float64) {
	if sums[region] == nil {
		sums[region] = make(map[string]float64)
	}
	add(sums[region], values)
}

func add(sum, values map[string]float64) {
	for k, v := range values {
		sum[k] += v
	}
}

// Gone returns the VMs whose entries may be removed from the store. Only the
// leading hub answers, and only once it has listened long enough.
func (m *Machine) RemovableVMs(now time.Duration) []string {
	if !m.SendsDigests(now) || now-m.started < RemovalTimeout {
		return nil
	}
	var gone []string
	for _, vm := range m.roster {
		if o := m.members[vm]; vm != m.self && (o == nil || now-o.heard > RemovalTimeout) {
			gone = append(gone, vm)
		}
	}
	return gone
}
