package exchange

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// agreementTime is the time within which all VMs have to act on what one of them knows.
	agreementTime = 11 * time.Second
	// cutRounds is how long VMs are cut, in report intervals. Each of them tries the others meanwhile.
	cutRounds = 60
)

// hubOf returns the hub whose digest a VM uses; empty if it has none.
func (f *fleet) hubOf(vm string) string {
	if d, fresh := f.vms[vm].Digest(f.now); fresh {
		return d.Hub
	}
	return ""
}

// hasOneHub reports whether all VMs use the digests of the same hub.
func (f *fleet) hasOneHub() bool {
	hub := f.hubOf(f.names()[0])
	for _, vm := range f.names() {
		if f.hubOf(vm) != hub {
			return false
		}
	}
	return hub != ""
}

// cutBefore reports whether a VM was among the smaller part of the VMs during a cut.
func (f *fleet) cutBefore(vm string, cut []string) bool {
	return slices.Contains(cut, vm) == (2*len(cut) <= len(f.roster))
}

// cutAndHeal cuts VMs from the others for a while, and checks that all have one hub soon after.
func (f *fleet) cutAndHeal(vms ...string) {
	f.t.Helper()
	f.cut = make(map[string]bool)
	for _, vm := range vms {
		f.cut[vm] = true
	}
	f.rounds(cutRounds)
	require.False(f.t, f.hasOneHub(), "the VMs that were cut have another hub")
	f.cut = nil
	healedAt := f.now
	for !f.hasOneHub() && f.now-healedAt < time.Minute {
		f.round()
		for _, vm := range f.names() {
			d, fresh := f.vms[vm].Digest(f.now)
			require.False(f.t, fresh && d.Settled && !f.cutBefore(vm, vms) && 2*d.Alive < len(f.roster)-len(vms), "%s takes the VMs that it knew for silent: %d alive", vm, d.Alive)
		}
	}
	f.t.Logf("%d VMs, %s first: one hub after %v", len(vms), vms[0], f.now-healedAt)
	require.LessOrEqual(f.t, f.now-healedAt, agreementTime)
}

// Guards against VMs that were cut from the others, or lost too many messages, and keep a hub of their
// own after that: they hear of no suspect request and no limit of the others, and take their demand for
// zero.
func TestVMsThatWereCutFindTheHub(t *testing.T) {
	for name, newFleet := range map[string]func(t *testing.T) *fleet{
		"84 VMs": func(t *testing.T) *fleet { return newFleet(t, 84) }, "300 VMs in groups": newLargeFleet,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.rounds(8)
			roster := f.vms[f.names()[0]].roster
			for _, rank := range []int{0, 1, 19, 50} {
				f.cutAndHeal(roster[rank])
			}
			f.cutAndHeal(roster[:len(roster)/3]...)
			f.cutAndHeal(roster[len(roster)/3:]...)
			var odd []string
			for rank := 1; rank < len(roster); rank += 2 {
				odd = append(odd, roster[rank])
			}
			f.cutAndHeal(odd...)
		})
	}
}
