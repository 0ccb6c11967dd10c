package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/entry/ingress"
)

// Guards against a planned stop that counts its grace period from when a suspended process
// woke: the platform has counted from the signal, and kills the process in the middle of
// its requests.
func TestStandstillAroundTheSignalCountsForTheStop(t *testing.T) {
	tests := map[string]struct {
		ticks  []time.Duration
		at     time.Duration
		signal time.Duration
	}{
		"without a standstill":         {[]time.Duration{time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}, 600 * time.Millisecond, 600 * time.Millisecond},
		"the signal before the tick":   {[]time.Duration{time.Millisecond, 250 * time.Millisecond}, 3650 * time.Millisecond, 250 * time.Millisecond},
		"the tick before the signal":   {[]time.Duration{time.Millisecond, 250 * time.Millisecond, 3650 * time.Millisecond}, 3700 * time.Millisecond, 250 * time.Millisecond},
		"a standstill that ended long": {[]time.Duration{time.Millisecond, 250 * time.Millisecond, 3650 * time.Millisecond, 3900 * time.Millisecond, 4150 * time.Millisecond, 4400 * time.Millisecond, 4650 * time.Millisecond}, 4700 * time.Millisecond, 4700 * time.Millisecond},
		"a late tick":                  {[]time.Duration{time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond}, 950 * time.Millisecond, 950 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s standstill
			for _, tick := range test.ticks {
				s.tick(tick)
			}
			require.Equal(t, test.signal, s.earliestSignal(test.at))
		})
	}
	runInVirtualTime(t, &standInBackends{}, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		n.standstill.tick(n.uptime())
		time.Sleep(3400 * time.Millisecond)
		begin := time.Now()
		drained := make(chan struct{})
		go func() {
			n.drain(context.Background())
			close(drained)
		}()
		time.Sleep(100 * time.Millisecond)
		response := serve(newRequest("POST", "/book/", "X-Deadline-Ms", "8000"))
		require.Equal(t, 503, response.Status)
		<-drained
		require.LessOrEqual(t, time.Since(begin), n.bounds.Load().GracePeriod-3400*time.Millisecond)
	})
}
