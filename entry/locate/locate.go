// Package locate serves the lookups with which callers find the entry VMs to
// use.
package locate

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/policy"
)

// maxEntries bounds the number of entry VMs in a response.
const maxEntries = 8

// Response is the body of the response to GET /v1/locate. The best entry VM
// comes first.
type Response struct {
	Entries []EntryVM `json:"entries"`
	// ValidMS is how long the caller may use the response, in milliseconds.
	ValidMS int `json:"valid_ms"`
	// Region is the caller's nearest region, or empty if it is not known.
	Region string `json:"region,omitempty"`
}

// EntryVM is an entry VM that the caller may use.
type EntryVM struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Reason  string `json:"reason"`
}

// State is the part of the control state that lookups use.
type State interface {
	Policy() *policy.Policy
	Peers() []control.PeerState
	AllHolders(now time.Time, limit string) map[string]uint32
}

// Locator answers lookups. Create it with New.
type Locator struct {
	state      State
	validityMS int
	latest     atomic.Pointer[snapshot]
	// buildMu is held while a new snapshot is built.
	buildMu sync.Mutex
}

// New returns a Locator whose responses are valid for the given time in
// milliseconds.
func New(s State, validityMS int) *Locator { return &Locator{state: s, validityMS: validityMS} }

// Locate returns the entry VMs for a caller by its address and, if given, its
// key. It returns false while this VM is not a member of the fleet.
func (l *Locator) Locate(client, key string) (Response, bool) {
	p := l.state.Policy()
	snap := l.snapshot(time.Now(), p)
	if snap.members == 0 {
		return Response{}, false
	}
	client = hostOf(client)
	region := clientRegion(p, client)
	var buffer [maxEntries]routing.EntryChoice
	choices := snap.entryVMsFor(buffer[:0], client, region, l.accountUnits(snap, p, key))
	response := Response{ValidMS: l.validityMS, Region: region, Entries: make([]EntryVM, 0, len(choices))}
	for _, c := range choices {
		response.Entries = append(response.Entries, EntryVM{VM: c.VM, Address: c.Address, Region: c.Region, Reason: string(c.Reason)})
	}
	return response, true
}

// accountUnits returns, by VM, the units of the limit of the key's account. It
// returns nil without a valid key.
func (l *Locator) accountUnits(snap *snapshot, p *policy.Policy, key string) map[string]uint32 {
	if key == "" {
		return nil
	}
	account := p.AccountByKey(key)
	if account == nil {
		return nil
	}
	if cached, ok := snap.unitsByLimit.Load(account.Limit); ok {
		return cached.(map[string]uint32)
	}
	units := l.state.AllHolders(time.Now(), account.Limit)
	snap.unitsByLimit.Store(account.Limit, units)
	return units
}

// Region returns the nearest region of a client address, or "" if it is
// unknown.
func (l *Locator) Region(client string) string { return clientRegion(l.state.Policy(), hostOf(client)) }

// hostOf returns an address without its port. The port differs between the
// connections of a caller.
func hostOf(client string) string {
	if h, _, err := net.SplitHostPort(client); err == nil {
		return h
	}
	return client
}

func clientRegion(p *policy.Policy, client string) string {
	address, err := netip.ParseAddr(client)
	if err != nil || p.Blocks == nil {
		return ""
	}
	region, _ := p.Blocks.Lookup(address.Unmap())
	return region
}
