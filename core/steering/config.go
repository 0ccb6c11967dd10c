// Package steering defines the types that the gateway's decisions share: the routing
// configuration, backend servers and the VMs of the fleet. It has no input or output.
package steering

import (
	"slices"
	"strings"
	"time"
)

// WeightedService is one service of a route with its share of the route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route configures the requests of one host below one path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// TrafficSplit has one element unless the requests are split among services.
	TrafficSplit []WeightedService
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time that a request waits for its response.
	Timeout time.Duration
	// Objective is the latency that callers expect.
	Objective time.Duration
	// MaxAttempts bounds the number of backend servers that get one request.
	MaxAttempts int
	// Priority orders requests under overload; 0 is the highest.
	Priority int
	// AllowAnonymous routes need no key.
	AllowAnonymous bool
	// Affinity routes have backend servers that are faster for objects that they
	// handled recently.
	Affinity bool
	// HomeRegions are the regions that may serve the route; empty allows all.
	HomeRegions []string
}

// Service is the configuration of a group of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all
	// callers.
	MaxConns int
	// ColdPeriod is how long a server stays cold after its start.
	ColdPeriod time.Duration
	// ColdRatePerSecond is the rate of requests that a cold server tolerates from
	// all callers.
	ColdRatePerSecond float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// RatePerSecond is the request rate over all VMs; 0 sets no limit.
	RatePerSecond float64
	// Burst is in requests over all VMs.
	Burst float64
	// HomeRegions are the regions that may serve the account; empty allows all.
	HomeRegions []string
}

// Limits bound the size and the duration of requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It does not change after NewConfig.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Accounts map[string]*Account
	Limits   Limits
	// RequireKeys is set if the configuration has client accounts; without any,
	// requests need no key.
	RequireKeys bool

	routeCount    int
	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
}

// NewConfig returns a configuration with its lookup indexes.
func NewConfig(version uint64, routes []*Route, services []*Service, accounts []*Account, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits, RequireKeys: len(accounts) > 0, routeCount: len(routes),
		Services:      make(map[string]*Service, len(services)),
		Accounts:      make(map[string]*Account, len(accounts)),
		routesByHost:  make(map[string][]*Route),
		accountsByKey: make(map[string]*Account),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, a := range accounts {
		c.Accounts[a.Name] = a
		for _, k := range a.Keys {
			c.accountsByKey[k] = a
		}
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// Match returns the route of host with the longest prefix of path, or nil. The path
// is compared as sent, without decoding.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the client account that holds a key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.accountsByKey[key] }

// PriorityOf returns the priority of a request; a may be nil.
func PriorityOf(r *Route, a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// RegionAllowed reports whether a request may be served in a region. If both route
// and account have home regions, the region must be in both lists.
func RegionAllowed(r *Route, a *Account, region string) bool {
	if len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, region) {
		return false
	}
	return a == nil || len(a.HomeRegions) == 0 || slices.Contains(a.HomeRegions, region)
}

// OnlyHomeRegion returns the only region that may serve a request, or an empty string
// if there are several or none.
func OnlyHomeRegion(r *Route, a *Account, regions []string) string {
	home := ""
	for _, region := range regions {
		if !RegionAllowed(r, a, region) {
			continue
		}
		if home != "" {
			return ""
		}
		home = region
	}
	return home
}

// PinnedShares returns, by region, the share of all accounts' rates that belongs to
// accounts which only that region may serve. Accounts without a rate do not count.
func (c *Config) PinnedShares() map[string]float64 {
	shares := make(map[string]float64)
	var sum float64
	for _, a := range c.Accounts {
		sum += a.RatePerSecond
		if len(a.HomeRegions) == 1 {
			shares[a.HomeRegions[0]] += a.RatePerSecond
		}
	}
	for region, rate := range shares {
		if sum > 0 {
			shares[region] = rate / sum
		}
	}
	return shares
}

// Server is a backend server as last registered.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining servers get no new requests.
	Draining bool
	// Expired servers have lost their registration, possibly because they could
	// not renew it. They get requests only after they have answered a probe.
	Expired bool
	// ColdUntil is when the server stops being cold, on the clock of this process,
	// as known when the registration was read.
	ColdUntil time.Duration
	// Incarnation identifies one start of the server; 0 if unknown. A later start
	// has a higher one.
	Incarnation int64
	// Sequence grows with the registrations of one incarnation; 0 if unknown.
	Sequence int64
	// Version is that of the server's software; empty if unknown.
	Version string
}

// OlderThan reports whether a registration was written before another one of the
// same server. One that announces that the server leaves is not taken back within
// an incarnation.
func (s *Server) OlderThan(other *Server) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation < other.Incarnation
	}
	return s.Sequence < other.Sequence || s.Sequence == other.Sequence && other.Draining && !s.Draining
}

// VM is one member of the fleet.
type VM struct {
	Name          string
	FailureDomain string
	Region        string
	// FrontAddress is where the VM serves callers, PeerAddress where it receives
	// messages of other VMs.
	FrontAddress string
	PeerAddress  string
	// Incarnation identifies one start of the process; incarnations have no order.
	Incarnation int64
	// Weight is higher for VMs with more capacity.
	Weight float64
	// Leaving VMs finish their requests and get no new callers.
	Leaving bool
}

// OlderThan reports whether a registration is known to have been written before
// another one of the same VM: a VM that leaves does not come back within an
// incarnation.
func (v *VM) OlderThan(other *VM) bool {
	return v.Incarnation == other.Incarnation && other.Leaving && !v.Leaving
}
