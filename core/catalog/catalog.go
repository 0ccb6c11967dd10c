// Package catalog holds what a VM knows from the platform's store: the
// configuration, evacuated zones, backend servers and VMs. It is a state
// machine: reads of the store and the time go in, an immutable view comes out.
//
// Reads arrive late, twice or out of order, and a read after an outage may be
// older than what is known. Nothing here ever goes back: each entry keeps the
// store version of its last change, and a full read counts only if it is at
// least as new as the newest change.
package catalog

import (
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

// ExpiryGracePeriod is how long a backend server that vanished in or just after an
// outage of the store stays in use. The platform says that entries of live
// servers are back within about 2 s of the store's return.
const ExpiryGracePeriod = 2200 * time.Millisecond

// EvacuationColdMargin is the extra time for which the servers of a zone count as
// cold after its evacuation ends, beyond the cold start of their service. It
// covers the delay of the read that ended the evacuation.
const EvacuationColdMargin = time.Second

// Change is one changed row of the store.
type RowChange[T any] struct {
	Key     string
	Version uint64
	// Value is nil if the row was deleted or cannot be read.
	Value *T
	// Unreadable rows change nothing that is in force.
	Unreadable bool
}

type entry[T any] struct {
	version uint64
	value   *T
	// lapsedAt is when the row vanished while the store was not sound; 0 if it
	// did not.
	lapsedAt time.Duration
}

// table keeps the rows of one table of the store.
type table[T any] struct {
	rows    map[string]*entry[T]
	version uint64
	loaded  bool
}

func newTable[T any]() table[T] { return table[T]{rows: make(map[string]*entry[T])} }

// apply takes one change and reports whether it was new.
func (t *table[T]) apply(c RowChange[T]) bool {
	if c.Version > t.version {
		t.version = c.Version
	}
	e := t.rows[c.Key]
	if e == nil {
		e = &entry[T]{}
		t.rows[c.Key] = e
	} else if c.Version <= e.version {
		return false
	}
	e.version = c.Version
	if c.Unreadable {
		return false
	}
	e.value, e.lapsedAt = c.Value, 0
	return true
}

// load takes a full read of version v. It reports whether the read was used.
func (t *table[T]) load(v uint64, rows []RowChange[T], removed func(key string, e *entry[T])) bool {
	if t.loaded && v < t.version {
		return false
	}
	present := make(map[string]bool, len(rows))
	for _, c := range rows {
		present[c.Key] = true
		t.apply(c)
	}
	for key, e := range t.rows {
		if !present[key] && e.value != nil && e.version <= v {
			e.version = v
			removed(key, e)
		}
	}
	t.version, t.loaded = max(t.version, v), true
	return true
}

// Catalog is not safe for concurrent use.
type Catalog struct {
	servers table[steering.Server]
	vms     table[steering.VM]
	zones   table[struct{}]
	config  *steering.Config

	operatorLoaded bool
	// unsoundUntil is until when a vanished server may be a lapsed entry.
	unsoundUntil time.Duration
	storeDown    bool
	// evacuationEnded is when the evacuation of a zone ended: its servers are
	// cold for a while then.
	evacuationEnded map[string]time.Duration
}

// View is what the catalog knew at one moment. It does not change.
type View struct {
	Config *steering.Config
	// Servers are those of each service that may get new requests, by id.
	Servers map[string][]*steering.Server
	// VMs are the members of the fleet, the leaving ones included.
	VMs map[string]*steering.VM
	// Evacuated zones get no requests.
	EvacuatedDomains map[string]bool
	// Ready is set once configuration, servers and VMs were read. A VM that does
	// not know the others would take the whole rate of each account for itself.
	Ready bool
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		servers: newTable[steering.Server](), vms: newTable[steering.VM](), zones: newTable[struct{}](),
		evacuationEnded: make(map[string]time.Duration),
	}
}

// MarkStoreUnresponsive notes that the store does not answer.
func (c *Catalog) MarkStoreUnresponsive() { c.storeDown = true }

// MarkStoreResponsive notes that the store answers again.
func (c *Catalog) MarkStoreResponsive(now time.Duration) {
	if c.storeDown {
		c.storeDown, c.unsoundUntil = false, now+ExpiryGracePeriod
	}
}

// ApplyConfig puts a configuration in force unless it is not newer.
func (c *Catalog) ApplyConfig(config *steering.Config) bool {
	if c.config != nil && config.Version <= c.config.Version {
		return false
	}
	c.config = config
	return true
}

// MarkOperatorLoaded notes that the operator's rows were read in full.
func (c *Catalog) MarkOperatorLoaded() { c.operatorLoaded = true }

// ApplyEvacuation takes one change of an evacuated zone.
func (c *Catalog) ApplyEvacuation(now time.Duration, ch RowChange[struct{}]) bool {
	before := c.evacuated(ch.Key)
	changed := c.zones.apply(ch)
	if before && !c.evacuated(ch.Key) {
		c.evacuationEnded[ch.Key] = now
	}
	return changed
}

// LoadEvacuations takes a full read of the evacuated zones.
func (c *Catalog) LoadEvacuations(now time.Duration, version uint64, rows []RowChange[struct{}]) bool {
	return c.zones.load(version, rows, func(zone string, e *entry[struct{}]) {
		e.value = nil
		c.evacuationEnded[zone] = now
	})
}

func (c *Catalog) evacuated(zone string) bool {
	e := c.zones.rows[zone]
	return e != nil && e.value != nil
}

// ApplyServer takes one change of a backend server's entry.
func (c *Catalog) ApplyServer(now time.Duration, ch RowChange[steering.Server]) bool {
	e := c.servers.rows[ch.Key]
	if ch.Value == nil && !ch.Unreadable && e != nil && ch.Version > e.version && e.value != nil && c.mayBeLapsed(now, e.value) {
		c.servers.version = max(c.servers.version, ch.Version)
		e.version, e.lapsedAt = ch.Version, now
		return true
	}
	return c.servers.apply(ch)
}

// LoadServers takes a full read of the backend servers.
func (c *Catalog) LoadServers(now time.Duration, version uint64, rows []RowChange[steering.Server]) bool {
	return c.servers.load(version, rows, func(_ string, e *entry[steering.Server]) {
		if c.mayBeLapsed(now, e.value) {
			if e.lapsedAt == 0 {
				e.lapsedAt = now
			}
			return
		}
		e.value = nil
	})
}

// mayBeLapsed reports whether a vanished entry may belong to a server that is
// alive and could not renew it.
func (c *Catalog) mayBeLapsed(now time.Duration, s *steering.Server) bool {
	return !s.Draining && (c.storeDown || now < c.unsoundUntil)
}

// ApplyVM takes one change of a VM's entry.
func (c *Catalog) ApplyVM(ch RowChange[steering.VM]) bool { return c.vms.apply(ch) }

// LoadVMs takes a full read of the VMs.
func (c *Catalog) LoadVMs(version uint64, rows []RowChange[steering.VM]) bool {
	return c.vms.load(version, rows, func(_ string, e *entry[steering.VM]) { e.value = nil })
}

// Expire drops servers whose lapsed entry did not come back, and reports
// whether there were any.
func (c *Catalog) RemoveExpired(now time.Duration) bool {
	if c.storeDown || now < c.unsoundUntil {
		return false
	}
	changed := false
	for _, e := range c.servers.rows {
		if e.value != nil && e.lapsedAt != 0 {
			e.value, e.lapsedAt, changed = nil, 0, true
		}
	}
	return changed
}

// Build returns a new view.
func (c *Catalog) BuildView(now time.Duration) *View {
	v := &View{
		Config: c.config, Ready: c.config != nil && c.operatorLoaded && c.servers.loaded && c.vms.loaded,
		Servers: make(map[string][]*steering.Server), VMs: make(map[string]*steering.VM),
		EvacuatedDomains: make(map[string]bool),
	}
	for zone, e := range c.zones.rows {
		if e.value != nil {
			v.EvacuatedDomains[zone] = true
		}
	}
	for key, e := range c.vms.rows {
		if e.value != nil {
			v.VMs[key] = e.value
		}
	}
	for _, e := range c.servers.rows {
		if e.value == nil || e.value.Draining || v.EvacuatedDomains[e.value.FailureDomain] {
			continue
		}
		s := *e.value
		s.Expired = e.lapsedAt != 0
		s.ColdUntil = max(s.ColdUntil, c.coldAfterEvacuation(now, &s))
		v.Servers[s.Service] = append(v.Servers[s.Service], &s)
	}
	return v
}

// coldAfterEvacuation returns until when a server counts as cold because its
// zone was evacuated; servers of such a zone may restart unseen.
func (c *Catalog) coldAfterEvacuation(now time.Duration, s *steering.Server) time.Duration {
	ended, ok := c.evacuationEnded[s.FailureDomain]
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

// VMVersion returns the store version of a VM's entry, 0 without one.
func (c *Catalog) VMVersion(name string) uint64 {
	if e := c.vms.rows[name]; e != nil && e.value != nil {
		return e.version
	}
	return 0
}
