package load

import "time"

// Names of the promises in the report.
const (
	promiseAtMostOnce     = "booking run at most once"
	promiseNotRun         = "'not run' is true"
	promiseAnsweredWasRun = "answered booking was run"
	promiseOwnResponse    = "answer belongs to its request"
	promisePlannedStop    = "planned stop cuts no request"
	promiseRate           = "account within burst + rate x time"
	promiseWithdrawnKey   = "withdrawn key ends within 5 s"
	promiseDrain          = "drained server gets no work after 5 s"
	promiseLeaving        = "leaving server gets no work after 3 s"
	promiseNoKeyAtBackend = "no backend server sees a key"
)

const accountSeparator = "/"

// bookingReport compares the outcomes of bookings with the runs that the backend
// servers recorded.
func (r *run) bookingReport() BookingReport {
	b := BookingReport{Run: r.bookingRuns.Run, RunTwice: len(r.bookingRuns.Twice)}
	for _, rec := range r.records {
		if rec.booking == "" {
			continue
		}
		ran := r.bookingRuns.Counts[r.cfg.Clients[rec.client].Account+accountSeparator+rec.booking] > 0
		b.Sent++
		if rec.attempts > 1 {
			b.Retried++
		}
		switch {
		case rec.lastAttempt.outcome == answered:
			b.Answered++
			if !ran {
				b.AnsweredNotRun++
			}
		case rec.outcomeUnknown:
			b.OutcomeUnknown++
		case rec.lastAttempt.outcome == rejected && !rec.mayHaveRun && ran:
			b.RejectedButRun++
		}
	}
	return b
}

// countBrokenConns counts the connections that broke after the planned stop of
// their entry VM had begun, and all other broken connections.
func (r *run) countBrokenConns() (planned, other int) {
	stopStarts := map[string]time.Time{}
	for _, e := range eventsOfKind(r.events, EventPlannedStop) {
		stopStarts[e.Entry] = e.begin()
	}
	for _, rec := range r.records {
		for _, c := range rec.brokenConns {
			if start, stopped := stopStarts[c.entry]; stopped && !c.at.Before(start) {
				planned++
			} else {
				other++
			}
		}
	}
	return planned, other
}

// zeroViolations returns the result of a promise that allows no violations.
func zeroViolations(name string, violations, checked int) Promise {
	return Promise{Name: name, Kept: violations == 0, Seen: float64(violations), Checked: checked}
}

// promises returns the results of all checks.
func (r *run) promises(report Report) []Promise {
	b := report.Bookings
	mismatchedResponses, withKey, arrived := 0, 0, 0
	for _, rec := range r.records {
		if rec.lastAttempt.outcome == mismatched {
			mismatchedResponses++
		}
	}
	for _, s := range r.servers {
		withKey += s.WithAuthorization
		arrived += s.Arrived
	}
	return []Promise{
		zeroViolations(promiseAtMostOnce, b.RunTwice, r.bookingRuns.Bookings),
		zeroViolations(promiseNotRun, b.RejectedButRun, b.Sent),
		zeroViolations(promiseAnsweredWasRun, b.AnsweredNotRun, b.Answered),
		zeroViolations(promiseOwnResponse, mismatchedResponses, len(r.records)),
		zeroViolations(promisePlannedStop, report.BrokenInPlannedStop, len(eventsOfKind(r.events, EventPlannedStop))),
		r.ratePromise(),
		r.withdrawnKeyPromise(),
		r.noArrivalPromise(promiseDrain, EventDrain, configPropagationBound),
		r.noArrivalPromise(promiseLeaving, EventBackendLeaving, leavingPropagationBound),
		zeroViolations(promiseNoKeyAtBackend, withKey, arrived),
	}
}

// ratePromise reports the largest excess of any account over its rate and burst, in
// requests.
func (r *run) ratePromise() Promise {
	p := Promise{Name: promiseRate}
	for _, a := range r.cfg.Accounts {
		var spans []requestSpan
		for _, rec := range r.records {
			if rec.lastAttempt.outcome == answered && r.cfg.Clients[rec.client].Account == a.Name {
				spans = append(spans, requestSpan{sent: rec.lastAttempt.sent, answered: rec.lastAttempt.ended})
			}
		}
		var changes []Event
		for _, e := range eventsOfKind(r.events, EventRate) {
			if e.Account == a.Name {
				changes = append(changes, e)
			}
		}
		p.Checked += len(spans)
		p.Seen = max(p.Seen, maxExcess(spans, newLimitSchedule(a, changes)))
	}
	p.Kept = p.Seen <= 0
	return p
}

// withdrawnKeyPromise counts the requests that were sent with a withdrawn key after
// the bound and answered nevertheless.
func (r *run) withdrawnKeyPromise() Promise {
	violations, checked := 0, 0
	for _, e := range eventsOfKind(r.events, EventKeyWithdrawn) {
		for _, rec := range r.records {
			if r.cfg.Clients[rec.client].Name != e.Client || rec.lastAttempt.sent.Before(e.inEffectBy()) {
				continue
			}
			checked++
			if rec.lastAttempt.outcome == answered {
				violations++
			}
		}
	}
	return zeroViolations(promiseWithdrawnKey, violations, checked)
}

// noArrivalPromise counts the backend servers that got a request later than the
// bound after an event.
func (r *run) noArrivalPromise(name, kind string, bound time.Duration) Promise {
	violations := 0
	events := eventsOfKind(r.events, kind)
	for _, e := range events {
		for _, s := range r.servers {
			if s.Name == e.Server && time.UnixMilli(s.LastArrivalUnixMS).After(e.end().Add(bound)) {
				violations++
			}
		}
	}
	return zeroViolations(name, violations, len(events))
}
