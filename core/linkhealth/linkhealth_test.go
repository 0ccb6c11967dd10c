package linkhealth

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms = time.Millisecond
	// checkTime is how long a check takes.
	checkTime = 300 * ms
	// tick is the time between two calls of BeginCheck.
	tick = 250 * ms
)

// simulation replays requests of one VM. Links maps a time to whether they work.
type simulation struct {
	monitor     *Monitor
	servers     int
	linksWork   func(now time.Duration) bool
	checks      int
	transitions []time.Duration
}

// run sends requests at random times with a mean rate, which are answered after the time
// that latency returns, until end.
func (s *simulation) run(perSecond float64, latency func(rng *rand.Rand) time.Duration, end time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	next := time.Duration(0)
	answers := make(map[time.Duration]int)
	checkEnds := time.Duration(-1)
	for now := time.Duration(0); now < end; now += ms {
		for next <= now {
			if !s.monitor.Lost() {
				s.monitor.RequestSent(fmt.Sprint(rng.IntN(s.servers)))
				if s.linksWork(now) {
					answers[now+latency(rng).Truncate(ms)]++
				}
			}
			next += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		}
		if answers[now] > 0 && s.linksWork(now) {
			for range answers[now] {
				s.monitor.Answered(now)
			}
		}
		if now == checkEnds {
			connected := 0
			if s.linksWork(now) {
				connected = 3
			}
			if s.monitor.CheckFinished(now, 3, connected, s.servers) {
				s.transitions = append(s.transitions, now)
			}
		}
		if now%tick == 0 && s.monitor.BeginCheck(now, s.servers) {
			s.checks++
			checkEnds = now + checkTime
		}
	}
}

func constant(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// Guards against a VM that goes on sending requests to servers that it does not reach, and
// against one that rejects or relays requests long after the links work again.
func TestLostLinksAreNoticed(t *testing.T) {
	for _, perSecond := range []float64{2, 10, 50, 400} {
		cutAt, restoredAt := 10*time.Second, 20*time.Second
		s := &simulation{monitor: New(), servers: 42, linksWork: func(now time.Duration) bool { return now < cutAt || now >= restoredAt }}
		s.run(perSecond, constant(400*ms), 25*time.Second)
		require.Len(t, s.transitions, 2, "at %v requests a second", perSecond)
		bound := time.Second
		if perSecond < 10 {
			// Three requests have to remain unanswered.
			bound = maxSilence + 2*time.Second
		}
		require.Less(t, s.transitions[0]-cutAt, bound, "at %v requests a second", perSecond)
		require.Less(t, s.transitions[1]-restoredAt, lostCheckInterval+tick+checkTime+ms)
	}
}

// Guards against checks that cost connections while servers answer, also slow ones.
func TestWorkingLinksAreHardlyEverChecked(t *testing.T) {
	random := func(rng *rand.Rand) time.Duration { return time.Duration(rng.ExpFloat64() * float64(time.Second)) }
	for name, latency := range map[string]func(*rand.Rand) time.Duration{"constant": constant(500 * ms), "random": random} {
		for _, perSecond := range []float64{0.2, 1, 3, 10, 50, 400} {
			s := &simulation{monitor: New(), servers: 42, linksWork: func(time.Duration) bool { return true }}
			s.run(perSecond, latency, 10*time.Minute)
			require.Empty(t, s.transitions)
			require.LessOrEqual(t, s.checks, 12, "in ten minutes at %v requests a second, %s latency", perSecond, name)
		}
	}
}

// Guards against links that fail and return repeatedly and whose requests are lost each
// time: after each relapse the links have to work for longer before they are used.
func TestFlappingLinksAreUsedLess(t *testing.T) {
	s := &simulation{monitor: New(), servers: 42, linksWork: func(now time.Duration) bool { return now%(3*time.Second) < 1500*ms }}
	s.run(50, constant(100*ms), time.Minute)
	require.LessOrEqual(t, len(s.transitions), 8, "of 40 changes of the links")
	require.True(t, s.monitor.Lost())
}

// Guards against a VM that takes the crash of some servers for lost links, and against one
// that needs an answer to be missing before it notices refused connections.
func TestRefusedConnections(t *testing.T) {
	m := New()
	for i := range minServers {
		require.False(t, m.BeginCheck(time.Second, 42), "%d servers", i)
		m.ConnectFailed(fmt.Sprint(i))
		m.ConnectFailed(fmt.Sprint(i))
	}
	require.True(t, m.BeginCheck(time.Second, 42))
	require.False(t, m.BeginCheck(time.Second, 42), "one check at a time")
	require.False(t, m.CheckFinished(time.Second, 3, 1, 42), "a server that accepts a connection is reached")
	require.False(t, m.Lost())

	for i := range minServers {
		m.ConnectFailed(fmt.Sprint(i))
	}
	m.Connected()
	require.False(t, m.BeginCheck(10*time.Second, 42), "another server was connected to since")
	for i := range minServers {
		m.ConnectFailed(fmt.Sprint(i))
	}
	require.True(t, m.BeginCheck(10*time.Second, 42))
	require.True(t, m.CheckFinished(10*time.Second, 3, 0, 42))
	require.True(t, m.Lost())
	require.True(t, m.OpenConnsWork(), "no request waits")
	require.Equal(t, lostCheckInterval, m.RetryAfter(10*time.Second))
	require.True(t, m.BeginCheck(10*time.Second+lostCheckInterval, 42))
	for i := range minServers {
		m.RequestSent(fmt.Sprint(i))
	}
	require.False(t, m.Silenced(0, 42))
	require.True(t, m.Silenced(10*time.Second, 42), "the open connections do not answer")
	require.False(t, m.OpenConnsWork())
	require.False(t, m.CheckFinished(10*time.Second+lostCheckInterval, 3, 1, 42), "most servers are still not reached")
	require.True(t, m.Lost())
}

// Guards against a check without a server to connect to that counts as failed.
func TestNoServers(t *testing.T) {
	m := New()
	m.ConnectFailed("s")
	require.False(t, m.BeginCheck(time.Second, 0))
	require.True(t, m.BeginCheck(time.Second, 1), "the only server")
	require.False(t, m.CheckFinished(time.Second, 0, 0, 1))
	require.False(t, m.Lost())
}
