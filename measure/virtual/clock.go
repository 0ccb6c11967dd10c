// Package virtual runs events in virtual time. Two runs with the same events
// call them in the same order.
package virtual

import (
	"container/heap"
	"time"
)

// Epoch is the start of virtual time.
var Epoch = time.Unix(1_700_000_000, 0)

// event is a call at a moment of virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// events orders calls by time, then by the order of their creation.
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

// Clock is a queue of events. It has no settings.
type Clock struct {
	// Now is the virtual time. Only the clock changes it.
	Now      time.Time
	queue    events
	sequence uint64
}

// New returns a clock at Epoch without events.
func New() *Clock { return &Clock{Now: Epoch} }

// After runs a call after a delay.
func (c *Clock) After(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.Now.Add(d), sequence: c.sequence, run: run})
}

// Every runs a call at a fixed interval, first after the offset.
func (c *Clock) Every(offset, interval time.Duration, run func()) {
	c.After(offset, func() {
		run()
		c.Every(interval, interval, run)
	})
}

// RunUntil runs all events up to a time since Epoch.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && !c.queue[0].at.After(Epoch.Add(end)) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = Epoch.Add(end)
}

// RunFor runs all events of the next while.
func (c *Clock) RunFor(d time.Duration) { c.RunUntil(c.Elapsed() + d) }

// Elapsed returns the virtual time since Epoch.
func (c *Clock) Elapsed() time.Duration { return c.Now.Sub(Epoch) }
