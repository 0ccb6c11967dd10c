package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

// Guards against a large pool whose only usable server is neither among the
// first of an object nor in the sample.
func TestOnlyUsableServerOfALargePoolIsFound(t *testing.T) {
	p := picker(servers("north", 400, 8))
	for i := range 399 {
		c := Choice{Server: p.servers[fmt.Sprintf("north-%d", i)].told}
		p.RequestStarted(0, request(1), c)
		p.RequestFinished(0, request(1), c, Unreachable, time.Millisecond)
	}
	for _, object := range []uint64{0, 7} {
		c := p.Pick(0, request(object))
		require.NotNil(t, c.Server)
		require.Equal(t, "north-399", c.Server.ID)
	}
}

// Guards against requests that wait at the full servers of an object while most
// of a large pool has room.
func TestCapacityOutsideTheRankedServersIsUsed(t *testing.T) {
	p := picker(servers("north", 400, 8))
	in := p.groups["desk"].byRegion["north"]
	ranked, _ := in.candidates(7)
	require.Len(t, ranked, rankedCandidates)
	for _, s := range ranked {
		p.LoadReported(0, s.told.ID, 8, 100)
	}
	for range 100 {
		c := p.Pick(0, request(7))
		require.NotNil(t, c.Server)
		require.Zero(t, c.wait)
		require.NotContains(t, ranked, p.servers[c.Server.ID])
	}
}

// Guards against a ranking that is remembered after its servers have left, and
// against objects that move although their server stays.
func TestRankingFollowsThePool(t *testing.T) {
	all := servers("north", 60, 8)
	p := picker(all)
	was := make(map[uint64]string)
	for i := range uint64(200) {
		was[i+1] = p.Pick(0, request(i+1)).Server.ID
	}
	p.Update(0, service, map[string][]*steering.Server{"desk": all[1:]})
	for object, id := range was {
		now := p.Pick(0, request(object)).Server.ID
		if id == all[0].ID {
			require.NotEqual(t, id, now)
		} else {
			require.Equal(t, id, now)
		}
	}
}

// Guards against memory that grows with the objects that callers name.
func TestRankingsAreBounded(t *testing.T) {
	p := picker(servers("north", 60, 8))
	for i := range uint64(3 * maxRanked) {
		p.Pick(0, request(i+1))
	}
	require.LessOrEqual(t, len(p.groups["desk"].byRegion["north"].ranked), maxRanked)
}
