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

// snapshotTTL is the age after which the state of the entry VMs is read again.
// It is shorter than the heartbeat interval, so it adds little to the delay of
// heartbeats.
const snapshotTTL = 100 * time.Millisecond

// snapshot is the state of the entry VMs at one moment. It is safe for
// concurrent use.
type snapshot struct {
	createdAt time.Time
	policy    *policy.Policy
	directory *routing.Directory
	members   int
	// preparedRegions are the client regions for which directory has already
	// computed the order of the VMs. Computing it for another region at the
	// first use is not safe for concurrent use.
	preparedRegions map[string]bool
	// unitsByLimit maps limits to values of type map[string]uint32.
	unitsByLimit sync.Map
}

// snapshot returns a snapshot for the policy. While another goroutine builds a
// new snapshot, the latest one is used if it has the same policy.
func (l *Locator) snapshot(now time.Time, p *policy.Policy) *snapshot {
	latest := l.latest.Load()
	matches := latest != nil && latest.policy == p
	if matches && now.Sub(latest.createdAt) < snapshotTTL {
		return latest
	}
	if !l.buildMu.TryLock() {
		if matches {
			return latest
		}
		l.buildMu.Lock()
	}
	defer l.buildMu.Unlock()
	if latest = l.latest.Load(); latest != nil && latest.policy == p && now.Sub(latest.createdAt) < snapshotTTL {
		return latest
	}
	next := newSnapshot(now, p, l.state.Peers())
	l.latest.Store(next)
	return next
}

func newSnapshot(now time.Time, p *policy.Policy, peers []control.PeerState) *snapshot {
	s := &snapshot{
		createdAt: now, policy: p, members: len(peers), preparedRegions: map[string]bool{"": true},
		directory: routing.NewDirectory(entryVMs(p, peers), regionDelays(p)),
	}
	if p.Config != nil {
		for _, r := range p.Config.Regions {
			s.preparedRegions[r.Name] = true
		}
	}
	for region := range s.preparedRegions {
		s.directory.Locate(nil, routing.Query{ClientRegion: region})
	}
	return s
}

func (s *snapshot) entryVMsFor(dst []routing.EntryChoice, client, region string, units map[string]uint32) []routing.EntryChoice {
	if !s.preparedRegions[region] {
		region = ""
	}
	// All VMs must compute the same hash for a caller. Writing to a hash never
	// fails.
	h := fnv.New64a()
	_, _ = io.WriteString(h, client)
	return s.directory.Locate(dst, routing.Query{ClientRegion: region, CallerHash: h.Sum64(), Units: units, Max: maxEntries})
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

// regionDelays returns the delays between client regions and regions.
func regionDelays(p *policy.Policy) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	if p.Config != nil {
		for _, r := range p.Config.Regions {
			out[r.Name] = r.DelayMS
		}
	}
	return out
}
