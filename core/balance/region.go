package balance

import (
	"time"
)

// RegionFailed reports whether no server of a region can be reached: each one
// has stopped reporting while servers elsewhere report, or has responded to
// no request since its last report. It is false if the region has no servers,
// and again as soon as one of them reports. Leaving and draining servers do
// not count.
func (b *Balancer) RegionFailed(now time.Time, region string) bool {
	p := b.pools[region]
	if p == nil {
		return false
	}
	counted := 0
	for _, s := range p.servers {
		if s.leaving || s.Draining {
			continue
		}
		if !b.unreachable(now, s) {
			return false
		}
		counted++
	}
	return counted > 0
}

func (b *Balancer) unreachable(now time.Time, s *server) bool {
	noResponses := s.consecutiveNoResponses >= maxConsecutiveNoResponses && (!s.reported || s.lastResultAt.After(s.report.At))
	return noResponses || b.reportMissing(now, s)
}
