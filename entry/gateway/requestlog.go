package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/entry/eventlog"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// recordRequest counts and logs the outcome of a request.
func (n *Node) recordRequest(r *request, response *ingress.Response) {
	account, routeName := "", ""
	if r.account != nil {
		account = r.account.Name
	}
	if r.route != nil {
		routeName = r.route.Name
	}
	elapsed := time.Since(r.incoming.Arrived)
	kind := n.countOutcome(r, response.Status, account, routeName, elapsed)
	if kind == "" {
		return
	}
	now := n.now()
	n.mu.Lock()
	ok, omitted := n.logLimiter.Allow(now, "request "+kind)
	digestAge := n.peers.DigestAge(now)
	operatorAge := n.operatorTableAge(now)
	rateOwner := n.rateOwners[account]
	n.mu.Unlock()
	if !ok {
		return
	}
	n.log.Info("request", "id", r.callerHeaders.AttemptID, "status", response.Status, "account", account, "route", routeName,
		"service", r.placement.Service, "region", r.placement.PreferredRegion, "server", r.server, "serverRegion", r.serverRegion, "departure", r.departure, "relay", r.relayVM, "sent", r.attempts, "ms", elapsed.Milliseconds(),
		"reason", r.reason, "rank", r.placement.Priority, "expectedMS", r.expectedTime.Milliseconds(), "callerTimeoutMS", r.callerHeaders.Timeout.Milliseconds(),
		"retryAfterMS", r.retryAfter.Milliseconds(), "config", configVersion(r), "operatorAgeMS", operatorAge.Milliseconds(), "digestAgeMS", digestAge.Milliseconds(), "counter", rateOwner, "omitted", omitted)
}

// countOutcome counts the outcome of a request. It returns the kind of its log
// line, which is empty for a success outside the sample.
func (n *Node) countOutcome(r *request, status int, account, routeName string, elapsed time.Duration) string {
	if status >= http.StatusBadRequest {
		n.metrics.RecordRejection(account, statusName(status))
		n.metrics.Count(1, "rejected_class", routeName, statusName(status))
		return statusName(status)
	}
	n.metrics.RecordResponse(account, routeName, elapsed)
	if r.route != nil && elapsed > r.route.Objective {
		// A late response is a failure to its caller, who may complain.
		n.metrics.Count(1, "late", routeName)
		return "late"
	}
	if !eventlog.Sampled(r.callerHeaders.AttemptID, n.options.Load().Log.SuccessSample) {
		return ""
	}
	return "answered"
}

// recordAttempt counts an attempt, and logs it unless it succeeded.
func (n *Node) recordAttempt(r *request, choice placement.Choice, result placement.Result, cause string, elapsed time.Duration) {
	n.metrics.Count(1, "sends", result.String())
	if choice.Departure != placement.NoDeparture {
		n.metrics.Count(1, "departures", r.placement.Service, string(choice.Departure))
	}
	if result == placement.Succeeded {
		return
	}
	now := n.now()
	n.mu.Lock()
	ok, omitted := n.logLimiter.Allow(now, "send "+result.String())
	n.mu.Unlock()
	if !ok {
		return
	}
	n.log.Info("send", "id", r.callerHeaders.AttemptID, "result", result.String(), "server", choice.Server.ID, "service", r.placement.Service,
		"region", choice.Server.Region, "ms", elapsed.Milliseconds(), "expectedMS", choice.ExpectedLatency.Milliseconds(),
		"warm", choice.Warm, "cause", cause, "fingerprint", r.fingerprints().Exact().String(), "omitted", omitted)
}

// logSuspension logs that a backend server gets no requests of this VM until a probe
// succeeds. The same server in the logs of the other VMs tells a lost server from a lost
// link. The caller holds mu.
func (n *Node) logSuspension(now time.Duration, choice placement.Choice, result placement.Result) {
	ok, omitted := n.logLimiter.Allow(now, "suspended")
	if !ok {
		return
	}
	suspended, servers := n.picker.SuspendedServers(choice.Server.Service)
	n.log.Info("backend server suspended", "server", choice.Server.ID, "service", choice.Server.Service, "failureDomain", choice.Server.FailureDomain,
		"result", result.String(), "suspended", suspended, "servers", servers, "omitted", omitted)
}

func configVersion(r *request) uint64 {
	if r.view.Config == nil {
		return 0
	}
	return r.view.Config.Version
}

func statusName(status int) string { return strings.ToLower(http.StatusText(status)) }
