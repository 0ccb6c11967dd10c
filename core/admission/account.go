package admission

import (
	"container/list"
	"time"
)

// maxLead is the largest number of requests by which an account may be ahead
// of the virtual time. Fair queueing alone lets an account get ahead by at
// most one.
const maxLead = 8

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	id       uint64
	sequence uint64
	cost     float64
	class    Class
	deadline time.Time
	account  *account
	element  *list.Element
}

// account is the state of one client account: a queue for each class and the
// virtual finish time.
type account struct {
	name   string
	weight float64
	// virtualFinish is the virtual time at which the work admitted so far ends.
	virtualFinish float64
	queues        [numClasses]list.List
	queued        int
	intervals     [numClasses]admissionInterval
	// activeIndex is the index in Scheduler.active; -1 if nothing is queued.
	activeIndex int
}

// admissionInterval measures the time between admissions from a backlogged
// queue.
type admissionInterval struct {
	lastAdmission time.Time
	seconds       float64 // average time between admissions
	samples       int
}

const (
	// intervalGain is the weight of one interval in the average.
	intervalGain = 0.1
	// minIntervalSamples is the number of intervals before the average is used.
	minIntervalSamples = 5
)

// observe records an admission after which the given number of requests is
// still queued. An emptied queue starts over, since its next backlog may have
// another cause.
func (i *admissionInterval) observe(now time.Time, remaining int) {
	if remaining == 0 {
		*i = admissionInterval{}
		return
	}
	if !i.lastAdmission.IsZero() {
		i.samples++
		gain := max(intervalGain, 1/float64(i.samples))
		i.seconds += gain * (now.Sub(i.lastAdmission).Seconds() - i.seconds)
	}
	i.lastAdmission = now
}

// wait returns the expected wait in seconds of the request at the given
// position of the queue, counted from 1; 0 if unknown.
func (i *admissionInterval) wait(position int) float64 {
	if i.samples < minIntervalSamples {
		return 0
	}
	return float64(position) * i.seconds
}

// virtualStart returns the virtual start time of the account's next request.
// It belongs to the account and not to the class, so that both classes draw
// on the same fair share.
func (a *account) virtualStart(virtualTime float64) float64 { return max(virtualTime, a.virtualFinish) }

// head returns the oldest queued request of a class, nil if there is none.
func (a *account) head(c Class) *queuedRequest {
	if e := a.queues[c].Front(); e != nil {
		return e.Value.(*queuedRequest)
	}
	return nil
}

// charge advances the virtual finish time by the cost of a request. The
// guaranteed share of a class can serve an account beyond its fair share. The
// lead that results is bounded, so that the account is not starved after a
// burst.
func (a *account) charge(virtualTime, cost float64) {
	step := cost / a.weight
	a.virtualFinish = min(a.virtualStart(virtualTime)+step, virtualTime+maxLead*step)
}
