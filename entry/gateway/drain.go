package gateway

import (
	"context"
	"time"
)

const (
	// finalResponsesMargin is the part of the grace period that is reserved for
	// the responses to the last requests.
	finalResponsesMargin = 1200 * time.Millisecond
	// killMargin is the part of the grace period that is reserved for the
	// process to exit.
	killMargin = 150 * time.Millisecond
	// finalWriteMargin is the part of the grace period that is reserved for writing the
	// last responses.
	finalWriteMargin = 150 * time.Millisecond
	// minDrainTime is the shortest time for which a leaving VM keeps serving.
	// Callers learn from the directory within this time that the VM leaves.
	minDrainTime = 3500 * time.Millisecond
	// leaveNoticeDelay is the time after the stop signal in which callers may
	// not know yet that the VM leaves.
	leaveNoticeDelay = 2500 * time.Millisecond
	// drainIdleTime is the time without requests after which a draining process
	// ends, once minDrainTime has passed.
	drainIdleTime     = 700 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// lateConnTime is how long new connections are accepted after those of the earlier
	// callers were asked to end.
	lateConnTime = 700 * time.Millisecond
)

// mayStopBefore reports whether this process may stop before deadline, so that
// a request could be cut off. Requests that arrive soon after the stop signal
// are accepted in any case, because callers may not know yet that the VM
// leaves; later none is sent to a server that may still work at the deadline.
func (n *Node) mayStopBefore(deadline time.Time) bool {
	if !n.stopping.Load() {
		return false
	}
	elapsed := n.now() - time.Duration(n.stoppingSince.Load())
	remaining := n.bounds.Load().GracePeriod - killMargin - finalWriteMargin - responseMargin - elapsed
	return elapsed > leaveNoticeDelay && time.Until(deadline) > remaining
}

// beginStop records that the process got the signal to stop. It returns when that may have
// been at the earliest.
func (n *Node) beginStop() time.Time {
	uptime := n.uptime()
	n.mu.Lock()
	waited := uptime - n.standstill.earliestSignal(uptime)
	n.mu.Unlock()
	n.stoppingSince.Store(int64(n.now() - waited))
	n.stopping.Store(true)
	if waited > 0 {
		n.log.Info("signal may have waited for the process", "for", waited.String())
	}
	return time.Now().Add(-waited)
}

// drain performs a planned stop, which cuts off no request. The directory no
// longer returns this VM to callers, requests that still arrive are served, and
// the process ends once no more arrive or the grace period is over.
func (n *Node) drain(ctx context.Context) {
	start := n.beginStop()
	n.log.Info("stopping", "vm", n.settings.VM, "grace", n.bounds.Load().GracePeriod.String())
	n.ingress.Drain()
	n.relayServer.Drain()
	go func() {
		if err := n.writeRegistration(ctx, true); err != nil {
			n.log.Info("could not mark VM as leaving in the store", "error", err.Error())
		}
	}()
	acceptPeriod := n.bounds.Load().GracePeriod - finalResponsesMargin
	for time.Since(start) < acceptPeriod {
		conns, inFlight, idle := n.ingress.Activity()
		_, relayed, relayIdle := n.relayServer.Activity()
		elapsed := time.Since(start)
		if elapsed > minDrainTime && inFlight+relayed == 0 && (conns == 0 || idle > drainIdleTime) && relayIdle > drainIdleTime {
			break
		}
		n.sleep(ctx, drainPollInterval)
	}
	n.ingress.Close()
	n.relayServer.Close()
	end := start.Add(n.bounds.Load().GracePeriod - killMargin)
	n.awaitConnsEnd(ctx, earlier(end, time.Now().Add(lateConnTime)))
	// A connection may have been accepted since the last look.
	n.ingress.Stop()
	n.relayServer.Stop()
	n.awaitConnsEnd(ctx, end)
	conns, inFlight, _ := n.ingress.Activity()
	n.log.Info("drained", "connections", conns, "inFlight", inFlight, "after", time.Since(start).String())
}

// awaitConnsEnd waits until callers' connections have ended, but not beyond end.
func (n *Node) awaitConnsEnd(ctx context.Context, end time.Time) {
	for time.Now().Before(end) {
		conns, _, _ := n.ingress.Activity()
		relayConns, _, _ := n.relayServer.Activity()
		if conns+relayConns == 0 {
			return
		}
		n.sleep(ctx, drainPollInterval)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
