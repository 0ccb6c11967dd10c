package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// requireNoLeaseGaps fails if a VM was without a lease after it first had one.
func requireNoLeaseGaps(t *testing.T, s *sim, vms []string) {
	t.Helper()
	for _, vm := range vms {
		require.Zero(t, s.nodes[vm].timeWithoutLease, vm)
	}
}

// vmsExcept returns the VMs other than those given.
func (s *sim) vmsExcept(except ...string) []string {
	return slices.DeleteFunc(s.vms(), func(vm string) bool { return slices.Contains(except, vm) })
}

func (s *sim) kill(vms ...string) {
	for _, vm := range vms {
		s.nodes[vm].killed = true
	}
}

func (s *sim) memberCount() int { return len(s.fleet().GetMembers()) }

// Guards against VMs that prevent each other from joining because they all write
// the fleet row at the same time.
func TestElevenVMsStartAtOnce(t *testing.T) {
	for seed := range uint64(5) {
		s := startAll(t, seed, threeRegionVMs())
		require.EqualValues(t, 11, s.fleet().GetEpoch())
		requireNoLeaseGaps(t, s, s.vms())
		t.Log("last join after", s.rowWrittenAt, "conflicts", s.callCounts["conflict"])
	}
}

// Guards against a resumed VM that admits requests on a lease that has ended.
func TestPausedVMIsInvalidAtOnce(t *testing.T) {
	for _, pause := range []time.Duration{3200 * time.Millisecond, 30 * time.Second} {
		s := startAll(t, 7, threeRegionVMs())
		n := s.nodes["a01"]
		n.pause()
		s.run(pause)
		require.False(t, n.hasLease(), "before any message or tick")
		n.resume()
		if pause > 10*time.Second {
			s.runUntil(2*time.Second, "the VM learns that it was evicted", func() bool { return n.evicted })
			require.False(t, n.hasLease())
		}
	}
}

// Guards against the eviction of a VM that was silent for less than its lease.
func TestShortPauseKeepsMembership(t *testing.T) {
	s := startAll(t, 3, threeRegionVMs())
	epoch := s.fleet().GetEpoch()
	s.nodes["c00"].pause()
	s.run(lease.GrantTTL * 5 / 6)
	s.nodes["c00"].resume()
	s.run(5 * time.Second)
	require.Equal(t, epoch, s.fleet().GetEpoch())
	require.Equal(t, 11, s.serving())
}

// Guards against a VM that keeps serving although no member receives its
// messages, and against a VM that serves without receiving any grant.
func TestOneWayCuts(t *testing.T) {
	for _, outbound := range []bool{true, false} {
		s := startAll(t, 11, threeRegionVMs())
		s.isPartitioned = func(from, to string) bool { return outbound && from == "b00" || !outbound && to == "b00" }
		s.run(30 * time.Second)
		require.False(t, s.nodes["b00"].hasLease())
		require.False(t, s.isMember(s.nodes["b00"]), "outbound messages lost: evicted; inbound messages lost: removes itself")
		require.Equal(t, 10, s.serving(s.vmsExcept("b00")...))
		requireNoLeaseGaps(t, s, s.vmsExcept("b00"))
	}
}

// Guards against lost leases when some pairs of VMs cannot reach each other.
func TestPartialCut(t *testing.T) {
	s := startAll(t, 12, threeRegionVMs())
	s.isPartitioned = func(from, to string) bool { return from+to == "a00b00" || from+to == "b00a00" || from+to == "c01a02" }
	s.run(time.Minute)
	require.Equal(t, 11, s.serving())
	requireNoLeaseGaps(t, s, s.vms())
	require.Equal(t, 11, s.memberCount())
}

// Guards against leases that end during a store outage, also when two VMs are
// lost during it.
func TestStoreDownFifteenMinutes(t *testing.T) {
	s := startAll(t, 13, threeRegionVMs())
	s.tableUp = false
	s.run(5 * time.Minute)
	s.kill("a00", "c02")
	s.run(10 * time.Minute)
	requireNoLeaseGaps(t, s, s.vmsExcept("a00", "c02"))
	s.tableUp = true
	took := s.runUntil(10*time.Second, "evictions", func() bool { return s.memberCount() == 9 })
	t.Log("evicted after", took)
	requireNoLeaseGaps(t, s, s.vmsExcept("a00", "c02"))
}

// Guards against leases that rest on member grants and are still valid when
// another VM may take over the fleet row.
func TestStoreDownTwentyMinutesEndsLeases(t *testing.T) {
	s := startAll(t, 14, vmNames("a", 3))
	s.tableUp = false
	s.run(18 * time.Minute)
	require.Equal(t, 3, s.serving())
	s.run(4 * time.Minute)
	require.Equal(t, 0, s.serving())
	s.tableUp = true
	s.runUntil(30*time.Second, "all VMs hold a lease again", func() bool { return s.serving() == 3 })
}

// Guards against votes during a store outage that deprive returning members of
// their leases for the rest of the outage.
func TestCutDuringStoreOutage(t *testing.T) {
	s := startAll(t, 15, threeRegionVMs())
	s.tableUp = false
	s.run(10 * time.Second)
	s.isPartitioned = func(from, to string) bool { return (from[0] == 'b') != (to[0] == 'b') }
	s.run(20 * time.Second)
	require.Equal(t, 0, s.serving("b00", "b01", "b02", "b03"))
	s.isPartitioned = func(string, string) bool { return false }
	s.run(2 * time.Second)
	require.Equal(t, 11, s.serving())
}

// Guards against changes that are applied twice or lost when the store applies a
// write but its answer is lost.
func TestLostStoreAnswers(t *testing.T) {
	for _, lost := range []float64{0.5, 1} {
		s := newSim(t, 16)
		s.loseAnswers = lost
		for _, vm := range vmNames("a", 5) {
			s.start(vm, s.randomClockRate())
		}
		s.runUntil(20*time.Second, "all VMs hold a lease", func() bool { return s.serving() == 5 })
		s.kill("a03")
		s.runUntil(10*time.Second, "eviction", func() bool { return s.memberCount() == 4 })
		leaver := s.nodes["a01"]
		leaver.leave()
		s.runUntil(10*time.Second, "leave", func() bool { return leaver.left })
		require.False(t, leaver.hasLease())
		require.EqualValues(t, 7, s.fleet().GetEpoch(), "5 joins, 1 eviction, 1 leave")
	}
}

// Guards against killed VMs that stay in the fleet, surviving VMs that lose their
// lease meanwhile, and evictions that block each other.
func TestKilledVMsAreEvicted(t *testing.T) {
	for _, lost := range [][]string{{"b02"}, {"a00", "b01"}, {"a00", "b01", "c02"}, {"b00", "b01", "b02", "b03"}} {
		for seed := range uint64(5) {
			s := startAll(t, seed, threeRegionVMs())
			s.kill(lost...)
			want := 11 - len(lost)
			took := s.runUntil(time.Duration(4+len(lost))*time.Second, "evictions", func() bool { return s.memberCount() == want })
			s.run(5 * time.Second)
			require.Equal(t, want, s.serving(s.vmsExcept(lost...)...))
			requireNoLeaseGaps(t, s, s.vmsExcept(lost...))
			t.Log(len(lost), "lost, all evicted after", took)
		}
	}
}

// Guards against two sides of a network partition that both serve, and against a
// fleet that does not recover after the partition ends.
func TestRegionsSplitInThree(t *testing.T) {
	s := startAll(t, 18, threeRegionVMs())
	s.isPartitioned = func(from, to string) bool { return from[0] != to[0] }
	s.isDisconnectedFromTable = func(vm string) bool { return vm[0] != 'a' }
	s.run(10 * time.Second)
	require.Zero(t, s.serving(), "no region has a quorum of 7, with or without the table")
	s.isPartitioned = func(string, string) bool { return false }
	s.isDisconnectedFromTable = func(string) bool { return false }
	s.run(10 * time.Second)
	for _, vm := range s.vms() {
		if s.nodes[vm].evicted {
			s.start(vm, s.randomClockRate())
		}
	}
	s.runUntil(20*time.Second, "all VMs hold a lease", func() bool { return s.serving() == 11 && s.memberCount() == 11 })
}

// Guards against the loss of all leases when a region fails together with the
// table, which runs in that region.
func TestRegionOfTheStoreFails(t *testing.T) {
	s := startAll(t, 28, threeRegionVMs())
	s.tableUp = false
	s.kill(vmNames("a", 4)...)
	s.run(time.Minute)
	require.Equal(t, 7, s.serving())
	requireNoLeaseGaps(t, s, append(vmNames("b", 4), vmNames("c", 3)...))
	s.tableUp = true
	s.runUntil(20*time.Second, "the killed members are evicted", func() bool { return s.memberCount() == 7 })
	requireNoLeaseGaps(t, s, append(vmNames("b", 4), vmNames("c", 3)...))
}

// Guards against a fleet that loses its quorum while all VMs are replaced one by
// one, with one of them killed.
func TestRollingReplacement(t *testing.T) {
	s := startAll(t, 19, threeRegionVMs())
	for i, vm := range threeRegionVMs() {
		s.start(vm+"x", s.randomClockRate())
		s.runUntil(10*time.Second, "joined", func() bool { return s.nodes[vm+"x"].hasLease() })
		if i == 5 {
			s.kill(vm)
		} else {
			old := s.nodes[vm]
			require.Zero(t, old.timeWithoutLease)
			old.leave()
			require.False(t, old.hasLease())
		}
		s.runUntil(10*time.Second, "removed", func() bool { return s.memberCount() == 11 })
		delete(s.nodes, vm)
	}
	s.run(5 * time.Second)
	require.Equal(t, 11, s.serving())
	requireNoLeaseGaps(t, s, s.vms())
}

// Guards against a restarted process that holds the lease or the membership of
// its former incarnation.
func TestRestartIsNewIncarnation(t *testing.T) {
	s := startAll(t, 20, threeRegionVMs())
	first := s.nodes["a02"]
	s.kill("a02")
	s.run(300 * time.Millisecond)
	second := s.start("a02", s.randomClockRate())
	took := s.runUntil(10*time.Second, "joined", func() bool { return second.hasLease() })
	require.EqualValues(t, 2, second.self.GetIncarnation())
	require.Contains(t, s.evictedAt, lease.IDOf(first.self))
	require.Equal(t, 11, s.memberCount())
	t.Log("serves again after", took)
}

// Guards against a process of a former incarnation that keeps running.
func TestStaleIncarnationIsEvicted(t *testing.T) {
	s := startAll(t, 21, vmNames("a", 3))
	s.start("a00", 1)
	s.runUntil(10*time.Second, "joined", func() bool { return s.serving() == 3 })
	stale := New(&peerv1.Member{Vm: "a00", Incarnation: 1}, s.rnd)
	require.True(t, stale.Receive(simStart, s.nodes["a01"].self, &peerv1.Message{
		Kind: &peerv1.Message_EpochAnnounce{EpochAnnounce: &peerv1.EpochAnnounce{Fleet: s.fleet()}},
	}).Evicted)
}

// Guards against a fleet that never restarts after all members were lost, and
// against a takeover before the former members' leases have ended.
func TestTakeoverAfterTotalLoss(t *testing.T) {
	s := startAll(t, 22, vmNames("a", 3))
	for _, vm := range s.vms() {
		s.nodes[vm].pause()
	}
	s.start("b00", 0.975)
	s.start("b01", 1.025)
	s.run(21 * time.Minute)
	require.Equal(t, 0, s.serving())
	s.runUntil(3*time.Minute, "takeover", func() bool { return s.serving() == 2 })
	for _, vm := range vmNames("a", 3) {
		s.nodes[vm].resume()
	}
	s.run(3 * time.Second)
	require.Equal(t, 2, s.serving())
	for _, vm := range vmNames("a", 3) {
		require.True(t, s.nodes[vm].evicted)
	}
}

// Guards against a takeover by a VM that cannot reach the members while they
// serve on member grants alone.
func TestNoTakeoverOfServingFleet(t *testing.T) {
	s := startAll(t, 23, vmNames("a", 3))
	s.isPartitioned = func(from, to string) bool { return from[0] != to[0] }
	s.start("b00", 1)
	s.run(time.Hour)
	require.Equal(t, 3, s.serving())
	require.EqualValues(t, 3, s.fleet().GetEpoch())
}

// Guards against members that ignore the operator's reset, and against a reset
// based on a row that has changed since it was read.
func TestOperatorReset(t *testing.T) {
	s := startAll(t, 24, vmNames("a", 4))
	s.kill("a00", "a01", "a02")
	s.run(5 * time.Second)
	write, next, err := PlanReset(s.rows[RowKey], "reset-1")
	require.NoError(t, err)
	require.Equal(t, s.fleet().GetEpoch()+1, next.GetEpoch())
	require.NoError(t, s.apply(Op{Writes: []platform.Write{write}}).Err)
	require.Error(t, s.apply(Op{Writes: []platform.Write{write}}).Err)
	s.start("b00", 1)
	s.runUntil(5*time.Second, "the new VM holds a lease", func() bool { return s.nodes["b00"].hasLease() })
	s.runUntil(30*time.Second, "the old member learns that it was removed", func() bool { return s.nodes["a03"].evicted })
}

// Guards against a lease that is valid after the last member has left, and
// against a fleet that cannot start again from an empty row.
func TestLastMemberLeaves(t *testing.T) {
	s := startAll(t, 25, vmNames("a", 2))
	for _, vm := range vmNames("a", 2) {
		n := s.nodes[vm]
		n.leave()
		require.False(t, n.hasLease())
		s.runUntil(5*time.Second, "left", func() bool { return n.left })
	}
	require.Zero(t, s.memberCount())
	s.start("b00", 1)
	s.runUntil(5*time.Second, "the new VM holds a lease", func() bool { return s.nodes["b00"].hasLease() })
}

// Guards against table traffic of an idle fleet that grows with the number of
// VMs, and against lease rows that are renewed without need.
func TestTableTrafficAtRest(t *testing.T) {
	for _, n := range []int{4, 11, 64} {
		s := startAll(t, 26, vmNames("a", n))
		clear(s.callCounts)
		s.run(time.Minute)
		total := 0
		for call, count := range s.callCounts {
			require.NotContains(t, call, LeaseKeyPrefix)
			total += count
		}
		require.Less(t, total, 120, "less than two calls per second")
		require.Greater(t, total, 10, "the touch row is written")
		t.Log(n, "members:", s.callCounts)
	}
}

// Guards against a lease that ends although the grants of members and of the
// table together are enough, and against a snapshot that does not show what the
// lease rests on.
func TestSnapshotBasis(t *testing.T) {
	s := startAll(t, 27, threeRegionVMs())
	n := s.nodes["a00"]
	require.Equal(t, BasisMembers, n.m.Snapshot(n.local()).Basis)
	near := func(vm string) bool { return vm[0] == 'a' || vm == "b00" }
	s.isPartitioned = func(from, to string) bool { return near(from) != near(to) }
	s.isDisconnectedFromTable = func(vm string) bool { return vm != "a00" }
	s.run(lease.GrantTTL * 4 / 3)
	snapshot := n.m.Snapshot(n.local())
	require.Equal(t, BasisTable, snapshot.Basis)
	require.Equal(t, StateMember, snapshot.State)
	require.True(t, snapshot.LeaseValid)
	require.Len(t, snapshot.Members, s.memberCount())
}

// Guards against an eviction by voters that do not intersect the quorum behind a
// lease of the preceding epoch. Four of six members form a quorum; after a
// seventh joins, it forms a quorum with the two others and the table.
func TestAdjacentQuorumsCanBeDisjoint(t *testing.T) {
	old := &peerv1.Fleet{Epoch: 5}
	for _, vm := range vmNames("a", 6) {
		old.Members = append(old.Members, &peerv1.Member{Vm: vm, Incarnation: 1})
	}
	next := withJoined(old, &peerv1.Member{Vm: "a06", Incarnation: 1})
	votes := lease.Tally{Table: true, Members: map[lease.ID]struct{}{}}
	votes.Members[lease.ID{VM: "a04", Incarnation: 1}] = struct{}{}
	votes.Members[lease.ID{VM: "a05", Incarnation: 1}] = struct{}{}
	votes.Members[lease.ID{VM: "a06", Incarnation: 1}] = struct{}{}
	var h epochHistory
	h.add(simStart, old)
	h.add(simStart.Add(10*time.Second), next)
	require.True(t, h.latest().voters.IsQuorum(votes))
	sets, known := h.evictionVoterSets(simStart.Add(14 * time.Second))
	require.True(t, known)
	require.False(t, quorumInAll(sets, votes), "not settled")
	acked := map[lease.ID]uint64{}
	for _, m := range next.GetMembers()[:4] {
		acked[lease.IDOf(m)] = next.GetEpoch()
	}
	require.True(t, h.checkSettled(simStart.Add(14*time.Second), acked))
	sets, _ = h.evictionVoterSets(simStart.Add(14*time.Second + lease.GrantTTL))
	require.False(t, quorumInAll(sets, votes), "a lease of the old epoch may still be valid")
	sets, _ = h.evictionVoterSets(simStart.Add(14*time.Second + lease.EvictionVoteDelay))
	require.True(t, quorumInAll(sets, votes))
}

// Guards against an eviction while the voters of skipped epochs are unknown.
func TestEvictionWaitsAfterSkippedEpochs(t *testing.T) {
	var h epochHistory
	h.add(simStart, &peerv1.Fleet{Epoch: 3})
	h.add(simStart.Add(time.Second), &peerv1.Fleet{Epoch: 7})
	_, known := h.evictionVoterSets(simStart.Add(time.Second + lease.GrantTTL))
	require.False(t, known)
	_, known = h.evictionVoterSets(simStart.Add(time.Second + lease.EvictionVoteDelay))
	require.True(t, known)
}
