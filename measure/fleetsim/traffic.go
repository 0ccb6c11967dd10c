package fleetsim

import (
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
)

const (
	// normalLoad is the load of an account within its rate, relative to the rate.
	// excessLoad is the load of the account that exceeds its rate, so that it uses
	// all of its tokens.
	normalLoad = 0.8
	excessLoad = 2
	// connectTimeout is the time after which a caller gives up on a VM that does
	// not respond and uses the next one.
	connectTimeout = time.Second
	// roundingTolerance is the largest overshoot, in tokens, that may result from
	// rounding of floating-point sums.
	roundingTolerance = 1e-6
)

// account is a client account whose callers are spread evenly over the VMs.
type account struct {
	limit      quota.Limit
	load       float64
	withinRate bucket // requests that it does not admit exceed the rate
	reference  bucket // counts the admissions of all VMs; below 0 it shows an overshoot
	tally      tally
}

// tally counts the requests within the rate, and those of them that were wrongfully
// rejected, by the system and by the baseline.
type tally struct{ withinRate, rejected, baselineRejected float64 }

func (t tally) sub(o tally) tally {
	return tally{t.withinRate - o.withinRate, t.rejected - o.rejected, t.baselineRejected - o.baselineRejected}
}

// request is one request of an account.
type request struct {
	account    int
	arrivedAt  time.Time
	withinRate bool
	waiting    bool // Take was called, so Retry is called from now on
}

// newAccounts returns a large, a medium and a small account within their rates, and
// one account that exceeds its rate.
func newAccounts() []*account {
	var out []*account
	for _, a := range []struct {
		name              string
		rate, burst, load float64
	}{{"a", 600, 300, normalLoad}, {"b", 100, 100, normalLoad}, {"c", 30, 30, normalLoad}, {"d", 100, 100, excessLoad}} {
		out = append(out, &account{
			limit: quota.Limit{Name: quota.AccountLimit(a.name), RatePerSecond: a.rate, Burst: a.burst}, load: a.load,
			withinRate: newBucket(a.rate, a.burst), reference: newBucket(a.rate, a.burst),
		})
	}
	return out
}

// bucket is a simple token bucket that is full at the start.
type bucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, tokens: burst} }

// take takes one token, unless fewer tokens than the floor would remain.
func (b *bucket) take(now time.Time, floor float64) bool {
	if !b.updatedAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens-1 < floor {
		return false
	}
	b.tokens--
	return true
}

// scheduleArrival schedules the next request of an account.
func (sim *simulation) scheduleArrival(i int) {
	a := sim.accounts[i]
	interval := sim.rng.ExpFloat64() / (a.limit.RatePerSecond * a.load)
	sim.After(time.Duration(interval*float64(time.Second)), func() {
		r := &request{account: i, arrivedAt: sim.Now, withinRate: a.load <= 1 && a.withinRate.take(sim.Now, 0)}
		if r.withinRate {
			a.tally.withinRate++
		}
		sim.deliver(sim.rng.IntN(len(sim.vms)), r)
		sim.scheduleArrival(i)
	})
}

// deliver sends a request to a VM. If the VM is down and refuses the connection, the
// caller uses the next VM at once. If the VM is paused, the caller does so after
// connectTimeout. A VM that resumes handles the requests whose callers still wait.
func (sim *simulation) deliver(index int, r *request) {
	v := sim.vms[index]
	next := (index + 1) % len(sim.vms)
	switch {
	case v.down:
		sim.deliver(next, r)
	case v.paused:
		received, timedOut := false, false
		v.pendingRequests = append(v.pendingRequests, func() {
			received = !timedOut
			if received {
				r.arrivedAt = sim.Now
				sim.deliver(index, r)
			}
		})
		sim.After(connectTimeout, func() {
			timedOut = !received
			if timedOut {
				r.arrivedAt = sim.Now
				sim.deliver(next, r)
			}
		})
	default:
		sim.baseline(v, r)
		if !sim.decide(v, r) {
			v.waiting = append(v.waiting, r)
			sim.After(quota.MaxWait, func() { sim.runStep(v, func() { sim.retryWaiting(v) }) })
		}
	}
}

// decide admits or rejects the request. It reports false if the request has to wait
// for tokens.
func (sim *simulation) decide(v *vm, r *request) bool {
	if !v.fleet.LeaseValid(sim.Now) {
		sim.reject(r)
		return true
	}
	a := sim.accounts[r.account]
	take := v.quota.Take
	if r.waiting {
		take = v.quota.Retry
	}
	r.waiting = true
	decision := take(sim.Now, a.limit.Name, 1)
	sim.send(v, decision.Sends)
	switch {
	case decision.OK:
		a.reference.take(sim.Now, unboundedFloor)
		sim.overshoot = max(sim.overshoot, -a.reference.tokens)
	case !decision.Wait || sim.Now.Sub(r.arrivedAt) >= quota.MaxWait:
		sim.reject(r)
	default:
		sim.scheduleRetry(v, decision.WaitFor)
		return false
	}
	return true
}

// scheduleRetry schedules a retry of the waiting requests, unless an earlier one is
// scheduled already.
func (sim *simulation) scheduleRetry(v *vm, after time.Duration) {
	retryAt := sim.Now.Add(after)
	if after >= quota.MaxWait || v.retryAt.After(sim.Now) && !retryAt.Before(v.retryAt) {
		return
	}
	v.retryAt = retryAt
	sim.After(after, func() { sim.runStep(v, func() { sim.retryWaiting(v) }) })
}

// unboundedFloor makes a bucket count every admission, however few tokens it has.
const unboundedFloor = -1e18

func (sim *simulation) reject(r *request) {
	if r.withinRate {
		sim.accounts[r.account].tally.rejected++
	}
}

// retryWaiting decides the waiting requests again, in order.
func (sim *simulation) retryWaiting(v *vm) {
	waiting := v.waiting
	v.waiting = nil
	for _, r := range waiting {
		if !sim.decide(v, r) {
			v.waiting = append(v.waiting, r)
		}
	}
}

// baseline decides the request by a static share of the limit that is the same for
// each VM. A request may wait for tokens of the share as long as it may wait for
// transfers in the system under test.
func (sim *simulation) baseline(v *vm, r *request) {
	share := &v.staticShares[r.account]
	if !share.take(sim.Now, -share.rate*quota.MaxWait.Seconds()) && r.withinRate {
		sim.accounts[r.account].tally.baselineRejected++
	}
}

func (sim *simulation) totalTally() tally {
	var sum tally
	for _, a := range sim.accounts {
		sum.withinRate += a.tally.withinRate
		sum.rejected += a.tally.rejected
		sum.baselineRejected += a.tally.baselineRejected
	}
	return sum
}

// overshootTokens returns the overshoot, or 0 if it may result from rounding.
func (sim *simulation) overshootTokens() float64 {
	if sim.overshoot < roundingTolerance {
		return 0
	}
	return sim.overshoot
}
