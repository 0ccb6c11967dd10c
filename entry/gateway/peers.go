package gateway

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/platform"
)

// maxDatagramBytes is the largest size of a UDP datagram.
const maxDatagramBytes = 64 << 10

// peerMessage is one datagram between VMs. Messages that go to the same VM at
// the same time share a datagram.
type peerMessage struct {
	Report       *exchange.Report      `json:"report,omitempty"`
	GroupReport  *exchange.GroupReport `json:"bundle,omitempty"`
	Digest       *exchange.Digest      `json:"digest,omitempty"`
	Heartbeat    *exchange.Heartbeat   `json:"pulse,omitempty"`
	TokenRequest *tokenRequest         `json:"take,omitempty"`
	TokenGrant   *tokenGrant           `json:"grant,omitempty"`
	LoanRequest  *loanRequest          `json:"loanRequest,omitempty"`
	Loan         *loan                 `json:"loan,omitempty"`
	LimitRequest *limitRequest         `json:"limitRequest,omitempty"`
	LimitGrant   *limitGrant           `json:"limitGrant,omitempty"`
	Suspects     []poison.Shared       `json:"suspects,omitempty"`
}

// receivePeerMessages receives and handles the messages of other VMs.
func (n *Node) receivePeerMessages(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.peerConn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.log.Info("could not receive message from another VM", "error", err.Error())
			n.sleep(ctx, initialBackoff)
			continue
		}
		n.receiveDatagram(ctx, buf[:size])
	}
}

// receiveDatagram handles one datagram of another VM.
func (n *Node) receiveDatagram(ctx context.Context, datagram []byte) {
	var message peerMessage
	if err := json.Unmarshal(datagram, &message); err != nil {
		n.metrics.Count(1, "peer_messages", "unreadable")
		return
	}
	n.mu.Lock()
	out := n.handleMessage(n.now(), message)
	n.mu.Unlock()
	if len(out.forwards) > 0 {
		view := n.view.Load()
		// Half an interval, so that a digest is forwarded before the next
		// one arrives.
		go n.sendPaced(ctx, view, out.forwards, exchange.ReportInterval(len(view.VMs))/2)
	}
	n.sendAll(out.replies)
}

// outgoing holds what this VM sends in response to a message.
type outgoing struct {
	replies []addressedMessage
	// forwards are sent to VMs of this VM's group.
	forwards map[string]peerMessage
}

// handleMessage handles one message and returns what to send in response. The
// caller holds mu.
func (n *Node) handleMessage(now time.Duration, message peerMessage) outgoing {
	if message.TokenRequest != nil {
		return outgoing{replies: n.handleTokenRequest(now, *message.TokenRequest)}
	}
	if message.LoanRequest != nil {
		return outgoing{replies: []addressedMessage{n.handleLoanRequest(now, *message.LoanRequest)}}
	}
	if message.Loan != nil {
		return outgoing{replies: n.handleLoan(now, *message.Loan)}
	}
	if message.LimitRequest != nil {
		return outgoing{replies: []addressedMessage{n.handleLimitRequest(now, *message.LimitRequest)}}
	}
	var out outgoing
	if len(message.Suspects) > 0 {
		n.peers.Suspects().Merge(now, message.Suspects...)
	}
	if message.LimitGrant != nil {
		n.handleLimitGrant(now, *message.LimitGrant)
	}
	if message.TokenGrant != nil {
		n.handleTokenGrant(now, *message.TokenGrant)
	}
	if message.Report != nil {
		n.peers.HandleReport(now, *message.Report)
	}
	if message.GroupReport != nil {
		n.peers.HandleGroupReport(now, *message.GroupReport)
	}
	if message.Heartbeat != nil {
		n.peers.HandleHeartbeat(now, *message.Heartbeat)
		wake(n.hubReadWake)
	}
	if message.Digest != nil {
		if digests := n.peers.HandleDigest(now, *message.Digest); len(digests) > 0 {
			out.forwards = make(map[string]peerMessage, len(digests))
			for vm, digest := range digests {
				out.forwards[vm] = peerMessage{Digest: &digest}
			}
		}
		if view := n.view.Load(); view.Config != nil {
			n.updateActiveVMs(now)
			n.updateRates(now, view)
			n.estimateBursts(now, view)
		}
		if !n.links.Lost() {
			n.updateRegionFlows(now)
		}
		n.applyServerLimits(now)
	}
	n.applySuspects(now)
	return out
}

// reportLoop sends this VM's reports. On a group leader it also sends group
// reports. On the first hub it also sends digests and removes the
// registrations of VMs that no longer report.
func (n *Node) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := n.now()
		view := n.view.Load()
		interval := exchange.ReportInterval(n.peers.RosterSize())
		n.demandMeter.EndInterval(now)
		accounts, work := n.demandMeter.Report()
		report := n.peers.Report(now, n.settings.Region, accounts, work, !n.stopping.Load() && view.Ready)
		messages := make(map[string]peerMessage)
		for _, vm := range n.peers.ReportTargets(now) {
			if vm == n.settings.VM {
				n.peers.HandleReport(now, report)
			} else {
				messages[vm] = peerMessage{Report: &report}
			}
		}
		if groupReport, ok := n.peers.GroupReport(now); ok {
			for _, hub := range n.peers.Hubs(now) {
				message := messages[hub]
				message.GroupReport = &groupReport
				messages[hub] = message
			}
		}
		for vm, digest := range n.digestsToSend(now) {
			if vm == n.settings.VM {
				n.handleMessage(now, peerMessage{Digest: &digest})
				continue
			}
			message := messages[vm]
			message.Digest = &digest
			messages[vm] = message
		}
		removable := n.removableVMs(now)
		n.mu.Unlock()
		for name, version := range removable {
			n.removeRegistration(ctx, name, version)
		}
		start := n.now()
		n.sendPaced(ctx, view, messages, interval)
		n.sleep(ctx, interval-(n.now()-start))
	}
}

// sendBurst is the number of messages that are sent without a pause. More would
// overflow the queue of a slow link.
const sendBurst = 16

// sendPaced spreads messages over three quarters of an interval.
func (n *Node) sendPaced(ctx context.Context, view *catalog.View, messages map[string]peerMessage, interval time.Duration) {
	pause := interval * 3 / 4 / time.Duration(len(messages)/sendBurst+1)
	sent := 0
	for vm, message := range messages {
		target := view.VMs[vm]
		if target == nil {
			continue
		}
		if sent++; sent%sendBurst == 0 {
			n.sleep(ctx, pause)
		}
		n.sendMessage(target.PeerAddress, message)
	}
}

// heartbeatLoop sends heartbeats with the versions of the tables that this VM
// holds. Only hubs and group leaders have recipients.
func (n *Node) heartbeatLoop(ctx context.Context) {
	timer := time.NewTimer(exchange.HeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-n.heartbeatWake:
			// Changes in quick succession share one heartbeat.
			n.sleep(ctx, heartbeatDelay)
		}
		timer.Reset(exchange.HeartbeatInterval)
		versions, _ := n.replicas.versions()
		healthy := n.storeHealthy()
		n.mu.Lock()
		now := n.now()
		recipients := slices.Clone(n.peers.HeartbeatTargets(now))
		heartbeat := n.peers.Heartbeat(now, versions, healthy)
		n.mu.Unlock()
		if n.stopping.Load() {
			continue
		}
		view := n.view.Load()
		for _, name := range recipients {
			if vm := view.VMs[name]; vm != nil && name != n.settings.VM {
				n.sendMessage(vm.PeerAddress, peerMessage{Heartbeat: &heartbeat})
			}
		}
	}
}

// heartbeatDelay is the shortest time between a change and the heartbeat that
// announces it.
const heartbeatDelay = 20 * time.Millisecond

// digestsToSend returns the digests for other VMs if this VM is the first
// hub. The caller holds mu.
func (n *Node) digestsToSend(now time.Duration) map[string]exchange.Digest {
	view := n.view.Load()
	if view.Config == nil || !n.peers.SendsDigests(now) {
		return nil
	}
	return n.peers.Digests(now)
}

// removableVMs returns the VMs whose registrations may be removed from the
// store, with the versions of these registrations. The caller holds mu.
func (n *Node) removableVMs(now time.Duration) map[string]platform.Position {
	if n.operatorUnavailable.Load() {
		return nil
	}
	removable := make(map[string]platform.Position)
	for _, vm := range n.peers.RemovableVMs(now) {
		if version := n.catalog.VMVersion(vm); version != 0 {
			removable[vm] = version
		}
	}
	return removable
}

func (n *Node) sendMessage(address string, message peerMessage) {
	raw, err := json.Marshal(message)
	if err != nil {
		n.log.Info("could not encode message to another VM", "error", err.Error())
		return
	}
	if err := n.sendDatagram(address, raw); err != nil {
		n.metrics.Count(1, "peer_messages", "not_sent")
		return
	}
	n.metrics.Count(1, "peer_messages", "sent")
}

// sendUDP sends a datagram to an address, which is an IP address and a port.
func (n *Node) sendUDP(address string, datagram []byte) error {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		n.log.Info("could not resolve address of another VM", "address", address, "error", err.Error())
		return err
	}
	_, err = n.peerConn.WriteToUDP(datagram, target)
	return err
}
