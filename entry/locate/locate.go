// Package locate answers callers that ask which entry VMs to use.
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

// maxEntries bounds the entry VMs of an answer.
const maxEntries = 8

// Answer is the body of GET /v1/locate.
type Response struct {
	Entries []EntryVM `json:"entries"`
	// ValidMS is how long the caller may use the answer, in milliseconds.
	ValidMS int `json:"valid_ms"`
	// Region is the caller's nearest region, if its address is known.
	Region string `json:"region,omitempty"`
}

// Entry is one entry VM, the best first.
type EntryVM struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Reason  string `json:"reason"`
}

// State is what Locate needs of the control state.
type State interface {
	Policy() *policy.Policy
	Peers() []control.PeerState
	AllHolders(now time.Time, limit string) map[string]uint32
}

// Locator answers look-ups. Use New.
type Locator struct {
	state   State
	validMS int
	last    atomic.Pointer[snapshot]
	// building is locked while a new snapshot is made.
	building sync.Mutex
}

// New returns a Locator whose answers are valid for the given time, in
// milliseconds.
func New(s State, validMS int) *Locator { return &Locator{state: s, validMS: validMS} }

// Locate returns the entry VMs for a caller, by its address and, if it shows
// one, its key. It returns false while this VM is not a member of the fleet.
func (l *Locator) Locate(client, key string) (Response, bool) {
	p := l.state.Policy()
	snap := l.snapshot(time.Now(), p)
	if snap.members == 0 {
		return Response{}, false
	}
	client = host(client)
	region := clientRegion(p, client)
	var buffer [maxEntries]routing.EntryChoice
	choices := snap.locate(buffer[:0], client, region, l.units(snap, p, key))
	answer := Response{ValidMS: l.validMS, Region: region, Entries: make([]EntryVM, 0, len(choices))}
	for _, c := range choices {
		answer.Entries = append(answer.Entries, EntryVM{VM: c.VM, Address: c.Address, Region: c.Region, Reason: string(c.Reason)})
	}
	return answer, true
}

// units returns the units that VMs hold of the limit of a key's account, nil
// without a valid key.
func (l *Locator) units(snap *snapshot, p *policy.Policy, key string) map[string]uint32 {
	if key == "" {
		return nil
	}
	account := p.AccountByKey(key)
	if account == nil {
		return nil
	}
	if known, ok := snap.units.Load(account.Limit); ok {
		return known.(map[string]uint32)
	}
	units := l.state.AllHolders(time.Now(), account.Limit)
	snap.units.Store(account.Limit, units)
	return units
}

// Region returns the nearest region of a client address, "" if unknown.
func (l *Locator) Region(client string) string { return clientRegion(l.state.Policy(), host(client)) }

// host returns an address without its port, which differs between the
// connections of a caller.
func host(client string) string {
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
