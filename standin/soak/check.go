package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// Bounds of the promises, from the platform's pages.
	revokeBound   = 5 * time.Second
	evacuateBound = 5 * time.Second
	rateWindow    = 5 * time.Second
	rateTolerance = 0.1
	rateSlack     = 20
	// minServed is the share of requests that is served after the faults.
	minServed = 0.9
	// maxFindings bounds what is told of one run.
	maxFindings = 12
)

// check compares what callers saw with what backend servers ran.
func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	var found []string
	add := func(format string, args ...any) {
		if len(found) < maxFindings {
			found = append(found, fmt.Sprintf(format, args...))
		}
	}
	sent := make(map[string]outcome, len(w.answers.all))
	for _, o := range w.answers.all {
		sent[o.id] = o
		w.checkOutcome(o, add)
	}
	for id, runs := range w.ledger.runs {
		o, known := sent[id]
		for _, r := range runs {
			switch {
			case !known:
				add("server %s ran %q, which nobody sent", r.server, id)
			case r.path != o.path:
				add("request %s ran with target %s instead of %s", id, r.path, o.path)
			case r.key:
				add("the key of request %s reached server %s", id, r.server)
			case r.account != o.account:
				add("request %s of account %s ran for account %q", id, o.account, r.account)
			}
			w.checkRun(o, r, add)
		}
	}
	w.checkRate(add)
	w.checkService(add)
	return found
}

func (w *world) checkOutcome(o outcome, add func(string, ...any)) {
	runs := w.ledger.runs[o.id]
	if o.once && len(runs) > 1 {
		add("request %s, which may run once, ran %d times", o.id, len(runs))
	}
	notRun := slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, o.status)
	if o.once && notRun && !o.broken && len(runs) > 0 {
		add("request %s got %d, which says that it did not run, and ran", o.id, o.status)
	}
	if o.status == http.StatusOK && !o.broken && (!o.sealed || !o.whole || len(runs) == 0) {
		add("request %s got a success that is not its own whole answer", o.id)
	}
	if o.broken && len(runs) > 0 && w.plannedStopOnly(o, runs) {
		add("request %s was cut off by the planned stop of gateway %s", o.id, o.to)
	}
}

// plannedStopOnly reports whether a request met a planned stop and nothing else
// that may cut it.
func (w *world) plannedStopOnly(o outcome, runs []run) bool {
	stopped := false
	for _, f := range w.history {
		during := o.done.After(f.from) && (f.to.IsZero() || o.sent.Before(f.to.Add(time.Second)))
		if !during {
			continue
		}
		switch f.kind {
		case KillAll:
			return false
		case Kill, Pause:
			if w.nodes[f.target].ip+":8206" == o.to {
				return false
			}
		case PlannedStop:
			stopped = stopped || w.nodes[f.target].ip+":8206" == o.to
		case ServerAborts, ServerTruncates, ServerSlow, ServerDrains:
			for _, r := range runs {
				if r.server == f.server {
					return false
				}
			}
		}
	}
	return stopped
}

// checkRun checks one run against what the operator and the servers had said.
// Bounds stretch by the time in which the store may have been unsound.
func (w *world) checkRun(o outcome, r run, add func(string, ...any)) {
	for _, f := range w.history {
		since, ended := r.at.Sub(f.from), !f.to.IsZero() && r.at.After(f.to)
		switch {
		case f.kind == WithdrawKey && o.key == f.key && since > revokeBound+stretch:
			add("request %s ran %v after its key was withdrawn", o.id, since)
		case f.kind == Evacuate && r.zone == f.zone && !ended && since > evacuateBound+stretch:
			add("request %s ran in %s %v after its evacuation", o.id, r.zone, since)
		case f.kind == ServerDrains && r.server == f.server && !ended && since > drainBound+stretch:
			add("request %s ran on %s %v after it had said that it leaves", o.id, r.server, since)
		}
	}
}

// checkRate checks that the limited account stays within its rate in every
// window.
func (w *world) checkRate(add func(string, ...any)) {
	var times []time.Time
	for _, runs := range w.ledger.runs {
		for _, r := range runs {
			if r.account == limited {
				times = append(times, r.at)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateTolerance)) + rateSlack
	// The fullest window is told, and when it begins.
	most, begin := 0, 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) >= rateWindow {
			first++
		}
		if n := last - first + 1; n > most {
			most, begin = n, first
		}
	}
	if most > allowed {
		add("the limited account ran %d requests within %v from %s, %d are allowed", most, rateWindow, times[begin].UTC().Format(time.RFC3339Nano), allowed)
	}
}

// checkService checks that requests are served again after the faults.
func (w *world) checkService(add func(string, ...any)) {
	var last time.Time
	for _, o := range w.answers.all {
		if o.done.After(last) {
			last = o.done
		}
	}
	withdrawn := make(map[string]bool)
	for _, f := range w.history {
		withdrawn[f.key] = true
	}
	served, asked := 0, 0
	for _, o := range w.answers.all {
		if o.sent.Before(last.Add(-tail)) || o.account == limited || withdrawn[o.key] {
			continue
		}
		asked++
		if o.status == http.StatusOK {
			served++
		}
	}
	if asked == 0 || float64(served) < minServed*float64(asked) {
		add("after the faults, %d of %d requests were served", served, asked)
	}
}
