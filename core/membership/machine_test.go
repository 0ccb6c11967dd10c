package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Guards against members that are never learned from three seeds.
func TestAllMembersLearned(t *testing.T) {
	for _, n := range []int{4, 11, 64} {
		s := newStartedSim(1, n)
		for _, vm := range s.vms {
			s.requireStateEverywhere(t, vm, Alive)
		}
	}
}

// Guards against a killed VM that some peers still consider alive.
func TestKilledVMIsDead(t *testing.T) {
	for seed := range uint64(5) {
		s := newStartedSim(seed, 11)
		s.silent["vm004"] = true
		s.run(16 * time.Second)
		s.requireStateEverywhere(t, "vm004", Dead)
		for _, vm := range s.vms {
			if vm != "vm004" {
				s.requireStateEverywhere(t, vm, Alive)
			}
		}
	}
}

// Guards against members declared dead because messages are lost.
func TestMessageLossCausesNoDeath(t *testing.T) {
	s := newStartedSim(2, 11)
	s.loss = 0.05
	for range 20 {
		s.run(15 * time.Second)
		for _, vm := range s.vms {
			require.Zero(t, s.lastKnownStates(vm)[Dead])
		}
	}
}

// Guards against VMs declared dead because some members cannot reach them
// directly.
func TestOneWayCutCausesNoDeath(t *testing.T) {
	s := newStartedSim(3, 11)
	s.isCut = func(from, to string) bool { return from == "vm001" && to == "vm002" }
	for range 20 {
		s.run(3 * time.Second)
		require.Zero(t, s.lastKnownStates("vm001")[Dead])
		require.Zero(t, s.lastKnownStates("vm002")[Dead])
	}
}

// Guards against a VM that is declared dead after a short pause, and against a VM
// that stays dead after a long one has ended.
func TestPausedVMRefutes(t *testing.T) {
	s := newStartedSim(4, 11)
	s.silent["vm003"] = true
	s.run(1500 * time.Millisecond)
	s.silent["vm003"] = false
	s.run(10 * time.Second)
	s.requireStateEverywhere(t, "vm003", Alive)
	s.silent["vm003"] = true
	s.run(30 * time.Second)
	s.requireStateEverywhere(t, "vm003", Dead)
	s.silent["vm003"] = false
	s.run(30 * time.Second)
	s.requireStateEverywhere(t, "vm003", Alive)
}

// Guards against two sides of a network partition that consider each other dead
// after it has ended.
func TestSplitHeals(t *testing.T) {
	s := newStartedSim(5, 11)
	s.isCut = func(from, to string) bool { return (from < "vm006") != (to < "vm006") }
	s.run(30 * time.Second)
	require.NotZero(t, s.lastKnownStates("vm000")[Dead])
	s.isCut = func(string, string) bool { return false }
	s.run(90 * time.Second)
	for _, vm := range s.vms {
		s.requireStateEverywhere(t, vm, Alive)
	}
}

// Guards against a new incarnation that is mistaken for the dead one, and against
// late messages of the dead one.
func TestNewIncarnation(t *testing.T) {
	s := newStartedSim(6, 11)
	s.silent["vm007"] = true
	s.run(20 * time.Second)
	s.requireStateEverywhere(t, "vm007", Dead)
	s.silent["vm007"] = false
	s.start("vm007", 2)
	s.run(20 * time.Second)
	s.requireStateEverywhere(t, "vm007", Alive)
	m := s.machines["vm000"]
	m.Receive(s.now, &peerv1.Member{Vm: "vm007", Incarnation: 1}, &peerv1.Message{
		Kind: &peerv1.Message_PingAck{PingAck: &peerv1.PingAck{Updates: []*peerv1.Liveness{
			{Member: &peerv1.Member{Vm: "vm007", Incarnation: 1}, State: Dead, Refutation: 9},
		}}},
	})
	s.requireStateEverywhere(t, "vm007", Alive)
	for _, member := range m.Members() {
		if member.Member.GetVm() == "vm007" {
			require.EqualValues(t, 2, member.Member.GetIncarnation())
		}
	}
}

// Guards against a planned stop that peers treat as a failure.
func TestLeavingReachesAllPeers(t *testing.T) {
	s := newStartedSim(7, 11)
	s.machines["vm005"].SetLeaving()
	s.run(15 * time.Second)
	s.requireStateEverywhere(t, "vm005", Leaving)
}

// Guards against seeds that are considered alive before they have answered, or
// are kept after they were removed from the list.
func TestUnansweredSeedsAreNotAlive(t *testing.T) {
	s := newSim(8, 1)
	m := s.machines["vm000"]
	m.SetSeeds(s.now, []*peerv1.Member{{Vm: "gone"}})
	s.run(10 * time.Second)
	require.Empty(t, m.Members())
	require.Len(t, m.peers, 1)
	m.SetSeeds(s.now, nil)
	require.Empty(t, m.peers)
}

// Guards against a cost per VM that grows with the number of members.
func TestCostPerVMIsConstant(t *testing.T) {
	rate := func(n int) float64 {
		s := newStartedSim(9, n)
		s.run(30 * time.Second)
		s.messagesSent = 0
		s.run(20 * time.Second)
		return float64(s.messagesSent) / float64(n) / 20
	}
	require.InDelta(t, rate(11), rate(64), 0.2)
}
