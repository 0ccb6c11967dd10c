package trafficsim

import (
	"time"
)

const (
	experimentKilled = "vm-killed"
	figureShifted    = "shifted"
	figureReplaced   = "refused-after-replacement"
	killedAt         = 30 * time.Second
	replacedAt       = 45 * time.Second
	killedEnd        = 60 * time.Second
	// killedTarget is from docs/design.md, section 1: wrongful rejections with one
	// VM killed.
	killedTarget = 0.01
)

// VMKilled measures the refusals of Choose when a VM is killed at 60% load, so
// that its callers go to the other VMs of its region, and when a new VM replaces
// it. No region is over its cap, so every refusal is wrongful.
func VMKilled(d Deployment, seed uint64) []Figure {
	demand := map[string]float64{}
	for _, r := range d.Regions {
		demand[r] = failureDemand
	}
	f := newRegionFleet(d, demand, seed, newRegionsChooser)
	f.RunUntil(killedAt)
	f.accounts, f.shifted = newAccounts(d), 0
	f.vms[0].dead = true
	f.RunUntil(replacedAt)
	killed, shifted := f.refused(), float64(f.shifted)/float64(f.offered())
	f.accounts = newAccounts(d)
	f.vms[0] = &regionVM{region: f.vms[0].region, chooser: newRegionsChooser(f, f.vms[0].region)}
	f.vms[0].chooser.vms(len(f.vms))
	f.RunUntil(killedEnd)
	figure := func(name string, target Target, value float64) Figure {
		return Figure{Experiment: experimentKilled + separator + d.Name, Seed: seed, Name: name, Unit: unitPartOfAsked, Value: value, Target: target}
	}
	return []Figure{
		figure(figureRejected, atMost(killedTarget), killed),
		figure(figureShifted, Target{}, shifted),
		figure(figureReplaced, atMost(wrongfulTarget), f.refused()),
	}
}
