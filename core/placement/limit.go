package placement

import (
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// limitShare is the fraction of a named limit that is granted. The rest is for VMs
	// that do not know of the limit yet, and for two owners at once.
	limitShare = 0.9
	// minLimitPerSecond is used for lower limits, so that the end of a limit is noticed.
	minLimitPerSecond = 0.25
	// limitBurstTime is the time for which an owner may save up a limit above one request.
	limitBurstTime = 100 * time.Millisecond
	// maxLimitWait bounds the wait that an owner states. Of the VMs that were refused
	// before, some do not come back, so that turns further ahead would be too late.
	maxLimitWait = 2 * time.Second
	// handoverIntervals is the number of report intervals for which a new owner grants
	// nothing. The earlier one may not know that it was replaced while two digests to it
	// are lost, nor the new one that it was replaced again (spec/limitowner.pml).
	handoverIntervals = 4
	// LimitGrantTimeout is how long a request waits for the owner of a server's limit, in
	// addition to a round trip to it. A VM that has used up its share of a processor
	// answers within this time.
	LimitGrantTimeout = 100 * time.Millisecond
	// SilentLimitOwnerWait is the time after which an owner that did not answer is asked
	// again.
	SilentLimitOwnerWait = 300 * time.Millisecond
	// otherOwnerWait is the wait that a VM states which does not own the limit. The VMs
	// agree on the owner once both have the newest digest.
	otherOwnerWait = 300 * time.Millisecond
)

// namedLimit is the state of a limit that a server names. One VM owns it and grants the
// requests of all VMs, so that they use all of it wherever the callers are, and no sum of
// shares exceeds it.
type namedLimit struct {
	named     bool
	perSecond float64
	// owner is empty if no VM is known to own the limit.
	owner string
	// activeVersion is that of the active VMs from which the owner was chosen.
	activeVersion int
	// bucket, lastSlot and grantsFrom are used by the owner. lastSlot is when the last
	// refused request may come back.
	bucket     ratelimit.Bucket
	lastSlot   time.Duration
	grantsFrom time.Duration
	// refusedUntil is when this VM may ask the owner again.
	refusedUntil time.Duration
}

// SetActiveVMs replaces the VMs that may own limits of servers. mayOwnLimits is set while
// the other VMs count this one among them.
func (p *Picker) SetActiveVMs(now time.Duration, vms []exchange.Member, mayOwnLimits bool) {
	if slices.Equal(p.activeVMs, vms) && p.mayOwnLimits == mayOwnLimits {
		return
	}
	p.activeVMs, p.mayOwnLimits, p.activeSince = vms, mayOwnLimits, now
	p.activeVersion++
	p.SetLimits(now, p.limits)
}

// SetLimits replaces the limits that servers name.
func (p *Picker) SetLimits(now time.Duration, limits map[string]serverlimit.Limit) {
	for id := range p.limits {
		if s := p.servers[id]; s != nil {
			if _, ok := limits[id]; !ok {
				s.limit = namedLimit{}
			}
		}
	}
	p.limits = limits
	for id, limit := range limits {
		if s := p.servers[id]; s != nil {
			p.setLimit(now, s, limit.PerSecond)
		}
	}
}

func (p *Picker) setLimit(now time.Duration, s *server, perSecond float64) {
	l := &s.limit
	if !l.named || l.activeVersion != p.activeVersion {
		owner := p.limitOwner(s)
		if owner == p.vm && l.owner != p.vm {
			// A limit that is named for the first time has had no owner since the VMs last
			// changed.
			l.grantsFrom = p.activeSince + p.handoverTime()
		}
		l.owner, l.activeVersion = owner, p.activeVersion
	}
	l.named, l.perSecond = true, max(perSecond, minLimitPerSecond)
	rate := limitShare * l.perSecond
	if l.owner != p.vm || now < l.grantsFrom {
		l.bucket.Init(now, rate, 0, 0)
	}
	l.bucket.SetLimits(now, rate, max(1, rate*limitBurstTime.Seconds()))
}

// handoverTime returns the time for which a new owner of a limit grants nothing.
func (p *Picker) handoverTime() time.Duration {
	return handoverIntervals * exchange.ReportInterval(len(p.activeVMs))
}

// limitOwner returns the VM that owns the limit of a server. It is empty if no VM is
// known, or if it is this VM and others may have replaced it.
func (p *Picker) limitOwner(s *server) string {
	owner := p.ownerOf(s)
	if owner == p.vm && !p.mayOwnLimits {
		return ""
	}
	return owner
}

// ownerOf returns the VM that owns a server by rendezvous hashing: one in the server's
// region if there is any, since most requests come from there. It is empty if no VM is known.
func (p *Picker) ownerOf(s *server) string {
	owner, ownerIsLocal, ownerHash := "", false, uint64(0)
	for _, vm := range p.activeVMs {
		local, hash := vm.Region == s.registration.Region, mix(s.hash^hashString(vm.Name))
		if owner == "" || local && !ownerIsLocal || local == ownerIsLocal && hash > ownerHash {
			owner, ownerIsLocal, ownerHash = vm.Name, local, hash
		}
	}
	return owner
}

// Owns reports whether this VM owns a server, as far as it knows.
func (p *Picker) Owns(registration *steering.Server) bool {
	s := p.servers[registration.ID]
	return s != nil && p.ownerOf(s) == p.vm
}

// LimitedServers returns the number of servers that name a limit.
func (p *Picker) LimitedServers() int { return len(p.limits) }

// GrantLimit answers another VM's request to send one request to a server that names a
// limit. If it is refused, wait is the time after which the VM may ask again: each
// refused VM has its own turn, so that they do not all come back at once.
func (p *Picker) GrantLimit(now time.Duration, server string) (granted bool, wait time.Duration) {
	s := p.servers[server]
	if s == nil || !s.limit.named || s.limit.owner != p.vm {
		return false, otherOwnerWait
	}
	l := &s.limit
	if l.tokenWait(now) == 0 {
		l.bucket.Take(now)
		return true, 0
	}
	l.lastSlot = max(now+l.tokenWait(now), l.lastSlot+time.Duration(float64(time.Second)/l.bucket.Rate()))
	l.lastSlot = min(l.lastSlot, now+maxLimitWait)
	return false, l.lastSlot - now
}

// tokenWait returns the time until the owner has a token.
func (l *namedLimit) tokenWait(now time.Duration) time.Duration {
	if now < l.grantsFrom {
		return l.grantsFrom - now + time.Duration(float64(time.Second)/l.bucket.Rate())
	}
	missing := 1 - l.bucket.Tokens(now)
	if missing <= 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(missing/l.bucket.Rate()*float64(time.Second)))
}

// LimitRefused records that the owner of a server's limit refused a request or did not
// answer; wait is the time until this VM may ask again.
func (p *Picker) LimitRefused(now time.Duration, server string, wait time.Duration) {
	if s := p.servers[server]; s != nil && s.limit.named {
		s.limit.refusedUntil = max(s.limit.refusedUntil, now+min(wait, maxLimitWait))
	}
}

// limitWait returns how long r has to wait for the limit that s names; 0 if s may get r
// now or its owner may be asked.
func (p *Picker) limitWait(now time.Duration, s *server, r *Request) time.Duration {
	l := &s.limit
	switch {
	case !l.named:
		return 0
	case l.owner == p.vm:
		return l.tokenWait(now)
	case l.owner == "" || r.OwnLimitsOnly:
		return max(otherOwnerWait, l.refusedUntil-now)
	default:
		return max(0, l.refusedUntil-now)
	}
}
