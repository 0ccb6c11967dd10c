package gateway

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/exchange"
)

// maxDatagramBytes is the largest datagram.
const maxDatagramBytes = 64 << 10

// datagram is one message between VMs. Fields that go to the same VM at once
// share a datagram.
type datagram struct {
	Report       *exchange.Report `json:"report,omitempty"`
	GroupReport  *exchange.Bundle `json:"bundle,omitempty"`
	Digest       *exchange.Digest `json:"digest,omitempty"`
	Heartbeat    *exchange.Pulse  `json:"pulse,omitempty"`
	TokenRequest *take            `json:"take,omitempty"`
	TokenGrant   *grant           `json:"grant,omitempty"`
}

// receivePeers takes the messages of the other VMs.
func (n *Node) receivePeers(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.udp.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.log.Info("message of a VM not received", "error", err.Error())
			n.sleep(ctx, firstBackoff)
			continue
		}
		var d datagram
		if err := json.Unmarshal(buf[:size], &d); err != nil {
			n.metrics.Count(1, "peer_messages", "unreadable")
			continue
		}
		n.mu.Lock()
		out := n.handle(n.now(), d)
		n.mu.Unlock()
		if len(out.forwards) > 0 {
			view := n.view.Load()
			// Half an interval, so that a digest is handed on before the next.
			go n.spread(ctx, view, out.forwards, exchange.Interval(len(view.VMs))/2)
		}
		if out.to != "" {
			n.send(out.to, out.reply)
		}
	}
}

// outgoing is what a message makes this VM send.
type outgoing struct {
	// reply goes to an address; empty without one.
	reply datagram
	to    string
	// forwards go to VMs of this one's group.
	forwards map[string]datagram
}

// handle takes one message and returns what is to be sent for it; the caller
// holds mu.
func (n *Node) handle(now time.Duration, d datagram) outgoing {
	if d.TokenRequest != nil {
		reply, to := n.handleTake(now, *d.TokenRequest)
		return outgoing{reply: reply, to: to}
	}
	var out outgoing
	if d.TokenGrant != nil {
		n.handleGrant(*d.TokenGrant)
	}
	if d.Report != nil {
		n.peers.HandleReport(now, *d.Report)
	}
	if d.GroupReport != nil {
		n.peers.HandleBundle(now, *d.GroupReport)
	}
	if d.Heartbeat != nil {
		n.peers.HandlePulse(now, *d.Heartbeat)
		wake(n.relayWake)
	}
	if d.Digest != nil {
		if digests := n.peers.HandleDigest(now, *d.Digest); len(digests) > 0 {
			out.forwards = make(map[string]datagram, len(digests))
			for vm, digest := range digests {
				out.forwards[vm] = datagram{Digest: &digest}
			}
		}
		if view := n.view.Load(); view.Config != nil {
			n.setRates(now, view)
		}
	}
	return out
}

// exchangeLoop reports to the hubs, and answers the other VMs as a hub.
func (n *Node) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := n.now()
		view := n.view.Load()
		interval := exchange.Interval(n.peers.Size())
		n.demand.Roll(now)
		accounts, work := n.demand.Report()
		report := n.peers.Report(now, n.settings.Region, accounts, work, !n.stopping.Load() && view.Ready)
		out := make(map[string]datagram)
		for _, vm := range n.peers.ReportTo(now) {
			if vm == n.settings.VM {
				n.peers.HandleReport(now, report)
			} else {
				out[vm] = datagram{Report: &report}
			}
		}
		if bundle, ok := n.peers.Bundle(now); ok {
			for _, hub := range n.peers.Hubs(now) {
				d := out[hub]
				d.GroupReport = &bundle
				out[hub] = d
			}
		}
		for vm, digest := range n.leadDigests(now) {
			if vm == n.settings.VM {
				n.handle(now, datagram{Digest: &digest})
				continue
			}
			d := out[vm]
			d.Digest = &digest
			out[vm] = d
		}
		gone := n.goneVMs(now)
		n.mu.Unlock()
		for name, version := range gone {
			n.removeVM(ctx, name, version)
		}
		begin := n.now()
		n.spread(ctx, view, out, interval)
		n.sleep(ctx, interval-(n.now()-begin))
	}
}

// burst messages are sent at once; more would overflow the queue of a slow
// link.
const burst = 16

// spread sends messages over three quarters of an interval.
func (n *Node) spread(ctx context.Context, view *catalog.View, out map[string]datagram, interval time.Duration) {
	pause := interval * 3 / 4 / time.Duration(len(out)/burst+1)
	sent := 0
	for vm, d := range out {
		target := view.VMs[vm]
		if target == nil {
			continue
		}
		if sent++; sent%burst == 0 {
			n.sleep(ctx, pause)
		}
		n.send(target.Exchange, d)
	}
}

// pulseLoop tells the other VMs, as a hub, what the store holds.
func (n *Node) pulseLoop(ctx context.Context) {
	timer := time.NewTimer(exchange.PulseInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-n.pulseWake:
			// Changes that come together take one pulse.
			n.sleep(ctx, pulsePause)
		}
		timer.Reset(exchange.PulseInterval)
		versions, _ := n.mirrors.versions()
		sound := n.sound()
		n.mu.Lock()
		now := n.now()
		targets := slices.Clone(n.peers.PulseTo(now))
		pulse := n.peers.Pulse(now, versions, sound)
		n.mu.Unlock()
		if n.stopping.Load() {
			continue
		}
		view := n.view.Load()
		for _, name := range targets {
			if vm := view.VMs[name]; vm != nil && name != n.settings.VM {
				n.send(vm.Exchange, datagram{Heartbeat: &pulse})
			}
		}
	}
}

// pulsePause is the least time between a change and the pulse that tells it.
const pulsePause = 20 * time.Millisecond

func (n *Node) leadDigests(now time.Duration) map[string]exchange.Digest {
	view := n.view.Load()
	if view.Config == nil || !n.peers.Leads(now) {
		return nil
	}
	return n.peers.Digests(now)
}

func (n *Node) goneVMs(now time.Duration) map[string]uint64 {
	if n.operatorLost.Load() {
		return nil
	}
	gone := make(map[string]uint64)
	for _, vm := range n.peers.Gone(now) {
		if version := n.catalog.VMVersion(vm); version != 0 {
			gone[vm] = version
		}
	}
	return gone
}

func (n *Node) send(address string, d datagram) {
	raw, err := json.Marshal(d)
	if err != nil {
		n.log.Info("message to a VM not encoded", "error", err.Error())
		return
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		n.log.Info("VM has an unusable address", "address", address, "error", err.Error())
		return
	}
	if _, err := n.udp.WriteToUDP(raw, target); err != nil {
		n.metrics.Count(1, "peer_messages", "not_sent")
		return
	}
	n.metrics.Count(1, "peer_messages", "sent")
}
