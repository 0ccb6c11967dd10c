package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// crashMarker is part of the target of a request that crashes the servers which run it.
	crashMarker = "/crash-"
	// crashInterval is the time between two such requests, and serverRestartTime how long a
	// server is down.
	crashInterval     = 150 * time.Millisecond
	serverRestartTime = 1200 * time.Millisecond
	// From crashNotice after the third crash, gateways that were not interrupted for
	// crashNotice send a request to servers at most maxCrashRetries times. The time
	// includes the store's faults, during which restarted gateways learn of the request
	// from others alone.
	crashNotice     = 3 * time.Second
	maxCrashRetries = 3
)

// crashPlan returns the times at which requests that crash servers come.
func crashPlan(seed uint64, faultPeriod time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 0xdead))
	var plan []Event
	for start := time.Second + time.Duration(rng.Int64N(int64(4*time.Second))); start < faultPeriod; start += 3*time.Second + time.Duration(rng.Int64N(int64(6*time.Second))) {
		plan = append(plan, Event{Start: start, Duration: 2*time.Second + time.Duration(rng.Int64N(int64(7*time.Second))), Kind: CrashingRequests, Target: rng.IntN(2)})
	}
	return plan
}

// sendCrashingRequests sends one request, a lookup or a booking, again and again to random
// gateways.
func (tb *testbed) sendCrashingRequests(e Event) {
	target := fmt.Sprintf("/look%s%d", crashMarker, e.Start.Milliseconds())
	if e.Target == 1 {
		target = fmt.Sprintf("/book%s%d", crashMarker, e.Start.Milliseconds())
	}
	c := newCaller(100+int(e.Start.Milliseconds()), "north", "free-1", "free", nil, tb.outcomes)
	defer c.client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(tb.options.Seed, uint64(e.Start)))
	for n, end := 0, time.Now().Add(e.Duration); time.Now().Before(end); n++ {
		c.send(n, tb.gateways[rng.IntN(len(tb.gateways))].ip+":8206", e.Target == 1, target, "")
		time.Sleep(crashInterval)
	}
}

// crash ends the server as its process would end: its connections break, and new ones are
// refused until it has started again. Its registration stays.
func (b *backendServer) crash() {
	if !b.down.CompareAndSwap(false, true) {
		return
	}
	b.proxy.stopListening()
	time.AfterFunc(serverRestartTime, func() {
		b.born.Add(1)
		if b.registered.Load() {
			if err := b.register("ready"); err != nil {
				panic(err)
			}
		}
		b.proxy.listenAgain()
		b.down.Store(false)
	})
}

// stopListening closes all connections and refuses new ones.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// listenAgain accepts connections again.
func (p *proxy) listenAgain() {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", p.address)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.acceptLoop(listener)
}

// checkCrashes checks that requests that crash servers are kept away from them.
func (tb *testbed) checkCrashes(sent map[string]outcome, report func(string, ...any)) {
	runs := make(map[string][]run)
	for id, executions := range tb.executions.byID {
		for _, r := range executions {
			if strings.Contains(r.path, crashMarker) {
				runs[r.path] = append(runs[r.path], run{r.at, sent[id].gateway})
			}
		}
	}
	for path, list := range runs {
		late, third := 0, thirdTime(list)
		for _, r := range list {
			if !third.IsZero() && r.at.After(third.Add(crashNotice)) && !tb.interruptedOrCut(r.gateway, r.at) {
				late++
			}
		}
		if late > maxCrashRetries && !tb.lostQuarantine() {
			report("request %s crashed %d servers, and reached servers %d times more than %v after the third crash", path, len(list), late, crashNotice)
		}
	}
	for _, o := range sent {
		if strings.Contains(o.path, crashMarker) && o.status == http.StatusOK {
			report("request %s, which crashes servers, was answered with 200", o.id)
		}
	}
}

// run is a request that a server ran for a gateway.
type run struct {
	at      time.Time
	gateway string
}

// thirdTime returns when the third run was; zero if there are fewer.
func thirdTime(list []run) time.Time {
	var times []time.Time
	for _, r := range list {
		times = append(times, r.at)
	}
	if len(times) < 3 {
		return time.Time{}
	}
	_, _ = busiestWindow(times, time.Hour)
	return times[2]
}

// interruptedOrCut reports whether a gateway was interrupted, or cut from servers, around a
// time.
func (tb *testbed) interruptedOrCut(gateway string, at time.Time) bool {
	for _, f := range tb.faults {
		if f.kind == GatewayCut && tb.gateways[f.target].ip+":8206" == gateway && at.After(f.start) && (f.end.IsZero() || at.Before(f.end.Add(crashNotice))) {
			return true
		}
	}
	return tb.interrupted(gateway, at)
}

// lostQuarantine reports whether all gateways were killed around a fault of the store, so
// that nobody knows of the requests.
func (tb *testbed) lostQuarantine() bool {
	for _, f := range tb.faults {
		if f.kind == KillAll && tb.lastStoreFault(f.start.Add(-storeFaultMargin), f.start.Add(storeFaultMargin)).After(f.start.Add(-storeFaultMargin)) {
			return true
		}
	}
	return false
}
