package gateway

import (
	"context"
	"time"
)

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
	left := n.bounds.Load().GracePeriod - killMargin - answerSlack - passed
	return passed > unannounced && time.Until(deadline) > left
}

// drain stops a node without cutting a request: it is no longer named to
// callers, goes on serving those that come and ends once nobody does, or with
// the grace period.
func (n *Node) drain(ctx context.Context) {
	begin := time.Now()
	n.stopAt.Store(int64(n.now()))
	n.stopping.Store(true)
	n.log.Info("stopping", "vm", n.settings.VM, "grace", n.bounds.Load().GracePeriod.String())
	n.ingress.Drain()
	go func() {
		if err := n.writeEntry(ctx, true); err != nil {
			n.log.Info("leaving not registered", "error", err.Error())
		}
	}()
	end := n.bounds.Load().GracePeriod - exitMargin
	for time.Since(begin) < end {
		conns, inflight, idle := n.ingress.Activity()
		passed := time.Since(begin)
		if passed > settleTime && inflight == 0 && (conns == 0 || idle > quietTime) {
			break
		}
		n.sleep(ctx, drainPoll)
	}
	n.ingress.Close()
	for time.Since(begin) < n.bounds.Load().GracePeriod-killMargin {
		if conns, _, _ := n.ingress.Activity(); conns == 0 {
			break
		}
		n.sleep(ctx, drainPoll)
	}
	conns, inflight, _ := n.ingress.Activity()
	n.log.Info("drained", "connections", conns, "inFlight", inflight, "after", time.Since(begin).String())
}
