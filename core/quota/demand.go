package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand average. Traffic that
	// moves within a second is seen by silence and by waiting requests.
	demandMemory = time.Second
	// rampMemory is the time constant of the average that sees traffic arrive.
	// It counts when it exceeds rampFactor times the slow average by
	// rampArrivals, which chance rarely does.
	rampMemory   = 200 * time.Millisecond
	rampFactor   = 1.25
	rampArrivals = 4
	// A flow that starts after freshSilence is averaged over the time since its
	// start, once it has had freshArrivals and for at least freshTime.
	freshSilence  = 3 * time.Second
	freshArrivals = 4
	freshTime     = 500 * time.Millisecond
	// silentArrivals is the number of mean distances between arrivals after
	// which silence lowers the estimate: with random arrivals, 4 such
	// distances without one have probability 2%.
	silentArrivals = 4
	// maxDemandUnits bounds the demand told to peers.
	maxDemandUnits = 16 * TotalUnits
)

// demand estimates the rate of tokens asked for, as an exponentially weighted
// average that silence cuts off early.
type demand struct {
	average  float64 // tokens per second at last
	ramp     float64 // the same with rampMemory
	last     time.Time
	lastSize float64
	from     time.Time // start of the flow
	arrivals int       // since then
}

func (d *demand) add(now time.Time, n float64) {
	dt := now.Sub(d.last)
	if dt > freshSilence {
		d.from, d.arrivals = now, 0
	}
	d.arrivals++
	d.average = decay(d.average, dt, demandMemory) + n/demandMemory.Seconds()
	d.ramp = decay(d.ramp, dt, rampMemory) + n/rampMemory.Seconds()
	d.last, d.lastSize = now, n
}

func decay(average float64, dt, memory time.Duration) float64 {
	if dt <= 0 || average == 0 {
		return average
	}
	return average * math.Exp(-dt.Seconds()/memory.Seconds())
}

func (d *demand) perSecond(now time.Time) float64 {
	dt := now.Sub(d.last)
	average, ramp := decay(d.average, dt, demandMemory), decay(d.ramp, dt, rampMemory)
	if age := now.Sub(d.from); d.arrivals >= freshArrivals && age < freshSilence {
		average /= 1 - math.Exp(-max(age, freshTime).Seconds()/demandMemory.Seconds())
	}
	if ramp > rampFactor*average+rampArrivals*d.lastSize/rampMemory.Seconds() {
		average = ramp
	}
	if silence := dt.Seconds(); silence > 0 {
		average = min(average, silentArrivals*d.lastSize/silence)
	}
	return average
}
