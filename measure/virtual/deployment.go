package virtual

import "time"

// Deployment holds the sizes of docs/design.md, section 1, that simulations of
// the fleet need.
type Deployment struct {
	Name    string
	Regions []string
	// Near and Far are the one-way delays between failure domains and between
	// regions.
	InRegionDelay, CrossRegionDelay time.Duration
}

// Deployments are those of today. The store is in the first region.
var Deployments = []Deployment{
	{"kapeng-tagpuan", []string{"luzon", "visayas", "mindanao"}, time.Millisecond, 55 * time.Millisecond},
	{"frameshare", []string{"north-tw", "central-tw", "south-tw"}, 500 * time.Microsecond, 12 * time.Millisecond},
}

// EntryVMs is the number of entry VMs of a deployment.
const EntryVMs = 11

const domainsPerRegion = 2

// Region returns the index of the region of a VM.
func (d Deployment) Region(vm int) int { return vm % len(d.Regions) }

// Domain returns the index of the failure domain of a VM within its region.
func (d Deployment) FailureDomain(vm int) int { return vm / len(d.Regions) % domainsPerRegion }

// Delay returns the one-way delay between two VMs.
func (d Deployment) Delay(a, b int) time.Duration { return d.between(d.Region(a), d.Region(b)) }

// StoreDelay returns the one-way delay between a VM and the store.
func (d Deployment) StoreDelay(vm int) time.Duration { return d.between(d.Region(vm), 0) }

func (d Deployment) between(a, b int) time.Duration {
	if a == b {
		return d.InRegionDelay
	}
	return d.CrossRegionDelay
}
