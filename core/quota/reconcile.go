package quota

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// MissingUnitsTimeout is how long the hints must show missing units before
	// the reconciler opens a round. Every holding is told once within 5 s.
	MissingUnitsTimeout = 6 * time.Second
	// minMissing is the number of units that justifies a round.
	minMissing = TotalUnits / 1024
	// reaskInterval is the time between requests to members that have not
	// reported.
	reaskInterval = 300 * time.Millisecond
)

// round is an open round at the reconciler.
type round struct {
	number   uint64
	limits   []string          // nil: all
	held     map[string]uint64 // sum of the reports
	reported map[int]bool      // by peer
	askedAt  time.Time
}

// rounds are the reconciler's open rounds and the last round number.
type rounds struct {
	open []*round
	last uint64
}

// EnterEpoch enters the epoch of the fleet; an epoch that is not newer is
// ignored, except to return after EnterEpoch(nil). With nil the VM holds
// nothing, as after an eviction.
func (m *Manager) EnterEpoch(now time.Time, f *peerv1.Fleet) []Send {
	if f == nil {
		m.dropAll()
		return nil
	}
	if m.fleet != nil && f.GetEpoch() <= m.fleet.GetEpoch() {
		m.member = m.member || f.GetEpoch() == m.fleet.GetEpoch()
		return nil
	}
	if self := memberOf(f, m.self); self.GetIncarnation() != m.incarnation {
		m.dropAll()
		m.incarnation = self.GetIncarnation()
		// Peers number their transfers to a new incarnation from 1 again.
		m.peers = nil
		for _, s := range m.order {
			s.hints = nil
		}
	}
	m.fleet, m.member, m.hintAll = f, true, true
	m.setPeers(f)
	m.purge(now)
	for _, s := range m.order {
		s.round, s.recorded, s.credited = 0, s.units, false
		s.missingSince, s.reconciled = time.Time{}, false
		s.asking.answers = 0
	}
	m.rounds = rounds{}
	var sends []Send
	if m.reconciler() == m.self {
		sends = m.openRound(now, nil)
	}
	sends = append(sends, m.replayEarly(now)...)
	return append(sends, m.shareWithJoined(now, f)...)
}

// shareWithJoined gives the member that the epoch adds an equal part of what is
// not needed here. Otherwise all units would stay with the first VM of a fleet
// until others ask for them, and its failure would stop every account.
func (m *Manager) shareWithJoined(now time.Time, f *peerv1.Fleet) []Send {
	p := m.peer(f.GetJoined().GetVm())
	if p < 0 {
		return nil
	}
	var sends []Send
	for _, s := range m.order {
		s.refill(now)
		spare := s.spareUnits(now, &peerv1.QuotaRequest{})
		units := spare / uint32(len(f.GetMembers()))
		if s.configured && !s.small && units >= s.minMove() {
			sends = append(sends, m.transfer(now, s, p, units, s.tokens*float64(units)/float64(s.units)))
		}
	}
	return sends
}

func memberOf(f *peerv1.Fleet, vm string) *peerv1.Member {
	for _, v := range f.GetMembers() {
		if v.GetVm() == vm {
			return v
		}
	}
	return nil
}

// dropAll gives up all units and tokens. What was recorded for the epoch stays,
// so that a late ReconcileRequest gets the same answer.
func (m *Manager) dropAll() {
	// The last round number stays: a number must not be used again in an epoch.
	m.member, m.rounds.open = false, nil
	for _, s := range m.order {
		s.units, s.tokens = 0, 0
		s.asking = asking{}
	}
}

// reconciler returns the VM that reconciles the current epoch.
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

// setPeers replaces the peers and keeps what is known of those that stay.
func (m *Manager) setPeers(f *peerv1.Fleet) {
	before := m.peers
	m.peers = nil
	regions := map[string]bool{}
	for _, v := range f.GetMembers() {
		regions[v.GetRegion()] = true
		if v.GetVm() == m.self {
			m.near = v.GetRegion()
			continue
		}
		p := &peer{member: v}
		for _, b := range before {
			if b.member.GetVm() == v.GetVm() && b.member.GetIncarnation() == v.GetIncarnation() {
				p.sequence, p.seen = b.sequence, b.seen
			}
		}
		m.peers = append(m.peers, p)
	}
	m.regions = len(regions)
	slices.SortFunc(m.peers, func(a, b *peer) int { return cmp.Compare(a.member.GetVm(), b.member.GetVm()) })
	for _, p := range m.peers {
		p.near = p.member.GetRegion() == m.near
	}
	for _, s := range m.order {
		hints := make([]peerHint, len(m.peers))
		for i, b := range before {
			if p := m.peer(b.member.GetVm()); p >= 0 && m.peers[p].member.GetIncarnation() == b.member.GetIncarnation() {
				hints[p] = s.hints[i]
			}
		}
		s.hints = hints
		m.setHome(s)
	}
}

// purge forgets limits removed long ago, together with their units. It runs at
// the entry into an epoch only, before the holdings are recorded.
func (m *Manager) purge(now time.Time) {
	m.order = slices.DeleteFunc(m.order, func(s *state) bool {
		old := !s.configured && now.Sub(s.removedAt) > removedMemory
		if old {
			delete(m.limits, s.limit.Name)
		}
		return old
	})
}

func (m *Manager) replayEarly(now time.Time) []Send {
	kept := m.future
	m.future = nil
	var sends []Send
	for _, e := range kept {
		sends = append(sends, m.Receive(now, e.from, e.msg)...)
	}
	return sends
}

// enterRound records the holding for the report of the round.
func (s *state) enterRound(number uint64) {
	s.round, s.recorded, s.credited = number, s.units, false
}

// openRound starts a round for the limits, nil for the round 0 of all limits.
func (m *Manager) openRound(now time.Time, limits []string) []Send {
	r := &round{limits: limits, held: map[string]uint64{}, reported: map[int]bool{}}
	if limits != nil {
		m.rounds.last++
		r.number = m.rounds.last
	}
	own := m.holdings(now, r.number, limits)
	r.add(own)
	m.rounds.open = append(m.rounds.open, r)
	return m.advance(now, r)
}

func (r *round) add(holdings []*peerv1.Holding) {
	for _, h := range holdings {
		r.held[h.GetLimit()] += uint64(h.GetUnits())
	}
}

// holdings enters the round for the limits and returns what was recorded. It
// returns nil for a limit that has entered a later round.
func (m *Manager) holdings(now time.Time, number uint64, limits []string) []*peerv1.Holding {
	out := []*peerv1.Holding{}
	if limits == nil {
		for _, s := range m.order {
			// A limit in a later round takes no credit of round 0.
			if s.recorded > 0 && s.round == 0 {
				out = append(out, &peerv1.Holding{Limit: s.limit.Name, Units: s.recorded})
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
		out = append(out, &peerv1.Holding{Limit: name, Units: s.recorded})
	}
	return out
}

// report answers the reconciler with the holdings recorded at the entry.
func (m *Manager) report(now time.Time, p int, q *peerv1.ReconcileRequest) []Send {
	if m.peers[p].member.GetVm() != m.reconciler() {
		return nil
	}
	limits := q.GetLimits()
	if q.GetRound() == 0 {
		limits = nil
	}
	holdings := m.holdings(now, q.GetRound(), limits)
	if holdings == nil {
		return nil
	}
	return []Send{m.send(p, &peerv1.Message{Kind: &peerv1.Message_ReconcileReport{ReconcileReport: &peerv1.ReconcileReport{
		Epoch: m.fleet.GetEpoch(), Round: q.GetRound(), Holdings: holdings,
	}}})}
}

// collect adds a report to its round, once for each member.
func (m *Manager) collect(now time.Time, p int, r *peerv1.ReconcileReport) []Send {
	for _, o := range m.rounds.open {
		if o.number == r.GetRound() && !o.reported[p] {
			o.reported[p] = true
			o.add(r.GetHoldings())
			return m.finish(now, o)
		}
	}
	return nil
}

// finish credits the missing units when all members have reported.
func (m *Manager) finish(now time.Time, r *round) []Send {
	if len(r.reported) < len(m.peers) {
		return nil
	}
	m.rounds.open = slices.DeleteFunc(m.rounds.open, func(o *round) bool { return o == r })
	credits := make([][]*peerv1.Holding, len(m.peers)+1)
	for _, s := range m.order {
		if s.round != r.number || !s.configured || r.limits != nil && !slices.Contains(r.limits, s.limit.Name) {
			continue
		}
		s.reconciled, s.lastRound, s.missingSince = true, now, time.Time{}
		if held := r.held[s.limit.Name]; held < TotalUnits {
			m.divideMissing(now, s, TotalUnits-uint32(held), credits)
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

// divideMissing adds the parts of the missing units to the credits; the last
// entry of credits is this VM's own.
func (m *Manager) divideMissing(now time.Time, s *state, missing uint32, credits [][]*peerv1.Holding) {
	demands := make([]uint32, len(m.peers)+1)
	for p := range m.peers {
		demands[p] = s.hints[p].demand
	}
	demands[len(m.peers)] = s.demandUnits(now)
	for p, units := range divide(missing, demands) {
		if units == 0 {
			continue
		}
		credits[p] = append(credits[p], &peerv1.Holding{Limit: s.limit.Name, Units: units})
		if p < len(m.peers) {
			s.hints[p].units += units
		}
	}
}

// credit adds the units of a credit of the reconciler.
func (m *Manager) credit(now time.Time, p int, c *peerv1.ReconcileCredit) []Send {
	if m.peers[p].member.GetVm() == m.reconciler() {
		m.applyCredit(now, c.GetRound(), c.GetHoldings())
	}
	return nil
}

// applyCredit adds units without tokens, once for each round and limit, and
// only while the limit has not entered a later round.
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

// reconcileTick asks members that have not reported, and opens rounds.
func (m *Manager) reconcileTick(now time.Time) []Send {
	if m.reconciler() != m.self {
		return nil
	}
	var sends []Send
	for _, r := range slices.Clone(m.rounds.open) {
		sends = append(sends, m.advance(now, r)...)
	}
	if limits := m.missingLimits(now); len(limits) > 0 {
		sends = append(sends, m.openRound(now, limits)...)
	}
	return sends
}

// advance asks the members that have not reported to the round.
func (m *Manager) advance(now time.Time, r *round) []Send {
	if len(m.peers) == 0 {
		return m.finish(now, r)
	}
	if now.Sub(r.askedAt) < reaskInterval {
		return nil
	}
	r.askedAt = now
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

// missingLimits returns the limits that need a round: limits declared since the
// last round of all limits, and limits whose units have been missing for
// MissingUnitsTimeout according to the hints.
func (m *Manager) missingLimits(now time.Time) []string {
	if slices.ContainsFunc(m.rounds.open, func(r *round) bool { return r.limits == nil }) {
		return nil
	}
	var out []string
	for _, s := range m.order {
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
		case known+minMissing > TotalUnits:
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
