package trafficsim

import (
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
)

// Deployment describes one of the two deployments of docs/design.md, section 1, with
// the service that its lookups use.
type Deployment struct {
	Name        string
	Regions     []string
	RegionDelay time.Duration // one way, between regions
	DomainDelay time.Duration // one way, between failure domains
	Service     string
	Servers     int
	Slots       int
	Connections int
	EntryVMs    int
	Accounts    int
}

// Deployments are the deployments at their present sizes.
var Deployments = []Deployment{
	{
		Name: "kapeng-tagpuan", Regions: []string{"luzon", "visayas", "mindanao"},
		RegionDelay: 55 * time.Millisecond, DomainDelay: time.Millisecond,
		Service: "lotdesk", Servers: 16, Slots: 8, Connections: 360, EntryVMs: 11, Accounts: 8,
	},
	{
		Name: "frameshare", Regions: []string{"north-tw", "central-tw", "south-tw"},
		RegionDelay: 12 * time.Millisecond, DomainDelay: 500 * time.Microsecond,
		Service: "calendar", Servers: 18, Slots: 6, Connections: 390, EntryVMs: 11, Accounts: 8,
	},
}

// Seeds are the seeds of every experiment.
var Seeds = []uint64{11, 23, 47}

const separator = "-"

// servers returns the declared backend servers, assigned to the regions in turn.
func (d Deployment) servers() []balance.Server {
	out := make([]balance.Server, d.Servers)
	for i := range out {
		out[i] = balance.Server{
			Name: d.Service + separator + strconv.Itoa(i), Region: d.regionOf(i),
			Slots: d.Slots, MaxConnections: d.Connections,
		}
	}
	return out
}

func (d Deployment) regionOf(i int) string { return d.Regions[i%len(d.Regions)] }

// slotsOf returns the number of slots in a region.
func (d Deployment) slotsOf(region string) int {
	n := 0
	for i := range d.Servers {
		if d.regionOf(i) == region {
			n += d.Slots
		}
	}
	return n
}

// vmsOf returns the number of entry VMs in a region.
func (d Deployment) vmsOf(region string) int {
	n := 0
	for i := range d.EntryVMs {
		if d.regionOf(i) == region {
			n++
		}
	}
	return n
}

// delaysMS returns the one-way delays from a region to the others in milliseconds.
func (d Deployment) delaysMS(from string) map[string]float64 {
	out := make(map[string]float64)
	for _, r := range d.Regions {
		if r != from {
			out[r] = float64(d.RegionDelay) / float64(time.Millisecond)
		}
	}
	return out
}
