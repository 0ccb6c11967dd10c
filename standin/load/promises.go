package load

import "time"

// Names of the promises.
const (
	promiseTwice     = "booking run at most once"
	promiseNotRun    = "'not run' is true"
	promiseRan       = "answered booking was run"
	promiseOwn       = "answer belongs to its request"
	promiseCut       = "planned stop cuts no request"
	promiseRate      = "account within burst + rate x time"
	promiseKey       = "withdrawn key ends within 5 s"
	promiseDrain     = "drained server gets no work after 5 s"
	promiseLeaving   = "leaving server gets no work after 3 s"
	promiseNoKeySeen = "no backend server sees a key"
)

const accountSeparator = "/"

func (r *run) bookings() BookingReport {
	b := BookingReport{Run: r.runs.Run, RunTwice: len(r.runs.Twice)}
	for _, rec := range r.records {
		if rec.booking == "" {
			continue
		}
		ran := r.runs.Counts[r.cfg.Clients[rec.client].Account+accountSeparator+rec.booking] > 0
		b.Sent++
		if rec.attempts > 1 {
			b.Retried++
		}
		switch {
		case rec.last.outcome == answered:
			b.Answered++
			if !ran {
				b.AnsweredNotRun++
			}
		case rec.unknown:
			b.OutcomeUnknown++
		case rec.last.outcome == refused && !rec.mayHaveRun && ran:
			b.RejectedButRun++
		}
	}
	return b
}

// cuts counts broken connections by whether the entry VM was in a planned stop.
func (r *run) cuts() (planned, other int) {
	stops := map[string]time.Time{}
	for _, e := range ofKind(r.events, EventPlannedStop) {
		stops[e.Entry] = e.begin()
	}
	for _, rec := range r.records {
		for _, c := range rec.cuts {
			if begun, stopped := stops[c.entry]; stopped && !c.at.Before(begun) {
				planned++
			} else {
				other++
			}
		}
	}
	return planned, other
}

// none is a promise that allows no violation.
func none(name string, violations, checked int) Promise {
	return Promise{Name: name, Kept: violations == 0, Seen: float64(violations), Checked: checked}
}

func (r *run) promises(report Report) []Promise {
	b := report.Bookings
	wrongAnswers, withKey, arrived := 0, 0, 0
	for _, rec := range r.records {
		if rec.last.outcome == wrong {
			wrongAnswers++
		}
	}
	for _, s := range r.servers {
		withKey += s.WithAuthorization
		arrived += s.Arrived
	}
	return []Promise{
		none(promiseTwice, b.RunTwice, r.runs.Bookings),
		none(promiseNotRun, b.RejectedButRun, b.Sent),
		none(promiseRan, b.AnsweredNotRun, b.Answered),
		none(promiseOwn, wrongAnswers, len(r.records)),
		none(promiseCut, report.BrokenInPlannedStop, len(ofKind(r.events, EventPlannedStop))),
		r.ratePromise(),
		r.keyPromise(),
		r.arrivalPromise(promiseDrain, EventDrain, configEffect),
		r.arrivalPromise(promiseLeaving, EventBackendLeaving, leavingEffect),
		none(promiseNoKeySeen, withKey, arrived),
	}
}

// ratePromise shows the worst excess of any account in requests.
func (r *run) ratePromise() Promise {
	p := Promise{Name: promiseRate}
	for _, a := range r.cfg.Accounts {
		var spans []span
		for _, rec := range r.records {
			if rec.last.outcome == answered && r.cfg.Clients[rec.client].Account == a.Name {
				spans = append(spans, span{sent: rec.last.sent, answered: rec.last.ended})
			}
		}
		var changes []Event
		for _, e := range ofKind(r.events, EventRate) {
			if e.Account == a.Name {
				changes = append(changes, e)
			}
		}
		p.Checked += len(spans)
		p.Seen = max(p.Seen, worstExcess(spans, newEnvelope(a, changes)))
	}
	p.Kept = p.Seen <= 0
	return p
}

// keyPromise counts answers to requests that were sent with a withdrawn key
// after it must have stopped working.
func (r *run) keyPromise() Promise {
	violations, checked := 0, 0
	for _, e := range ofKind(r.events, EventKeyWithdrawn) {
		for _, rec := range r.records {
			if r.cfg.Clients[rec.client].Name != e.Client || rec.last.sent.Before(e.inEffectAt()) {
				continue
			}
			checked++
			if rec.last.outcome == answered {
				violations++
			}
		}
	}
	return none(promiseKey, violations, checked)
}

// arrivalPromise counts backend servers that got work after an event took
// effect.
func (r *run) arrivalPromise(name, kind string, effect time.Duration) Promise {
	violations := 0
	events := ofKind(r.events, kind)
	for _, e := range events {
		for _, s := range r.servers {
			if s.Name == e.Server && time.UnixMilli(s.LastArrivalUnixMS).After(e.end().Add(effect)) {
				violations++
			}
		}
	}
	return none(name, violations, len(events))
}
