package gateway

import (
	"time"
)

// demandWeight is the weight of the newest interval in the measured demand; a
// change shows within three intervals.
const demandWeight = 0.5

// demandMeter measures what callers ask for.
type demandMeter struct {
	last            time.Duration
	arrived, worked map[string]float64
	rates, loads    map[string]float64
}

func newDemandMeter() *demandMeter {
	return &demandMeter{
		arrived: make(map[string]float64), worked: make(map[string]float64),
		rates: make(map[string]float64), loads: make(map[string]float64),
	}
}

// add counts requests of an account that this VM counts for its region.
func (d *demandMeter) add(account string, requests int) { d.arrived[account] += float64(requests) }

// work counts a request with an expected work at a service.
func (d *demandMeter) work(service string, workMS float64) { d.worked[service] += workMS }

// roll ends an interval.
func (d *demandMeter) roll(now time.Duration) {
	seconds := (now - d.last).Seconds()
	if seconds <= 0 {
		return
	}
	d.last = now
	smooth(d.rates, d.arrived, 1/seconds)
	smooth(d.loads, d.worked, 1/(seconds*float64(time.Second/time.Millisecond)))
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

func copyOf(m map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (d *demandMeter) accounts() map[string]float64 { return copyOf(d.rates) }
func (d *demandMeter) services() map[string]float64 { return copyOf(d.loads) }
