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
// links: in different failure domains, the own one first, and others in each round. Servers
// that are known not to be reached come last, because a server that has crashed says nothing
// about the links.
func (p *Picker) CheckTargets(ownFailureDomain string, round uint64) []*steering.Server {
	best := make(map[string]*server)
	for _, s := range p.servers {
		domain := s.registration.FailureDomain
		if s.registration.Expired {
			continue
		}
		other := best[domain]
		if other == nil || other.unreachable && !s.unreachable || other.unreachable == s.unreachable && checkRank(s, round) > checkRank(other, round) {
			best[domain] = s
		}
	}
	targets := make([]*server, 0, len(best))
	for _, s := range best {
		targets = append(targets, s)
	}
	slices.SortFunc(targets, func(a, b *server) int {
		if a.unreachable != b.unreachable {
			if b.unreachable {
				return -1
			}
			return 1
		}
		if aIsOwn := a.registration.FailureDomain == ownFailureDomain; aIsOwn != (b.registration.FailureDomain == ownFailureDomain) {
			if aIsOwn {
				return -1
			}
			return 1
		}
		return cmp.Compare(checkRank(a, round), checkRank(b, round))
	})
	var registrations []*steering.Server
	for _, s := range targets[:min(len(targets), maxCheckTargets)] {
		registrations = append(registrations, s.registration)
	}
	return registrations
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
