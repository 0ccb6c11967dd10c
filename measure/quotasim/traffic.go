package quotasim

import (
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
)

// handleArrival sends a request of the account to a VM and schedules the next one.
func (sim *simulation) handleArrival(i int) {
	a := sim.accounts[i]
	interval := sim.rng.ExpFloat64() / (a.limit.RatePerSecond * a.load)
	sim.push(event{at: sim.now + time.Duration(interval*float64(time.Second)), kind: arrival, from: i})
	r := request{account: i, arrivedAt: sim.now, withinRate: a.withinRate.take(sim.now, 0)}
	vmIndex := sim.pickVM(i)
	for sim.vms[vmIndex].killed {
		vmIndex = (vmIndex + 1) % len(sim.vms)
	}
	if sim.measuring {
		a.tally.arrived++
		if r.withinRate {
			a.tally.withinRate++
		}
	}
	sim.baseline(vmIndex, r)
	if !sim.decide(vmIndex, &r) {
		sim.vms[vmIndex].waiting = append(sim.vms[vmIndex].waiting, r)
		sim.push(event{at: sim.now + quota.MaxWait, kind: retryDue, vm: vmIndex})
	}
}

// decide takes the tokens of the request, and admits or rejects it. It reports false
// if the request has to wait for tokens.
func (sim *simulation) decide(vmIndex int, r *request) bool {
	a := sim.accounts[r.account]
	timedOut := sim.now-r.arrivedAt >= quota.MaxWait
	if !r.accountTokenTaken {
		accountDecision := sim.take(vmIndex, a.limit.Name, r.waiting)
		r.waiting = true
		if !accountDecision.OK {
			return sim.rejectUnlessWaiting(r, accountDecision.Wait && !timedOut)
		}
		r.accountTokenTaken, r.waiting = true, false
	}
	region := quota.RegionLimit(sim.vms[vmIndex].region)
	regionDecision := sim.take(vmIndex, region, r.waiting)
	r.waiting = true
	if !regionDecision.OK {
		if sim.rejectUnlessWaiting(r, regionDecision.Wait && !timedOut) {
			sim.vms[vmIndex].manager.Refund(sim.wallTime(), a.limit.Name, 1)
			return true
		}
		return false
	}
	sim.recordAdmission(&a.reference)
	sim.recordAdmission(sim.caps[region])
	if sim.measuring {
		a.tally.admitted++
	}
	return true
}

// recordAdmission checks an admission against a reference bucket for all VMs. The
// floor of -1e18 makes the bucket count every admission.
func (sim *simulation) recordAdmission(b *bucket) {
	b.take(sim.now, -1e18)
	sim.overshoot = max(sim.overshoot, -b.tokens)
}

func (sim *simulation) take(vmIndex int, limit string, retry bool) quota.Decision {
	take := sim.vms[vmIndex].manager.Take
	if retry {
		take = sim.vms[vmIndex].manager.Retry
	}
	decision := take(sim.wallTime(), limit, 1)
	sim.send(vmIndex, decision.Sends)
	if v := sim.vms[vmIndex]; decision.Wait && decision.WaitFor < quota.MaxWait && (v.retryAt <= sim.now || sim.now+decision.WaitFor < v.retryAt) {
		v.retryAt = sim.now + decision.WaitFor
		sim.push(event{at: v.retryAt, kind: retryDue, vm: vmIndex})
	}
	return decision
}

// rejectUnlessWaiting rejects the request unless it continues to wait. It reports
// whether the request was rejected.
func (sim *simulation) rejectUnlessWaiting(r *request, wait bool) bool {
	if wait {
		return false
	}
	if sim.measuring && r.withinRate {
		sim.accounts[r.account].tally.wrongfullyRejected++
	}
	return true
}

// retryWaiting decides the waiting requests of the VM again, in order. If all is
// false, it skips the requests of an account after the first one that still has to
// wait, except those that have waited for quota.MaxWait.
func (sim *simulation) retryWaiting(vmIndex int, all bool) {
	v := sim.vms[vmIndex]
	if len(v.waiting) == 0 {
		return
	}
	waiting := v.waiting
	v.waiting = nil
	stillWaiting := map[int]bool{}
	for i := range waiting {
		timedOut := sim.now-waiting[i].arrivedAt >= quota.MaxWait
		if (stillWaiting[waiting[i].account] && !all && !timedOut) || !sim.decide(vmIndex, &waiting[i]) {
			stillWaiting[waiting[i].account] = true
			v.waiting = append(v.waiting, waiting[i])
		}
	}
}

// setStaticShares divides the limits evenly among the VMs, for the baseline. A region
// cap is divided among the running VMs of the region.
func (sim *simulation) setStaticShares(members int) {
	inRegion := map[string]int{}
	for _, v := range sim.vms {
		if !v.killed {
			inRegion[quota.RegionLimit(v.region)]++
		}
	}
	for _, v := range sim.vms {
		v.staticShares = map[string]*bucket{}
		for _, l := range sim.limits {
			divisor := float64(members)
			if regionVMs := inRegion[l.Name]; regionVMs > 0 {
				divisor = float64(regionVMs)
			}
			b := bucket{rate: l.RatePerSecond / divisor, burst: l.Burst / divisor, updatedAt: sim.now}
			if members == len(sim.vms) {
				b.tokens = b.burst
			}
			v.staticShares[l.Name] = &b
		}
	}
}

// baseline decides the request by the VM's static shares. A request may wait for
// tokens of the share as long as it may wait for transfers in the system under test.
func (sim *simulation) baseline(vmIndex int, r request) {
	a := sim.accounts[r.account]
	v := sim.vms[vmIndex]
	accountShare, regionShare := v.staticShares[a.limit.Name], v.staticShares[quota.RegionLimit(v.region)]
	ok := accountShare.take(sim.now, -accountShare.rate*quota.MaxWait.Seconds()) && regionShare.take(sim.now, -regionShare.rate*quota.MaxWait.Seconds())
	if !sim.measuring {
		return
	}
	if ok {
		a.tally.baselineAdmitted++
	} else if r.withinRate {
		a.tally.baselineWrongfullyRejected++
	}
}
