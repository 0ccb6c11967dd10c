package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minTokensPerVM is the number of tokens below which an equal share of the burst
// for each VM is too small, so that the limit has homes.
const minTokensPerVM = 4

// minTokensPerRegion is the number of tokens below which an equal share of the
// burst for each region is too small, so that the limit has a single home.
const minTokensPerRegion = 2

// A limit whose burst is small for the number of VMs has a home in each region:
// the member with the highest hash of limit and VM id. Unused units are returned
// to the home, and a VM that needs units asks the home first. Otherwise it would
// have to find the few VMs that hold a whole token by hints that are half a
// second old. Units move mostly within a region, because units in flight earn no
// tokens. If the burst is also small for the number of regions, the limit has a
// single home. A home does not own the limit; it is only where units are likely
// to be found.

const homeSeparator = "\x00"

// assignHomes determines the home of the limit for this VM, and the homes of the
// other regions.
func (m *Manager) assignHomes(s *limitState) {
	s.usesHome = s.limit.Burst < minTokensPerVM*float64(len(m.peers)+1)
	single := s.limit.Burst < minTokensPerRegion*float64(m.regionCount)
	s.home, s.remoteHomes = -1, nil
	best := homeScore(s.limit.Name, m.self)
	remote := map[string]int{}
	for i, p := range m.peers {
		region, score := p.member.GetRegion(), homeScore(s.limit.Name, p.member.GetVm())
		if single || p.sameRegion {
			if score > best {
				s.home, best = i, score
			}
		} else if at, ok := remote[region]; !ok || score > homeScore(s.limit.Name, m.peers[at].member.GetVm()) {
			remote[region] = i
		}
	}
	for _, i := range remote {
		s.remoteHomes = append(s.remoteHomes, i)
	}
	slices.Sort(s.remoteHomes)
}

// selectHomes selects the homes to ask for a waiting request: the home for this
// VM, or those of the other regions if that one recently denied a request.
func (m *Manager) selectHomes(now time.Time, s *limitState, need int64) []candidate {
	if s.home >= 0 && s.mayRequestFrom(now, s.home, homeDeniedBackoff) {
		return []candidate{{peer: s.home, surplus: need}}
	}
	var out []candidate
	for _, p := range s.remoteHomes {
		if s.mayRequestFrom(now, p, homeDeniedBackoff) {
			out = append(out, candidate{peer: p, surplus: need})
		}
	}
	return out
}

// mayRequestFrom reports whether the peer may be asked. A peer may not be asked
// if it denied a request within the backoff. While a denied request is replaced,
// it may also not be asked before it has answered an earlier request or the
// request has timed out.
func (s *limitState) mayRequestFrom(now time.Time, p int, backoff time.Duration) bool {
	h := &s.hints[p]
	return now.Sub(h.deniedAt) >= backoff && !(s.requests.isReplacing && now.Sub(h.requestedAt) < answerTimeout)
}

func homeScore(limit, vm string) uint64 {
	return xxhash.Sum64String(limit + homeSeparator + vm)
}

// returnToHome transfers units that this VM does not need to the home of the
// limit. It applies to limits with a small burst, and to any other limit if this
// VM's units cannot hold a whole token.
func (m *Manager) returnToHome(now time.Time, s *limitState) []Send {
	if s.home < 0 || s.units == 0 || !s.usesHome && s.capacity() >= 1 {
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
