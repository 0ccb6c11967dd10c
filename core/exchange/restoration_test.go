package exchange

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

// The times of a restoration in the largest fleet. The hubs reach the store after the longest
// pause between two calls. A VM answers reads of others one after the other, each with 2 MB
// of rows over its link.
const (
	storePause     = 1800 * time.Millisecond
	heartbeatPause = 20 * time.Millisecond
	longestWay     = 60 * time.Millisecond
	readTime       = 20 * time.Millisecond
)

// restoredVM is a VM that learns of a restoration of the store.
type restoredVM struct {
	*Machine
	// knownAt is when it has read the new era; 0 if it has not. readsUntil is when it has
	// answered the reads of other VMs so far.
	knownAt, readsUntil time.Duration
}

// Guards against a fleet of the target size that takes longer than a change of the
// configuration may, to learn that the store was restored. Of its 4,100 VMs the hubs, the
// leaders and three groups are played; the other groups are like them.
func TestLargestFleetLearnsOfARestorationInTime(t *testing.T) {
	const vms, regions, target = 4100, 45, 11 * time.Second
	var roster []Member
	for i := range vms {
		roster = append(roster, Member{Name: fmt.Sprintf("vm-%04d", i), Region: fmt.Sprintf("region-%02d", i%regions), Weight: 1})
	}
	restored, ok := platform.NewPosition(1, 5)
	require.True(t, ok)
	after := Versions{restored, restored, restored}

	first := New("vm-0000", 1, 0)
	first.SetRoster(roster)
	digest := Digest{Hub: first.roster[0], Seq: 1, Alive: vms, RosterSize: vms, Settled: true}
	hubs := first.firstAlive(digest)
	leaders := first.groupLeaders(digest)
	played := make(map[string]*restoredVM)
	for i, leader := range slices.Sorted(maps.Values(leaders)) {
		names, group := []string{leader}, first.groupOf[leader]
		if i < 3 {
			for vm, of := range first.groupOf {
				if of == group {
					names = append(names, vm)
				}
			}
		}
		for _, name := range append(names, hubs...) {
			if played[name] == nil {
				m := New(name, 1, 0)
				m.SetRoster(roster)
				m.HandleDigest(0, digest)
				played[name] = &restoredVM{Machine: m}
			}
		}
	}
	order := make([]string, 0, len(played))
	for name := range played {
		order = append(order, name)
	}
	slices.Sort(order)

	// Each VM that knows of the new era tells those that read from it, which then do.
	var last time.Duration
	tell := func(now time.Duration, from string) (told []string) {
		source := played[from]
		heartbeat := source.Heartbeat(now, after, slices.Contains(hubs, from))
		for _, to := range source.HeartbeatTargets(now) {
			vm := played[to]
			if vm == nil || vm.knownAt > 0 {
				continue
			}
			arrival := now + heartbeatPause + longestWay
			vm.HandleHeartbeat(arrival, heartbeat)
			if upstream, ok := vm.UpstreamHub(arrival); ok && upstream.Hub == from {
				source.readsUntil = max(source.readsUntil, arrival+longestWay) + readTime
				vm.knownAt = source.readsUntil + longestWay
				vm.SetStoreEra(1)
				last = max(last, vm.knownAt)
				told = append(told, to)
			}
		}
		return told
	}
	for _, hub := range hubs {
		played[hub].knownAt = storePause
		played[hub].SetStoreEra(1)
	}
	for known := slices.Clone(hubs); len(known) > 0; known = known[1:] {
		vm := played[known[0]]
		// Hubs send heartbeats all the time, and members their reports.
		for _, hub := range hubs {
			if hub != known[0] {
				vm.HandleHeartbeat(vm.knownAt, played[hub].Heartbeat(vm.knownAt, after, true))
			}
		}
		for _, member := range order {
			if vm.groupOf[member] == vm.groupOf[known[0]] && !slices.Contains(hubs, known[0]) {
				vm.HandleReport(vm.knownAt, Report{VM: member, Region: vm.regionOf[member], Incarnation: 1, Seq: 1})
			}
		}
		vm.HandleDigest(vm.knownAt, Digest{Hub: digest.Hub, Seq: 2, Alive: vms, RosterSize: vms, Settled: true})
		known = append(known, tell(vm.knownAt, known[0])...)
	}
	unaware := 0
	for _, vm := range played {
		if vm.knownAt == 0 {
			unaware++
		}
	}
	t.Logf("%d groups, %d VMs played, last one after %v", len(leaders), len(played), last)
	require.Zero(t, unaware)
	require.LessOrEqual(t, last, target)
}
