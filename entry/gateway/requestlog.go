package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/entry/eventlog"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// record logs and counts how a request ended.
func (n *Node) record(r *request, a *ingress.Answer) {
	account, class := "", ""
	if r.account != nil {
		account = r.account.Name
	}
	if r.route != nil {
		class = r.route.Name
	}
	elapsed := time.Since(r.in.Arrived)
	kind := n.countOutcome(r, a.Status, account, class, elapsed)
	if kind == "" {
		return
	}
	now := n.now()
	n.mu.Lock()
	ok, omitted := n.lines.Allow(now, "request "+kind)
	digestAge := n.peers.DigestAge(now)
	counter := n.counters[account]
	n.mu.Unlock()
	if !ok {
		return
	}
	n.log.Info("request", "id", r.caller.AttemptID, "status", a.Status, "account", account, "route", class,
		"service", r.place.Service, "region", r.place.Region, "server", r.server, "sent", r.sent, "ms", elapsed.Milliseconds(),
		"reason", r.reason, "rank", r.place.Rank, "expectedMS", r.expected.Milliseconds(), "waitMS", r.caller.Timeout.Milliseconds(),
		"config", configVersion(r), "operatorAgeMS", n.operatorAge(now).Milliseconds(), "digestAgeMS", digestAge.Milliseconds(), "counter", counter, "omitted", omitted)
}

// countOutcome counts how a request ended. It returns the kind of its log line,
// empty for a success outside the sample.
func (n *Node) countOutcome(r *request, status int, account, class string, elapsed time.Duration) string {
	if status >= http.StatusBadRequest {
		n.metrics.RecordRejection(account, statusName(status))
		n.metrics.Count(1, "rejected_class", class, statusName(status))
		return statusName(status)
	}
	n.metrics.RecordAnswer(account, class, elapsed)
	if r.route != nil && elapsed > r.route.Objective {
		// A late answer is a failure to its caller, who may complain.
		n.metrics.Count(1, "late", class)
		return "late"
	}
	if !eventlog.Sampled(r.caller.AttemptID, n.options.Load().Log.SuccessSample) {
		return ""
	}
	return "answered"
}

// recordSend logs a send that brought no answer for the caller.
func (n *Node) recordSend(r *request, choice placement.Choice, result placement.Result, cause string, elapsed time.Duration) {
	n.metrics.Count(1, "sends", result.String())
	if result == placement.Succeeded {
		return
	}
	now := n.now()
	n.mu.Lock()
	ok, omitted := n.lines.Allow(now, "send "+result.String())
	n.mu.Unlock()
	if !ok {
		return
	}
	n.log.Info("send", "id", r.caller.AttemptID, "result", result.String(), "server", choice.Server.ID, "service", r.place.Service,
		"region", choice.Server.Region, "ms", elapsed.Milliseconds(), "expectedMS", choice.Expected.Milliseconds(),
		"warm", choice.Warm, "cause", cause, "omitted", omitted)
}

func configVersion(r *request) uint64 {
	if r.view.Config == nil {
		return 0
	}
	return r.view.Config.Version
}

func statusName(status int) string { return strings.ToLower(http.StatusText(status)) }
