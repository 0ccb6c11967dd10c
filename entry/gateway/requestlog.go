package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// successSample is one in how many successes is logged, chosen by the id of
// the attempt, so that all VMs agree.
const successSample = 64

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
	if a.Status < http.StatusBadRequest {
		n.metrics.Answered(account, class, elapsed)
		if !placement.Sampled(r.caller.Attempt, successSample) {
			return
		}
	} else {
		n.metrics.Rejected(account, statusName(a.Status))
	}
	now := n.now()
	n.mu.Lock()
	ok, omitted := n.lines.Allow(now, "request "+statusName(a.Status))
	digestAge := n.peers.DigestAge(now)
	counter := n.counters[account]
	n.mu.Unlock()
	if !ok {
		return
	}
	n.log.Info("request", "id", r.caller.Attempt, "status", a.Status, "account", account, "route", class,
		"service", r.place.Service, "region", r.place.Region, "server", r.server, "sent", r.sent, "ms", elapsed.Milliseconds(),
		"reason", r.reason, "rank", r.place.Rank, "expectedMS", r.expected.Milliseconds(), "waitMS", r.caller.Wait.Milliseconds(),
		"config", configVersion(r), "digestAgeMS", digestAge.Milliseconds(), "counter", counter, "omitted", omitted)
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
	n.log.Info("send", "id", r.caller.Attempt, "result", result.String(), "server", choice.Server.ID, "service", r.place.Service,
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
