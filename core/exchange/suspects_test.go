package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/poison"
)

// Guards against VMs that do not hear of a request which crashes servers, because they are
// in another group than the one that has seen it, or messages are lost, and against
// messages that grow with the number of suspect requests.
func TestSuspectsReachAllVMs(t *testing.T) {
	for name, f := range map[string]*fleet{"84 VMs": newFleet(t, 84), "300 VMs in groups": newLargeFleet(t)} {
		for _, loss := range []float64{0, 0.3} {
			f.rounds(8)
			f.loss = loss
			request := poison.Content{Target: name, Account: time.Duration(loss * 1000).String()}.Fingerprints()
			observer := f.vms[f.names()[len(f.names())-1]].Suspects()
			observer.Crashed(f.now, request, poison.Crash{Server: "s1", SentAt: f.now - 2*time.Second, At: f.now - time.Second})
			observer.Crashed(f.now, request, poison.Crash{Server: "s2", SentAt: f.now - 500*time.Millisecond, At: f.now})
			unaware := func() (vms int) {
				for _, m := range f.vms {
					if !m.Suspects().Check(f.now, request, func([]string) bool { return false }).Suspect {
						vms++
					}
				}
				return vms
			}
			rounds := 0
			for unaware() > 0 && rounds < 20 {
				f.round()
				rounds++
			}
			t.Logf("%s, loss %v: %d rounds of %v", name, loss, rounds, ReportInterval(len(f.roster)))
			if loss == 0 {
				require.LessOrEqual(t, rounds, 2, name)
			}
			require.Zero(t, unaware(), name)
			f.loss = 0
			f.rounds(3)
			observer.Survived(f.now, request)
			f.rounds(3)
			for vm, m := range f.vms {
				require.False(t, m.Suspects().Check(f.now, request, func([]string) bool { return false }).Suspect, "%s, %s", name, vm)
			}
		}
	}
}
