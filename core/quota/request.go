package quota

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// answerTimeout is the longest wait for the answers to requests: one round
	// trip between regions (110 ms) and some queueing.
	answerTimeout = 150 * time.Millisecond
	// deniedBackoff is the time for which a peer that denied a request, by a
	// transfer without units, is not asked again for the same limit.
	deniedBackoff = 150 * time.Millisecond
	// homeDeniedBackoff is deniedBackoff for homes. It is shorter because unused
	// units are returned to the home.
	homeDeniedBackoff = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff before the next cycle of requests
	// if there is no peer to ask. It doubles each time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// requestAheadTime is the time for which a VM requests tokens in advance if
	// its units earn less than its demand: one round trip between regions.
	requestAheadTime = 110 * time.Millisecond
	// ownRefillTimeout is how long a VM waits for its own units to earn tokens
	// instead of requesting units. With 110 ms, one round trip between regions,
	// requests at a VM that earned slightly less than its demand waited for all
	// of MaxWait.
	ownRefillTimeout = 60 * time.Millisecond
	// requestCycleInterval is the minimum time between cycles of requests while
	// answers are outstanding.
	requestCycleInterval = 10 * time.Millisecond
	// maxReplacementRequests bounds how often in one cycle another peer is asked
	// immediately after one that denied the request.
	maxReplacementRequests = 3
	// maxPeersPerCycle bounds the peers asked in one cycle.
	maxPeersPerCycle = 16
	// demandMargin is the ratio of the units that a VM aims to hold to its
	// demand.
	demandMargin = 1.25
	// shortageMargin is the ratio of held units to demand below which a VM requests
	// more although no request waits. It is below demandMargin because the average
	// demand fluctuates. Without this distance, VMs move units back and forth, and
	// units in flight earn no tokens.
	shortageMargin = 1.05
	// rebalanceInterval is the minimum time between requests that are made
	// because of the demand alone, while no request waits.
	rebalanceInterval = time.Second
	// minTransferUnits is the minimum number of units moved because of the demand
	// alone. For limits of which these units could not hold a token, minTransfer
	// returns more.
	minTransferUnits = TotalUnits / 128
)

// requestState is the state of the requests of this VM for units of one limit.
type requestState struct {
	cycleStartedAt  time.Time // start of the last cycle
	requestedTokens float64   // requested in the last cycle
	deadline        time.Time // end of the wait for answers
	pending         int       // answers not yet received
	// isReplacing is set while another peer is asked in place of one that denied
	// the request.
	isReplacing  bool
	replacements int       // such requests in this cycle
	rebalancedAt time.Time // last request because of the demand alone
	backoffUntil time.Time
	backoff      time.Duration
}

// tokensToRequest returns the tokens to request now, given the tokens that are
// missing for the waiting requests. While answers are outstanding, another cycle
// starts only if at least twice the requested tokens are missing.
func (r *requestState) tokensToRequest(now time.Time, tokens float64) float64 {
	if !r.awaiting(now) {
		return tokens
	}
	if now.Sub(r.cycleStartedAt) < requestCycleInterval || tokens < 2*r.requestedTokens {
		return 0
	}
	return tokens - r.requestedTokens
}

// inShortBackoff reports whether requests are paused but start again soon. A
// peer may have denied a request only because it has not yet noticed that its
// traffic has moved away.
func (r *requestState) inShortBackoff(now time.Time) bool {
	return now.Before(r.backoffUntil) && r.backoff <= 2*minBackoff
}

// awaiting reports whether answers are outstanding.
func (r *requestState) awaiting(now time.Time) bool { return r.pending > 0 && now.Before(r.deadline) }

func (r *requestState) recordAnswer(units uint32) {
	r.pending = max(0, r.pending-1)
	if units > 0 {
		r.backoff = 0
		r.backoffUntil = time.Time{}
	}
}

// backOff pauses the requests after a cycle that found no peer to ask.
func (r *requestState) backOff(now time.Time) {
	r.backoff = min(max(minBackoff, 2*r.backoff), maxBackoff)
	r.backoffUntil = now.Add(r.backoff)
}

// candidate is a peer that may be asked for units.
type candidate struct {
	peer    int
	surplus int64
	units   uint32
}

// needsRebalance reports whether the demand justifies more units although no
// request waits.
func (m *Manager) needsRebalance(now time.Time, s *limitState) bool {
	if now.Sub(s.requests.rebalancedAt) < rebalanceInterval {
		return false
	}
	demand := s.demandUnits(now)
	want := targetUnits(demand)
	return float64(s.units) < float64(demand)*shortageMargin && want-s.units >= s.minTransfer()
}

// minTransfer returns the minimum number of units moved because of the demand
// alone. Units that cannot hold a token are not worth a message.
func (s *limitState) minTransfer() uint32 { return max(minTransferUnits, s.unitsFor(1)) }

// targetUnits returns the units that a VM with the demand aims to hold.
func targetUnits(demandUnits uint32) uint32 {
	return uint32(min(float64(demandUnits)*demandMargin, TotalUnits))
}

// ownRefillTime returns the time in which this VM's units earn the tokens that
// the waiting requests need, at least one token.
func (s *limitState) ownRefillTime(now time.Time) time.Duration {
	rate := s.rate()
	if rate <= 0 {
		return MaxWait
	}
	seconds := max(1, s.waiting.total(now)-s.tokens) / rate
	return min(MaxWait, time.Duration(seconds*float64(time.Second)))
}

// ownUnitsSuffice reports whether this VM's units can hold n tokens and earn the
// tokens of the waiting requests within the time.
func (s *limitState) ownUnitsSuffice(now time.Time, n float64, within time.Duration) bool {
	return s.capacity() >= n && s.ownRefillTime(now) < within
}

// requestForWaiting requests the tokens that this VM's units do not earn before
// an answer could arrive. Requesting more would keep units in flight without
// need.
func (m *Manager) requestForWaiting(now time.Time, s *limitState) []Send {
	waiting := s.waiting.total(now)
	if waiting == 0 || s.ownUnitsSuffice(now, 1, ownRefillTimeout) {
		return nil
	}
	missing := waiting - s.tokens
	if s.capacity() >= 1 {
		missing -= s.rate() * ownRefillTimeout.Seconds()
	}
	if short := s.demand.perSecond(now) - s.rate(); short > 0 {
		missing += short * requestAheadTime.Seconds()
	}
	return m.requestUnits(now, s, max(1, missing))
}

// requestUnits sends requests for units, and also for tokens if a request waits
// (tokens > 0).
func (m *Manager) requestUnits(now time.Time, s *limitState, tokens float64) []Send {
	if m.leaving || len(m.peers) == 0 || s.units == TotalUnits || now.Before(s.requests.backoffUntil) {
		return nil
	}
	demand := s.demandUnits(now)
	need := int64(targetUnits(demand)) - int64(s.units)
	if tokens > 0 {
		tokens = min(s.requests.tokensToRequest(now, tokens), s.limit.Burst)
		if tokens <= 0 {
			return nil
		}
		need = max(need, int64(s.unitsFor(tokens)), int64(s.unitsFor(s.tokens+tokens))-int64(s.units))
	} else if s.requests.awaiting(now) {
		return nil
	}
	need = min(need, TotalUnits-int64(s.units))
	if need <= 0 {
		return nil
	}
	chosen := m.selectPeers(now, s, need, tokens > 0)
	if len(chosen) == 0 {
		if tokens > 0 {
			s.requests.backOff(now)
		}
		return nil
	}
	if !s.requests.awaiting(now) {
		s.requests.pending, s.requests.requestedTokens, s.requests.replacements = 0, 0, 0
	}
	if tokens == 0 {
		s.requests.rebalancedAt = now
	}
	s.requests.cycleStartedAt, s.requests.deadline = now, now.Add(answerTimeout)
	s.requests.requestedTokens += tokens
	s.requests.pending += len(chosen)
	sends := make([]Send, 0, len(chosen))
	for _, c := range chosen {
		s.hints[c.peer].requestedAt = now
		sends = append(sends, m.send(c.peer, &peerv1.Message{Kind: &peerv1.Message_QuotaRequest{QuotaRequest: &peerv1.QuotaRequest{
			Epoch: m.fleet.GetEpoch(), Limit: s.limit.Name, Units: uint32(c.surplus),
			MilliTokens: milliTokensFor(tokens, c.surplus, need), HeldUnits: s.units, DemandUnits: demand,
		}}}))
	}
	return sends
}

// milliTokensFor returns the tokens, in thousandths, to request from a peer that
// is asked for some of the needed units. It is at least one token if any is
// needed.
func milliTokensFor(tokens float64, units, need int64) uint64 {
	if tokens <= 0 {
		return 0
	}
	return uint64(milliPerToken * min(tokens, max(1, tokens*float64(units)/float64(need))))
}

// selectPeers selects the peers to ask. In the result, candidate.surplus is the
// number of units to request from the peer. Peers of the same region come first
// because they answer within milliseconds. If a request waits, peers without a
// known surplus are asked too, because hints lag behind traffic that moves.
// Peers without units are asked only if no other peers are known.
func (m *Manager) selectPeers(now time.Time, s *limitState, need int64, waiting bool) []candidate {
	all := m.candidateBuffer[:0]
	known := slices.ContainsFunc(s.hints, func(h peerHint) bool {
		return h.units > 0 && now.Sub(h.deniedAt) >= deniedBackoff
	})
	for i := range m.peers {
		h := &s.hints[i]
		if !s.mayRequestFrom(now, i, deniedBackoff) {
			continue
		}
		surplus := int64(h.units) - int64(h.demand)
		if surplus > 0 || waiting && (h.units > 0 || !known) {
			all = append(all, candidate{peer: i, surplus: max(surplus, 0), units: h.units})
		}
	}
	m.candidateBuffer = all
	m.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b candidate) int {
		if na, nb := m.surplusRank(s, a), m.surplusRank(s, b); na != nb {
			return cmp.Compare(nb, na)
		}
		return cmp.Or(cmp.Compare(b.surplus, a.surplus), cmp.Compare(b.units, a.units))
	})
	chosen := make([]candidate, 0, 4)
	left, limit := need, maxPeersPerCycle
	if s.usesHome && waiting {
		chosen = append(chosen, m.selectHomes(now, s, need)...)
		limit = max(2, len(chosen)+1)
	}
	for _, c := range all {
		if left <= 0 || len(chosen) == limit {
			break
		}
		if slices.ContainsFunc(chosen, func(o candidate) bool { return o.peer == c.peer }) {
			continue
		}
		if c.surplus == 0 {
			// If no surplus is known, two peers are asked for all of it.
			if len(chosen) >= 2 {
				break
			}
			c.surplus = left
			chosen = append(chosen, c)
			continue
		}
		c.surplus = min(c.surplus, left)
		left -= c.surplus
		chosen = append(chosen, c)
	}
	return chosen
}

// surplusRank returns 2 for a peer of the same region whose surplus can hold a
// token, 1 for such a peer of another region, and 0 for other peers.
func (m *Manager) surplusRank(s *limitState, c candidate) int {
	switch {
	case c.surplus == 0 || s.limit.Burst*float64(c.surplus) < TotalUnits:
		return 0
	case m.peers[c.peer].sameRegion:
		return 2
	}
	return 1
}

func (m *Manager) send(p int, msg *peerv1.Message) Send {
	return Send{To: m.peers[p].member.GetVm(), Message: msg}
}
