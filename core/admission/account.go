package admission

import (
	"container/list"
	"time"
)

// maxDebt is the number of requests by which an account may be ahead of the
// virtual time. Accounts served by fair queueing alone are ahead by at most one.
const maxDebt = 8

// waiting is a queued request.
type waiting struct {
	id       uint64
	sequence uint64
	cost     float64
	class    Class
	deadline time.Time
	account  *account
	element  *list.Element
}

// account is the state of one client account: its queues, one per class, and
// its virtual finish time.
type account struct {
	name   string
	weight float64
	// finish is the virtual time at which the work admitted so far ends.
	finish float64
	queues [classes]list.List
	length int
	drains [classes]drain
	// active is the index in Scheduler.active, -1 if nothing is queued.
	active int
}

// drain measures how fast a backlogged queue is served.
type drain struct {
	last     time.Time
	interval float64 // seconds between admissions, averaged
	samples  int
}

const (
	// drainGain weighs one interval in the average.
	drainGain = 0.1
	// minDrainSamples is the number of intervals before the average is used.
	minDrainSamples = 5
)

// admitted counts an admission; left is the number still queued. An emptied queue
// starts over: its next backlog may have another cause.
func (d *drain) admitted(now time.Time, left int) {
	if left == 0 {
		*d = drain{}
		return
	}
	if !d.last.IsZero() {
		d.samples++
		gain := max(drainGain, 1/float64(d.samples))
		d.interval += gain * (now.Sub(d.last).Seconds() - d.interval)
	}
	d.last = now
}

// wait returns the expected wait of the k-th request in seconds, 0 if unknown.
func (d *drain) wait(k int) float64 {
	if d.samples < minDrainSamples {
		return 0
	}
	return float64(k) * d.interval
}

// start is the virtual start time of the account's next request. It belongs to
// the account, not to the class, so that both classes draw on one fair share.
func (a *account) start(virtual float64) float64 { return max(virtual, a.finish) }

// head returns the oldest request of a class, nil if there is none.
func (a *account) head(c Class) *waiting {
	if e := a.queues[c].Front(); e != nil {
		return e.Value.(*waiting)
	}
	return nil
}

// charge advances the virtual finish time by a request's cost. The guaranteed
// part of a class can serve an account beyond its fair share; the debt from that
// is bounded, so that the account is not starved after a burst.
func (a *account) charge(virtual, cost float64) {
	step := cost / a.weight
	a.finish = min(a.start(virtual)+step, virtual+maxDebt*step)
}
