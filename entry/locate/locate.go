// Package locate answers callers that ask which entry VMs to use.
package locate

import (
	"net"
	"net/netip"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/policy"
)

// maxEntries bounds the entry VMs of an answer.
const maxEntries = 8

// Answer is the body of GET /v1/locate.
type Answer struct {
	Entries []Entry `json:"entries"`
	// ValidMS is how long the caller may use the answer, in milliseconds.
	ValidMS int `json:"valid_ms"`
	// Region is the caller's nearest region, if its address is known.
	Region string `json:"region,omitempty"`
}

// Entry is one entry VM, the best first.
type Entry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Reason  string `json:"reason"`
}

// State is what Locate needs of the control state.
type State interface {
	Policy() *policy.Policy
	Peers() []control.PeerState
	Holders(limit string) map[string]uint32
}

// Locator answers look-ups. ValidMS is the validity of its answers.
type Locator struct {
	State   State
	ValidMS int
}

// Locate returns the entry VMs for a caller, by its address and, if it shows
// one, its key.
func (l *Locator) Locate(client, key string) Answer {
	p := l.State.Policy()
	region := clientRegion(p, client)
	in := routing.LocateInput{ClientRegion: region, Caller: client, VMs: l.vms(p, key), DelayMS: delays(p, region), Max: maxEntries}
	answer := Answer{ValidMS: l.ValidMS, Region: region, Entries: []Entry{}}
	for _, c := range routing.Locate(in) {
		answer.Entries = append(answer.Entries, Entry{VM: c.VM, Address: c.Address, Region: c.Region, Reason: string(c.Reason)})
	}
	return answer
}

// Region returns the nearest region of a client address, "" if unknown.
func (l *Locator) Region(client string) string { return clientRegion(l.State.Policy(), client) }

func clientRegion(p *policy.Policy, client string) string {
	if host, _, err := net.SplitHostPort(client); err == nil {
		client = host
	}
	address, err := netip.ParseAddr(client)
	if err != nil || p.Blocks == nil {
		return ""
	}
	region, _ := p.Blocks.Lookup(address.Unmap())
	return region
}

func (l *Locator) vms(p *policy.Policy, key string) []routing.EntryVM {
	var units map[string]uint32
	if account := p.AccountOf(key); key != "" && account != nil {
		units = l.State.Holders(account.Limit)
	}
	var out []routing.EntryVM
	for _, peer := range l.State.Peers() {
		m := peer.Member
		out = append(out, routing.EntryVM{
			VM: m.Vm, Address: m.CallerAddress, Region: m.Region, FailureDomain: m.FailureDomain,
			Healthy: peer.Alive, Leaving: peer.Leaving || p.DrainedRegions[m.Region] || p.DrainedDomains[m.FailureDomain],
			Headroom: 1, AccountUnits: units[m.Vm],
		})
	}
	return out
}

func delays(p *policy.Policy, region string) map[string]float64 {
	if p.Config == nil {
		return nil
	}
	for _, r := range p.Config.Regions {
		if r.Name == region {
			return r.DelayMS
		}
	}
	return nil
}
