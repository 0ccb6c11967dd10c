package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

const (
	// trialClaimTime is how long a VM waits between claiming a trial and sending the
	// request. It is above the time that a message to another VM takes.
	trialClaimTime = 150 * time.Millisecond
	// minTrialTime is the time left until its deadline that a request needs for a trial.
	minTrialTime = 2 * trialClaimTime
	// announceTime is the time over which a message to all VMs is spread.
	announceTime = 50 * time.Millisecond
)

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

// pickIsolated selects a server. A suspect request goes to a server that has no other
// one in progress, so that the next crash shows which of them caused it: first to one of
// those that this VM alone uses for suspect requests, because it does not know which ones
// other VMs have in progress. The caller holds mu.
func (r *request) pickIsolated() placement.Choice {
	n := r.node
	if !r.suspect || r.placement.Excluded != nil {
		return n.picker.Pick(n.now(), &r.placement)
	}
	defer func() { r.placement.Excluded = nil }()
	isBusy := func(s *steering.Server) bool { return n.suspectsInProgress[s.ID] > 0 }
	r.placement.Excluded = func(s *steering.Server) bool { return isBusy(s) || !n.picker.Owns(s) }
	if choice := n.picker.Pick(n.now(), &r.placement); choice.Server != nil && choice.Departure == placement.NoDeparture {
		return choice
	}
	r.placement.Excluded = isBusy
	if choice := n.picker.Pick(n.now(), &r.placement); choice.Server != nil {
		return choice
	}
	r.placement.Excluded = nil
	return n.picker.Pick(n.now(), &r.placement)
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
