// Package demand measures what callers ask for, so that VMs can tell each other.
package demand

import (
	"maps"
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
)

// newestWeight is the weight of the newest interval in the measured demand; a
// change shows within three intervals.
const newestWeight = 0.5

// Meter measures the requests of client accounts and the work of services. It is
// not safe for concurrent use.
type Meter struct {
	last     time.Duration
	accounts average
	free     average
	// pinned is the work that only one region may serve, by that region.
	pinned map[string]*average
}

// average is a moving average of counts by name.
type average struct{ counted, rates map[string]float64 }

func newAverage() average {
	return average{make(map[string]float64), make(map[string]float64)}
}

// New returns a meter without measurements.
func New() *Meter {
	return &Meter{accounts: newAverage(), free: newAverage(), pinned: make(map[string]*average)}
}

// Add counts requests of an account that this VM counts for its region.
func (d *Meter) AddRequests(account string, requests int) {
	d.accounts.counted[account] += float64(requests)
}

// Work counts a request with an expected work at a service, in milliseconds of
// a slot. Home is the only
// region that may serve it, empty if there are several.
func (d *Meter) AddWork(service, home string, workMS float64) {
	if home == "" {
		d.free.counted[service] += workMS
		return
	}
	a := d.pinned[home]
	if a == nil {
		fresh := newAverage()
		a = &fresh
		d.pinned[home] = a
	}
	a.counted[service] += workMS
}

// Roll ends an interval.
func (d *Meter) EndInterval(now time.Duration) {
	seconds := (now - d.last).Seconds()
	if seconds <= 0 {
		return
	}
	d.last = now
	slots := 1 / (seconds * float64(time.Second/time.Millisecond))
	d.accounts.roll(1 / seconds)
	d.free.roll(slots)
	for _, a := range d.pinned {
		a.roll(slots)
	}
}

func (a *average) roll(scale float64) { smooth(a.rates, a.counted, scale) }

// Report returns copies of what was measured: requests per second by account,
// and busy slots by service.
func (d *Meter) Report() (accounts map[string]float64, work exchange.Work) {
	work = exchange.Work{Unpinned: maps.Clone(d.free.rates), Pinned: make(map[string]map[string]float64, len(d.pinned))}
	for region, a := range d.pinned {
		work.Pinned[region] = maps.Clone(a.rates)
	}
	return maps.Clone(d.accounts.rates), work
}

// negligible demand is not reported.
const negligible = 0.01

// smooth moves averages towards what was counted; scale turns counts into the
// unit of the averages. A change that is not noise counts in full: when callers
// move, both regions have to tell it at once.
func smooth(average, counted map[string]float64, scale float64) {
	for k, v := range counted {
		if _, ok := average[k]; !ok && v > 0 {
			average[k] = v * scale
		}
	}
	for k, old := range average {
		expected := old / scale
		weight := newestWeight
		if math.Abs(counted[k]-expected) > noise*math.Sqrt(expected) {
			weight = 1
		}
		v := old + (counted[k]*scale-old)*weight
		if v < negligible {
			delete(average, k)
		} else {
			average[k] = v
		}
	}
	clear(counted)
}

// noise is how many standard deviations of a count are taken for chance: of
// requests that come independently, one in 370 intervals exceeds three.
const noise = 3
