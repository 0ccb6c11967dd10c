// Package catalog holds what a VM knows from the platform's store: the
// configuration, evacuated failure domains, backend servers and VMs. It is a state
// machine: reads of the store and the time go in, an immutable view comes out.
//
// Reads may arrive late, twice or out of order, and a read after an outage may be
// older than what is known. The catalog never returns to an older position: each
// row keeps the position of its last change in the store, and a full read is used
// only if it is at least as new as the newest change.
//
// A store that was restored from an older copy starts a new era. The catalog then
// keeps what it knows until the writers of the lost rows had the time to write them
// again (table.go).
package catalog

import (
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
)

// ExpiryGracePeriod is how long a backend server whose registration disappeared
// during or just after an outage of the store stays in use. The platform states
// that live servers are registered again within about 2 s of the store's return.
const ExpiryGracePeriod = 2200 * time.Millisecond

const (
	// OutdatedRowPeriod is how long rows of a restored store that are older than the
	// known ones are not used. It covers three missed heartbeats of a server that
	// left, after which the platform removes its row again.
	OutdatedRowPeriod = 8 * time.Second
	// registrationSpreadPerRow is the time over which the writers of lost rows
	// spread their writes, by the number of rows. At 4,100 VMs it gives 333 writes a
	// second.
	registrationSpreadPerRow = 3 * time.Millisecond
)

// RegistrationSpread returns the time over which a fleet spreads the writes of
// registrations that the store lost.
func RegistrationSpread(vms int) time.Duration {
	return time.Duration(vms) * registrationSpreadPerRow
}

// EvacuationColdMargin is the extra time for which the servers of a failure domain
// count as cold after its evacuation ends, beyond the cold start of their service.
// It covers the delay of the read that ended the evacuation.
const EvacuationColdMargin = time.Second

// Catalog is the known state of the store. It is not safe for concurrent use.
type Catalog struct {
	servers     table[steering.Server]
	vms         table[steering.VM]
	evacuations table[struct{}]
	config      *steering.Config

	operatorLoaded bool
	// expiryGraceUntil is until when a server that disappears counts as expired.
	expiryGraceUntil  time.Duration
	storeUnresponsive bool
	// evacuationEndedAt is when the evacuation of a failure domain ended; its
	// servers are cold for a while after that.
	evacuationEndedAt map[string]time.Duration
}

// View is the state of the catalog at one moment. It is immutable.
type View struct {
	Config *steering.Config
	// Servers are the servers that may get new requests, by service, in no
	// particular order.
	Servers map[string][]*steering.Server
	// VMs are the members of the fleet by name, the leaving ones included.
	VMs map[string]*steering.VM
	// EvacuatedDomains are the failure domains that get no requests.
	EvacuatedDomains map[string]bool
	// Ready is set once configuration, servers and VMs were read. A VM that does
	// not know the other VMs would use the whole rate of each account itself.
	Ready bool
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		servers: newTable(serverOlderThan), vms: newTable(vmOlderThan), evacuations: newTable[struct{}](nil),
		evacuationEndedAt: make(map[string]time.Duration),
	}
	c.vms.writeSpread = RegistrationSpread
	c.servers.mayExpire = c.mayBeExpired
	c.evacuations.onRemoved = func(now time.Duration, domain string) { c.evacuationEndedAt[domain] = now }
	return c
}

// MarkStoreUnresponsive records that the store does not answer.
func (c *Catalog) MarkStoreUnresponsive() { c.storeUnresponsive = true }

// MarkStoreResponsive records that the store answers again, which starts the grace
// period of expired servers.
func (c *Catalog) MarkStoreResponsive(now time.Duration) {
	if c.storeUnresponsive {
		c.storeUnresponsive, c.expiryGraceUntil = false, now+ExpiryGracePeriod
	}
}

// ApplyConfig makes a configuration the current one if it is newer, and reports
// whether it was.
func (c *Catalog) ApplyConfig(config *steering.Config) bool {
	if c.config != nil && config.Version <= c.config.Version {
		return false
	}
	c.config = config
	return true
}

// MarkOperatorLoaded records that the operator's rows were read in full.
func (c *Catalog) MarkOperatorLoaded() { c.operatorLoaded = true }

// ApplyEvacuation applies one change of an evacuated failure domain and reports
// whether it was newer than the known state.
func (c *Catalog) ApplyEvacuation(now time.Duration, change RowChange[struct{}]) bool {
	return c.evacuations.apply(now, change)
}

// LoadEvacuations applies a full read of the evacuated failure domains and reports
// whether it was used. A read that is older than the known state is not.
func (c *Catalog) LoadEvacuations(now time.Duration, version platform.Position, rows []RowChange[struct{}]) bool {
	return c.evacuations.load(now, version, rows)
}

// ApplyServer applies one change of a backend server's registration and reports
// whether it changed the known state.
func (c *Catalog) ApplyServer(now time.Duration, change RowChange[steering.Server]) bool {
	return c.servers.apply(now, change)
}

// LoadServers applies a full read of the backend servers, as LoadEvacuations does.
func (c *Catalog) LoadServers(now time.Duration, version platform.Position, rows []RowChange[steering.Server]) bool {
	return c.servers.load(now, version, rows)
}

// mayBeExpired reports whether a registration that disappeared may belong to a
// server that is alive and could not renew it, or whose registration was lost when
// the store was restored.
func (c *Catalog) mayBeExpired(now time.Duration, s *steering.Server) bool {
	return !s.Draining && (c.storeUnresponsive || now < c.expiryGraceUntil || now < c.servers.missingUntil)
}

// ApplyVM applies one change of a VM's registration and reports whether it changed
// the known state.
func (c *Catalog) ApplyVM(now time.Duration, change RowChange[steering.VM]) bool {
	return c.vms.apply(now, change)
}

// LoadVMs applies a full read of the VMs, as LoadEvacuations does.
func (c *Catalog) LoadVMs(now time.Duration, version platform.Position, rows []RowChange[steering.VM]) bool {
	return c.vms.load(now, version, rows)
}

// Suspended records that the process was suspended for a time that ends now. It has read
// nothing meanwhile, so that rows which are missing may have been written again.
func (c *Catalog) Suspended(now, duration time.Duration) {
	c.vms.postpone(now, duration)
	c.servers.postpone(now, duration)
	c.evacuations.postpone(now, duration)
}

// RemoveExpired removes the rows that did not come back within their grace period,
// adopts those that a restored store still has in an older state. It returns their
// number.
func (c *Catalog) RemoveExpired(now time.Duration) int {
	count := c.vms.settle(now) + c.evacuations.settle(now)
	if !c.storeUnresponsive && now >= c.expiryGraceUntil {
		count += c.servers.settle(now)
	}
	return count
}

// Kept returns the number of rows that the store lacks, or has in an older state,
// and that are in use until their writers had the time to write them again.
func (c *Catalog) Kept() (missing, outdated int) {
	for _, kept := range []func() (int, int){c.servers.kept, c.vms.kept, c.evacuations.kept} {
		m, o := kept()
		missing, outdated = missing+m, outdated+o
	}
	return missing, outdated
}

// RegistrationLost reports whether the store does not have the registration of one
// incarnation of a VM.
func (c *Catalog) RegistrationLost(vm string, incarnation int64) bool {
	r := c.vms.rows[vm]
	return r == nil || r.value == nil || r.expired || r.outdated != nil || r.value.Incarnation != incarnation
}

// BuildView returns a view of the current state.
func (c *Catalog) BuildView(now time.Duration) *View {
	v := &View{
		Config: c.config, Ready: c.config != nil && c.operatorLoaded && c.servers.loaded && c.vms.loaded,
		Servers: make(map[string][]*steering.Server), VMs: make(map[string]*steering.VM),
		EvacuatedDomains: make(map[string]bool),
	}
	for domain, r := range c.evacuations.rows {
		if r.value != nil {
			v.EvacuatedDomains[domain] = true
		}
	}
	for key, r := range c.vms.rows {
		if r.value != nil {
			v.VMs[key] = r.value
		}
	}
	for _, r := range c.servers.rows {
		if r.value == nil || r.value.Draining || v.EvacuatedDomains[r.value.FailureDomain] {
			continue
		}
		s := *r.value
		s.Expired = r.expired
		s.ColdUntil = max(s.ColdUntil, c.coldAfterEvacuation(now, &s))
		v.Servers[s.Service] = append(v.Servers[s.Service], &s)
	}
	return v
}

// coldAfterEvacuation returns until when a server counts as cold because its
// failure domain was evacuated; its servers may have restarted unnoticed.
func (c *Catalog) coldAfterEvacuation(now time.Duration, s *steering.Server) time.Duration {
	ended, ok := c.evacuationEndedAt[s.FailureDomain]
	if !ok || c.config == nil {
		return 0
	}
	service := c.config.Services[s.Service]
	if service == nil {
		return 0
	}
	until := ended + service.ColdPeriod + EvacuationColdMargin
	if until < now {
		return 0
	}
	return until
}

// VMVersion returns the position of a VM's registration in the store, or 0 if it has
// none.
func (c *Catalog) VMVersion(name string) platform.Position {
	if r := c.vms.rows[name]; r != nil && r.value != nil && !r.expired {
		return r.version
	}
	return 0
}
