package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// maxCheckTargets is the number of servers that one check of the links tries.
	maxCheckTargets = 3
	// lossNoticeTime is the time before the loss of the links is noticed. Servers that
	// were suspended within it were suspended because of the loss.
	lossNoticeTime = 3 * time.Second
	// relayedShare is the share of a service's servers that this VM does not reach above
	// which other VMs may serve requests that this VM has to reject.
	relayedShare = 0.5
)

// CheckTargets returns the servers to which connections are opened in order to check the
// links: in different failure domains as far as there are enough, the own one first, and
// others in each round. Servers that are known not to be reached come last, because a server
// that has crashed says nothing about the links.
func (p *Picker) CheckTargets(ownFailureDomain string, round uint64) []*steering.Server {
	byDomain := make(map[string][]*server)
	for _, s := range p.servers {
		if domain := s.registration.FailureDomain; !s.registration.Expired {
			byDomain[domain] = append(byDomain[domain], s)
		}
	}
	var targets []checkTarget
	for domain, servers := range byDomain {
		slices.SortFunc(servers, func(a, b *server) int {
			return cmp.Or(compareBool(a.unreachable, b.unreachable), cmp.Compare(checkRank(b, round), checkRank(a, round)))
		})
		for i, s := range servers[:min(len(servers), maxCheckTargets)] {
			targets = append(targets, checkTarget{server: s, inDomain: i, elsewhere: domain != ownFailureDomain, rank: checkRank(s, round)})
		}
	}
	slices.SortFunc(targets, func(a, b checkTarget) int {
		return cmp.Or(compareBool(a.server.unreachable, b.server.unreachable), cmp.Compare(a.inDomain, b.inDomain),
			compareBool(a.elsewhere, b.elsewhere), cmp.Compare(a.rank, b.rank))
	})
	var registrations []*steering.Server
	for _, target := range targets[:min(len(targets), maxCheckTargets)] {
		registrations = append(registrations, target.server.registration)
	}
	return registrations
}

// checkTarget is a server that a check of the links may try: number inDomain of its failure
// domain.
type checkTarget struct {
	server    *server
	inDomain  int
	elsewhere bool
	rank      uint64
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func checkRank(s *server, round uint64) uint64 { return mix(s.hash + round) }

// Servers returns the number of servers of all services.
func (p *Picker) Servers() int { return len(p.servers) }

// LinksRestored ends the suspension of the servers that were suspended because the links
// of this VM were lost, since lostSince: servers that were unreachable, or whose connections
// failed one after the other.
func (p *Picker) LinksRestored(now, lostSince time.Duration) {
	for _, s := range p.servers {
		if s.needsProbe && !s.misdirected && !s.registration.Expired && s.suspendedAt >= lostSince-lossNoticeTime {
			s.needsProbe, s.unreachable, s.suspensionTime, s.suspendedUntil = false, false, 0, now
			s.failureShare, s.consecutiveFailures = 0, 0
		}
	}
}

// OthersMayServe reports whether so many of the servers that may serve r are unreachable
// from this VM that other VMs may serve it although Pick rejected it.
func (p *Picker) OthersMayServe(r *Request) bool {
	g := p.groups[r.Service]
	if g == nil {
		return false
	}
	slots, unreachable := 0, 0
	for _, s := range g.servers {
		if r.Allowed != nil && !r.Allowed(s.registration.Region) {
			continue
		}
		slots += s.registration.Slots
		if s.needsProbe && s.unreachable {
			unreachable += s.registration.Slots
		}
	}
	return unreachable > 0 && float64(unreachable) >= relayedShare*float64(slots)
}
