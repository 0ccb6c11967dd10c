package trafficsim

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

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

// clock runs events in virtual time.
type clock struct {
	now      time.Time
	queue    events
	sequence uint64
}

func newClock() *clock { return &clock{now: epoch} }

// after runs a call after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.sequence, run: run})
}

// every runs a call at a fixed interval, first after the offset.
func (c *clock) every(offset, interval time.Duration, run func()) {
	c.after(offset, func() {
		run()
		c.every(interval, interval, run)
	})
}

// runUntil runs all events up to a time since the start.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && !c.queue[0].at.After(epoch.Add(end)) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = epoch.Add(end)
}
