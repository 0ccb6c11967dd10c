package routing

import (
	"time"
)

const (
	// rampStep is the resolution of the ramp's history.
	rampStep = 100 * time.Millisecond
	// rampWindow is the number of steps in the second over which rates are
	// counted.
	rampWindow = 10
	// rampMemory is the number of steps, 10 s, whose peak rate may be repeated
	// without growth.
	rampMemory = 100
	// rampRing also holds the window that ends rampMemory steps ago.
	rampRing = rampMemory + 2*rampWindow
)

// ramp counts requests in steps of 100 ms and tells the highest rate of the
// last 10 s. A sliding window is used because counts of fixed seconds would
// allow twice the rate across a boundary.
type ramp struct {
	counts [rampRing]uint32
	// sums holds, for each step, the requests of the second that ended with it.
	sums    [rampRing]uint32
	step    int64
	started bool
	window  uint32
	highest uint32
}

// advance moves to the step of now and updates the window and the peak.
func (p *ramp) advance(now time.Time) {
	step := now.UnixNano() / int64(rampStep)
	if !p.started {
		p.started, p.step = true, step
		return
	}
	if step <= p.step {
		return
	}
	if step-p.step >= rampRing {
		*p = ramp{started: true, step: step}
		return
	}
	for p.step < step {
		p.step++
		i := p.index(p.step)
		p.window -= p.counts[p.index(p.step-rampWindow)]
		p.counts[i], p.sums[i] = 0, p.window
	}
	p.highest = 0
	for s := p.step - rampWindow - rampMemory; s <= p.step-rampWindow; s++ {
		p.highest = max(p.highest, p.sums[p.index(s)])
	}
}

func (p *ramp) index(step int64) int {
	i := int(step % rampRing)
	if i < 0 {
		i += rampRing
	}
	return i
}

// add counts one request.
func (p *ramp) add(now time.Time) {
	p.advance(now)
	i := p.index(p.step)
	p.counts[i]++
	p.window++
	p.sums[i] = p.window
}

// used returns the requests of the current second, including the current step.
func (p *ramp) used(now time.Time) float64 {
	p.advance(now)
	return float64(p.window)
}

// peak returns the highest number of requests in any second that ended between
// 11 s and 1 s ago.
func (p *ramp) peak(now time.Time) uint32 {
	p.advance(now)
	return p.highest
}

// rateAt returns the requests of the second that ended at t, 0 if that is longer
// ago than the history.
func (p *ramp) rateAt(now, t time.Time) uint32 {
	p.advance(now)
	step := min(t.UnixNano()/int64(rampStep), p.step)
	if p.step-step >= rampRing {
		return 0
	}
	return p.sums[p.index(step)]
}
