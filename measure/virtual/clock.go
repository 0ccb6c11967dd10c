// Package virtual provides what the simulations share: a clock of virtual time
// with a queue of events, a model of the deployments, and a table service with
// injected faults. Runs with the same events execute them in the same order.
package virtual

import (
	"container/heap"
	"time"
)

// Epoch is the time at which virtual time starts.
var Epoch = time.Unix(1_700_000_000, 0)

// event is a function that is called at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	call     func()
}

// events is a heap ordered by time and then by creation.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Clock is a virtual clock with a queue of events.
type Clock struct {
	// Now is the current virtual time. Only the clock sets it.
	Now      time.Time
	queue    events
	sequence uint64
}

// New returns a clock that stands at Epoch and has no events.
func New() *Clock { return &Clock{Now: Epoch} }

// After schedules a call after a delay.
func (c *Clock) After(d time.Duration, call func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.Now.Add(d), sequence: c.sequence, call: call})
}

// Every schedules a call at a fixed interval, first after the offset.
func (c *Clock) Every(offset, interval time.Duration, call func()) {
	c.After(offset, func() {
		call()
		c.Every(interval, interval, call)
	})
}

// RunUntil runs all events up to a time, which is given as the time since Epoch,
// and sets the clock to it.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && !c.queue[0].at.After(Epoch.Add(end)) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.call()
	}
	c.Now = Epoch.Add(end)
}

// RunFor runs all events within a duration from now.
func (c *Clock) RunFor(d time.Duration) { c.RunUntil(c.Elapsed() + d) }

// Elapsed returns the time since Epoch.
func (c *Clock) Elapsed() time.Duration { return c.Now.Sub(Epoch) }
