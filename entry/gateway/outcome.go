package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

func notSent(err error) bool  { return errors.Is(err, upstream.ErrNotSent) }
func timedOut(err error) bool { return errors.Is(err, upstream.ErrTimeout) }

func resultOfError(err error) placement.Result {
	switch {
	case errors.Is(err, upstream.ErrCancelled):
		return placement.Abandoned
	case notSent(err):
		return placement.Unreachable
	case timedOut(err):
		return placement.Mute
	default:
		return placement.Failed
	}
}

// removeListed removes the headers that a Connection header names.
func removeListed(h http.Header, line string) {
	for _, name := range strings.Split(line, ",") {
		h.Del(strings.TrimSpace(name))
	}
}

// probeTimeout bounds a probe.
const probeTimeout = time.Second

// probe asks a suspended server whether it is well.
func (n *Node) probe(ctx context.Context, s *steering.Server) {
	config := n.view.Load().Config
	if config == nil || config.Services[s.Service] == nil {
		return
	}
	got, _, err := n.pool.Do(ctx, &upstream.Call{
		Server: s.ID, Address: s.Address, Method: http.MethodGet, Target: config.Services[s.Service].HealthPath,
		Host: s.Address, Header: http.Header{}, Idempotent: true, Deadline: time.Now().Add(probeTimeout),
	})
	n.metrics.Count(1, "probes")
	if err != nil || got.Status != http.StatusOK || got.Told.Instance != s.ID {
		n.log.V(1).Info("probe failed", "server", s.ID, "service", s.Service)
		return
	}
	n.mu.Lock()
	n.picker.Probed(n.now(), s.ID, got.Told.Cold)
	if got.Told.HasLoad {
		n.picker.Reported(n.now(), s.ID, got.Told.Load.Running, got.Told.Load.Waiting)
	}
	n.mu.Unlock()
	n.log.Info("backend server answers again", "server", s.ID, "service", s.Service, "cold", got.Told.Cold.String())
}

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

const (
	// exitMargin is left of the grace period to answer the last requests.
	exitMargin = 1200 * time.Millisecond
	// killMargin is left of the grace period for the process to end.
	killMargin = 150 * time.Millisecond
	// settleTime is how long a leaving VM serves at least: callers learn from
	// the directory within this time that it leaves.
	settleTime = 3500 * time.Millisecond
	// unannounced is for how long callers cannot know that a VM leaves.
	unannounced = 2500 * time.Millisecond
	// quietTime without requests ends a leaving process after settleTime.
	quietTime = 700 * time.Millisecond
	drainPoll = 50 * time.Millisecond
)

// endsBefore reports whether this process may end before a deadline, so that a
// request could be cut off. Requests that come soon after the signal are served
// all the same: callers cannot know yet.
func (n *Node) endsBefore(deadline time.Time) bool {
	if !n.stopping.Load() {
		return false
	}
	passed := n.now() - time.Duration(n.stopAt.Load())
	left := n.bounds.Load().Grace - killMargin - answerSlack - passed
	return passed > unannounced && time.Until(deadline) > left
}

// drain stops a node without cutting a request: it is no longer named to
// callers, goes on serving those that come and ends once nobody does, or with
// the grace period.
func (n *Node) drain(ctx context.Context) {
	begin := time.Now()
	n.stopAt.Store(int64(n.now()))
	n.stopping.Store(true)
	n.log.Info("stopping", "vm", n.settings.VM, "grace", n.bounds.Load().Grace.String())
	n.ingress.Drain()
	go func() {
		if err := n.writeEntry(ctx, true); err != nil {
			n.log.Info("leaving not registered", "error", err.Error())
		}
	}()
	end := n.bounds.Load().Grace - exitMargin
	for time.Since(begin) < end {
		conns, inflight, idle := n.ingress.Activity()
		passed := time.Since(begin)
		if passed > settleTime && inflight == 0 && (conns == 0 || idle > quietTime) {
			break
		}
		n.sleep(ctx, drainPoll)
	}
	n.ingress.Close()
	for time.Since(begin) < n.bounds.Load().Grace-killMargin {
		if conns, _, _ := n.ingress.Activity(); conns == 0 {
			break
		}
		n.sleep(ctx, drainPoll)
	}
	conns, inflight, _ := n.ingress.Activity()
	n.log.Info("drained", "connections", conns, "inFlight", inflight, "after", time.Since(begin).String())
}
