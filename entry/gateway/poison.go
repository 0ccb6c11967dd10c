package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
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
	// trialClaimTime is how long a VM waits between claiming a trial and sending the
	// request. It is above the time that a message to another VM takes.
	trialClaimTime = 150 * time.Millisecond
	// minTrialTime is the time left until its deadline that a request needs for a trial.
	minTrialTime = 2 * trialClaimTime
	// announceTime is the time over which a message to all VMs is spread.
	announceTime = 50 * time.Millisecond
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

// checkQuarantine reports whether the request must not be sent because it crashes the
// servers that run it.
func (r *request) checkQuarantine() (retryAfter time.Duration, quarantined bool) {
	if r.trial && r.attempts == 0 {
		return 0, false
	}
	verdict := r.verdict()
	r.suspect = r.suspect || verdict.Suspect
	if verdict.Quarantined {
		r.node.metrics.Count(1, "quarantine", "rejected")
	}
	return verdict.RetryAfter, verdict.Quarantined
}

func (r *request) verdict() poison.Verdict {
	n := r.node
	if !n.suspectsKnown.Load() {
		return poison.Verdict{}
	}
	fingerprints := r.fingerprints()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Suspects().Check(n.now(), fingerprints, r.hasOtherVersion)
}

// claimTrial claims the trial of a quarantined request, if one is due. It reports whether
// the request may be sent.
func (r *request) claimTrial(ctx context.Context) (retryAfter time.Duration, ok bool) {
	verdict := r.verdict()
	if !verdict.Trial {
		return 0, true
	}
	if time.Until(r.deadline) < minTrialTime {
		return poison.TrialTimeout, false
	}
	n := r.node
	n.mu.Lock()
	now := n.now()
	n.peers.Suspects().ClaimTrial(now, r.fingerprints(), n.settings.VM)
	n.announceSuspects(n.peers.OtherVMs(), n.peers.Suspects().Shares(now, r.fingerprints()))
	n.mu.Unlock()
	n.sleep(ctx, trialClaimTime)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.peers.Suspects().HoldsTrial(r.fingerprints(), n.settings.VM) {
		n.metrics.Count(1, "quarantine", "rejected")
		return poison.TrialTimeout, false
	}
	n.log.Info("quarantined request is tried", "id", r.callerHeaders.AttemptID, "fingerprint", r.fingerprints().Exact().String(), "otherVersionOnly", verdict.NewVersionOnly)
	n.metrics.Count(1, "quarantine", "trial")
	r.trial = true
	if verdict.NewVersionOnly {
		r.placement.Excluded = func(s *steering.Server) bool { return slices.Contains(verdict.CrashedVersions, s.Version) }
	}
	return 0, true
}

// returnTrial gives back a trial whose request was not sent to a server.
func (r *request) returnTrial() {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.peers.Suspects().ReturnTrial(now, r.fingerprints(), n.settings.VM)
	n.announceSuspects(n.peers.OtherVMs(), n.peers.Suspects().Shares(now, r.fingerprints()))
}

// hasOtherVersion reports whether the request may be served by software of another version
// than the given ones.
func (r *request) hasOtherVersion(versions []string) bool {
	for _, part := range r.route.TrafficSplit {
		for _, s := range r.view.Servers[part.Service] {
			if s.Version != "" && !s.Draining && !slices.Contains(versions, s.Version) {
				return true
			}
		}
	}
	return false
}

// pickUnlessExcluded selects a server. A suspect request goes to a server that has no other
// one in progress, so that the next crash shows which of them caused it. The caller holds
// mu.
func (r *request) pickUnlessExcluded() placement.Choice {
	n := r.node
	if !r.suspect || r.placement.Excluded != nil || len(n.suspectsInProgress) == 0 {
		return n.picker.Pick(n.now(), &r.placement)
	}
	r.placement.Excluded = func(s *steering.Server) bool { return n.suspectsInProgress[s.ID] > 0 }
	choice := n.picker.Pick(n.now(), &r.placement)
	r.placement.Excluded = nil
	if choice.Server == nil {
		choice = n.picker.Pick(n.now(), &r.placement)
	}
	return choice
}

// finishSuspect records what an attempt that was sent at sentAt says about the request and
// the server. The caller holds mu.
func (r *request) finishSuspect(now time.Duration, server *steering.Server, response *upstream.Response, sentAt time.Duration, trace upstream.Trace, err error) {
	n := r.node
	if r.suspect {
		if n.suspectsInProgress[server.ID]--; n.suspectsInProgress[server.ID] <= 0 {
			delete(n.suspectsInProgress, server.ID)
		}
	}
	switch {
	case isMisdirected(response):
		if lost := n.lostConns[server.ID]; lost != nil {
			n.serverCrashed(now, lost, "another server at its address")
		}
	case isCompleted(response):
		if n.suspectsKnown.Load() && n.peers.Suspects().Survived(now, r.fingerprints()) {
			n.applySuspects(now)
			n.announceSuspects(n.peers.UrgentTargets(now), n.peers.Suspects().Shares(now, r.fingerprints()))
		}
	case err != nil && trace.Sent && isConnLost(err):
		r.suspect = true
		n.connectionLost(now, server, lostRequest{r.fingerprints(), sentAt, now})
	}
}

// isCompleted reports whether a server worked on the request to its end. One that failed, or
// stopped at the deadline, may not have reached what crashes it.
func isCompleted(response *upstream.Response) bool {
	return response != nil && response.ServerHeaders.Sealed && !response.ServerHeaders.NotRun && response.Status < http.StatusInternalServerError
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
	if lost == nil {
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

// announceSuspects tells other VMs at once what is known of requests. Reports and digests
// repeat it. The caller holds mu.
func (n *Node) announceSuspects(vms []string, suspects []poison.Shared) {
	messages := make(map[string]peerMessage, len(vms))
	for _, vm := range vms {
		messages[vm] = peerMessage{Suspects: suspects}
	}
	go n.sendPaced(context.Background(), n.view.Load(), messages, announceTime)
}

// applySuspects makes what is known of requests effective and logs what changed. The caller
// holds mu.
func (n *Node) applySuspects(now time.Duration) {
	suspects := n.peers.Suspects()
	if n.suspectChanges == suspects.Changes() {
		return
	}
	n.suspectChanges = suspects.Changes()
	n.suspectsKnown.Store(!suspects.Empty())
	if suspects.Empty() && len(n.quarantined) == 0 {
		return
	}
	quarantined := suspects.Quarantined()
	for f, crashes := range quarantined {
		if n.quarantined[f] != crashes {
			n.logQuarantine(now, "request quarantined", f, crashes)
		}
	}
	for f, crashes := range n.quarantined {
		if _, known := quarantined[f]; !known {
			n.logQuarantine(now, "request released from quarantine", f, crashes)
		}
	}
	n.quarantined = quarantined
}

func (n *Node) logQuarantine(now time.Duration, message string, f poison.Fingerprint, crashes int) {
	if ok, omitted := n.logLimiter.Allow(now, "quarantine"); ok {
		n.log.Info(message, "fingerprint", f.String(), "crashes", crashes, "omitted", omitted)
	}
}

// expireSuspects forgets suspect requests and ended connections after their time. The
// caller holds mu.
func (n *Node) expireSuspects(now time.Duration) {
	for id, lost := range n.lostConns {
		if now-lost.lastAt > lostConnTime && !lost.checking {
			delete(n.lostConns, id)
		}
	}
	if n.suspectsKnown.Load() {
		n.peers.Suspects().Expire(now)
		n.applySuspects(now)
	}
}
