package quota

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// MissingUnitsTimeout is how long the hints must show missing units before
	// the reconciler opens a round. Peers learn of every holding within 5 s.
	MissingUnitsTimeout = 6 * time.Second
	// minMissingUnits is the minimum number of missing units for which a round is
	// opened.
	minMissingUnits = TotalUnits / 1024
	// reportRequestInterval is the time between requests to members that have not
	// reported.
	reportRequestInterval = 300 * time.Millisecond
)

// round is an open round at the reconciler.
type round struct {
	number        uint64
	limits        []string          // nil for all limits
	reportedUnits map[string]uint64 // sum of the reports by limit
	reported      map[int]bool      // by index of Manager.peers
	requestedAt   time.Time
}

// rounds holds the reconciler's open rounds and the last round number.
type rounds struct {
	open       []*round
	lastNumber uint64
}

// EnterEpoch enters the epoch of the fleet. An epoch that is not newer is
// ignored, except to become a member again after EnterEpoch(nil). With nil the VM
// gives up all units, as after an eviction.
func (m *Manager) EnterEpoch(now time.Time, f *peerv1.Fleet) []Send {
	if f == nil {
		m.dropHoldings()
		return nil
	}
	if m.fleet != nil && f.GetEpoch() <= m.fleet.GetEpoch() {
		m.member = m.member || f.GetEpoch() == m.fleet.GetEpoch()
		return nil
	}
	if self := findMember(f, m.self); self.GetIncarnation() != m.incarnation {
		m.dropHoldings()
		m.incarnation = self.GetIncarnation()
		// Peers number their transfers to a new incarnation from 1.
		m.peers = nil
		for _, s := range m.sorted {
			s.hints = nil
		}
	}
	m.fleet, m.member, m.hintAllLimits = f, true, true
	m.setPeers(f)
	m.purgeRemovedLimits(now)
	for _, s := range m.sorted {
		s.round, s.recordedUnits, s.credited = 0, s.units, false
		s.missingSince, s.reconciled = time.Time{}, false
		s.requests.pending = 0
	}
	m.rounds = rounds{}
	var sends []Send
	if m.reconciler() == m.self {
		sends = m.openRound(now, nil)
	}
	sends = append(sends, m.handleEarlyMessages(now)...)
	return append(sends, m.shareWithJoinedMember(now, f)...)
}

// shareWithJoinedMember gives the member that the epoch adds an equal share of
// the units that are not needed here. Otherwise all units would stay with the
// first VM of a fleet until others request them, and its failure would stop every
// account.
func (m *Manager) shareWithJoinedMember(now time.Time, f *peerv1.Fleet) []Send {
	p := m.peerIndex(f.GetJoined().GetVm())
	if p < 0 {
		return nil
	}
	var sends []Send
	for _, s := range m.sorted {
		s.refill(now)
		spare := s.spareUnits(now, &peerv1.QuotaRequest{})
		units := spare / uint32(len(f.GetMembers()))
		if s.configured && !s.usesHome && units >= s.minTransfer() {
			sends = append(sends, m.transfer(now, s, p, units, s.tokens*float64(units)/float64(s.units)))
		}
	}
	return sends
}

func findMember(f *peerv1.Fleet, vm string) *peerv1.Member {
	for _, v := range f.GetMembers() {
		if v.GetVm() == vm {
			return v
		}
	}
	return nil
}

// dropHoldings gives up all units and tokens. The holdings recorded for the epoch
// are kept, so that a late ReconcileRequest gets the same answer.
func (m *Manager) dropHoldings() {
	// The last round number is kept because a number must not be reused in an epoch.
	m.member, m.rounds.open = false, nil
	for _, s := range m.sorted {
		s.units, s.tokens = 0, 0
		s.requests = requestState{}
	}
}

// reconciler returns the VM that reconciles the latest epoch.
func (m *Manager) reconciler() string {
	first := ""
	for _, v := range m.fleet.GetMembers() {
		if v.GetVm() == m.fleet.GetWriterVm() {
			return v.GetVm()
		}
		if first == "" || v.GetVm() < first {
			first = v.GetVm()
		}
	}
	return first
}

// setPeers replaces the peers and keeps the state of those that remain.
func (m *Manager) setPeers(f *peerv1.Fleet) {
	previous := m.peers
	m.peers = nil
	regions := map[string]bool{}
	for _, v := range f.GetMembers() {
		regions[v.GetRegion()] = true
		if v.GetVm() == m.self {
			m.region = v.GetRegion()
			continue
		}
		p := &peer{member: v}
		for _, b := range previous {
			if b.member.GetVm() == v.GetVm() && b.member.GetIncarnation() == v.GetIncarnation() {
				p.sequence, p.received = b.sequence, b.received
			}
		}
		m.peers = append(m.peers, p)
	}
	m.regionCount = len(regions)
	slices.SortFunc(m.peers, func(a, b *peer) int { return cmp.Compare(a.member.GetVm(), b.member.GetVm()) })
	for _, p := range m.peers {
		p.sameRegion = p.member.GetRegion() == m.region
	}
	for _, s := range m.sorted {
		hints := make([]peerHint, len(m.peers))
		for i, b := range previous {
			if p := m.peerIndex(b.member.GetVm()); p >= 0 && m.peers[p].member.GetIncarnation() == b.member.GetIncarnation() {
				hints[p] = s.hints[i]
			}
		}
		s.hints = hints
		m.assignHomes(s)
	}
}

// purgeRemovedLimits deletes limits whose grace period has ended, together with
// their units. It runs only at the entry into an epoch, before the holdings are
// recorded.
func (m *Manager) purgeRemovedLimits(now time.Time) {
	m.sorted = slices.DeleteFunc(m.sorted, func(s *limitState) bool {
		purgeable := !s.configured && now.Sub(s.removedAt) > removedLimitGracePeriod
		if purgeable {
			delete(m.limits, s.limit.Name)
		}
		return purgeable
	})
}

func (m *Manager) handleEarlyMessages(now time.Time) []Send {
	messages := m.earlyMessages
	m.earlyMessages = nil
	var sends []Send
	for _, e := range messages {
		sends = append(sends, m.Receive(now, e.from, e.msg)...)
	}
	return sends
}

// enterRound records the holding for the report of the round.
func (s *limitState) enterRound(number uint64) {
	s.round, s.recordedUnits, s.credited = number, s.units, false
}

// openRound starts a round for the limits, or round 0 for all limits if limits is
// nil.
func (m *Manager) openRound(now time.Time, limits []string) []Send {
	r := &round{limits: limits, reportedUnits: map[string]uint64{}, reported: map[int]bool{}}
	if limits != nil {
		m.rounds.lastNumber++
		r.number = m.rounds.lastNumber
	}
	own := m.recordedHoldings(now, r.number, limits)
	r.addHoldings(own)
	m.rounds.open = append(m.rounds.open, r)
	return m.requestReports(now, r)
}

func (r *round) addHoldings(holdings []*peerv1.Holding) {
	for _, h := range holdings {
		r.reportedUnits[h.GetLimit()] += uint64(h.GetUnits())
	}
}

// recordedHoldings enters the round for the limits and returns the holdings that
// were recorded on entry. It returns nil if one of the limits has entered a
// later round.
func (m *Manager) recordedHoldings(now time.Time, number uint64, limits []string) []*peerv1.Holding {
	out := []*peerv1.Holding{}
	if limits == nil {
		for _, s := range m.sorted {
			// A limit in a later round accepts no credit of round 0.
			if s.recordedUnits > 0 && s.round == 0 {
				out = append(out, &peerv1.Holding{Limit: s.limit.Name, Units: s.recordedUnits})
			}
		}
		return out
	}
	for _, name := range limits {
		s := m.state(now, name)
		if number > s.round {
			s.enterRound(number)
		}
		if s.round > number {
			return nil
		}
		out = append(out, &peerv1.Holding{Limit: name, Units: s.recordedUnits})
	}
	return out
}

// handleReconcileRequest answers the reconciler with the holdings recorded when
// the round was entered.
func (m *Manager) handleReconcileRequest(now time.Time, p int, q *peerv1.ReconcileRequest) []Send {
	if m.peers[p].member.GetVm() != m.reconciler() {
		return nil
	}
	limits := q.GetLimits()
	if q.GetRound() == 0 {
		limits = nil
	}
	holdings := m.recordedHoldings(now, q.GetRound(), limits)
	if holdings == nil {
		return nil
	}
	return []Send{m.send(p, &peerv1.Message{Kind: &peerv1.Message_ReconcileReport{ReconcileReport: &peerv1.ReconcileReport{
		Epoch: m.fleet.GetEpoch(), Round: q.GetRound(), Holdings: holdings,
	}}})}
}

// handleReconcileReport adds a report to its round, once for each member.
func (m *Manager) handleReconcileReport(now time.Time, p int, r *peerv1.ReconcileReport) []Send {
	for _, o := range m.rounds.open {
		if o.number == r.GetRound() && !o.reported[p] {
			o.reported[p] = true
			o.addHoldings(r.GetHoldings())
			return m.finishRound(now, o)
		}
	}
	return nil
}

// finishRound credits the missing units once all members have reported.
func (m *Manager) finishRound(now time.Time, r *round) []Send {
	if len(r.reported) < len(m.peers) {
		return nil
	}
	m.rounds.open = slices.DeleteFunc(m.rounds.open, func(o *round) bool { return o == r })
	credits := make([][]*peerv1.Holding, len(m.peers)+1)
	for _, s := range m.sorted {
		if s.round != r.number || !s.configured || r.limits != nil && !slices.Contains(r.limits, s.limit.Name) {
			continue
		}
		s.reconciled, s.lastRoundAt, s.missingSince = true, now, time.Time{}
		if reported := r.reportedUnits[s.limit.Name]; reported < TotalUnits {
			m.divideMissingUnits(now, s, TotalUnits-uint32(reported), credits)
		}
	}
	m.applyCredit(now, r.number, credits[len(m.peers)])
	var sends []Send
	for p := range m.peers {
		if len(credits[p]) > 0 {
			sends = append(sends, m.send(p, &peerv1.Message{Kind: &peerv1.Message_ReconcileCredit{ReconcileCredit: &peerv1.ReconcileCredit{
				Epoch: m.fleet.GetEpoch(), Round: r.number, Holdings: credits[p],
			}}}))
		}
	}
	return sends
}

// divideMissingUnits adds the missing units of a limit to the credits, divided by
// demand. The last entry of credits is this VM's own.
func (m *Manager) divideMissingUnits(now time.Time, s *limitState, missing uint32, credits [][]*peerv1.Holding) {
	demands := make([]uint32, len(m.peers)+1)
	for p := range m.peers {
		demands[p] = s.hints[p].demand
	}
	demands[len(m.peers)] = s.demandUnits(now)
	for p, units := range divideByDemand(missing, demands) {
		if units == 0 {
			continue
		}
		credits[p] = append(credits[p], &peerv1.Holding{Limit: s.limit.Name, Units: units})
		if p < len(m.peers) {
			s.hints[p].units += units
		}
	}
}

// handleReconcileCredit adds the units of a credit of the reconciler.
func (m *Manager) handleReconcileCredit(now time.Time, p int, c *peerv1.ReconcileCredit) []Send {
	if m.peers[p].member.GetVm() == m.reconciler() {
		m.applyCredit(now, c.GetRound(), c.GetHoldings())
	}
	return nil
}

// applyCredit adds units without tokens, once for each round and limit, and only
// while the limit has not entered a later round.
func (m *Manager) applyCredit(now time.Time, number uint64, holdings []*peerv1.Holding) {
	for _, h := range holdings {
		s := m.state(now, h.GetLimit())
		if s.round != number || s.credited {
			continue
		}
		s.credited = true
		s.add(now, h.GetUnits(), 0)
	}
}

// reconcileTick requests missing reports and opens rounds if this VM is the
// reconciler.
func (m *Manager) reconcileTick(now time.Time) []Send {
	if m.reconciler() != m.self {
		return nil
	}
	var sends []Send
	for _, r := range slices.Clone(m.rounds.open) {
		sends = append(sends, m.requestReports(now, r)...)
	}
	if limits := m.limitsToReconcile(now); len(limits) > 0 {
		sends = append(sends, m.openRound(now, limits)...)
	}
	return sends
}

// requestReports requests a report from the members that have not reported to the
// round.
func (m *Manager) requestReports(now time.Time, r *round) []Send {
	if len(m.peers) == 0 {
		return m.finishRound(now, r)
	}
	if now.Sub(r.requestedAt) < reportRequestInterval {
		return nil
	}
	r.requestedAt = now
	var sends []Send
	for p := range m.peers {
		if !r.reported[p] {
			sends = append(sends, m.send(p, &peerv1.Message{Kind: &peerv1.Message_ReconcileRequest{ReconcileRequest: &peerv1.ReconcileRequest{
				Epoch: m.fleet.GetEpoch(), Round: r.number, Limits: r.limits,
			}}}))
		}
	}
	return sends
}

// limitsToReconcile returns the limits that need a round: those declared since
// the last round of all limits, and those whose units have been missing for
// MissingUnitsTimeout according to the hints.
func (m *Manager) limitsToReconcile(now time.Time) []string {
	if slices.ContainsFunc(m.rounds.open, func(r *round) bool { return r.limits == nil }) {
		return nil
	}
	var out []string
	for _, s := range m.sorted {
		if !s.configured || m.inOpenRound(s.limit.Name) {
			continue
		}
		if !s.reconciled {
			out = append(out, s.limit.Name)
			continue
		}
		known := uint64(s.units)
		for p := range s.hints {
			known += uint64(s.hints[p].units)
		}
		switch {
		case known+minMissingUnits > TotalUnits:
			s.missingSince = time.Time{}
		case s.missingSince.IsZero():
			s.missingSince = now
		case now.Sub(s.missingSince) >= MissingUnitsTimeout:
			out = append(out, s.limit.Name)
		}
	}
	return out
}

func (m *Manager) inOpenRound(name string) bool {
	return slices.ContainsFunc(m.rounds.open, func(r *round) bool { return slices.Contains(r.limits, name) })
}
