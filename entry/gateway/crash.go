package gateway

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

const (
	// crashCheckTimeout bounds opening a connection to a server whose connections ended, in
	// addition to a round trip.
	crashCheckTimeout = 300 * time.Millisecond
	// lostConnTime is how long after the end of a connection another server at the address
	// shows that the server crashed.
	lostConnTime = 5 * time.Second
	// announceInterval is the shortest time between two announcements of crashes by one VM,
	// and maxAnnounced bounds the requests in each. When many servers end at once, the rest
	// is left to the reports.
	announceInterval = 100 * time.Millisecond
	maxAnnounced     = 8
	// maxLostRequests bounds the requests in progress at one server that are remembered.
	maxLostRequests = 64
)

// lostServer is a backend server one of whose connections ended while a request was in
// progress. Whether the server crashed or the connection was reset is not known yet.
type lostServer struct {
	server   *steering.Server
	requests []lostRequest
	// checking is set while a connection to the server is opened.
	checking bool
	lastAt   time.Duration
}

// lostRequest is a request that got no response because its connection ended.
type lostRequest struct {
	fingerprints poison.Fingerprints
	sentAt, at   time.Duration
}

// isConnLost reports whether a call failed because its connection ended, or brought
// something else than a response.
func isConnLost(err error) bool {
	return !isCancelled(err) && (errors.Is(err, upstream.ErrStale) || errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrMalformed))
}

// connectionLost records that a connection ended with a request in progress, and checks
// whether the server still accepts connections. The caller holds mu.
func (n *Node) connectionLost(now time.Duration, server *steering.Server, request lostRequest) {
	lost := n.lostConns[server.ID]
	if lost == nil || lost.server.Incarnation != server.Incarnation {
		lost = &lostServer{server: server}
		n.lostConns[server.ID] = lost
	}
	lost.lastAt = now
	if len(lost.requests) < maxLostRequests {
		lost.requests = append(lost.requests, request)
	}
	if lost.checking {
		return
	}
	lost.checking = true
	timeout := crashCheckTimeout + n.picker.RTT(server.Region)
	go func() {
		err := n.pool.Connect(context.Background(), &upstream.Call{
			ServerID: server.ID, Address: server.Address, ConnectTimeout: timeout, Deadline: time.Now().Add(timeout), MaxIdleConns: 1,
		})
		n.mu.Lock()
		defer n.mu.Unlock()
		lost.checking = false
		switch {
		case err == nil:
			n.metrics.Count(1, "crash_checks", "accepted")
		case errors.Is(err, syscall.ECONNREFUSED):
			n.metrics.Count(1, "crash_checks", "refused")
			n.serverCrashed(n.now(), lost, "refuses connections")
		default:
			n.metrics.Count(1, "crash_checks", "unknown")
		}
	}()
}

// serverCrashed records the requests that a server had in progress when it crashed. The
// caller holds mu.
func (n *Node) serverCrashed(now time.Duration, lost *lostServer, evidence string) {
	requests := lost.requests
	lost.requests = nil
	current := n.serverInUse(lost.server)
	if len(requests) == 0 || n.links.Lost() || current == nil || current.Draining || current.Expired || n.picker.IsLeaving(lost.server) {
		return
	}
	identity := lost.server.ID
	if lost.server.Incarnation != 0 {
		identity += "@" + strconv.FormatInt(lost.server.Incarnation, 36)
	}
	for _, request := range requests {
		n.peers.Suspects().Crashed(now, request.fingerprints, poison.Crash{
			Server: identity, Version: lost.server.Version, SentAt: request.sentAt, At: request.at,
		})
		if len(n.unannounced) < maxAnnounced {
			n.unannounced = append(n.unannounced, request.fingerprints)
		}
	}
	n.metrics.Count(1, "server_crashes")
	if ok, omitted := n.logLimiter.Allow(now, "crash"); ok {
		n.log.Info("backend server crashed", "server", lost.server.ID, "service", lost.server.Service, "failureDomain", lost.server.FailureDomain,
			"evidence", evidence, "inProgress", len(requests), "omitted", omitted)
	}
	n.applySuspects(now)
	n.announceCrashes(now)
}

// announceCrashes tells other VMs of the requests that were in progress at crashes, now or
// when announceInterval has passed. The caller holds mu.
func (n *Node) announceCrashes(now time.Duration) {
	if n.announcing || len(n.unannounced) == 0 {
		return
	}
	var suspects []poison.Shared
	for _, request := range n.unannounced {
		suspects = append(suspects, n.peers.Suspects().Shares(now, request)...)
	}
	n.announceSuspects(n.peers.UrgentTargets(now), suspects)
	n.unannounced, n.announcing = nil, true
	time.AfterFunc(announceInterval, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.announcing = false
		n.announceCrashes(n.now())
	})
}

// serverInUse returns the registration of a server, unless it was removed or belongs to a
// later start. The caller holds mu.
func (n *Node) serverInUse(server *steering.Server) *steering.Server {
	for _, s := range n.view.Load().Servers[server.Service] {
		if s.ID == server.ID && s.Incarnation == server.Incarnation {
			return s
		}
	}
	return nil
}
