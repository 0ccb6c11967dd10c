package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func memberIDs(n int) (all []ID, voters Voters) {
	var members []*peerv1.Member
	for i := range n {
		m := &peerv1.Member{Vm: fmt.Sprint(i), Incarnation: 1}
		members = append(members, m)
		all = append(all, IDOf(m))
	}
	return all, NewVoters(members)
}

func tally(table bool, members ...ID) Tally {
	t := Tally{Table: table, Members: map[ID]struct{}{}}
	for _, id := range members {
		t.Members[id] = struct{}{}
	}
	return t
}

// Guards against two disjoint quorums in one epoch, for all sizes of the two
// sides of a network partition.
func TestQuorumsOfAnEpochIntersect(t *testing.T) {
	for n := 1; n <= 64; n++ {
		all, voters := memberIDs(n)
		for k := range n + 1 {
			one, other := tally(true, all[:k]...), tally(false, all[k:]...)
			require.False(t, voters.IsQuorum(one) && voters.IsQuorum(other), "%d of %d", k, n)
		}
	}
}

// Guards against wrong weights: of 11 VMs, 7 without or 5 with the table are
// a quorum; of 4 VMs, 3 or 2. The weights are described on the design page.
func TestQuorumOfElevenVMs(t *testing.T) {
	all, voters := memberIDs(11)
	require.Equal(t, 13, voters.Total())
	require.True(t, voters.IsQuorum(tally(false, all[:7]...)))
	require.False(t, voters.IsQuorum(tally(false, all[:6]...)))
	require.True(t, voters.IsQuorum(tally(true, all[:5]...)))
	require.False(t, voters.IsQuorum(tally(true, all[:4]...)))
	all, voters = memberIDs(4)
	require.True(t, voters.IsQuorum(tally(false, all[:3]...)))
	require.False(t, voters.IsQuorum(tally(false, all[:2]...)))
	require.True(t, voters.IsQuorum(tally(true, all[:2]...)))
	require.False(t, voters.IsQuorum(tally(true, all[:1]...)))
}

// Guards against a vote before EvictionVoteDelay has passed, and against a
// grant after a vote.
func TestGranterDoesNotGrantAndVote(t *testing.T) {
	all, voters := memberIDs(3)
	g := NewGranter()
	require.False(t, g.Grant(start, all[1]), "no epoch entered")
	g.EnterEpoch(start, 4, voters)
	require.True(t, g.Grant(start, all[1]))
	require.False(t, g.Vote(start.Add(EvictionVoteDelay-1), all[1]))
	require.True(t, g.Vote(start.Add(EvictionVoteDelay), all[1]))
	require.False(t, g.Grant(start.Add(time.Hour), all[1]))
	g.EnterEpoch(start.Add(time.Hour), 4, voters)
	require.False(t, g.Grant(start.Add(time.Hour), all[1]), "same epoch")
	g.EnterEpoch(start.Add(time.Hour), 5, voters)
	require.True(t, g.Grant(start.Add(time.Hour), all[1]))
	require.False(t, g.Vote(start.Add(time.Hour+time.Second), all[1]))
	require.False(t, g.Vote(start, ID{VM: "unknown"}))
}

// Guards against delays so short that they end before the holder's lease if
// the voter's clock is 5% faster than the holder's.
func TestVoteDelayCoversClockDrift(t *testing.T) {
	require.Greater(t, float64(EvictionVoteDelay)/1.05, float64(GrantTTL))
	require.Greater(t, float64(TakeoverTimeout)/1.05, float64(TableContactTimeout))
}

// Guards against a vote of the table while the lease row is being renewed.
func TestObservationRestartsOnChange(t *testing.T) {
	var o RowObservation
	_, ok := o.Vote(start.Add(time.Hour))
	require.False(t, ok, "nothing read")
	o.Record(start, 0)
	o.Record(start.Add(3*time.Second), 9)
	_, ok = o.Vote(start.Add(EvictionVoteDelay))
	require.False(t, ok)
	version, ok := o.Vote(start.Add(3*time.Second + EvictionVoteDelay))
	require.True(t, ok)
	require.EqualValues(t, 9, version)
}

// Guards against a lease that counts grants of later epochs or of VMs that
// are not members, or that starts when the grant arrived.
func TestHolderCountsGrants(t *testing.T) {
	all, voters := memberIDs(4)
	h := NewHolder(all[0])
	h.EnterEpoch(2, voters)
	h.RecordContact(start)
	h.RecordGrant(all[0], 2, start)
	h.RecordGrant(all[1], 2, start)
	h.RecordGrant(all[2], 3, start)
	h.RecordGrant(ID{VM: "unknown"}, 2, start)
	require.False(t, h.Valid(start), "2 of 5")
	third := GrantTTL / 3
	h.RecordGrant(all[2], 1, start.Add(-third))
	h.RecordGrant(all[3], 2, start.Add(-2*third))
	require.Equal(t, start.Add(2*third), h.ValidUntil())
	require.False(t, h.Valid(start.Add(2*third)))
	h.RecordTableGrant(3, start)
	require.Equal(t, start.Add(2*third), h.ValidUntil())
	h.RecordTableGrant(2, start)
	require.Equal(t, start.Add(GrantTTL), h.ValidUntil())
	require.Equal(t, start.Add(2*third), h.ValidUntilByMembers())
}

// Guards against a gap in the lease when the epoch changes, and against a
// single member's lease that outlasts the epoch.
func TestLeaseOverEpochChange(t *testing.T) {
	all, both := memberIDs(2)
	h := NewHolder(all[0])
	h.EnterEpoch(1, both.Without(all[1]))
	h.RecordContact(start)
	h.RecordGrant(all[0], 1, start)
	require.Equal(t, start.Add(GrantTTL), h.ValidUntil())
	h.EnterEpoch(2, both)
	require.Equal(t, start.Add(GrantTTL), h.ValidUntil())
	h.RecordGrant(all[0], 2, start.Add(2*time.Second))
	require.Equal(t, start.Add(GrantTTL), h.ValidUntil(), "the other member has not granted")
	h.RecordGrant(all[1], 2, start.Add(2*time.Second))
	require.Equal(t, start.Add(2*time.Second+GrantTTL), h.ValidUntil())
	h.Release()
	require.False(t, h.Valid(start))
}

// Guards against a lease by grants of members that outlasts a takeover.
func TestContactLimitsLease(t *testing.T) {
	all, voters := memberIDs(1)
	h := NewHolder(all[0])
	h.EnterEpoch(1, voters)
	h.RecordGrant(all[0], 1, start)
	require.False(t, h.Valid(start), "no contact")
	h.RecordContact(start.Add(-TableContactTimeout + time.Second))
	h.RecordContact(start.Add(-TableContactTimeout))
	require.Equal(t, start.Add(time.Second), h.ValidUntil())
}
