package steersim

import (
	"fmt"
	"time"

	"github.com/cassiawind/cassiawind/core/demand"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// peer is what a VM knows of the others and tells them.
type peer struct {
	name, region string
	dead         bool
	peers        *exchange.Machine
	meter        *demand.Meter
}

// peers are the VMs of a site with the messages between them.
type peers struct {
	clock *virtual.Clock
	site  site
	all   []*peer
}

// newPeers returns the VMs of a site, which do not talk yet.
func newPeers(clock *virtual.Clock, s site) *peers {
	p := &peers{clock: clock, site: s}
	var roster []exchange.Member
	for _, r := range s.regions {
		for i := range r.vms {
			name := fmt.Sprintf("vm-%s-%d", r.name, i)
			roster = append(roster, exchange.Member{Name: name, Region: r.name, Weight: 1})
			p.all = append(p.all, &peer{
				name: name, region: r.name, meter: demand.New(), peers: exchange.New(name, int64(len(roster)), 0),
			})
		}
	}
	for _, v := range p.all {
		v.peers.SetRoster(roster)
	}
	return p
}

// talk makes a VM report, and send digests while it leads, from an offset on.
func (p *peers) talk(v *peer, offset time.Duration) {
	p.clock.Every(offset, exchange.ReportInterval(len(p.all)), func() { p.exchange(v) })
}

func (p *peers) exchange(v *peer) {
	now := p.clock.Elapsed()
	if v.dead {
		return
	}
	v.meter.EndInterval(now)
	requests, work := v.meter.Report()
	report := v.peers.Report(now, v.region, requests, work, true)
	for _, hub := range v.peers.Hubs(now) {
		p.send(v, p.named(hub), func(to *peer) { to.peers.HandleReport(p.clock.Elapsed(), report) })
	}
	if !v.peers.SendsDigests(now) {
		return
	}
	digests := v.peers.Digests(now)
	for _, to := range p.all {
		if digest, ok := digests[to.name]; ok {
			p.send(v, to, func(to *peer) { to.peers.HandleDigest(p.clock.Elapsed(), digest) })
		}
	}
}

// send delivers a message unless the receiver is dead by then.
func (p *peers) send(from, to *peer, deliver func(to *peer)) {
	p.clock.After(p.site.delay(from.region, to.region), func() {
		if !to.dead {
			deliver(to)
		}
	})
}

// named returns a VM, nil if there is none of this name.
func (p *peers) named(name string) *peer {
	for _, v := range p.all {
		if v.name == name {
			return v
		}
	}
	return nil
}
