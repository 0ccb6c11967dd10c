package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

// maxLimitRequests bounds the owners that are asked for one request, each of which delays
// it by a round trip.
const maxLimitRequests = 3

// limitRequest asks the owner of a server's limit to grant one request to the server.
type limitRequest struct {
	ID   uint64 `json:"id"`
	From string `json:"from"`
	// Limit is what the requesting VM knows of the limit.
	Limit serverlimit.Shared `json:"limit"`
}

// limitGrant is the answer of the owner. If Granted is not set, the VM may ask again
// after WaitMS milliseconds.
type limitGrant struct {
	ID      uint64 `json:"id"`
	Granted bool   `json:"granted,omitempty"`
	WaitMS  int64  `json:"wait,omitempty"`
	// Limit is what the owner knows of the limit.
	Limit serverlimit.Shared `json:"limit"`
}

// requestLimitGrant asks the owner of a server's limit to grant a request. If it
// refuses or does not answer, other servers are used for a time.
func (n *Node) requestLimitGrant(ctx context.Context, choice placement.Choice) bool {
	server := choice.Server.ID
	n.mu.Lock()
	owner := n.view.Load().VMs[choice.LimitOwner]
	limit, known := n.peers.ServerLimits().Observation(n.now(), server)
	if owner == nil || !known {
		n.picker.LimitRefused(n.now(), server, placement.SilentLimitOwnerWait)
		n.mu.Unlock()
		return false
	}
	n.lastTokenRequestID++
	req := limitRequest{ID: n.lastTokenRequestID, From: n.peerAddress(), Limit: limit}
	reply := make(chan limitGrant, 1)
	n.pendingLimitGrants[req.ID] = reply
	timeout := placement.LimitGrantTimeout + n.picker.RTT(owner.Region)
	n.mu.Unlock()
	n.sendMessage(owner.PeerAddress, peerMessage{LimitRequest: &req})

	answer, outcome := limitGrant{WaitMS: placement.SilentLimitOwnerWait.Milliseconds()}, "unanswered"
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer = <-reply:
		outcome = "refused"
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pendingLimitGrants, req.ID)
	if answer.Granted {
		outcome = "granted"
	} else {
		n.picker.LimitRefused(n.now(), server, time.Duration(answer.WaitMS)*time.Millisecond)
	}
	n.metrics.Count(1, "server_limit", outcome)
	return answer.Granted
}

// handleLimitRequest answers another VM's request for a grant. The caller holds mu.
func (n *Node) handleLimitRequest(now time.Duration, req limitRequest) addressedMessage {
	limits := n.peers.ServerLimits()
	if limits.Merge(now, req.Limit) {
		n.applyServerLimits(now)
	}
	grant := limitGrant{ID: req.ID}
	grant.Limit, _ = limits.Observation(now, req.Limit.Server)
	if grant.Limit.Ended {
		grant.Granted = true
	} else {
		granted, wait := n.picker.GrantLimit(now, req.Limit.Server)
		grant.Granted, grant.WaitMS = granted, wait.Milliseconds()
	}
	return addressedMessage{req.From, peerMessage{LimitGrant: &grant}}
}

// handleLimitGrant passes the answer of an owner on to the request that waits for it.
// The caller holds mu.
func (n *Node) handleLimitGrant(now time.Duration, grant limitGrant) {
	if n.peers.ServerLimits().Merge(now, grant.Limit) {
		n.applyServerLimits(now)
	}
	if reply := n.pendingLimitGrants[grant.ID]; reply != nil {
		delete(n.pendingLimitGrants, grant.ID)
		reply <- grant
	}
}

// recordServerLimit records the limit that a backend server names, or does not name, in
// a response to a request that was sent at sentAt. The caller holds mu.
func (n *Node) recordServerLimit(now, sentAt time.Duration, server *steering.Server, response *upstream.Response) {
	limits, headers := n.peers.ServerLimits(), response.ServerHeaders
	changed := false
	switch limit := headers.Limit; {
	case limit.Malformed:
		n.metrics.Count(1, "server_limit", "malformed")
		if ok, omitted := n.logLimiter.Allow(now, "server limit"); ok {
			n.log.Info("malformed limit of backend server", "server", server.ID, "service", server.Service, "omitted", omitted)
		}
	case limit.Named:
		n.metrics.Count(1, "server_limit", "named")
		changed = limits.Named(now, server.ID, limit.PerSecond)
	case headers.Sealed && response.Status < http.StatusMultipleChoices:
		// Rejections and failures may be made by something that does not know of the
		// limit.
		changed = limits.NotNamed(server.ID, sentAt)
	}
	if changed {
		n.applyServerLimits(now)
	}
}

// applyServerLimits passes the limits that backend servers name to the picker and logs
// those that changed. The caller holds mu.
func (n *Node) applyServerLimits(now time.Duration) {
	limits := n.peers.ServerLimits().Limits()
	for server, limit := range limits {
		if old, known := n.serverLimits[server]; !known || old.PerSecond != limit.PerSecond {
			n.logServerLimit(now, "limit of backend server changed", server, limit.PerSecond)
		}
	}
	for server, old := range n.serverLimits {
		if _, known := limits[server]; !known {
			n.logServerLimit(now, "limit of backend server ended", server, old.PerSecond)
		}
	}
	n.serverLimits = limits
	n.picker.SetLimits(now, limits)
}

func (n *Node) logServerLimit(now time.Duration, message, server string, perSecond float64) {
	if ok, omitted := n.logLimiter.Allow(now, "server limit"); ok {
		n.log.Info(message, "server", server, "perSecond", perSecond, "omitted", omitted)
	}
}
