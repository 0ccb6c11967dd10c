package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand average. It is short
	// because traffic may move between VMs within a second.
	demandMemory = 500 * time.Millisecond
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
	last     time.Time
	lastSize float64
}

func (d *demand) add(now time.Time, n float64) {
	d.average = d.decayed(now) + n/demandMemory.Seconds()
	d.last, d.lastSize = now, n
}

func (d *demand) decayed(now time.Time) float64 {
	dt := now.Sub(d.last)
	if dt <= 0 || d.average == 0 {
		return d.average
	}
	return d.average * math.Exp(-dt.Seconds()/demandMemory.Seconds())
}

func (d *demand) perSecond(now time.Time) float64 {
	average := d.decayed(now)
	if silence := now.Sub(d.last).Seconds(); silence > 0 {
		average = min(average, silentArrivals*d.lastSize/silence)
	}
	return average
}
