package fleetsim

import (
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
)

const (
	// load is the part of its rate that an account within its rate sends, and
	// flood what another one sends, so that all of its tokens are used.
	load  = 0.8
	flood = 2
	// callerPatience is the time after which a caller of a silent VM uses the
	// next one.
	callerPatience = time.Second
	// rounding is what the rounding of floating-point sums can make.
	rounding = 1e-6
)

// account is a client account whose callers are spread evenly over the VMs.
type account struct {
	limit quota.Limit
	load  float64
	due   bucket // a request beyond it is not within the rate
	bound bucket // reference bucket over all VMs: never below 0
	tally tally
}

// tally counts requests within the rate and the wrongful refusals among them.
type tally struct{ due, refused, baseRefused float64 }

func (t tally) minus(o tally) tally {
	return tally{t.due - o.due, t.refused - o.refused, t.baseRefused - o.baseRefused}
}

// request is one request of an account.
type request struct {
	account int
	at      time.Time
	due     bool
	waits   bool // Take was called
}

// newAccounts returns a large, a middle and a small account within their rates,
// and one that exceeds its rate.
func newAccounts() []*account {
	var out []*account
	for _, a := range []struct {
		name              string
		rate, burst, load float64
	}{{"a", 600, 300, load}, {"b", 100, 100, load}, {"c", 30, 30, load}, {"d", 100, 100, flood}} {
		out = append(out, &account{
			limit: quota.Limit{Name: quota.AccountLimit(a.name), RatePerSecond: a.rate, Burst: a.burst}, load: a.load,
			due: newBucket(a.rate, a.burst), bound: newBucket(a.rate, a.burst),
		})
	}
	return out
}

// bucket is a plain token bucket, full at the start.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, level: burst} }

// take takes one token unless the level would fall below the floor.
func (b *bucket) take(now time.Time, floor float64) bool {
	if !b.at.IsZero() {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level-1 < floor {
		return false
	}
	b.level--
	return true
}

// arrive plans the next request of an account.
func (w *world) arrive(i int) {
	a := w.accounts[i]
	gap := w.rnd.ExpFloat64() / (a.limit.RatePerSecond * a.load)
	w.After(time.Duration(gap*float64(time.Second)), func() {
		r := &request{account: i, at: w.Now, due: a.load <= 1 && a.due.take(w.Now, 0)}
		if r.due {
			a.tally.due++
		}
		w.route(w.rnd.IntN(len(w.vms)), r)
		w.arrive(i)
	})
}

// route sends a request to a VM. A caller of a VM that refuses the connection
// uses the next one at once, of a silent one after callerPatience. A VM that
// resumes finds the requests whose callers still wait.
func (w *world) route(at int, r *request) {
	v := w.vms[at]
	next := (at + 1) % len(w.vms)
	switch {
	case v.dead:
		w.route(next, r)
	case v.paused:
		taken, gone := false, false
		v.requests = append(v.requests, func() {
			taken = !gone
			if taken {
				r.at = w.Now
				w.route(at, r)
			}
		})
		w.After(callerPatience, func() {
			gone = !taken
			if gone {
				r.at = w.Now
				w.route(next, r)
			}
		})
	default:
		w.baseline(v, r)
		if !w.try(v, r) {
			v.waiting = append(v.waiting, r)
			w.After(quota.MaxWait, func() { w.do(v, func() { w.retry(v) }) })
		}
	}
}

// try tells whether the request is decided.
func (w *world) try(v *vm, r *request) bool {
	if !v.fleet.LeaseValid(w.Now) {
		w.refuse(r)
		return true
	}
	a := w.accounts[r.account]
	take := v.quota.Take
	if r.waits {
		take = v.quota.Retry
	}
	r.waits = true
	d := take(w.Now, a.limit.Name, 1)
	w.post(v, d.Sends)
	switch {
	case d.OK:
		a.bound.take(w.Now, negligible)
		w.overshoot = max(w.overshoot, -a.bound.level)
	case !d.Wait || w.Now.Sub(r.at) >= quota.MaxWait:
		w.refuse(r)
	default:
		w.wake(v, d.WaitFor)
		return false
	}
	return true
}

// wake plans a retry, unless one is planned that comes first.
func (w *world) wake(v *vm, after time.Duration) {
	at := w.Now.Add(after)
	if after >= quota.MaxWait || v.wakeAt.After(w.Now) && !at.Before(v.wakeAt) {
		return
	}
	v.wakeAt = at
	w.After(after, func() { w.do(v, func() { w.retry(v) }) })
}

// negligible lets the reference bucket count every admission.
const negligible = -1e18

func (w *world) refuse(r *request) {
	if r.due {
		w.accounts[r.account].tally.refused++
	}
}

// retry tries the waiting requests again, in order.
func (w *world) retry(v *vm) {
	waiting := v.waiting
	v.waiting = nil
	for _, r := range waiting {
		if !w.try(v, r) {
			v.waiting = append(v.waiting, r)
		}
	}
}

// baseline decides the request by an equal static share for each VM. It may
// wait for the share's own tokens as long as for transfers.
func (w *world) baseline(v *vm, r *request) {
	b := &v.static[r.account]
	if !b.take(w.Now, -b.rate*quota.MaxWait.Seconds()) && r.due {
		w.accounts[r.account].tally.baseRefused++
	}
}

func (w *world) total() tally {
	var sum tally
	for _, a := range w.accounts {
		sum.due += a.tally.due
		sum.refused += a.tally.refused
		sum.baseRefused += a.tally.baseRefused
	}
	return sum
}

// overshootTokens leaves out what rounding can make.
func (w *world) overshootTokens() float64 {
	if w.overshoot < rounding {
		return 0
	}
	return w.overshoot
}
