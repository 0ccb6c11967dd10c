// Package demo generates the files of the demonstration: the declarations, settings
// and stand-in configurations of one deployment with the services of Kapeng Tagpuan,
// scaled to one machine, on loopback addresses.
package demo

import (
	"fmt"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/standin/backend"
)

const (
	regionLuzon   = "luzon"
	regionVisayas = "visayas"
)

// Addresses are 127.<net>.<subnet>.<host>:<port>.
const (
	addressFormat = "127.%d.%d.%d:%d"
	blockFormat   = "127.%d.%d.0/24"
	hostFormat    = "127.%d.%d.%d"
	urlFormat     = "http://%s"

	subnetPlatform = 1
	subnetEntry    = 2
	subnetBackend  = 3
	// subnetCallers and the subnet after it contain the callers of the two regions.
	subnetCallers = 4

	portTable    = 7001
	portObjects  = 7002
	portVMs      = 7003
	portCaller   = 8080
	portPeer     = 8081
	portOperator = 8082
	portBackend  = 9000
	portControl  = 9001
	hostControl  = 250
)

// Properties of every region, link, backend server and route. The capacities of
// regions and links are in requests per second. The load is about 340 requests per
// second, of which about 180 are within the rates of their accounts.
const (
	capPerSecond      = 600
	capBurst          = 600
	rampPerSecond     = 0.5
	linkPerSecond     = 400
	delayMS           = 55
	maxConnections    = 360
	coldStartMS       = 2000
	serviceTimeSpread = 0.3
	deadlineMS        = 2000
)

// serviceSize holds the number and the size of a service's backend servers.
type serviceSize struct {
	name          string
	perRegion     int
	slots         int
	serviceTimeMS float64
}

var services = []serviceSize{
	{name: "lotdesk", perRegion: 2, slots: 8, serviceTimeMS: 15},
	{name: "bookhouse", perRegion: 2, slots: 6, serviceTimeMS: 30},
	{name: "growerlink", perRegion: 1, slots: 4, serviceTimeMS: 10},
}

var regions = []string{regionLuzon, regionVisayas}

const (
	vmFormat     = "%s-%d"
	domainFormat = "%s-%c"
	serverFormat = "%s-%s-%d"
	vmsPerRegion = 2
	firstDomain  = 'a'
)

// domainName returns the name of a region's n-th failure domain.
func domainName(region string, n int) string { return fmt.Sprintf(domainFormat, region, firstDomain+n) }

// deployment generates the parts of a demonstration with the addresses of a network.
type deployment struct {
	net int // second octet of all addresses
}

func (d deployment) address(subnet, host, port int) string {
	return fmt.Sprintf(addressFormat, d.net, subnet, host, port)
}

func (d deployment) url(subnet, host, port int) string {
	return fmt.Sprintf(urlFormat, d.address(subnet, host, port))
}

// settings returns the settings of all entry VMs.
func (d deployment) settings() []declare.Settings {
	var all []declare.Settings
	for _, region := range regions {
		for n := range vmsPerRegion {
			host := len(all) + 1
			all = append(all, declare.Settings{
				VM: fmt.Sprintf(vmFormat, region, n+1), Region: region, FailureDomain: domainName(region, n),
				CallerAddress:   d.address(subnetEntry, host, portCaller),
				PeerAddress:     d.address(subnetEntry, host, portPeer),
				OperatorAddress: d.address(subnetEntry, host, portOperator),
				TableURL:        d.url(subnetPlatform, 1, portTable),
				ObjectsURL:      d.url(subnetPlatform, 1, portObjects),
				VMListURL:       d.url(subnetPlatform, 1, portVMs),
			})
		}
	}
	return all
}

// backendServers returns the declarations of the backend servers and the
// configuration of their stand-ins.
func (d deployment) backendServers(seed uint64) ([]declare.Service, backend.Config) {
	cfg := backend.Config{ControlAddress: d.address(subnetBackend, hostControl, portControl), Seed: seed}
	var declared []declare.Service
	for _, size := range services {
		service := declare.Service{Name: size.name}
		for _, region := range regions {
			for n := range size.perRegion {
				server := declare.BackendServer{
					Name:    fmt.Sprintf(serverFormat, size.name, region, n+1),
					Address: d.address(subnetBackend, len(cfg.Servers)+1, portBackend),
					Region:  region, FailureDomain: domainName(region, n), Slots: size.slots, Connections: maxConnections,
				}
				service.BackendServers = append(service.BackendServers, server)
				cfg.Servers = append(cfg.Servers, backend.ServerConfig{
					Name: server.Name, Service: size.name, Region: region, Address: server.Address, Slots: size.slots,
					MaxConnections: maxConnections, ServiceTimeMS: size.serviceTimeMS, ServiceTimeSpread: serviceTimeSpread, ColdStartMS: coldStartMS,
				})
			}
		}
		declared = append(declared, service)
	}
	return declared, cfg
}

func (d deployment) regions() ([]declare.Region, []declare.Link, []declare.Block) {
	var declared []declare.Region
	var links []declare.Link
	var blocks []declare.Block
	for i, region := range regions {
		other := regions[1-i]
		declared = append(declared, declare.Region{
			Name: region, FailureDomains: []string{domainName(region, 0), domainName(region, 1)},
			CapPerSecond: capPerSecond, CapBurst: capBurst, RampPerSecond: rampPerSecond,
			DelayMS: map[string]float64{other: delayMS},
		})
		links = append(links, declare.Link{From: region, To: other, LimitPerSecond: linkPerSecond})
		blocks = append(blocks, declare.Block{Prefix: fmt.Sprintf(blockFormat, d.net, subnetCallers+i), Region: region})
	}
	return declared, links, blocks
}

// Paths of the routes.
const (
	pathLots        = "/lots"
	pathScores      = "/scores"
	pathAllocations = "/allocations"
	pathPayments    = "/payments"
)

func routes() []declare.Route {
	return []declare.Route{
		{Name: "lot-availability", PathPrefix: pathLots, Service: "lotdesk", Idempotent: true, DeadlineMS: deadlineMS},
		{Name: "cupping-scores", PathPrefix: pathScores, Service: "growerlink", Idempotent: true, DeadlineMS: deadlineMS},
		{Name: "container-allocation", PathPrefix: pathAllocations, Service: "bookhouse", DeadlineMS: deadlineMS},
		{Name: "payment", PathPrefix: pathPayments, Service: "bookhouse", DeadlineMS: deadlineMS},
	}
}
