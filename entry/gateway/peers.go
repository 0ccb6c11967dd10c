package gateway

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
)

// maxDatagramBytes is the largest datagram.
const maxDatagramBytes = 64 << 10

// datagram is one message between VMs; one field is set.
type datagram struct {
	Report *exchange.Report `json:"report,omitempty"`
	Digest *exchange.Digest `json:"digest,omitempty"`
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
		n.handle(n.now(), d)
		n.mu.Unlock()
	}
}

// handle takes one message; the caller holds mu.
func (n *Node) handle(now time.Duration, d datagram) {
	if d.Report != nil {
		n.peers.HandleReport(now, *d.Report)
	}
	if d.Digest != nil {
		n.peers.HandleDigest(now, *d.Digest)
		if view := n.view.Load(); view.Config != nil {
			n.setRates(now, view)
		}
	}
}

// exchangeLoop reports to the hubs, and answers the other VMs as a hub.
func (n *Node) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := n.now()
		view := n.view.Load()
		interval := exchange.Interval(n.peers.Size())
		n.demand.roll(now)
		report := n.peers.Report(n.settings.Region, n.demand.accounts(), n.demand.services(), !n.stopping.Load() && view.Ready)
		out := make(map[string]datagram)
		for _, hub := range n.peers.Hubs(now) {
			if hub == n.settings.VM {
				n.peers.HandleReport(now, report)
			} else {
				out[hub] = datagram{Report: &report}
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
		for vm, d := range out {
			if target := view.VMs[vm]; target != nil {
				n.send(target.Exchange, d)
			}
		}
		for name, version := range gone {
			n.removeVM(ctx, name, version)
		}
		n.sleep(ctx, interval)
	}
}

func (n *Node) leadDigests(now time.Duration) map[string]exchange.Digest {
	view := n.view.Load()
	if view.Config == nil || !n.peers.Leads(now) {
		return nil
	}
	return n.peers.Digests(now, func(account string) float64 {
		if a := view.Config.Accounts[account]; a != nil {
			return a.Rate
		}
		return 0
	})
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
