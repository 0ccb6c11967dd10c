package gateway

import (
	"maps"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
)

// demandWeight is the weight of the newest interval in the measured demand; a
// change shows within three intervals.
const demandWeight = 0.5

// demandMeter measures what callers ask for.
type demandMeter struct {
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

func newDemandMeter() *demandMeter {
	return &demandMeter{accounts: newAverage(), free: newAverage(), pinned: make(map[string]*average)}
}

// add counts requests of an account that this VM counts for its region.
func (d *demandMeter) add(account string, requests int) {
	d.accounts.counted[account] += float64(requests)
}

// work counts a request with an expected work at a service. Home is the only
// region that may serve it, empty if there are several.
func (d *demandMeter) work(service, home string, workMS float64) {
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

// roll ends an interval.
func (d *demandMeter) roll(now time.Duration) {
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

// report returns copies of what was measured.
func (d *demandMeter) report() (accounts map[string]float64, work exchange.Work) {
	work = exchange.Work{Free: maps.Clone(d.free.rates), Pinned: make(map[string]map[string]float64, len(d.pinned))}
	for region, a := range d.pinned {
		work.Pinned[region] = maps.Clone(a.rates)
	}
	return maps.Clone(d.accounts.rates), work
}

// negligible demand is not reported.
const negligible = 0.01

func smooth(average, counted map[string]float64, scale float64) {
	for k, v := range counted {
		if _, ok := average[k]; !ok && v > 0 {
			average[k] = v * scale
		}
	}
	for k, old := range average {
		v := old + (counted[k]*scale-old)*demandWeight
		if v < negligible {
			delete(average, k)
		} else {
			average[k] = v
		}
	}
	clear(counted)
}
