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
	deniedMemory = 150 * time.Millisecond
	// homeDeniedMemory is shorter, since units come back to the home.
	homeDeniedMemory = 100 * time.Millisecond
	// After all peers could give nothing, the next cycle of requests waits
	// for a pause that doubles from minPause to maxPause.
	minPause = 100 * time.Millisecond
	maxPause = 1600 * time.Millisecond
	// ownHorizon is the time within which a VM waits for its own units rather
	// than ask. With 110 ms, one round trip between regions, a VM that earned
	// a little less than its demand had requests wait for all of MaxWait.
	ownHorizon = 60 * time.Millisecond
	// cycleInterval is the least time between cycles with answers outstanding.
	cycleInterval = 10 * time.Millisecond
	// maxAsked bounds the peers asked in one cycle.
	maxAsked = 16
	// demandMargin is how much more than the demand a VM wants to hold.
	demandMargin = 1.25
	// shortMargin is the part of the demand below which a VM asks for more
	// although no request waits. The distance to demandMargin covers the noise
	// of the average: VMs that follow it pull units back and forth, and units
	// in flight earn no tokens.
	shortMargin = 1.05
	// pullInterval is the least time between such requests.
	pullInterval = time.Second
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
	pulledAt time.Time // last request for the demand alone
	pausedTo time.Time
	pause    time.Duration
}

// missing returns the tokens to ask for now, given the tokens that are missing
// for the waiting requests. While answers are outstanding, a cycle starts only
// for as much again as has been asked for.
func (a *asking) missing(now time.Time, tokens float64) float64 {
	if !a.open(now) {
		return tokens
	}
	if now.Sub(a.at) < cycleInterval || tokens < 2*a.tokens || a.tokens == 0 {
		return 0
	}
	return tokens - a.tokens
}

// pausedBriefly tells that the requests start again soon. A peer may refuse
// once because it has not noticed yet that its traffic has moved away.
func (a *asking) pausedBriefly(now time.Time) bool {
	return now.Before(a.pausedTo) && a.pause <= 2*minPause
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

// wantsMore tells whether the demand justifies more units although no request
// waits.
func (m *Manager) wantsMore(now time.Time, s *state) bool {
	if now.Sub(s.asking.pulledAt) < pullInterval {
		return false
	}
	demand := s.demandUnits(now)
	want := wanted(demand)
	return float64(s.units) < float64(demand)*shortMargin && want-s.units >= s.minMove()
}

// minMove returns the least units moved for the demand alone. Parts that
// cannot hold a token are not worth a message.
func (s *state) minMove() uint32 { return max(minMove, s.unitsFor(1)) }

// wanted returns the units that a VM with the demand wants to hold.
func wanted(demandUnits uint32) uint32 {
	return uint32(min(float64(demandUnits)*demandMargin, TotalUnits))
}

// ownTime returns the time in which the own units earn the tokens that the
// waiting requests need, at least one.
func (s *state) ownTime(now time.Time) time.Duration {
	rate := s.rate()
	if rate <= 0 {
		return MaxWait
	}
	seconds := max(1, s.waiting.tokens(now)-s.tokens) / rate
	return min(MaxWait, time.Duration(seconds*float64(time.Second)))
}

// ownSuffice tells whether the own units serve the waiting requests within the
// time.
func (s *state) ownSuffice(now time.Time, n float64, within time.Duration) bool {
	return s.capacity() >= n && s.ownTime(now) < within
}

// askForWaiting asks for the tokens that the own units do not earn before an
// answer could arrive. Asking for more would keep units in flight for nothing.
func (m *Manager) askForWaiting(now time.Time, s *state) []Send {
	waiting := s.waiting.tokens(now)
	if waiting == 0 || s.ownSuffice(now, 1, ownHorizon) {
		return nil
	}
	missing := waiting - s.tokens
	if s.capacity() >= 1 {
		missing -= s.rate() * ownHorizon.Seconds()
	}
	return m.ask(now, s, max(1, missing))
}

// ask sends requests for units, and for tokens if a request waits (tokens > 0).
func (m *Manager) ask(now time.Time, s *state, tokens float64) []Send {
	if m.leaving || len(m.peers) == 0 || s.units == TotalUnits || now.Before(s.asking.pausedTo) {
		return nil
	}
	demand := s.demandUnits(now)
	need := int64(wanted(demand)) - int64(s.units)
	if tokens > 0 {
		tokens = min(s.asking.missing(now, tokens), s.limit.Burst)
		if tokens <= 0 {
			return nil
		}
		need = max(need, int64(s.unitsFor(tokens)), int64(s.unitsFor(s.tokens+tokens))-int64(s.units))
	} else if s.asking.open(now) {
		return nil
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
	if tokens == 0 {
		s.asking.pulledAt = now
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
		chosen, limit = append(chosen, candidate{peer: s.home, surplus: need}), 1+max(1, m.regions-1)
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
