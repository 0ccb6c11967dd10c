package exchange

import (
	"math"
	"slices"
	"time"
)

// rounded rounds to tenths to keep messages short: a tenth of a request per
// second is less than any limit distinguishes.
func rounded(values map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(values))
	for k, v := range values {
		if v = math.Round(v*10) / 10; v > 0 {
			out[k] = v
		}
	}
	return out
}

// HandleReport processes a report of a VM, which may be this VM.
func (m *Machine) HandleReport(now time.Duration, r Report) {
	old := m.receivedReports[r.VM]
	if old != nil && r.Incarnation == old.report.Incarnation && r.Seq <= old.report.Seq {
		return
	}
	m.limits.MergeReported(now, r.Limits)
	m.suspects.MergeReported(now, r.Suspects)
	r.Limits, r.Suspects = nil, nil
	delete(m.removedAt, r.VM)
	m.receivedReports[r.VM] = &receivedReport{report: r, lastSeenAt: now}
}

// SendsDigests reports whether this VM is the hub that sends digests at now: it is
// the first hub, or the hubs before it are silent.
func (m *Machine) SendsDigests(now time.Duration) bool {
	if len(m.receivedReports) == 0 {
		return false
	}
	if m.usesGroups() && !slices.Contains(m.Hubs(now), m.self) {
		return false
	}
	timeout := silenceTimeout(len(m.roster))
	for _, vm := range m.roster {
		if vm == m.self {
			return true
		}
		if other := m.receivedReports[vm]; other != nil && now-other.lastSeenAt < timeout {
			return false
		}
		if m.hasDigest && m.digest.Hub == vm && now-m.digestAt < hubTimeout(len(m.roster)) {
			return false
		}
	}
	return false
}

// Digests returns a digest for each VM that reported here recently and for each
// group leader. They differ only in what they acknowledge.
func (m *Machine) Digests(now time.Duration) map[string]Digest {
	timeout := silenceTimeout(len(m.roster))
	m.awaitReports(now)
	m.seq++
	base := Digest{
		Hub: m.self, Incarnation: m.incarnation, Seq: m.seq, RosterSize: m.RosterSize(), Settled: now-m.started > timeout,
	}
	sum := newTotals()
	digests := make(map[string]Digest, len(m.roster))
	for _, vm := range m.roster {
		known := m.receivedReports[vm]
		if known == nil || now-known.lastSeenAt >= timeout {
			base.Silent = append(base.Silent, vm)
			continue
		}
		base.Alive++
		if known.report.Unready {
			base.Unready = append(base.Unready, vm)
		}
		sum.addReport(known.report)
	}
	groupReports := m.currentGroupReports(now)
	for _, r := range groupReports {
		sum.addGroupReport(r.GroupReport)
	}
	base.Demand, base.Work, base.Pinned = sum.rounded()
	base.Limits, base.Suspects = m.limits.Known(now), m.suspects.Known(now)
	for _, vm := range m.roster {
		if known := m.receivedReports[vm]; known != nil && known.via == "" && now-known.lastSeenAt < timeout {
			d := base
			d.Ack = known.report.Seq
			digests[vm] = d
		}
	}
	for _, r := range groupReports {
		d := base
		d.Ack, d.AcksGroupReport = r.Seq, true
		digests[r.Leader] = d
	}
	return digests
}

// totals is the demand of several VMs: requests per second by account, and busy
// slots by region and service.
type totals struct {
	demand       map[string]float64
	work, pinned map[string]map[string]float64
}

func newTotals() totals {
	return totals{make(map[string]float64), make(map[string]map[string]float64), make(map[string]map[string]float64)}
}

func (t totals) addReport(r Report) {
	addTo(t.demand, r.Demand)
	addToRegion(t.work, r.Region, r.Work)
	for region, work := range r.Pinned {
		addToRegion(t.pinned, region, work)
	}
}

func (t totals) addGroupReport(r GroupReport) {
	addTo(t.demand, r.Demand)
	for region, work := range r.Work {
		addToRegion(t.work, region, work)
	}
	for region, work := range r.Pinned {
		addToRegion(t.pinned, region, work)
	}
}

func (t totals) rounded() (demand map[string]float64, work, pinned map[string]map[string]float64) {
	return rounded(t.demand), roundedAll(t.work), roundedAll(t.pinned)
}

func addToRegion(sums map[string]map[string]float64, region string, values map[string]float64) {
	if sums[region] == nil {
		sums[region] = make(map[string]float64)
	}
	addTo(sums[region], values)
}

func addTo(sum, values map[string]float64) {
	for k, v := range values {
		sum[k] += v
	}
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
