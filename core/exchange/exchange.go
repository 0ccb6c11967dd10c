// Package exchange is the protocol by which the VMs of a fleet tell each other
// what they are asked for. Each VM reports to two hubs, the first two VMs in
// an order that all compute alike; the first hub that lives answers each VM
// with a digest: who is alive, its part of each account's rate, and the demand
// of each region. Messages grow with the number of VMs, not with its square.
//
// Any VM may be a hub; nothing is elected. If two VMs take themselves for the
// first hub, their digests differ for a while, and the tolerance of the rates
// covers it. A VM that hears no digest uses an equal part, which the hubs keep
// free for it.
package exchange

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiawind/cassiawind/core/ratelimit"
)

const (
	// SilentAfter is without a report for how long a VM counts as not alive.
	// It covers four lost reports at the shortest interval.
	SilentAfter = 2500 * time.Millisecond
	// DigestValid is for how long a VM uses a digest.
	DigestValid = 3 * time.Second
	// GoneAfter is without a report for how long a VM's entry is removed.
	GoneAfter = 20 * time.Second
	// minInterval is the interval of reports in a small fleet.
	minInterval = 500 * time.Millisecond
	// intervalPerVM bounds the digests that a hub sends to 80 per second.
	intervalPerVM = 12 * time.Millisecond
)

// Interval returns the time between two reports of a VM.
func Interval(vms int) time.Duration {
	return max(minInterval, time.Duration(vms)*intervalPerVM)
}

// Report is what a VM tells the hubs.
type Report struct {
	VM     string `json:"vm"`
	Region string `json:"region"`
	Born   int64  `json:"born"`
	Seq    uint64 `json:"seq"`
	// Demand is in requests per second for each client account, the rejected
	// ones included.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Work is the demand in busy slots for each service.
	Work map[string]float64 `json:"work,omitempty"`
	// Unready VMs are not named to callers.
	Unready bool `json:"unready,omitempty"`
}

// Digest is what a hub tells a VM.
type Digest struct {
	Hub string `json:"hub"`
	// Born and Seq order the digests of one hub.
	Born int64  `json:"born"`
	Seq  uint64 `json:"seq"`
	// Alive are the VMs that reported lately and are ready.
	Alive []string `json:"alive"`
	// Parts are this VM's fractions of the accounts' rates; an account that is
	// missing is divided equally among Size VMs.
	Parts map[string]float64 `json:"parts,omitempty"`
	Size  int                `json:"size"`
	// Work is the demand in busy slots by region and service.
	Work map[string]map[string]float64 `json:"work,omitempty"`
	// Settled is set once the hub has listened long enough to know who is not
	// alive.
	Settled bool `json:"settled,omitempty"`
}

// Rates returns the rate of a client account, 0 if it has none.
type Rates func(account string) float64

type member struct {
	report Report
	heard  time.Duration
}

// Machine is the state of one VM, as a member and as a possible hub. It is not
// safe for concurrent use.
type Machine struct {
	self    string
	born    int64
	started time.Duration
	roster  []string
	seq     uint64
	members map[string]*member
	digest  Digest
	rank    int
	heardAt time.Duration
	heard   bool
}

// New returns the machine of a VM that starts now.
func New(self string, born int64, now time.Duration) *Machine {
	return &Machine{self: self, born: born, started: now, members: make(map[string]*member)}
}

// SetRoster replaces the VMs that have an entry in the store.
func (m *Machine) SetRoster(vms []string) {
	roster := slices.Clone(vms)
	if !slices.Contains(roster, m.self) {
		roster = append(roster, m.self)
	}
	slices.SortFunc(roster, func(a, b string) int {
		ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	m.roster = roster
	for vm := range m.members {
		if !slices.Contains(roster, vm) {
			delete(m.members, vm)
		}
	}
}

// Size returns the number of VMs in the roster, at least 1.
func (m *Machine) Size() int { return max(1, len(m.roster)) }

// Hubs returns the VMs to report to now: the first two of the roster that are
// not known to be silent. Without a digest, which VMs live is not known and
// the window moves along the roster, so that a living hub is found.
func (m *Machine) Hubs(now time.Duration) []string {
	var hubs []string
	digest, fresh := m.Digest(now)
	if !fresh || !digest.Settled {
		return m.searchWindow(now)
	}
	for _, vm := range m.roster {
		if vm == digest.Hub || slices.Contains(digest.Alive, vm) {
			if hubs = append(hubs, vm); len(hubs) == hubCount {
				break
			}
		}
	}
	return hubs
}

const (
	// hubCount VMs get each report, so that one may fail without a gap.
	hubCount = 2
	// searchCount VMs get each report while no hub is known.
	searchCount = 4
)

func (m *Machine) searchWindow(now time.Duration) []string {
	if len(m.roster) == 0 {
		return nil
	}
	since := max(0, now-max(m.heardAt, m.started)-DigestValid)
	skip := int(since/time.Second) * hubCount % len(m.roster)
	var hubs []string
	for i := range min(searchCount, len(m.roster)) {
		hubs = append(hubs, m.roster[(skip+i)%len(m.roster)])
	}
	return hubs
}

// Report returns this VM's next report.
func (m *Machine) Report(region string, demand, work map[string]float64, ready bool) Report {
	m.seq++
	return Report{VM: m.self, Region: region, Born: m.born, Seq: m.seq, Demand: demand, Work: work, Unready: !ready}
}

// HandleReport takes a report of a VM, this one included.
func (m *Machine) HandleReport(now time.Duration, r Report) {
	old := m.members[r.VM]
	if old != nil && (r.Born < old.report.Born || r.Born == old.report.Born && r.Seq <= old.report.Seq) {
		return
	}
	m.members[r.VM] = &member{report: r, heard: now}
}

// HandleDigest takes a digest; one of a hub earlier in the roster counts more
// while it is fresh.
func (m *Machine) HandleDigest(now time.Duration, d Digest) {
	rank := slices.Index(m.roster, d.Hub)
	if rank < 0 {
		return
	}
	if m.heard && d.Hub == m.digest.Hub && (d.Born < m.digest.Born || d.Born == m.digest.Born && d.Seq <= m.digest.Seq) {
		return
	}
	if m.heard && d.Hub != m.digest.Hub && rank > m.rank && now-m.heardAt < hubTimeout(len(m.roster)) {
		return
	}
	m.digest, m.rank, m.heardAt, m.heard = d, rank, now, true
}

// hubTimeout is after how long without a digest the next hub is believed.
func hubTimeout(vms int) time.Duration { return 3 * Interval(vms) }

// Digest returns the newest digest and whether it may still be used.
func (m *Machine) Digest(now time.Duration) (Digest, bool) {
	return m.digest, m.heard && now-m.heardAt < DigestValid
}

// Leads reports whether this VM is the hub that answers now: it is the first
// hub, or the ones before it are silent.
func (m *Machine) Leads(now time.Duration) bool {
	if len(m.members) == 0 {
		return false
	}
	for _, vm := range m.roster {
		if vm == m.self {
			return true
		}
		if other := m.members[vm]; other != nil && now-other.heard < SilentAfter {
			return false
		}
		if m.heard && m.digest.Hub == vm && now-m.heardAt < hubTimeout(len(m.roster)) {
			return false
		}
	}
	return false
}

// Digests returns a digest for each VM that reported lately.
func (m *Machine) Digests(now time.Duration, rates Rates) map[string]Digest {
	var live, silent []string
	for _, vm := range m.roster {
		if o := m.members[vm]; o != nil && now-o.heard < SilentAfter {
			live = append(live, vm)
		} else {
			silent = append(silent, vm)
		}
	}
	m.seq++
	base := Digest{
		Hub: m.self, Born: m.born, Seq: m.seq, Size: m.Size(), Work: m.work(live),
		Settled: now-m.started > SilentAfter,
	}
	for _, vm := range live {
		if !m.members[vm].report.Unready {
			base.Alive = append(base.Alive, vm)
		}
	}
	parts := m.parts(live, len(silent), rates)
	digests := make(map[string]Digest, len(live))
	for i, vm := range live {
		d := base
		d.Parts = parts[i]
		digests[vm] = d
	}
	return digests
}

// parts divides each account's rate; silent VMs keep an equal part each, which
// is what they use without a digest.
func (m *Machine) parts(live []string, silent int, rates Rates) []map[string]float64 {
	parts := make([]map[string]float64, len(live))
	accounts := make(map[string]bool)
	for i, vm := range live {
		parts[i] = make(map[string]float64)
		for a := range m.members[vm].report.Demand {
			accounts[a] = true
		}
	}
	free := 1 - float64(silent)/float64(m.Size())
	demands := make([]float64, len(live))
	for account := range accounts {
		rate := rates(account)
		if rate <= 0 {
			continue
		}
		for i, vm := range live {
			demands[i] = m.members[vm].report.Demand[account]
		}
		for i, part := range ratelimit.Divide(rate*free, demands) {
			parts[i][account] = part * free
		}
	}
	return parts
}

func (m *Machine) work(live []string) map[string]map[string]float64 {
	work := make(map[string]map[string]float64)
	for _, vm := range live {
		r := m.members[vm].report
		byService := work[r.Region]
		if byService == nil {
			byService = make(map[string]float64)
			work[r.Region] = byService
		}
		for service, w := range r.Work {
			byService[service] += w
		}
	}
	return work
}

// Gone returns the VMs whose entries may be removed from the store. Only the
// leading hub answers, and only once it has listened long enough.
func (m *Machine) Gone(now time.Duration) []string {
	if !m.Leads(now) || now-m.started < GoneAfter {
		return nil
	}
	var gone []string
	for _, vm := range m.roster {
		if o := m.members[vm]; vm != m.self && (o == nil || now-o.heard > GoneAfter) {
			gone = append(gone, vm)
		}
	}
	return gone
}
