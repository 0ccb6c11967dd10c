package steersim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that ends a server for each VM of the fleet, or for each
// message that is lost or VM that restarts, and against other requests that pay for it.
func TestCrashingRequestsEndFewServers(t *testing.T) {
	for _, s := range append([]site{largeSite}, sites...) {
		for _, varied := range []bool{false, true} {
			quiet := simulate(s, corePolicy, workload{requestRate: evenRate(loadFactor), duration: crashRunDuration}, 1)
			for name, disturb := range map[string]func(w *world){
				"calm": func(*world) {},
				"messages lost, VMs restarted": func(w *world) {
					w.fleet.loss = 0.2
					for i, p := range w.fleet.all {
						if vm := w.vmByName(p.name); i%3 == 1 {
							w.After(time.Duration(6+i%7)*time.Second, func() { vm.killed = true })
							w.After(time.Duration(8+i%7)*time.Second, vm.restart)
						}
					}
				},
			} {
				w := simulate(s, corePolicy, workload{requestRate: evenRate(loadFactor), duration: crashRunDuration, injectFault: func(w *world) {
					sendCrashingRequests(varied)(w)
					disturb(w)
				}}, 1)
				if !varied {
					// The users' rule is about one request that comes again.
					require.LessOrEqual(t, w.crashing.lateArrivals(), maxCrashRetries, "%s, %s", s.name, name)
				}
				require.LessOrEqual(t, len(w.crashing.crashes), 10, "%s, %s, varied %v: servers that ended", s.name, name, varied)
				if name == "calm" {
					require.GreaterOrEqual(t, w.servedInTime(), quiet.servedInTime()-0.03, "%s, varied %v", s.name, varied)
				}
			}
		}
	}
}
