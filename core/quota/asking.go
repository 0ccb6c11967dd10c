package quota

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// answerTime bounds the wait for the answers to requests: one round trip
	// between regions (110 ms) and some queueing.
	answerTime = 150 * time.Millisecond
	// deniedMemory is how long a peer that could give nothing is not asked
	// again for the same limit.
	deniedMemory = 300 * time.Millisecond
	// homeDeniedMemory is shorter, since units come back to the home.
	homeDeniedMemory = 100 * time.Millisecond
	// After all peers could give nothing, the next cycle of requests waits
	// for a pause that doubles from minPause to maxPause.
	minPause = 100 * time.Millisecond
	maxPause = 1600 * time.Millisecond
	// tokenHorizon is the time for which tokens are asked in advance.
	tokenHorizon = 250 * time.Millisecond
	// lowHorizon is the time that the tokens last when more are asked for.
	lowHorizon = 120 * time.Millisecond
	// cycleInterval is the least time between cycles with answers outstanding.
	cycleInterval = 10 * time.Millisecond
	// minRateTime is the least time over which waiting requests make a rate.
	minRateTime  = 50 * time.Millisecond
	rateRequests = 4
	// maxAsked bounds the peers asked in one cycle.
	maxAsked = 16
	// demandMargin is how much more than the demand a VM wants to hold.
	demandMargin = 1.25
	// minMove is the least number of units moved for the demand alone, if they
	// hold a token.
	minMove = TotalUnits / 128
)

// asking is the state of the requests of one limit.
type asking struct {
	at       time.Time // start of the last cycle
	tokens   float64   // asked for in the last cycle
	until    time.Time // end of the wait for answers
	answers  int       // outstanding
	pausedTo time.Time
	pause    time.Duration

	waitingTokens float64 // of refused requests that may be waiting
	waitingFrom   time.Time
	waitingAt     time.Time
}

func (a *asking) wait(now time.Time, n float64) {
	if a.waiting(now) == 0 {
		a.waitingTokens, a.waitingFrom = 0, now
	}
	a.waitingTokens += n
	a.waitingAt = now
}

func (a *asking) waiting(now time.Time) float64 {
	if now.Sub(a.waitingAt) > MaxWait {
		return 0
	}
	return a.waitingTokens
}

// waitingRate estimates the demand from the requests that wait beyond the first
// rateRequests, in tokens per second. Few requests make no rate.
func (a *asking) waitingRate(now time.Time) float64 {
	return max(0, a.waiting(now)-rateRequests) / max(now.Sub(a.waitingFrom), minRateTime).Seconds()
}

// busy tells whether a further cycle has to wait. While answers are
// outstanding, a cycle starts only when the waiting requests have doubled.
func (a *asking) busy(now time.Time) bool {
	if now.Before(a.pausedTo) {
		return true
	}
	return a.open(now) && (now.Sub(a.at) < cycleInterval || a.waiting(now) < 2*a.tokens || a.tokens == 0)
}

// open tells whether answers are outstanding.
func (a *asking) open(now time.Time) bool { return a.answers > 0 && now.Before(a.until) }

func (a *asking) answered(units uint32) {
	a.answers = max(0, a.answers-1)
	if units > 0 {
		a.pause = 0
		a.pausedTo = time.Time{}
	}
}

// stop pauses the requests after a cycle that found nobody to ask.
func (a *asking) stop(now time.Time) {
	a.pause = min(max(minPause, 2*a.pause), maxPause)
	a.pausedTo = now.Add(a.pause)
}

// candidate is a peer that may be asked.
type candidate struct {
	peer    int
	surplus int64
	units   uint32
}

// low tells that the tokens of a busy limit end before a request for more
// could be answered.
func (s *state) low(now time.Time) bool {
	reserve := s.demand.perSecond(now) * lowHorizon.Seconds()
	return reserve >= 1 && s.tokens < reserve && s.units < TotalUnits
}

// wantsMore tells whether the demand justifies more units although no request
// waits.
func (m *Manager) wantsMore(now time.Time, s *state) bool {
	want := wanted(s.demandUnits(now))
	return want > s.units && want-s.units > max(s.minMove(), s.units/8)
}

// minMove returns the least units moved for the demand alone. Parts that
// cannot hold a token are not worth a message.
func (s *state) minMove() uint32 { return max(minMove, s.unitsFor(1)) }

// wanted returns the units that a VM with the demand wants to hold.
func wanted(demandUnits uint32) uint32 {
	return uint32(min(float64(demandUnits)*demandMargin, TotalUnits))
}

// ask sends requests for units, and for tokens if a request waits (tokens > 0).
// At most one cycle of requests is open for each limit.
func (m *Manager) ask(now time.Time, s *state, tokens float64) []Send {
	if m.leaving || len(m.peers) == 0 || s.units == TotalUnits || s.asking.busy(now) {
		return nil
	}
	demand := s.demandUnits(now)
	need := int64(wanted(demand)) - int64(s.units)
	if tokens > 0 {
		tokens = min(max(tokens, s.asking.waiting(now), s.demand.perSecond(now)*tokenHorizon.Seconds()), s.limit.Burst)
		carry := int64(s.unitsFor(tokens))
		need = max(need, carry, int64(s.unitsFor(s.tokens+tokens))-int64(s.units))
	}
	need = min(need, TotalUnits-int64(s.units))
	if need <= 0 {
		return nil
	}
	chosen := m.choose(now, s, need, tokens > 0)
	if len(chosen) == 0 {
		if tokens > 0 {
			s.asking.stop(now)
		}
		return nil
	}
	if !s.asking.open(now) {
		s.asking.answers = 0
	}
	s.asking.at, s.asking.tokens, s.asking.until = now, tokens, now.Add(answerTime)
	s.asking.answers += len(chosen)
	sends := make([]Send, 0, len(chosen))
	for _, c := range chosen {
		sends = append(sends, m.send(c.peer, &peerv1.Message{Kind: &peerv1.Message_QuotaRequest{QuotaRequest: &peerv1.QuotaRequest{
			Epoch: m.fleet.GetEpoch(), Limit: s.limit.Name, Units: uint32(c.surplus),
			MilliTokens: milliPart(tokens, c.surplus, need), HeldUnits: s.units, DemandUnits: demand,
		}}}))
	}
	return sends
}

// milliPart returns the tokens to ask of a peer that is asked for some of the
// needed units, at least one token if any is needed.
func milliPart(tokens float64, units, need int64) uint64 {
	if tokens <= 0 {
		return 0
	}
	return uint64(milliPerToken * min(tokens, max(1, tokens*float64(units)/float64(need))))
}

// choose selects the peers to ask; candidate.surplus is then the units to ask
// for. Peers of the own region come first: their answer takes milliseconds. If
// a request waits, peers without a known surplus are asked too, since hints
// lag behind traffic that moves; peers without units only if there are no
// others.
func (m *Manager) choose(now time.Time, s *state, need int64, waiting bool) []candidate {
	all := m.scratch[:0]
	known := slices.ContainsFunc(s.hints, func(h peerHint) bool {
		return h.units > 0 && now.Sub(h.deniedAt) >= deniedMemory
	})
	for i := range m.peers {
		h := &s.hints[i]
		if now.Sub(h.deniedAt) < deniedMemory {
			continue
		}
		surplus := int64(h.units) - int64(h.demand)
		if surplus > 0 || waiting && (h.units > 0 || !known) {
			all = append(all, candidate{peer: i, surplus: max(surplus, 0), units: h.units})
		}
	}
	m.scratch = all
	m.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b candidate) int {
		if na, nb := m.useful(s, a), m.useful(s, b); na != nb {
			return cmp.Compare(nb, na)
		}
		return cmp.Or(cmp.Compare(b.surplus, a.surplus), cmp.Compare(b.units, a.units))
	})
	chosen := make([]candidate, 0, 4)
	left, limit := need, maxAsked
	if s.small && waiting && s.home >= 0 && now.Sub(s.hints[s.home].deniedAt) >= homeDeniedMemory {
		chosen, limit = append(chosen, candidate{peer: s.home, surplus: need}), 2
	}
	for _, c := range all {
		if left <= 0 || len(chosen) == limit {
			break
		}
		if len(chosen) > 0 && c.peer == chosen[0].peer {
			continue
		}
		if c.surplus == 0 {
			// Without a surplus known, two peers are asked for all of it.
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

// useful ranks a peer: 2 for a peer of the own region whose surplus can hold a
// token, 1 for another such peer, 0 for the others.
func (m *Manager) useful(s *state, c candidate) int {
	switch {
	case c.surplus == 0 || s.limit.Burst*float64(c.surplus) < TotalUnits:
		return 0
	case m.peers[c.peer].near:
		return 2
	}
	return 1
}

func (m *Manager) send(p int, msg *peerv1.Message) Send {
	return Send{To: m.peers[p].member.GetVm(), Message: msg}
}
