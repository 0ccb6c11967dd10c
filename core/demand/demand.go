// Package demand measures the demand of callers, which VMs report to each other.
package demand

import (
	"maps"
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/exchange"
)

// newestIntervalWeight is the weight of the newest interval in the measured demand.
// With it, a change shows within three intervals.
const newestIntervalWeight = 0.5

// Meter measures the requests of client accounts and the work of services. It is not
// safe for concurrent use.
type Meter struct {
	intervalStart time.Duration
	accounts      movingAverage
	unpinned      movingAverage
	// pinned is the work that only one region may serve, by that region.
	pinned map[string]*movingAverage
}

// movingAverage holds moving averages of counts by name.
type movingAverage struct{ counts, averages map[string]float64 }

func newMovingAverage() movingAverage {
	return movingAverage{make(map[string]float64), make(map[string]float64)}
}

// New returns a Meter without measurements.
func New() *Meter {
	return &Meter{accounts: newMovingAverage(), unpinned: newMovingAverage(), pinned: make(map[string]*movingAverage)}
}

// AddRequests counts requests of an account that this VM owns in its region.
func (m *Meter) AddRequests(account string, requests int) {
	m.accounts.counts[account] += float64(requests)
}

// AddWork counts a request with its expected work at a service, in milliseconds of a
// busy slot. homeRegion is the only region that may serve the request, or empty if
// there are several.
func (m *Meter) AddWork(service, homeRegion string, workMS float64) {
	if homeRegion == "" {
		m.unpinned.counts[service] += workMS
		return
	}
	a := m.pinned[homeRegion]
	if a == nil {
		fresh := newMovingAverage()
		a = &fresh
		m.pinned[homeRegion] = a
	}
	a.counts[service] += workMS
}

// EndInterval ends a measurement interval and updates the averages.
func (m *Meter) EndInterval(now time.Duration) {
	seconds := (now - m.intervalStart).Seconds()
	if seconds <= 0 {
		return
	}
	m.intervalStart = now
	slotsPerMS := 1 / (seconds * float64(time.Second/time.Millisecond))
	m.accounts.endInterval(1 / seconds)
	m.unpinned.endInterval(slotsPerMS)
	for _, a := range m.pinned {
		a.endInterval(slotsPerMS)
	}
}

func (a *movingAverage) endInterval(scale float64) { updateAverages(a.averages, a.counts, scale) }

// Report returns copies of the measured demand: requests per second by account, and
// busy slots by service.
func (m *Meter) Report() (accounts map[string]float64, work exchange.Work) {
	work = exchange.Work{Unpinned: maps.Clone(m.unpinned.averages), Pinned: make(map[string]map[string]float64, len(m.pinned))}
	for region, a := range m.pinned {
		work.Pinned[region] = maps.Clone(a.averages)
	}
	return maps.Clone(m.accounts.averages), work
}

// minReported is the demand below which an account or service is not reported.
const minReported = 0.01

// updateAverages moves averages towards the counts of an interval; scale converts
// counts into the unit of the averages. A change that exceeds the noise counts in
// full: when callers move, both regions have to report it at once.
func updateAverages(averages, counts map[string]float64, scale float64) {
	for k, v := range counts {
		if _, ok := averages[k]; !ok && v > 0 {
			averages[k] = v * scale
		}
	}
	for k, old := range averages {
		expected := old / scale
		weight := newestIntervalWeight
		if math.Abs(counts[k]-expected) > noiseDeviations*math.Sqrt(expected) {
			weight = 1
		}
		v := old + (counts[k]*scale-old)*weight
		if v < minReported {
			delete(averages, k)
		} else {
			averages[k] = v
		}
	}
	clear(counts)
}

// noiseDeviations is the number of standard deviations up to which a change of a
// count is considered random. With independent requests, one interval in 370 exceeds
// three.
const noiseDeviations = 3
