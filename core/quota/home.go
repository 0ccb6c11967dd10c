package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// smallPart is the capacity, in tokens, of an equal part of a limit below which
// the limit has homes.
const smallPart = 4

// smallRegionPart is the same for the parts of the regions.
const smallRegionPart = 2

// A limit whose burst is small for the number of VMs has a home in each region:
// the member with the highest hash of limit and VM id. Units that are not
// needed go back to the home, and a VM that runs short asks the home first.
// Otherwise the few VMs that hold a whole token would have to be found by hints
// that are half a second old. Units move within the region as a rule, since
// units in flight earn no tokens. If the burst is small for the number of
// regions too, there is one home. A home is a place to look for units, not an
// owner.

const homeSeparator = "\x00"

// setHome chooses the home of the limit for this VM among the members, and the
// homes of the other regions.
func (m *Manager) setHome(s *state) {
	s.small = s.limit.Burst < smallPart*float64(len(m.peers)+1)
	single := s.limit.Burst < smallRegionPart*float64(m.regions)
	s.home, s.otherHomes = -1, nil
	best := homeScore(s.limit.Name, m.self)
	far := map[string]int{}
	for i, p := range m.peers {
		region, score := p.member.GetRegion(), homeScore(s.limit.Name, p.member.GetVm())
		if single || p.near {
			if score > best {
				s.home, best = i, score
			}
		} else if at, ok := far[region]; !ok || score > homeScore(s.limit.Name, m.peers[at].member.GetVm()) {
			far[region] = i
		}
	}
	for _, i := range far {
		s.otherHomes = append(s.otherHomes, i)
	}
	slices.Sort(s.otherHomes)
}

// chooseHome selects the homes to ask for a request that waits: the own one, or
// those of the other regions if the own one could give nothing.
func (m *Manager) chooseHome(now time.Time, s *state, need int64) []candidate {
	if s.home >= 0 && s.mayAsk(now, s.home, homeDeniedMemory) {
		return []candidate{{peer: s.home, surplus: need}}
	}
	var out []candidate
	for _, p := range s.otherHomes {
		if s.mayAsk(now, p, homeDeniedMemory) {
			out = append(out, candidate{peer: p, surplus: need})
		}
	}
	return out
}

// mayAsk tells whether the peer has not just refused, and in place of a refusal
// whether it is not already asked.
func (s *state) mayAsk(now time.Time, p int, memory time.Duration) bool {
	h := &s.hints[p]
	return now.Sub(h.deniedAt) >= memory && !(s.asking.replacing && now.Sub(h.askedAt) < answerTime)
}

func homeScore(limit, vm string) uint64 {
	return xxhash.Sum64String(limit + homeSeparator + vm)
}

// goHome gives units that are not needed here to the home of the limit: units
// of a small limit, and parts of any limit that cannot hold a whole token.
func (m *Manager) goHome(now time.Time, s *state) []Send {
	if s.home < 0 || s.units == 0 || !s.small && s.capacity() >= 1 {
		return nil
	}
	token := s.unitsFor(1)
	keep := uint32(min(float64(s.demandUnits(now))*keepMargin, TotalUnits))
	if keep < token {
		keep = 0
	}
	if keep >= s.units || keep > 0 && s.units-keep < token {
		return nil
	}
	units := s.units - keep
	return []Send{m.transfer(now, s, s.home, units, s.tokens*float64(units)/float64(s.units))}
}
