package exchange

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loneHub replays a hub that gets no report of any other VM of its fleet and removes
// registrations. It returns how often it removed that of each VM. A VM that is alive registers
// again after registerAfter.
func loneHub(vms int, duration, registerAfter time.Duration, alive func(vm string) bool) map[string]int {
	var roster []Member
	for i := range vms {
		roster = append(roster, Member{Name: string(rune('a' + i)), Region: "north", Weight: 1})
	}
	hub := New("a", 1, 0)
	hub.SetRoster(roster)
	removals := make(map[string]int)
	returnsAt := make(map[string]time.Duration)
	interval := ReportInterval(vms)
	for now := interval; now < duration; now += interval {
		hub.HandleReport(now, hub.Report(now, "north", nil, Work{}, true))
		hub.Digests(now)
		for _, vm := range hub.RemovableVMs(now) {
			removals[vm]++
			hub.RegistrationRemoved(now, vm)
			roster = slices.DeleteFunc(roster, func(m Member) bool { return m.Name == vm })
			if alive(vm) {
				returnsAt[vm] = now + registerAfter
			}
		}
		for vm, at := range returnsAt {
			if now >= at {
				roster = append(roster, Member{Name: vm, Region: "north", Weight: 1})
				delete(returnsAt, vm)
			}
		}
		hub.SetRoster(roster)
	}
	return removals
}

// Guards against a hub that is cut off from all others, but reaches the store, and removes the
// registrations of live VMs again and again.
func TestHubThatIsCutOffRemovesFewRegistrations(t *testing.T) {
	removals := loneHub(8, time.Hour, 2*time.Second, func(string) bool { return true })
	total := 0
	for _, count := range removals {
		total += count
	}
	require.LessOrEqual(t, total, 1, "%v", removals)
}

// Guards against registrations that stay because most VMs of a fleet are gone for good.
func TestRegistrationsOfManyLostVMsAreRemoved(t *testing.T) {
	removals := loneHub(8, 10*time.Minute, 0, func(string) bool { return false })
	require.Equal(t, map[string]int{"b": 1, "c": 1, "d": 1, "e": 1, "f": 1, "g": 1, "h": 1}, removals)
}

// Guards against a VM that is alive, but whose reports do not reach the hub, and that loses its
// registration each time it has registered.
func TestVMThatRegistersAgainKeepsItsRegistration(t *testing.T) {
	f := newFleet(t, 4)
	f.rounds(10)
	firstHub := f.firstAlive()
	victim := f.names()[0]
	if victim == firstHub {
		victim = f.names()[1]
	}
	f.stopped[victim] = true
	removals := 0
	for f.now < 20*time.Minute {
		f.round()
		hub := f.vms[firstHub]
		for _, vm := range hub.RemovableVMs(f.now) {
			require.Equal(t, victim, vm)
			removals++
			hub.RegistrationRemoved(f.now, vm)
			hub.SetRoster(slices.DeleteFunc(slices.Clone(f.roster), func(m Member) bool { return m.Name == vm }))
			hub.SetRoster(f.roster)
		}
	}
	require.Equal(t, 1, removals)
}
