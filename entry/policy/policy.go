// Package policy compiles a validated configuration into the read-only form
// that the request path uses.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/declare"
)

// Account is a client account in the form that the request path uses.
type Account struct {
	Name   string
	Weight float64
	// Limit is the name of the account's quota limit.
	Limit string
}

// Route is a route of the configuration with its defaults set.
type Route struct {
	Name       string
	Service    string
	Open       bool
	Idempotent bool
	Deadline   time.Duration
	prefix     string
	methods    map[string]bool
}

// Policy is a compiled configuration. It does not change after Compile.
type Policy struct {
	// Version is the configuration version, or 0 if there is no configuration
	// yet.
	Version  uint64
	Config   *declare.Config
	Blocks   *routing.Blocks
	Limits   []quota.Limit
	Services map[string]*declare.Service
	// DrainedServers, DrainedDomains and DrainedRegions are sets of names.
	DrainedServers map[string]bool
	DrainedDomains map[string]bool
	DrainedRegions map[string]bool

	accounts map[string]*Account
	keys     map[[sha256.Size]byte]*Account
	routes   []*Route
}

// Compile builds a Policy from a configuration that has been validated.
func Compile(version uint64, c *declare.Config) (*Policy, error) {
	entries, err := routingBlocks(c.Blocks)
	if err != nil {
		return nil, err
	}
	blocks, err := routing.NewBlocks(entries)
	if err != nil {
		return nil, err
	}
	return compileWithBlocks(version, c, blocks), nil
}

func compileWithBlocks(version uint64, c *declare.Config, blocks *routing.Blocks) *Policy {
	// The blocks are in the table. A second copy of 980,000 blocks would take
	// 80 MB.
	config := *c
	config.Blocks = nil
	p := &Policy{
		Version: version, Config: &config, Blocks: blocks,
		Limits: quotaLimits(c), Services: map[string]*declare.Service{},
		DrainedServers: map[string]bool{}, DrainedDomains: map[string]bool{}, DrainedRegions: map[string]bool{},
		accounts: map[string]*Account{}, keys: map[[sha256.Size]byte]*Account{},
	}
	for i := range c.Services {
		p.Services[c.Services[i].Name] = &c.Services[i]
	}
	p.addAccounts(c)
	p.addRoutes(c)
	p.addDrains(c)
	return p
}

func routingBlocks(blocks []declare.Block) ([]routing.BlockEntry, error) {
	entries := make([]routing.BlockEntry, 0, len(blocks))
	for _, b := range blocks {
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		entries = append(entries, routing.BlockEntry{Prefix: prefix, Region: b.Region})
	}
	return entries, nil
}

func quotaLimits(c *declare.Config) []quota.Limit {
	var out []quota.Limit
	for _, a := range c.Accounts {
		out = append(out, quota.Limit{Name: quota.AccountLimit(a.Name), RatePerSecond: a.RatePerSecond, Burst: a.Burst})
	}
	for _, r := range c.Regions {
		out = append(out, quota.Limit{Name: quota.RegionLimit(r.Name), RatePerSecond: r.CapPerSecond, Burst: r.CapBurst})
	}
	for _, l := range c.Links {
		// The burst is the link's rate for one second, because links buffer
		// little.
		out = append(out, quota.Limit{Name: quota.LinkLimit(l.From, l.To), RatePerSecond: l.LimitPerSecond, Burst: l.LimitPerSecond})
	}
	return out
}

func (p *Policy) addAccounts(c *declare.Config) {
	for _, a := range c.Accounts {
		weight := a.Weight
		if weight == 0 {
			weight = 1
		}
		p.accounts[a.Name] = &Account{Name: a.Name, Weight: weight, Limit: quota.AccountLimit(a.Name)}
	}
	for _, k := range c.Keys {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(k.SHA256)); err != nil {
			continue // Validation has checked the format.
		}
		p.keys[digest] = p.accounts[k.Account]
	}
}

func (p *Policy) addRoutes(c *declare.Config) {
	for _, r := range c.Routes {
		route := &Route{
			Name: r.Name, Service: r.Service, Open: r.Open, Idempotent: r.Idempotent,
			Deadline: time.Duration(r.DeadlineMS) * time.Millisecond, prefix: r.PathPrefix,
		}
		if len(r.Methods) > 0 {
			route.methods = map[string]bool{}
			for _, m := range r.Methods {
				route.methods[m] = true
			}
		}
		p.routes = append(p.routes, route)
	}
	// The routes are sorted by descending prefix length, so that the first
	// match is the longest.
	sort.SliceStable(p.routes, func(i, j int) bool { return len(p.routes[i].prefix) > len(p.routes[j].prefix) })
}

func (p *Policy) addDrains(c *declare.Config) {
	for _, d := range c.Drains {
		switch {
		case d.BackendServer != "":
			p.DrainedServers[d.BackendServer] = true
		case d.FailureDomain != "":
			p.DrainedDomains[d.FailureDomain] = true
		case d.Region != "":
			p.DrainedRegions[d.Region] = true
		}
	}
}

// AccountByKey returns the client account of a key, or nil if the key is not in
// effect.
func (p *Policy) AccountByKey(key string) *Account {
	return p.keys[sha256.Sum256([]byte(key))]
}

// AccountByKeyHash returns the client account of the key with a SHA-256, or
// nil.
func (p *Policy) AccountByKeyHash(digest []byte) *Account {
	if len(digest) != sha256.Size {
		return nil
	}
	return p.keys[[sha256.Size]byte(digest)]
}

// ClientRegion returns the nearest region of a client address with or without a
// port. It returns "" if the region is not known.
func (p *Policy) ClientRegion(client string) string {
	if p.Blocks == nil {
		return ""
	}
	if withPort, err := netip.ParseAddrPort(client); err == nil {
		region, _ := p.Blocks.Lookup(withPort.Addr())
		return region
	}
	address, err := netip.ParseAddr(client)
	if err != nil {
		return ""
	}
	region, _ := p.Blocks.Lookup(address)
	return region
}

// MatchRoute returns the route of a request, or nil if no route matches.
func (p *Policy) MatchRoute(method, path string) *Route {
	for _, r := range p.routes {
		if hasPathPrefix(path, r.prefix) && (r.methods == nil || r.methods[method]) {
			return r
		}
	}
	return nil
}

// hasPathPrefix matches complete path segments: "/lots" matches "/lots" and
// "/lots/7", but not "/lotsize".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// ServerDrained reports whether a backend server is drained by its name, its
// failure domain or its region.
func (p *Policy) ServerDrained(s *declare.BackendServer) bool {
	return p.DrainedServers[s.Name] || p.DrainedDomains[s.FailureDomain] || p.DrainedRegions[s.Region]
}
