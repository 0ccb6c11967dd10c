package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

// Guards against a large pool whose only usable server is missed because it is
// neither among the first servers of an object nor in the sample.
func TestOnlyUsableServerOfALargePoolIsFound(t *testing.T) {
	p := newTestPicker(testServers("north", 400, 8))
	for i := range 399 {
		c := Choice{Server: p.servers[fmt.Sprintf("north-%d", i)].registration}
		p.RequestStarted(0, testRequest(1), c)
		p.RequestFinished(0, testRequest(1), c, Unreachable, time.Millisecond)
	}
	for _, object := range []uint64{0, 7} {
		c := p.Pick(0, testRequest(object))
		require.NotNil(t, c.Server)
		require.Equal(t, "north-399", c.Server.ID)
	}
}

// Guards against requests that wait at the full servers of an object while most
// of a large pool has capacity.
func TestCapacityOutsideTheRankedServersIsUsed(t *testing.T) {
	p := newTestPicker(testServers("north", 400, 8))
	regionPool := p.groups["desk"].byRegion["north"]
	ranked, _ := regionPool.candidates(7)
	require.Len(t, ranked, rankedCandidates)
	for _, s := range ranked {
		p.LoadReported(0, s.registration.ID, 8, 100)
	}
	for range 100 {
		c := p.Pick(0, testRequest(7))
		require.NotNil(t, c.Server)
		require.Zero(t, c.waitMS)
		require.NotContains(t, ranked, p.servers[c.Server.ID])
	}
}

// Guards against a cached ranking that outlives its servers, and against objects
// that move although their server stays.
func TestRankingFollowsThePool(t *testing.T) {
	all := testServers("north", 60, 8)
	p := newTestPicker(all)
	before := make(map[uint64]string)
	for i := range uint64(200) {
		before[i+1] = p.Pick(0, testRequest(i+1)).Server.ID
	}
	p.Update(0, testServices, map[string][]*steering.Server{"desk": all[1:]})
	for object, id := range before {
		after := p.Pick(0, testRequest(object)).Server.ID
		if id == all[0].ID {
			require.NotEqual(t, id, after)
		} else {
			require.Equal(t, id, after)
		}
	}
}

// Guards against memory that grows with the number of requested objects.
func TestRankingsAreBounded(t *testing.T) {
	p := newTestPicker(testServers("north", 60, 8))
	for i := range uint64(3 * maxRankings) {
		p.Pick(0, testRequest(i+1))
	}
	require.LessOrEqual(t, len(p.groups["desk"].byRegion["north"].rankings), maxRankings)
}
