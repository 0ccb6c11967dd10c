// Package steering holds the types that the decisions of the gateway share:
// the routing configuration, backend servers and the VMs of the fleet. It has
// no input or output.
package steering

import (
	"slices"
	"strings"
	"time"
)

// Part is one service of a route with its share of the route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route says what happens to the requests of one host below one path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Parts has one element unless the route splits its requests.
	TrafficSplit []WeightedService
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request waits for its answer.
	Timeout time.Duration
	// Objective is the latency that callers expect.
	Objective time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Rank orders requests under overload; 0 is the most important.
	Priority int
	// Open routes need no key.
	AllowAnonymous bool
	// Affinity routes have backend servers that are faster for objects that
	// they handled lately.
	Affinity bool
	// Homes are the regions that may serve the route; empty allows all.
	HomeRegions []string
}

// Service is what the configuration says about a group of backend servers.
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
	// Rank replaces the rank of the route; nil leaves it.
	Priority *int
	// Rate is in requests per second over all VMs; 0 sets no limit.
	RatePerSecond float64
	// Burst is in requests over all VMs.
	Burst float64
	// Homes are the regions that may serve the account; empty allows all.
	HomeRegions []string
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It does not change after
// NewConfig.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Accounts map[string]*Account
	Limits   Limits
	// Authenticated is set if the configuration has client accounts; without
	// any, requests need no key.
	RequireKeys bool

	routes int
	hosts  map[string][]*Route
	keys   map[string]*Account
}

// NewConfig builds the indexes of a configuration.
func NewConfig(version uint64, routes []*Route, services []*Service, accounts []*Account, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits, RequireKeys: len(accounts) > 0, routes: len(routes),
		Services: make(map[string]*Service, len(services)),
		Accounts: make(map[string]*Account, len(accounts)),
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Account),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, a := range accounts {
		c.Accounts[a.Name] = a
		for _, k := range a.Keys {
			c.keys[k] = a
		}
	}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Routes returns the number of routes.
func (c *Config) RouteCount() int { return c.routes }

// Match returns the route with the longest prefix of path, or nil. The path is
// compared as sent, without decoding.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the client account that holds a key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.keys[key] }

// PriorityOf returns the rank of a request; account may be nil.
func PriorityOf(r *Route, a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Allowed reports whether a request may be served in a region: where route and
// account both have homes, both bind.
func RegionAllowed(r *Route, a *Account, region string) bool {
	if len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, region) {
		return false
	}
	return a == nil || len(a.HomeRegions) == 0 || slices.Contains(a.HomeRegions, region)
}

// OnlyHomeRegion returns the region that alone may serve a request, or an empty text
// if several may.
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

// PinnedShares returns the share of all accounts' rates that belongs to accounts
// which only one region may serve, by that region. Accounts without a rate do
// not count.
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

// Server is one backend server as it was last told.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining servers get no new requests.
	Draining bool
	// Lapsed servers have lost their entry, maybe because they could not renew
	// it. They get requests only if they say themselves that they are well.
	Expired bool
	// ColdUntil is the end of the cold time on the clock of this process, as
	// known when the entry was read.
	ColdUntil time.Duration
	// Born identifies one start of the server; 0 if unknown.
	Incarnation int64
}

// VM is one member of the fleet.
type VM struct {
	Name            string
	FailureDomain   string
	Region          string
	FrontAddress    string
	ExchangeAddress string
	// Born identifies one start of the process; it has no order.
	Incarnation int64
	// Weight is higher for VMs that can carry more.
	Weight float64
	// Leaving VMs finish what they hold and get no new callers.
	Leaving bool
}
