// Package steersim simulates the gateway's core packages in virtual time under the
// load patterns of the users' deployments, and compares their decisions with those
// of simpler policies. The patterns are waves by region, bursts on one object,
// overload, failing, slow and replaced servers, a hot client account, and callers
// that move to another region.
//
// The model includes servers that need less work for recently used objects, queues,
// network delays and delayed reports. It does not include the processors and links
// of the VMs, interrupted requests, or callers that retry.
package steersim

import (
	"fmt"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	serviceName = "desk"
	routeName   = "look-up"
	priorities  = 3

	objective = 400 * time.Millisecond
	deadline  = 2 * time.Second
	// coldWorkMS is the mean work of a request at a server that does not have its
	// object cached, about as long as the objective. warmWorkFraction is the fraction of
	// it that remains if the object is cached. Both are the figures of the users'
	// deployments.
	coldWorkMS       = 400
	warmWorkFraction = 0.3
	// objectCount is the number of objects that callers request, and
	// cachedObjects the number of recently used ones that a server keeps.
	objectCount   = 107
	cachedObjects = 50
	// shedQueuePerSlot is the number of queued requests per slot at which a
	// server sheds further ones.
	shedQueuePerSlot = 8
)

// region holds the numbers of VMs and backend servers in a region of a site.
type region struct {
	name         string
	vms, servers int
}

// site describes a deployment with one service.
type site struct {
	name    string
	regions []region
	slots   int
	// The delays are one-way.
	inRegionDelay, crossRegionDelay time.Duration
}

// sites have the distribution of servers of the users' deployments: equal in all
// regions of the first, and few servers in one region of the second.
var sites = []site{
	{"tagpuan", []region{{"luzon", 4, 4}, {"mindanao", 3, 4}, {"visayas", 3, 4}}, 8, time.Millisecond, 55 * time.Millisecond},
	{"frameshare", []region{{"central", 3, 8}, {"north", 4, 3}, {"south", 3, 8}}, 8, 500 * time.Microsecond, 12 * time.Millisecond},
}

func (s site) regionNames() []string {
	names := make([]string, 0, len(s.regions))
	for _, r := range s.regions {
		names = append(names, r.name)
	}
	return names
}

// servers returns the registrations of all servers.
func (s site) servers() []*steering.Server {
	var all []*steering.Server
	for _, r := range s.regions {
		for i := range r.servers {
			id := fmt.Sprintf("%s-%d", r.name, i)
			all = append(all, &steering.Server{ID: id, Service: serviceName, Region: r.name, FailureDomain: r.name, Slots: s.slots, Address: id})
		}
	}
	return all
}

// coldCapacity is the number of requests per second that all servers together
// can serve if no object is cached.
func (s site) coldCapacity() float64 {
	slots := 0
	for _, r := range s.regions {
		slots += r.servers * s.slots
	}
	return float64(slots) * 1000 / coldWorkMS
}

// delay returns the one-way delay between two regions.
func (s site) delay(a, b string) time.Duration {
	if a == b {
		return s.inRegionDelay
	}
	return s.crossRegionDelay
}
