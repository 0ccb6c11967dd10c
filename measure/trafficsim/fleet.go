package trafficsim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiawind/cassiawind/core/balance"
)

const (
	// reportEvery is the interval at which a VM reads each server's report.
	reportEvery = time.Second
	// attemptTimeout ends an attempt of an idempotent lookup, which is then
	// tried on another server.
	attemptTimeout = 500 * time.Millisecond
	maxAttempts    = 3
	// unevenness is the difference of the request rates of a region's VMs from
	// their mean.
	unevenness = 0.25

	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// fleet models the entry VMs and backend servers of one service. Lookups go to
// servers of the VM's own region.
type fleet struct {
	*clock
	d        Deployment
	rnd      *rand.Rand
	backends map[string]*backend
	order    []*backend
	vms      []*vm

	measuring bool
	latency   *hdrhistogram.Histogram // microseconds
	sent      int
	failed    int
	shed      int
}

// vm is one entry VM.
type vm struct {
	region string
	rate   float64
	picker picker
}

// newFleet builds a fleet whose load is the given part of each region's slots.
func newFleet(d Deployment, p policy, load float64, seed uint64) *fleet {
	f := &fleet{
		clock: newClock(), d: d, rnd: rand.New(rand.NewPCG(seed, 0)),
		backends: make(map[string]*backend),
		latency:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	servers := d.servers()
	for i, s := range servers {
		b := &backend{declared: s, clock: f.clock, rnd: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
		f.backends[s.Name] = b
		f.order = append(f.order, b)
	}
	for i := range d.EntryVMs {
		region := d.regionOf(i)
		mean := load * float64(d.slotsOf(region)) / serviceMean.Seconds() / float64(d.vmsOf(region))
		sign := float64(1 - 2*(i/len(d.Regions)%2))
		v := &vm{region: region, rate: mean * (1 + sign*unevenness), picker: p.build(servers, d.EntryVMs, rand.New(rand.NewPCG(seed, uint64(2000+i))))}
		f.vms = append(f.vms, v)
		f.startReports(v, i)
		f.arrive(v)
	}
	return f
}

func (f *fleet) startReports(v *vm, i int) {
	for j, b := range f.order {
		offset := time.Duration((i*len(f.order) + j*7) % 100 * int(reportEvery) / 100)
		f.every(offset, reportEvery, func() {
			if r, ok := b.report(); ok {
				f.after(f.d.DomainDelay, func() { v.picker.report(f.now, b.declared.Name, r) })
			}
		})
	}
}

// arrive schedules the next lookup of a VM.
func (f *fleet) arrive(v *vm) {
	f.after(time.Duration(f.rnd.ExpFloat64()/v.rate*float64(time.Second)), func() {
		if f.measuring {
			f.sent++
		}
		f.attempt(v, &lookup{start: f.now, measured: f.measuring})
		f.arrive(v)
	})
}

// lookup is one request with the servers tried.
type lookup struct {
	start    time.Time
	measured bool
	tried    []string
}

// attempt sends a lookup to a server and retries it elsewhere if it was shed or
// timed out.
func (f *fleet) attempt(v *vm, l *lookup) {
	name, ok := v.picker.pick(f.now, v.region, l.tried)
	if !ok || len(l.tried) == maxAttempts {
		if ok {
			v.picker.done(f.now, name, balance.Outcome{Class: balance.ClassCanceled})
		}
		f.fail(l)
		return
	}
	l.tried = append(l.tried, name)
	sentAt, settled := f.now, false
	settle := func(c balance.Class) {
		if settled {
			return
		}
		settled = true
		v.picker.done(f.now, name, balance.Outcome{Class: c, Latency: f.now.Sub(sentAt)})
		f.result(v, l, c)
	}
	f.after(f.d.DomainDelay, func() {
		f.backends[name].receive(job{respond: func(c balance.Class) {
			f.after(f.d.DomainDelay, func() { settle(c) })
		}})
	})
	f.after(attemptTimeout, func() { settle(balance.ClassTimeout) })
}

func (f *fleet) result(v *vm, l *lookup, c balance.Class) {
	switch {
	case c == balance.ClassOK && l.measured:
		_ = f.latency.RecordValue(int64(f.now.Sub(l.start) / time.Microsecond))
	case c == balance.ClassOK:
	default:
		if c == balance.ClassShed && l.measured {
			f.shed++
		}
		f.attempt(v, l)
	}
}

func (f *fleet) fail(l *lookup) {
	if l.measured {
		f.failed++
	}
}

// percentile returns a latency percentile in milliseconds.
func (f *fleet) percentile(q float64) float64 { return percentileMS(f.latency, q) }
