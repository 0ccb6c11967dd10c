// Package catalog holds what a VM knows from the platform's store: the
// configuration, evacuated failure domains, backend servers and VMs. It is a state
// machine: reads of the store and the time go in, an immutable view comes out.
//
// Reads may arrive late, twice or out of order, and a read after an outage may be
// older than what is known. The catalog never returns to an older version: each
// row keeps the store version of its last change, and a full read is used only if it
// is at least as new as the newest change.
package catalog

import (
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

// ExpiryGracePeriod is how long a backend server whose registration disappeared
// during or just after an outage of the store stays in use. The platform states
// that live servers are registered again within about 2 s of the store's return.
const ExpiryGracePeriod = 2200 * time.Millisecond

// EvacuationColdMargin is the extra time for which the servers of a failure domain
// count as cold after its evacuation ends, beyond the cold start of their service.
// It covers the delay of the read that ended the evacuation.
const EvacuationColdMargin = time.Second

// RowChange is one changed row of the store.
type RowChange[T any] struct {
	Key     string
	Version uint64
	// Value is nil if the row was deleted or cannot be decoded.
	Value *T
	// Unreadable rows leave the known value in place.
	Unreadable bool
}

type row[T any] struct {
	version uint64
	value   *T
	// expiredAt is when the row disappeared while the store was unresponsive or
	// in the grace period after that; 0 if it did not.
	expiredAt time.Duration
}

// table holds the rows of one table of the store.
type table[T any] struct {
	rows    map[string]*row[T]
	version uint64
	loaded  bool
}

func newTable[T any]() table[T] { return table[T]{rows: make(map[string]*row[T])} }

// apply applies one change and reports whether it changed the row.
func (t *table[T]) apply(c RowChange[T]) bool {
	if c.Version > t.version {
		t.version = c.Version
	}
	r := t.rows[c.Key]
	if r == nil {
		r = &row[T]{}
		t.rows[c.Key] = r
	} else if c.Version <= r.version {
		return false
	}
	r.version = c.Version
	if c.Unreadable {
		return false
	}
	r.value, r.expiredAt = c.Value, 0
	return true
}

// load applies a full read of version v. It reports whether the read was used.
func (t *table[T]) load(v uint64, rows []RowChange[T], onRemoved func(key string, r *row[T])) bool {
	if t.loaded && v < t.version {
		return false
	}
	present := make(map[string]bool, len(rows))
	for _, c := range rows {
		present[c.Key] = true
		t.apply(c)
	}
	for key, r := range t.rows {
		if !present[key] && r.value != nil && r.version <= v {
			r.version = v
			onRemoved(key, r)
		}
	}
	t.version, t.loaded = max(t.version, v), true
	return true
}

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
	return &Catalog{
		servers: newTable[steering.Server](), vms: newTable[steering.VM](), evacuations: newTable[struct{}](),
		evacuationEndedAt: make(map[string]time.Duration),
	}
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
	before := c.evacuated(change.Key)
	changed := c.evacuations.apply(change)
	if before && !c.evacuated(change.Key) {
		c.evacuationEndedAt[change.Key] = now
	}
	return changed
}

// LoadEvacuations applies a full read of the evacuated failure domains and reports
// whether it was used. A read that is older than the known state is not.
func (c *Catalog) LoadEvacuations(now time.Duration, version uint64, rows []RowChange[struct{}]) bool {
	return c.evacuations.load(version, rows, func(domain string, r *row[struct{}]) {
		r.value = nil
		c.evacuationEndedAt[domain] = now
	})
}

func (c *Catalog) evacuated(domain string) bool {
	r := c.evacuations.rows[domain]
	return r != nil && r.value != nil
}

// ApplyServer applies one change of a backend server's registration and reports
// whether it changed the known state.
func (c *Catalog) ApplyServer(now time.Duration, change RowChange[steering.Server]) bool {
	r := c.servers.rows[change.Key]
	if change.Value == nil && !change.Unreadable && r != nil && change.Version > r.version && r.value != nil && c.mayBeExpired(now, r.value) {
		c.servers.version = max(c.servers.version, change.Version)
		r.version, r.expiredAt = change.Version, now
		return true
	}
	return c.servers.apply(change)
}

// LoadServers applies a full read of the backend servers, as LoadEvacuations does.
func (c *Catalog) LoadServers(now time.Duration, version uint64, rows []RowChange[steering.Server]) bool {
	return c.servers.load(version, rows, func(_ string, r *row[steering.Server]) {
		if c.mayBeExpired(now, r.value) {
			if r.expiredAt == 0 {
				r.expiredAt = now
			}
			return
		}
		r.value = nil
	})
}

// mayBeExpired reports whether a registration that disappeared may belong to a
// server that is alive and could not renew it.
func (c *Catalog) mayBeExpired(now time.Duration, s *steering.Server) bool {
	return !s.Draining && (c.storeUnresponsive || now < c.expiryGraceUntil)
}

// ApplyVM applies one change of a VM's registration and reports whether it changed
// the known state.
func (c *Catalog) ApplyVM(change RowChange[steering.VM]) bool { return c.vms.apply(change) }

// LoadVMs applies a full read of the VMs, as LoadEvacuations does.
func (c *Catalog) LoadVMs(version uint64, rows []RowChange[steering.VM]) bool {
	return c.vms.load(version, rows, func(_ string, r *row[steering.VM]) { r.value = nil })
}

// RemoveExpired removes the servers whose registration did not come back within the
// grace period, and reports whether there were any.
func (c *Catalog) RemoveExpired(now time.Duration) bool {
	if c.storeUnresponsive || now < c.expiryGraceUntil {
		return false
	}
	changed := false
	for _, r := range c.servers.rows {
		if r.value != nil && r.expiredAt != 0 {
			r.value, r.expiredAt, changed = nil, 0, true
		}
	}
	return changed
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
		s.Expired = r.expiredAt != 0
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

// VMVersion returns the store version of a VM's registration, or 0 if it has none.
func (c *Catalog) VMVersion(name string) uint64 {
	if r := c.vms.rows[name]; r != nil && r.value != nil {
		return r.version
	}
	return 0
}
