package exchange

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const largeFleet = 300

// largeRegions is the number of regions of the large fleet; one VM of each counts
// the account, as the gateway's VMs do.
const largeRegions = 5

func newLargeFleet(t *testing.T) *fleet {
	f := newFleet(t, largeFleet)
	for i := range f.roster {
		f.roster[i].Region = "region-" + strconv.Itoa(i%largeRegions)
	}
	for i, name := range f.names() {
		f.machines[name].SetRoster(f.roster)
		if i >= 100 && i < 100+largeRegions {
			f.demand[name] = float64(100 * (1 + i%7))
		}
	}
	f.rounds(16)
	return f
}

// counted is the sum of the parts of the VMs that count.
func (f *fleet) counted(rate float64) float64 {
	var sum float64
	for _, name := range f.names() {
		if !f.dead[name] && f.demand[name] > 0 {
			sum += f.machines[name].RateShare(f.now, "hot", rate)
		}
	}
	return sum
}

// leadersOf returns the leaders that a VM sees.
func (f *fleet) leadersOf(vm string) map[groupKey]string {
	d, _ := f.machines[vm].Digest(f.now)
	return f.machines[vm].leaders(d)
}

// plainMember returns a live VM that is neither hub nor leader.
func (f *fleet) plainMember() string {
	for _, name := range f.names() {
		m := f.machines[name]
		if !f.dead[name] && !m.IsHub(f.now) && f.leadersOf(name)[m.groups[name]] != name {
			return name
		}
	}
	return ""
}

// Guards against hubs whose messages grow with the fleet, and against messages
// that do not fit into a datagram.
func TestHubsOfALargeFleetSendToLeaders(t *testing.T) {
	f := newLargeFleet(t)
	hub := f.machines[f.first()]
	require.True(t, hub.SendsDigests(f.now))
	require.Less(t, len(hub.Digests(f.now)), largeFleet/8)
	require.Less(t, len(hub.HeartbeatTargets(f.now)), largeFleet/8)
	for _, name := range f.names() {
		m := f.machines[name]
		require.LessOrEqual(t, len(m.HeartbeatTargets(f.now)), 2*groupSize, name)
	}
	f.sent = 0
	f.rounds(10)
	require.LessOrEqual(t, f.sent/10, 4*largeFleet)
	require.LessOrEqual(t, f.largest, 16<<10)
	raw, err := json.Marshal(hub.Digests(f.now)[hub.self])
	require.NoError(t, err)
	require.NotEmpty(t, raw)
}

// Guards against a large fleet in which VMs do not hear the digest, parts do not
// add up, or demand is counted twice or not at all.
func TestDigestReachesALargeFleet(t *testing.T) {
	f := newLargeFleet(t)
	var asked float64
	for _, name := range f.names() {
		asked += f.demand[name]
		_, fresh := f.machines[name].Digest(f.now)
		require.True(t, fresh, name)
	}
	d, _ := f.machines[f.plainMember()].Digest(f.now)
	require.Empty(t, d.Silent)
	require.Equal(t, largeFleet, d.Alive)
	require.InDelta(t, asked, d.Demand["hot"], 0.01*asked)
	require.InDelta(t, 1, f.counted(asked/2), 0.1)
	require.InDelta(t, 1, f.counted(10*asked), 0.1)
}

// Guards against VMs that follow the store although a leader could tell them, and
// against leaders that read only from each other.
func TestWhoReadsTheStoreInALargeFleet(t *testing.T) {
	f := newLargeFleet(t)
	readers := func() int {
		n := 0
		for _, name := range f.names() {
			if !f.dead[name] && f.machines[name].ReadsStore(f.now) {
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, readers(), hubCount)
	f.versions.Operator = 9
	f.round()
	for _, name := range f.names() {
		if m := f.machines[name]; !m.IsHub(f.now) {
			source, ok := m.UpstreamHub(f.now)
			require.True(t, ok, name)
			require.Equal(t, uint64(9), source.Versions.Operator, name)
		}
	}
	for _, hub := range f.machines[f.first()].Hubs(f.now) {
		f.unsound[hub] = true
	}
	f.rounds(4)
	require.Equal(t, largeFleet, readers(), "nobody reads from leaders that are not fed")
}

// Guards against a group that is lost with its leader, and against parts that
// exceed the rate while another takes over.
func TestLeaderOfAGroupFails(t *testing.T) {
	f := newLargeFleet(t)
	member := f.plainMember()
	group := f.machines[member].groups[member]
	leader := f.leadersOf(member)[group]
	f.dead[leader] = true
	for range 24 {
		f.round()
		require.LessOrEqual(t, f.counted(100), 1.15)
	}
	next := f.leadersOf(member)[group]
	require.NotEqual(t, leader, next)
	d, fresh := f.machines[member].Digest(f.now)
	require.True(t, fresh)
	require.Equal(t, []string{leader}, d.Silent)
	require.LessOrEqual(t, f.now, time.Minute)
	require.False(t, f.machines[member].ReadsStore(f.now))
}

// Guards against a fleet that is lost with both hubs, and against a leader that
// takes itself for a hub since it does not hear the hubs.
func TestHubsOfALargeFleetFail(t *testing.T) {
	f := newLargeFleet(t)
	for _, hub := range f.machines[f.first()].Hubs(f.now) {
		f.dead[hub] = true
	}
	for range 40 {
		f.round()
		leading := 0
		for _, name := range f.names() {
			if !f.dead[name] && f.machines[name].SendsDigests(f.now) {
				leading++
			}
		}
		require.LessOrEqual(t, leading, 2*searchCount)
		require.LessOrEqual(t, f.counted(100), 1.15)
	}
	d, fresh := f.machines[f.plainMember()].Digest(f.now)
	require.True(t, fresh)
	require.Len(t, d.Silent, 2)
	require.Equal(t, largeFleet-2, d.Alive)
}
