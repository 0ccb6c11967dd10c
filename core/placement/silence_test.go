package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays a server that vanishes while requests wait for it. Guards against
// requests that wait for it as long as their callers do.
func TestSilentServerIsDoubtedOnceAndSuspended(t *testing.T) {
	p := picker(servers("north", 2, 8))
	begin := time.Second
	c := p.Pick(begin, request(1))
	p.Started(begin, request(1), c)
	id := c.Server.ID
	at := begin + Overdue(c.Expected)
	timeout, due := p.Doubt(at, id, begin)
	require.True(t, due)
	require.Less(t, Overdue(200*time.Millisecond)+timeout, time.Second, "callers of a second are served elsewhere in time")
	_, due = p.Doubt(at, id, begin)
	require.False(t, due, "one probe for all that wait")
	require.True(t, p.Silent(at+timeout, id, begin))
	require.NotEqual(t, id, p.Pick(at+timeout, request(1)).Server.ID)
	p.Probed(at+time.Second, id, 0)
	require.Equal(t, id, p.Pick(at+time.Second, request(1)).Server.ID)
}

// Guards against probes of servers that are only slow, as all are under
// overload, and against a server that is suspended although it answered.
func TestServerThatAnswersIsNotSilent(t *testing.T) {
	p := picker(servers("north", 2, 8))
	c := p.Pick(0, request(1))
	id := c.Server.ID
	p.Started(time.Second, request(1), c)
	p.Reported(1100*time.Millisecond, id, 8, 30)
	_, due := p.Doubt(2*time.Second, id, time.Second)
	require.False(t, due)
	_, due = p.Doubt(2*time.Second, id, 1200*time.Millisecond)
	require.True(t, due)
	p.Finished(2100*time.Millisecond, request(1), c, Succeeded, time.Second)
	require.False(t, p.Silent(2200*time.Millisecond, id, 1200*time.Millisecond))
	require.Equal(t, id, p.Pick(2200*time.Millisecond, request(1)).Server.ID)
}
