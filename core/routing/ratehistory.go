package routing

import (
	"time"
)

const (
	// rampStep is the resolution of the request counts.
	rampStep = 100 * time.Millisecond
	// rampWindowSteps is the number of steps in the second over which rates are
	// counted.
	rampWindowSteps = 10
	// rampHistorySteps is the number of steps, 10 s, whose peak rate may be
	// reached again without counting as growth.
	rampHistorySteps = 100
	// rampRingSteps is the size of the ring buffer. It also holds the window
	// that ends rampHistorySteps ago.
	rampRingSteps = rampHistorySteps + 2*rampWindowSteps
)

// rateHistory counts requests in steps of 100 ms and determines the highest
// rate of the last 10 s. It uses a sliding window, because counts per
// calendar second would allow twice the rate across a boundary.
type rateHistory struct {
	counts [rampRingSteps]uint32
	// windowSums holds, for each step, the requests of the second that ended
	// with it.
	windowSums  [rampRingSteps]uint32
	currentStep int64
	started     bool
	windowSum   uint32
	peakSum     uint32
}

// advance moves on to the step of now and updates the window and the peak.
func (h *rateHistory) advance(now time.Time) {
	step := now.UnixNano() / int64(rampStep)
	if !h.started {
		h.started, h.currentStep = true, step
		return
	}
	if step <= h.currentStep {
		return
	}
	if step-h.currentStep >= rampRingSteps {
		*h = rateHistory{started: true, currentStep: step}
		return
	}
	for h.currentStep < step {
		h.currentStep++
		i := h.index(h.currentStep)
		h.windowSum -= h.counts[h.index(h.currentStep-rampWindowSteps)]
		h.counts[i], h.windowSums[i] = 0, h.windowSum
	}
	h.peakSum = 0
	for s := h.currentStep - rampWindowSteps - rampHistorySteps; s <= h.currentStep-rampWindowSteps; s++ {
		h.peakSum = max(h.peakSum, h.windowSums[h.index(s)])
	}
}

func (h *rateHistory) index(step int64) int {
	i := int(step % rampRingSteps)
	if i < 0 {
		i += rampRingSteps
	}
	return i
}

// add counts one request.
func (h *rateHistory) add(now time.Time) {
	h.advance(now)
	i := h.index(h.currentStep)
	h.counts[i]++
	h.windowSum++
	h.windowSums[i] = h.windowSum
}

// lastSecond returns the requests of the last second, including the current
// step.
func (h *rateHistory) lastSecond(now time.Time) float64 {
	h.advance(now)
	return float64(h.windowSum)
}

// peak returns the highest number of requests in any second that ended
// between 11 s and 1 s ago.
func (h *rateHistory) peak(now time.Time) uint32 {
	h.advance(now)
	return h.peakSum
}

// rateAt returns the requests of the second that ended at the given time, 0
// if the history does not reach back to it.
func (h *rateHistory) rateAt(now, end time.Time) uint32 {
	h.advance(now)
	step := min(end.UnixNano()/int64(rampStep), h.currentStep)
	if h.currentStep-step >= rampRingSteps {
		return 0
	}
	return h.windowSums[h.index(step)]
}
