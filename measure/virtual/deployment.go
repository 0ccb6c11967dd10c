package virtual

import "time"

// Deployment describes a deployment for simulations of the fleet. The sizes are
// those of docs/design.md, section 1.
type Deployment struct {
	Name    string
	Regions []string
	// InRegionDelay and CrossRegionDelay are the one-way delays between VMs of
	// one region and between regions.
	InRegionDelay, CrossRegionDelay time.Duration
}

// Deployments are the present deployments. The store is in the first region of
// each.
var Deployments = []Deployment{
	{"kapeng-tagpuan", []string{"luzon", "visayas", "mindanao"}, time.Millisecond, 55 * time.Millisecond},
	{"frameshare", []string{"north-tw", "central-tw", "south-tw"}, 500 * time.Microsecond, 12 * time.Millisecond},
}

// EntryVMs is the number of entry VMs in each deployment.
const EntryVMs = 11

const domainsPerRegion = 2

// Region returns the index of the region in which a VM is.
func (d Deployment) Region(vm int) int { return vm % len(d.Regions) }

// FailureDomain returns the index of the failure domain of a VM within its region.
func (d Deployment) FailureDomain(vm int) int { return vm / len(d.Regions) % domainsPerRegion }

// Delay returns the one-way delay between two VMs.
func (d Deployment) Delay(a, b int) time.Duration { return d.delayBetween(d.Region(a), d.Region(b)) }

// StoreDelay returns the one-way delay between a VM and the store.
func (d Deployment) StoreDelay(vm int) time.Duration { return d.delayBetween(d.Region(vm), 0) }

func (d Deployment) delayBetween(a, b int) time.Duration {
	if a == b {
		return d.InRegionDelay
	}
	return d.CrossRegionDelay
}
