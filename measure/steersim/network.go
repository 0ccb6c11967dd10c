package steersim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/demand"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// peer is the part of a VM that exchanges reports and digests with other VMs.
type peer struct {
	name, region string
	killed       bool
	exchange     *exchange.Machine
	meter        *demand.Meter
	// onDigest is called for each digest; nil stands for nothing.
	onDigest func()
}

// peerNetwork holds the VMs of a site and delivers the messages between them.
type peerNetwork struct {
	clock  *virtual.Clock
	site   site
	roster []exchange.Member
	all    []*peer
	// loss is the fraction of messages that are lost.
	loss float64
	rnd  *rand.Rand
}

// newPeerNetwork returns the VMs of a site. They send no messages until
// startExchange is called.
func newPeerNetwork(clock *virtual.Clock, deployment site) *peerNetwork {
	p := &peerNetwork{clock: clock, site: deployment, rnd: rand.New(rand.NewPCG(1, 2))}
	for _, r := range deployment.regions {
		for i := range r.vms {
			name := fmt.Sprintf("vm-%s-%d", r.name, i)
			p.roster = append(p.roster, exchange.Member{Name: name, Region: r.name, Weight: 1})
			p.all = append(p.all, &peer{
				name: name, region: r.name, meter: demand.New(), exchange: exchange.New(name, int64(len(p.roster)), 0),
			})
		}
	}
	for _, v := range p.all {
		v.exchange.SetRoster(p.roster)
	}
	return p
}

// startExchange lets a VM send its reports at the report interval, first after
// the offset. While the VM is the first hub, it also sends digests.
func (p *peerNetwork) startExchange(v *peer, offset time.Duration) {
	p.clock.Every(offset, exchange.ReportInterval(len(p.all)), func() { p.sendMessages(v) })
}

// sendMessages sends the report of a VM to the hubs, and digests to all VMs that
// are to receive one from it.
func (p *peerNetwork) sendMessages(v *peer) {
	now := p.clock.Elapsed()
	if v.killed {
		return
	}
	v.meter.EndInterval(now)
	requests, work := v.meter.Report()
	report := v.exchange.Report(now, v.region, requests, work, true)
	for _, hub := range v.exchange.Hubs(now) {
		p.send(v, p.byName(hub), func(to *peer) { to.exchange.HandleReport(p.clock.Elapsed(), report) })
	}
	if !v.exchange.SendsDigests(now) {
		return
	}
	digests := v.exchange.Digests(now)
	for _, to := range p.all {
		if digest, ok := digests[to.name]; ok {
			p.send(v, to, func(to *peer) {
				to.exchange.HandleDigest(p.clock.Elapsed(), digest)
				if to.onDigest != nil {
					to.onDigest()
				}
			})
		}
	}
}

// send delivers a message after the network delay, unless the receiver has been
// killed by then.
func (p *peerNetwork) send(from, to *peer, handle func(to *peer)) {
	if p.loss > 0 && p.rnd.Float64() < p.loss {
		return
	}
	p.clock.After(p.site.delay(from.region, to.region), func() {
		if !to.killed {
			handle(to)
		}
	})
}

func (p *peerNetwork) names() []string {
	var names []string
	for _, v := range p.all {
		names = append(names, v.name)
	}
	return names
}

// byName returns the VM with a name, or nil if there is none.
func (p *peerNetwork) byName(name string) *peer {
	for _, v := range p.all {
		if v.name == name {
			return v
		}
	}
	return nil
}
