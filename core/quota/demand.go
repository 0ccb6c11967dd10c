package quota

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the average of the demand. Faster
	// changes are detected by the time without arrivals and by waiting requests.
	demandTimeConstant = time.Second
	// fastTimeConstant is the time constant of the fast average, which detects
	// traffic that has just started. The fast average is used if it exceeds
	// fastAverageFactor times the slow average by fastAverageArrivals arrivals,
	// which rarely happens by chance.
	fastTimeConstant    = 200 * time.Millisecond
	fastAverageFactor   = 1.25
	fastAverageArrivals = 4
	// A flow that starts after newFlowGap without arrivals is averaged over the
	// time since its start, but at least over newFlowMinAge, once newFlowArrivals
	// have arrived.
	newFlowGap      = 3 * time.Second
	newFlowArrivals = 4
	newFlowMinAge   = 500 * time.Millisecond
	// silenceIntervals is the number of mean intervals between arrivals after
	// which the lack of arrivals lowers the estimate. With random arrivals, 4
	// mean intervals without an arrival have a probability of 2%.
	silenceIntervals = 4
	// maxDemandUnits bounds the demand reported to peers.
	maxDemandUnits = 16 * TotalUnits
)

// demandEstimate estimates the requested tokens per second. It is an
// exponentially weighted average that falls faster when no requests arrive.
type demandEstimate struct {
	average       float64 // tokens per second at lastArrivalAt
	fastAverage   float64 // the same with fastTimeConstant
	lastArrivalAt time.Time
	lastTokens    float64
	flowStartedAt time.Time
	arrivals      int // since flowStartedAt
}

func (d *demandEstimate) add(now time.Time, n float64) {
	elapsed := now.Sub(d.lastArrivalAt)
	if elapsed > newFlowGap {
		d.flowStartedAt, d.arrivals = now, 0
	}
	d.arrivals++
	d.average = decay(d.average, elapsed, demandTimeConstant) + n/demandTimeConstant.Seconds()
	d.fastAverage = decay(d.fastAverage, elapsed, fastTimeConstant) + n/fastTimeConstant.Seconds()
	d.lastArrivalAt, d.lastTokens = now, n
}

func decay(average float64, elapsed, timeConstant time.Duration) float64 {
	if elapsed <= 0 || average == 0 {
		return average
	}
	return average * math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

func (d *demandEstimate) perSecond(now time.Time) float64 {
	elapsed := now.Sub(d.lastArrivalAt)
	average, fastAverage := decay(d.average, elapsed, demandTimeConstant), decay(d.fastAverage, elapsed, fastTimeConstant)
	if age := now.Sub(d.flowStartedAt); d.arrivals >= newFlowArrivals && age < newFlowGap {
		average /= 1 - math.Exp(-max(age, newFlowMinAge).Seconds()/demandTimeConstant.Seconds())
	}
	if fastAverage > fastAverageFactor*average+fastAverageArrivals*d.lastTokens/fastTimeConstant.Seconds() {
		average = fastAverage
	}
	if silence := elapsed.Seconds(); silence > 0 {
		average = min(average, silenceIntervals*d.lastTokens/silence)
	}
	return average
}
