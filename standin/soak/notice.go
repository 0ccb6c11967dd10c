package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// serverPause is how long a server that asks for a pause wants no requests. Between
	// pauseNotice and its end, it gets at most maxPausedRequests from a gateway.
	serverPause       = 2 * time.Second
	pauseNotice       = 500 * time.Millisecond
	maxPausedRequests = 2
)

// pausePlan returns the times at which servers ask for pauses.
func pausePlan(seed uint64, faultPeriod time.Duration, serverCount int) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x503))
	var plan []Event
	for start := time.Second + time.Duration(rng.Int64N(int64(3*time.Second))); start < faultPeriod; start += time.Second + time.Duration(rng.Int64N(int64(5*time.Second))) {
		plan = append(plan, Event{
			Start: start, Duration: 500*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Second))), Kind: ServerPauses, Target: rng.IntN(serverCount),
		})
	}
	return plan
}

// pauseLog records the requests that reach servers which ask for pauses.
type pauseLog struct {
	mu sync.Mutex
	// arrivals are by server. rejected ones were answered with the pause.
	arrivals map[string][]pauseArrival
}

type pauseArrival struct {
	at       time.Time
	id       string
	rejected bool
}

func (l *pauseLog) add(server, id string, rejected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[server] = append(l.arrivals[server], pauseArrival{time.Now(), id, rejected})
}

// rejectWithPause answers that the request was not run, and that the server wants none for
// serverPause.
func rejectWithPause(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprint(serverPause.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// checkPauses checks that servers get no requests from the gateways that they have asked
// for a pause. A request that was held back, and whose caller had been answered before it
// reached the server, asks nobody: its gateway no longer awaits the rejection.
func (tb *testbed) checkPauses(sent map[string]outcome, report func(string, ...any)) {
	if tb.pauses == nil {
		return
	}
	for server, arrivals := range tb.pauses.arrivals {
		for i, asked := range arrivals {
			if !asked.rejected || sent[asked.id].finished.Before(asked.at) {
				continue
			}
			gateway, n := sent[asked.id].gateway, 0
			for _, a := range arrivals[i+1:] {
				since := a.at.Sub(asked.at)
				if sent[a.id].gateway == gateway && since > pauseNotice && since < serverPause && !tb.interruptedOrCut(gateway, a.at) {
					n++
				}
			}
			if n > maxPausedRequests {
				report("server %s got %d requests from gateway %s in the pause that it had asked for", server, n, gateway)
			}
		}
	}
}

// checkLeaving checks that a gateway which has passed on a response of a leaving server
// sends it no requests that callers sent later than the drain bound.
func (tb *testbed) checkLeaving(report func(string, ...any)) {
	type pair struct{ gateway, server string }
	toldAt := make(map[pair]time.Time)
	for _, o := range tb.outcomes.list {
		key := pair{o.gateway, o.leaving}
		if at, known := toldAt[key]; o.leaving != "" && (!known || o.finished.Before(at)) {
			toldAt[key] = o.finished
		}
	}
	for _, o := range tb.outcomes.list {
		for _, r := range tb.executions.byID[o.id] {
			at, told := toldAt[pair{o.gateway, r.start}]
			if told && o.sent.After(at.Add(drainBound)) && !tb.interruptedBetween(o.gateway, at, r.at) {
				report("request %s ran on %s, although gateway %s had passed on that the server leaves", o.id, r.start, o.gateway)
			}
		}
	}
}

// interruptedBetween reports whether a gateway was stopped, killed, suspended or cut between
// two times. A cut gateway's requests are those of a relay.
func (tb *testbed) interruptedBetween(gateway string, from, to time.Time) bool {
	for _, f := range tb.faults {
		switch f.kind {
		case Kill, Pause, PlannedStop, GatewayCut:
			if tb.gateways[f.target].ip+":8206" != gateway {
				continue
			}
		case KillAll:
		default:
			continue
		}
		if f.start.Before(to) && (f.end.IsZero() || f.end.Add(crashNotice).After(from)) {
			return true
		}
	}
	return false
}
