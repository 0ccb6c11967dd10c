// Package steersim plays the load patterns of the users' deployments against the
// gateway's core packages in virtual time and compares their decisions with
// alternatives: waves by region, bursts on one object, overload, failing and slow
// servers, replaced servers, a hot client account and callers that move.
//
// It models servers that need less work for objects which they handled lately,
// queues, travel times and late reports. It does not model processors and links
// of the VMs, requests cut off in the middle, or callers that come back.
package steersim

import (
	"fmt"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	serviceName = "desk"
	routeName   = "look-up"
	accounts    = 3

	objective = 400 * time.Millisecond
	deadline  = 2 * time.Second
	// coldWorkMS is the mean work of a request at a server without its object,
	// about the objective; warmPart of it is left at one that has it. Both are
	// the figures of the users' deployments.
	coldWorkMS = 400
	warmPart   = 0.3
	// objects are asked for, and a server keeps the last ones that it handled.
	objects     = 107
	keptObjects = 50
	// shedQueue is the queue per slot from which on a server sheds.
	shedQueue = 8
)

// region is a part of a site.
type region struct {
	name         string
	vms, servers int
}

// site holds the sizes of a deployment with one service.
type site struct {
	name    string
	regions []region
	slots   int
	// near and far are the one-way delays within a region and between regions.
	near, far time.Duration
}

// sites have as many servers for callers in each region as the users' have:
// even on the first, few in one region of the second.
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

// servers returns the entries of all servers.
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

// coldCapacity is the number of requests per second that all servers carry if
// none has the object of a request.
func (s site) coldCapacity() float64 {
	slots := 0
	for _, r := range s.regions {
		slots += r.servers * s.slots
	}
	return float64(slots) * 1000 / coldWorkMS
}

func (s site) delay(a, b string) time.Duration {
	if a == b {
		return s.near
	}
	return s.far
}
