package trafficsim

import (
	"time"
)

const (
	experimentKilled               = "vm-killed"
	figureShifted                  = "shifted"
	figureRejectedAfterReplacement = "refused-after-replacement"
	killedAt                       = 30 * time.Second
	replacedAt                     = 45 * time.Second
	killedEnd                      = 60 * time.Second
	// killedRejectionTarget is from docs/design.md, section 1: wrongful
	// rejections with one VM killed.
	killedRejectionTarget = 0.01
)

// VMKilled measures the requests that routing rejects after a VM is killed at 60%
// load, when its callers go to the other VMs of its region, and after a new VM
// replaces it. No region is over its cap, so every rejection is wrongful.
func VMKilled(d Deployment, seed uint64) []Figure {
	demand := map[string]float64{}
	for _, r := range d.Regions {
		demand[r] = failureDemand
	}
	f := newRegionFleet(d, demand, seed, newRoutingChooser)
	f.RunUntil(killedAt)
	f.accounts, f.shifted = newAccounts(d), 0
	f.vms[0].stopped = true
	f.RunUntil(replacedAt)
	rejectedAfterKill, shifted := f.rejectedFraction(), float64(f.shifted)/float64(f.offered())
	f.accounts = newAccounts(d)
	f.vms[0] = &regionVM{region: f.vms[0].region, chooser: newRoutingChooser(f, f.vms[0].region)}
	f.vms[0].chooser.setVMCount(len(f.vms))
	f.RunUntil(killedEnd)
	figure := func(name string, target Target, value float64) Figure {
		return Figure{Experiment: experimentKilled + separator + d.Name, Seed: seed, Name: name, Unit: unitFractionOfOffered, Value: value, Target: target}
	}
	return []Figure{
		figure(figureRejected, atMost(killedRejectionTarget), rejectedAfterKill),
		figure(figureShifted, Target{}, shifted),
		figure(figureRejectedAfterReplacement, atMost(wrongfulRejectionTarget), f.rejectedFraction()),
	}
}
