package locate

import (
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/policy"
)

// snapshotAge is the age at which what is known of the entry VMs is read again.
// It is below the heartbeat interval and so adds little to its delay.
const snapshotAge = 100 * time.Millisecond

// snapshot is what was known of the entry VMs at one moment. It is safe for
// concurrent use.
type snapshot struct {
	at      time.Time
	policy  *policy.Policy
	dir     *routing.Directory
	members int
	// regions are the client regions whose order dir has made. It makes others
	// at their first use, which is not safe for concurrent use.
	regions map[string]bool
	// units holds a map[string]uint32 by limit.
	units sync.Map
}

// snapshot returns one that fits the policy. While another goroutine makes a new
// one, the last is used if its policy fits.
func (l *Locator) snapshot(now time.Time, p *policy.Policy) *snapshot {
	last := l.last.Load()
	fits := last != nil && last.policy == p
	if fits && now.Sub(last.at) < snapshotAge {
		return last
	}
	if !l.building.TryLock() {
		if fits {
			return last
		}
		l.building.Lock()
	}
	defer l.building.Unlock()
	if last = l.last.Load(); last != nil && last.policy == p && now.Sub(last.at) < snapshotAge {
		return last
	}
	next := newSnapshot(now, p, l.state.Peers())
	l.last.Store(next)
	return next
}

func newSnapshot(now time.Time, p *policy.Policy, peers []control.PeerState) *snapshot {
	s := &snapshot{
		at: now, policy: p, members: len(peers), regions: map[string]bool{"": true},
		dir: routing.NewDirectory(entryVMs(p, peers), delays(p)),
	}
	if p.Config != nil {
		for _, r := range p.Config.Regions {
			s.regions[r.Name] = true
		}
	}
	for region := range s.regions {
		s.dir.Locate(nil, routing.Query{ClientRegion: region})
	}
	return s
}

func (s *snapshot) locate(dst []routing.EntryChoice, client, region string, units map[string]uint32) []routing.EntryChoice {
	if !s.regions[region] {
		region = ""
	}
	// All VMs must hash a caller alike. A write to a hash does not fail.
	h := fnv.New64a()
	_, _ = io.WriteString(h, client)
	return s.dir.Locate(dst, routing.Query{ClientRegion: region, CallerHash: h.Sum64(), Units: units, Max: maxEntries})
}

func entryVMs(p *policy.Policy, peers []control.PeerState) []routing.EntryVM {
	out := make([]routing.EntryVM, 0, len(peers))
	for _, peer := range peers {
		m := peer.Member
		out = append(out, routing.EntryVM{
			VM: m.Vm, Address: m.CallerAddress, Region: m.Region, FailureDomain: m.FailureDomain,
			Healthy: peer.Alive, Leaving: peer.Leaving || p.DrainedRegions[m.Region] || p.DrainedDomains[m.FailureDomain],
			Headroom: 1,
		})
	}
	return out
}

// delays returns the delays between client regions and regions.
func delays(p *policy.Policy) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	if p.Config != nil {
		for _, r := range p.Config.Regions {
			out[r.Name] = r.DelayMS
		}
	}
	return out
}
