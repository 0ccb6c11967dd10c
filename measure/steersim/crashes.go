package steersim

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/measure"
)

const (
	// crashAfter is how long a server runs a request that crashes it, restartTime how long
	// it is down then.
	crashAfter  = 60 * time.Millisecond
	restartTime = 4 * time.Second
	// crashInterval is the time between two requests that crash servers, crashesFrom when
	// the first one comes, and crashRunDuration how long a run takes.
	crashInterval    = 400 * time.Millisecond
	crashesFrom      = 5 * time.Second
	crashRunDuration = 40 * time.Second
	// crashNotice and maxCrashRetries are the users' rule: later than crashNotice after the
	// third crash, a request may reach servers so often.
	crashNotice     = 3 * time.Second
	maxCrashRetries = 3
	// probeInterval is the interval at which VMs probe suspended servers.
	probeInterval = 250 * time.Millisecond
	// trialClaimTime is how long a VM waits before it tries a quarantined request.
	trialClaimTime = 150 * time.Millisecond
	accountCount   = 8
)

// crashMemory is what VMs remember of requests that crash servers.
type crashMemory int

const (
	// sharedMemory is that of the gateway: VMs tell each other at once, and in reports.
	sharedMemory crashMemory = iota
	// reportedMemory is shared in reports and digests alone, ownMemory not at all.
	reportedMemory
	ownMemory
	noMemory
)

var (
	noCrashMemory   = policy{name: "nothing remembered", crashMemory: noMemory}
	ownCrashMemory  = policy{name: "each VM for itself", crashMemory: ownMemory}
	reportedCrashes = policy{name: "reports only", crashMemory: reportedMemory}
)

// crashingRequests are the requests that crash servers.
type crashingRequests struct {
	// arrivals are the times at which they reached servers, from VMs that had run for
	// crashNotice: the users' rule does not count those of others.
	arrivals, crashes []time.Duration
}

// lateArrivals returns how often requests reached servers later than crashNotice after the
// third crash.
func (c *crashingRequests) lateArrivals() (late int) {
	if len(c.crashes) < 3 {
		return 0
	}
	for _, at := range c.arrivals {
		if at > c.crashes[2]+crashNotice {
			late++
		}
	}
	return late
}

// contentOf returns the fingerprints of a request for an object.
func contentOf(object uint64, account int) poison.Fingerprints {
	return poison.Content{Method: "GET", Target: strconv.FormatUint(object, 36), Route: routeName, Account: strconv.Itoa(account)}.Fingerprints()
}

// crash ends the server with all requests in progress.
func (s *server) crash() {
	now := s.clock.Elapsed()
	if now < s.downUntil {
		return
	}
	s.downUntil, s.crashes = now+restartTime, s.crashes+1
	s.crashed()
	ended := slices.Concat(s.inProgress, s.queue)
	s.inProgress, s.queue, s.running, s.recentObjects = nil, nil, 0, nil
	for _, j := range ended {
		j.done(lost)
	}
}

// sendCrashingRequests sends a request that crashes servers at each interval to a random
// VM. With varied, no two have the same body.
func sendCrashingRequests(varied bool) func(w *world) {
	return func(w *world) {
		for _, s := range w.serverList {
			w.onCrash(s)
		}
		i := 0
		w.Every(crashesFrom, crashInterval, func() {
			if i++; w.Elapsed() >= w.workload.duration {
				return
			}
			content := poison.Content{Method: "POST", Target: "bad", Route: routeName, Account: "0"}
			if varied {
				content.Body = fmt.Append(nil, i)
			}
			p := w.fleet.all[w.rnd.IntN(len(w.fleet.all))]
			v := w.vmByName(p.name)
			r := &request{vm: v, object: placement.HashObject(routeName, "bad"), priority: 1, arrivedAt: w.Elapsed(), content: content.Fingerprints(), crashes: true}
			r.placement = placement.Request{
				Service: serviceName, Route: routeName, Object: r.object, Priority: 1, Objective: objective,
				PreferredRegion: v.flow.ChooseRegion(v.region, placement.ObjectFraction(r.object)),
			}
			// It is not counted as arrived: its caller cannot be served.
			r.send()
		})
		for _, vms := range w.vmsByRegion {
			for _, v := range vms {
				w.Every(probeInterval, probeInterval, v.probe)
			}
		}
	}
}

// onCrash records the crashes of a server.
func (w *world) onCrash(s *server) {
	s.crashed = func() { w.crashing.crashes = append(w.crashing.crashes, w.Elapsed()) }
}

// probe probes the suspended servers that are due.
func (v *vm) probe() {
	w := v.world
	c, ok := v.chooser.(coreChooser)
	if !ok {
		return
	}
	for _, due := range c.DueProbes(w.Elapsed()) {
		delay := 2 * w.site.delay(v.region, due.Region)
		if w.Elapsed() >= w.servers[due.ID].downUntil {
			w.After(delay, func() { c.ProbeSucceeded(w.Elapsed(), due.ID, 0) })
		}
	}
}

// suspects returns the requests that the VM suspects, or nil if it remembers none.
func (v *vm) suspects() *poison.Book {
	switch v.world.policy.crashMemory {
	case noMemory:
		return nil
	case ownMemory:
		return v.ownSuspects
	default:
		return v.exchange.Suspects()
	}
}

// readQuarantine reads what the hubs have written to the store.
func (v *vm) readQuarantine() {
	now := v.world.Elapsed()
	for _, p := range v.world.fleet.all {
		if p.killed || !p.exchange.IsHub(now) {
			continue
		}
		for f := range p.exchange.Suspects().Quarantined() {
			if s, ok := p.exchange.Suspects().Share(now, f); ok {
				v.exchange.Suspects().Merge(now, s)
			}
		}
	}
}

// isHeldBack reports whether the request is rejected because it crashes servers, or waits
// for its trial.
func (r *request) isHeldBack() bool {
	w, book := r.vm.world, r.vm.suspects()
	if book == nil || r.trial && r.attempts == 0 {
		return false
	}
	verdict := book.Check(w.Elapsed(), r.content, func([]string) bool { return false })
	switch {
	case verdict.Quarantined:
		w.rejected[r.priority]++
		return true
	case !verdict.Trial:
		return false
	}
	book.ClaimTrial(w.Elapsed(), r.content, r.vm.name)
	r.vm.announce(r.content)
	w.After(trialClaimTime, func() {
		if !book.HoldsTrial(r.content, r.vm.name) {
			w.rejected[r.priority]++
			return
		}
		r.trial = true
		r.send()
	})
	return true
}

// recordOutcome records what the outcome of an attempt that was sent at sentAt says about
// the request.
func (r *request) recordOutcome(s *server, sentAt time.Duration, o outcome) {
	book, now := r.vm.suspects(), r.vm.world.Elapsed()
	switch {
	case book == nil:
	case o == lost:
		book.Crashed(now, r.content, poison.Crash{Server: fmt.Sprint(s.registration.ID, "@", s.crashes), SentAt: sentAt, At: now})
		r.vm.announce(r.content)
	case o == succeeded && book.Survived(now, r.content):
		r.vm.announce(r.content)
	}
}

// announce tells the other VMs at once what this one knows of a request.
func (v *vm) announce(content poison.Fingerprints) {
	w := v.world
	if w.policy.crashMemory != sharedMemory {
		return
	}
	shares := v.exchange.Suspects().Shares(w.Elapsed(), content)
	for _, to := range v.exchange.UrgentTargets(w.Elapsed()) {
		w.fleet.send(v.peer, w.fleet.byName(to), func(to *peer) { to.exchange.Suspects().Merge(w.Elapsed(), shares...) })
	}
}

// crashExperiments measure a request that crashes servers and comes again at any VM, in the
// fleets of today and in a large one.
func crashExperiments() []measure.Experiment {
	var out []measure.Experiment
	for _, s := range append([]site{largeSite}, sites...) {
		for _, varied := range []bool{false, true} {
			name := "steer-crashes-" + s.name
			if varied {
				name += "-varied"
			}
			out = append(out, measure.Experiment{Name: name, Seeds: Seeds, Run: func(seed uint64) []measure.Figure {
				return crashFigures(s, varied, seed)
			}})
		}
	}
	return out
}

func crashFigures(s site, varied bool, seed uint64) []measure.Figure {
	load := workload{requestRate: evenRate(loadFactor), duration: crashRunDuration, injectFault: sendCrashingRequests(varied)}
	coreRun := simulate(s, corePolicy, load, seed)
	var figures []measure.Figure
	for _, baseline := range []policy{noCrashMemory, ownCrashMemory, reportedCrashes} {
		run := simulate(s, baseline, load, seed)
		ended := measure.Value("servers that ended; "+baseline.name, "1", float64(len(coreRun.crashing.crashes))).WithBaseline(float64(len(run.crashing.crashes)))
		late := measure.Value("retries later than 3 s after the third crash; "+baseline.name, "1", float64(coreRun.crashing.lateArrivals())).
			WithBaseline(float64(run.crashing.lateArrivals()))
		if !varied {
			late = late.WithTarget(measure.AtMost, maxCrashRetries)
		}
		inTime := measure.Value("served in time; "+baseline.name, "1", coreRun.servedInTime()).HigherIsBetter().WithBaseline(run.servedInTime())
		for _, f := range []*measure.Figure{&ended, &late, &inTime} {
			f.BaselineName = baseline.name
		}
		figures = append(figures, ended, late, inTime)
	}
	return figures
}
