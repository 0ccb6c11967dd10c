package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// The following bounds are those of the platform's documentation.
	keyWithdrawalBound = 5 * time.Second
	evacuationBound    = 5 * time.Second
	// vanishBound is the time after which a server whose registration was removed must
	// get no requests: the drain bound, the two seconds in which a lost registration
	// would be back, and the time until a gateway reaches the store again.
	vanishBound   = drainBound + 4*time.Second
	rateWindow    = 5 * time.Second
	rateTolerance = 0.1
	rateMargin    = 20
	// The rule on limits that servers name: from limitSettleTime after a server named
	// one, it gets at most limitTolerance times what the limit allows in limitWindow,
	// and limitMargin requests. A gateway that was stopped, killed or suspended does
	// not count until limitSettleTime after it is back.
	limitSettleTime = 4 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitMargin     = 5
	// From cutNoticeBound after a gateway was cut from all servers, at least
	// minCutServedShare of its requests must be served. Fewer than minCutRequests do not
	// count.
	cutNoticeBound    = 4 * time.Second
	minCutServedShare = 2.0 / 3
	minCutRequests    = 20
	// In restorationTime after a restoration of the store, with no other fault around, at
	// most maxUnservedShare of the requests may be rejected or fail.
	restorationTime  = 10 * time.Second
	maxUnservedShare = 0.01
	// minServedShare is the share of requests that must be served after the
	// faults.
	minServedShare = 0.9
	// maxViolations bounds the violations that are reported for one run.
	maxViolations = 12
)

// check compares what callers observed with what backend servers ran and returns
// the violations.
func (tb *testbed) check() []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.outcomes.mu.Lock()
	defer tb.outcomes.mu.Unlock()
	tb.executions.mu.Lock()
	defer tb.executions.mu.Unlock()
	var violations []string
	report := func(format string, args ...any) {
		if len(violations) < maxViolations {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	sent := make(map[string]outcome, len(tb.outcomes.list))
	for _, o := range tb.outcomes.list {
		sent[o.id] = o
		tb.checkOutcome(o, report)
	}
	for id, executions := range tb.executions.byID {
		o, known := sent[id]
		for _, r := range executions {
			switch {
			case !known:
				report("server %s ran request %q, which no caller sent", r.server, id)
			case r.path != o.path:
				report("request %s ran with target %s instead of %s", id, r.path, o.path)
			case r.hasKey:
				report("the key of request %s reached server %s", id, r.server)
			case r.account != o.account:
				report("request %s of account %s ran for account %q", id, o.account, r.account)
			}
			tb.checkExecution(o, r, report)
		}
	}
	tb.checkRate(report)
	tb.checkLimits(sent, report)
	tb.checkCrashes(sent, report)
	tb.checkPauses(sent, report)
	tb.checkLeaving(report)
	tb.checkGatewayCuts(report)
	tb.checkRestorations(report)
	tb.checkRecovery(report)
	return violations
}

func (tb *testbed) checkOutcome(o outcome, report func(string, ...any)) {
	executions := tb.executions.byID[o.id]
	if o.atMostOnce && len(executions) > 1 {
		report("request %s, which may run at most once, ran %d times", o.id, len(executions))
	}
	notRun := slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, o.status)
	if o.atMostOnce && notRun && !o.connBroken && len(executions) > 0 {
		report("request %s was answered with %d, which states that it did not run, but it ran", o.id, o.status)
	}
	if o.status == http.StatusOK && !o.connBroken && (!o.hasSeal || !o.bodyMatches || len(executions) == 0) {
		report("request %s was answered with 200 without its own complete response", o.id)
	}
	if o.connBroken && len(executions) > 0 && tb.brokenByPlannedStopOnly(o, executions) {
		report("the connection of request %s was broken by the planned stop of gateway %s", o.id, o.gateway)
	}
}

// brokenByPlannedStopOnly reports whether a request overlapped a planned stop of
// its gateway and no fault that is allowed to break its connection.
func (tb *testbed) brokenByPlannedStopOnly(o outcome, executions []execution) bool {
	stopped := false
	for _, f := range tb.faults {
		overlaps := o.finished.After(f.start) && (f.end.IsZero() || o.sent.Before(f.end.Add(time.Second)))
		if !overlaps {
			continue
		}
		switch f.kind {
		case KillAll:
			return false
		case Kill, Pause:
			if tb.gateways[f.target].ip+":8206" == o.gateway {
				return false
			}
		case PlannedStop:
			stopped = stopped || tb.gateways[f.target].ip+":8206" == o.gateway
		case ServerAborts, ServerTruncates, ServerSlow, ServerDrains:
			for _, r := range executions {
				if r.server == f.server {
					return false
				}
			}
		}
	}
	return stopped
}

// checkExecution checks that a request did not run for a withdrawn key, in an
// evacuated failure domain or on a draining server after the bound. The bounds
// include storeFaultMargin.
func (tb *testbed) checkExecution(o outcome, r execution, report func(string, ...any)) {
	for _, f := range tb.faults {
		since, ended := r.at.Sub(f.start), !f.end.IsZero() && r.at.After(f.end)
		switch {
		case f.kind == WithdrawKey && o.key == f.key && since > keyWithdrawalBound+storeFaultMargin:
			report("request %s ran %v after its key was withdrawn", o.id, since)
		case f.kind == Evacuate && r.failureDomain == f.failureDomain && !ended && since > evacuationBound+storeFaultMargin:
			report("request %s ran in %s %v after its evacuation", o.id, r.failureDomain, since)
		case f.kind == ServerDrains && r.server == f.server && !ended && since > drainBound+storeFaultMargin:
			report("request %s ran on %s %v after the server began to drain", o.id, r.server, since)
		case f.kind == ServerVanishes && r.server == f.server && !ended && r.at.Sub(tb.lastStoreFault(f.start, r.at)) > vanishBound:
			report("request %s ran on %s %v after its registration was removed", o.id, r.server, since)
		}
	}
}

// lastStoreFault returns the end of the last fault of the store between two times, to if
// one has not ended, and from if there is none. A registration that disappears around such
// a fault may have been lost with it.
func (tb *testbed) lastStoreFault(from, to time.Time) time.Time {
	last := from
	for _, f := range tb.faults {
		switch f.kind {
		case StoreCut, StoreUnresponsive, StoreConnsBlackholed, StoreUnavailable, StoreSlow, StoreLosesResponses, StoreDropsHistory, StoreRestored:
		default:
			continue
		}
		end := f.end
		if end.IsZero() || end.After(to) {
			end = to
		}
		if f.start.Before(to) && end.After(last) {
			last = end
		}
	}
	return last
}

// checkRate checks that the limited account stays within its rate in every
// window.
func (tb *testbed) checkRate(report func(string, ...any)) {
	var times []time.Time
	for _, executions := range tb.executions.byID {
		for _, r := range executions {
			if r.account == limitedAccount {
				times = append(times, r.at)
			}
		}
	}
	allowed := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateTolerance)) + rateMargin
	if count, start := busiestWindow(times, rateWindow); count > allowed {
		report("the limited account ran %d requests within %v from %s, %d are allowed", count, rateWindow, start.UTC().Format(time.RFC3339Nano), allowed)
	}
}

// busiestWindow returns the largest number of times in a window and the start of that
// window. It sorts times.
func busiestWindow(times []time.Time, window time.Duration) (count int, start time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		if n := last - first + 1; n > count {
			count, start = n, times[first]
		}
	}
	return count, start
}

// checkLimits checks that servers that name limits get no more requests from all
// gateways together.
func (tb *testbed) checkLimits(sent map[string]outcome, report func(string, ...any)) {
	for _, f := range tb.faults {
		if f.limitedServer == "" || f.end.IsZero() {
			continue
		}
		var times []time.Time
		for id, executions := range tb.executions.byID {
			for _, r := range executions {
				if r.server == f.limitedServer && r.at.After(f.start.Add(limitSettleTime)) && r.at.Before(f.end) && !tb.interrupted(sent[id].gateway, r.at) {
					times = append(times, r.at)
				}
			}
		}
		allowed := int(limitTolerance*f.limit*limitWindow.Seconds()) + limitMargin
		if count, start := busiestWindow(times, limitWindow); count > allowed {
			report("server %s with a limit of %v a second ran %d requests within %v from %s, %d are allowed", f.limitedServer, f.limit, count,
				limitWindow, start.UTC().Format(time.RFC3339Nano), allowed)
		}
	}
}

// interrupted reports whether a gateway was stopped, killed or suspended at a time or up
// to limitSettleTime before it.
func (tb *testbed) interrupted(gateway string, at time.Time) bool {
	for _, f := range tb.faults {
		switch f.kind {
		case Kill, Pause, PlannedStop:
			if tb.gateways[f.target].ip+":8206" != gateway {
				continue
			}
		case KillAll:
		default:
			continue
		}
		if at.After(f.start) && (f.end.IsZero() || at.Before(f.end.Add(limitSettleTime))) {
			return true
		}
	}
	return false
}

// checkGatewayCuts checks that gateways that are cut from all servers serve their callers
// while the others can.
func (tb *testbed) checkGatewayCuts(report func(string, ...any)) {
	for i, f := range tb.faults {
		if f.kind != GatewayCut || f.end.IsZero() {
			continue
		}
		sent, served := 0, 0
		for _, o := range tb.outcomes.list {
			if o.gateway != tb.gateways[f.target].ip+":8206" || o.account == limitedAccount || o.sent.Before(f.start.Add(cutNoticeBound)) || o.finished.After(f.end) || tb.otherFaultNear(i, o) {
				continue
			}
			sent++
			if o.status == http.StatusOK {
				served++
			}
		}
		if sent >= minCutRequests && float64(served) < minCutServedShare*float64(sent) {
			report("gateway %d, cut from all servers, served %d of %d requests", f.target, served, sent)
		}
	}
}

// otherFaultNear reports whether a fault other than fault i, which may keep requests from
// being served, was in progress during a request or shortly before it. Changes of the
// configuration, limits of servers, and cuts, reloads and planned stops of other gateways
// may not.
func (tb *testbed) otherFaultNear(i int, o outcome) bool {
	for j, f := range tb.faults {
		switch f.kind {
		case ConfigChange, GatewayCut, ServerLimits, Reload:
			continue
		case PlannedStop:
			if tb.gateways[f.target].ip+":8206" != o.gateway {
				continue
			}
		}
		if j != i && o.finished.After(f.start) && (f.end.IsZero() || o.sent.Before(f.end.Add(cutNoticeBound))) {
			return true
		}
	}
	return false
}

// checkRestorations checks that callers are served while the store is restored from a copy
// and its writers repeat their writes.
func (tb *testbed) checkRestorations(report func(string, ...any)) {
	for i, f := range tb.faults {
		if f.kind != StoreRestored || tb.otherFaultWithin(i, f.start.Add(-restorationTime), f.start.Add(restorationTime)) {
			continue
		}
		sent, served := 0, 0
		for _, o := range tb.outcomes.list {
			if o.account == limitedAccount || o.sent.Before(f.start) || o.sent.After(f.start.Add(restorationTime)) {
				continue
			}
			sent++
			if o.status == http.StatusOK {
				served++
			}
		}
		if float64(sent-served) > maxUnservedShare*float64(sent) {
			report("around a restoration of the store, %d of %d requests were served", served, sent)
		}
	}
}

// otherFaultWithin reports whether a fault other than fault i was in progress between two
// times.
func (tb *testbed) otherFaultWithin(i int, from, to time.Time) bool {
	for j, f := range tb.faults {
		if j != i && f.start.Before(to) && (f.end.IsZero() || f.end.After(from)) {
			return true
		}
	}
	return false
}

// checkRecovery checks that requests are served again after the faults.
func (tb *testbed) checkRecovery(report func(string, ...any)) {
	var lastFinished time.Time
	for _, o := range tb.outcomes.list {
		if o.finished.After(lastFinished) {
			lastFinished = o.finished
		}
	}
	withdrawn := make(map[string]bool)
	for _, f := range tb.faults {
		withdrawn[f.key] = true
	}
	served, sent := 0, 0
	for _, o := range tb.outcomes.list {
		if o.sent.Before(lastFinished.Add(-measurementTime)) || o.account == limitedAccount || withdrawn[o.key] {
			continue
		}
		sent++
		if o.status == http.StatusOK {
			served++
		}
	}
	if sent == 0 || float64(served) < minServedShare*float64(sent) {
		report("after the faults, %d of %d requests were served", served, sent)
	}
}
