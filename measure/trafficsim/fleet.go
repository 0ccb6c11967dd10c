package trafficsim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiawind/cassiawind/core/admission"
	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	// reportEvery is the interval at which a VM reads each server's report.
	reportEvery = time.Second
	// attemptTimeout ends an attempt of an idempotent lookup, which is then
	// tried on another server.
	attemptTimeout = 500 * time.Millisecond
	maxAttempts    = 3
	// roundPause and maxRounds bound the rounds of attempts of a lookup that was
	// shed by every server tried.
	roundPause = 10 * time.Millisecond
	maxRounds  = 8
	// lookupDeadline is the deadline of a lookup at the scheduler.
	lookupDeadline = 2 * time.Second
	// demandEvery and demandLag are the interval and age of the demand in
	// heartbeats.
	demandEvery = 500 * time.Millisecond
	demandLag   = time.Second
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
	*virtual.Clock
	d        Deployment
	rnd      *rand.Rand
	backends map[string]*backend
	order    []*backend
	vms      []*vm

	accounts  []fairAccount
	measuring bool
	latency   *hdrhistogram.Histogram // microseconds
	sent      int
	failed    int
	nextID    uint64
}

// vm is one entry VM.
type vm struct {
	region string
	rate   float64
	picker picker
	// scheduler admits the VM's lookups; nil admits all.
	scheduler *admission.Scheduler
	waiting   map[uint64]*lookup
}

// newFleet builds a fleet whose load is the given part of each region's slots.
func newFleet(d Deployment, p policy, load float64, seed uint64) *fleet {
	f := &fleet{
		Clock: virtual.New(), d: d, rnd: rand.New(rand.NewPCG(seed, 0)),
		backends: make(map[string]*backend),
		latency:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	for range d.Accounts {
		f.accounts = append(f.accounts, fairAccount{weight: 1, demand: 1})
	}
	servers := d.servers()
	for i, s := range servers {
		b := &backend{declared: s, clock: f.Clock, rnd: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
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
		f.Every(offset, reportEvery, func() {
			if r, ok := b.report(); ok {
				f.After(f.d.DomainDelay, func() { v.picker.report(f.Now, b.declared.Name, r) })
			}
		})
	}
}

// arrive schedules the next lookup of a VM.
func (f *fleet) arrive(v *vm) {
	f.After(time.Duration(f.rnd.ExpFloat64()/v.rate*float64(time.Second)), func() {
		if f.measuring {
			f.sent++
		}
		f.nextID++
		l := &lookup{id: f.nextID, start: f.Now, measured: f.measuring, account: f.drawAccount()}
		if l.measured {
			f.accounts[l.account].offered++
		}
		f.admit(v, l)
		f.arrive(v)
	})
}

// drawAccount draws the client account of a lookup by the accounts' demands.
func (f *fleet) drawAccount() int {
	sum := 0.0
	for _, a := range f.accounts {
		sum += a.demand
	}
	x := f.rnd.Float64() * sum
	for i, a := range f.accounts {
		if x -= a.demand; x < 0 {
			return i
		}
	}
	return len(f.accounts) - 1
}

// admit passes a lookup through the VM's scheduler, if it has one.
func (f *fleet) admit(v *vm, l *lookup) {
	if v.scheduler == nil {
		f.attempt(v, l)
		return
	}
	decision := v.scheduler.Offer(f.Now, admission.Request{
		ID: l.id, Account: accountName(l.account), Weight: f.accounts[l.account].weight, Deadline: f.Now.Add(lookupDeadline),
	})
	if decision.Displaced != nil {
		f.giveUp(v, decision.Displaced.ID)
	}
	switch decision.Verdict {
	case admission.Admitted:
		f.attempt(v, l)
	case admission.Queued:
		v.waiting[l.id] = l
	case admission.Rejected:
		f.fail(l)
	}
}

// release ends a lookup at its VM's scheduler and runs those admitted next.
func (f *fleet) release(v *vm, l *lookup) {
	if v.scheduler == nil {
		return
	}
	f.admitted(v, v.scheduler.Release(f.Now, l.id))
}

func (f *fleet) admitted(v *vm, ids []uint64) {
	for _, id := range ids {
		next := v.waiting[id]
		delete(v.waiting, id)
		f.attempt(v, next)
	}
}

// limitSlots gives each VM a scheduler with an equal part of the region's slots
// or, if adaptive, with the part that admission.Part gives for the demand one
// second ago.
func (f *fleet) limitSlots(adaptive bool) {
	for _, v := range f.vms {
		slots, vms := f.d.slotsOf(v.region), f.d.vmsOf(v.region)
		v.scheduler = admission.New(admission.Config{Slots: slots / vms, InitialServiceTime: serviceMean})
		v.waiting = make(map[uint64]*lookup)
		f.Every(expireEvery, expireEvery, func() {
			for _, e := range v.scheduler.Expire(f.Now) {
				f.giveUp(v, e.ID)
			}
		})
	}
	if adaptive {
		f.Every(0, demandEvery, f.shareSlots)
	}
}

// giveUp fails a lookup that the scheduler has given up.
func (f *fleet) giveUp(v *vm, id uint64) {
	l := v.waiting[id]
	delete(v.waiting, id)
	f.fail(l)
}

// shareSlots tells all VMs the present demand, which they get a second later.
func (f *fleet) shareSlots() {
	all := map[string]float64{}
	for _, v := range f.vms {
		all[v.region] += v.scheduler.Demand(f.Now)
	}
	for _, v := range f.vms {
		part := admission.SlotShare(f.d.slotsOf(v.region), f.d.vmsOf(v.region), v.scheduler.Demand(f.Now), all[v.region])
		f.After(demandLag, func() {
			v.scheduler.SetSlots(f.Now, part)
			f.admitted(v, v.scheduler.Admit(f.Now))
		})
	}
}

// lookup is one request with the servers tried.
type lookup struct {
	id       uint64
	account  int
	start    time.Time
	measured bool
	tried    []string
	shed     bool
	rounds   int
}

// attempt sends a lookup to a server and retries it elsewhere if it was shed or
// timed out.
func (f *fleet) attempt(v *vm, l *lookup) {
	name, ok := "", false
	if len(l.tried) < maxAttempts {
		name, ok = v.picker.pick(f.Now, v.region, l.tried)
	}
	if !ok {
		f.exhausted(v, l)
		return
	}
	l.tried = append(l.tried, name)
	sentAt, settled := f.Now, false
	settle := func(c balance.Class) {
		if settled {
			return
		}
		settled = true
		v.picker.done(f.Now, name, balance.Outcome{Class: c, Latency: f.Now.Sub(sentAt)})
		f.result(v, l, c)
	}
	f.After(f.d.DomainDelay, func() {
		f.backends[name].receive(job{respond: func(c balance.Class) {
			f.After(f.d.DomainDelay, func() { settle(c) })
		}})
	})
	f.After(attemptTimeout, func() { settle(balance.ClassTimeout) })
}

// exhausted ends a round of attempts. A lookup that servers have shed starts
// another round after a pause, and keeps its slot at the scheduler meanwhile: the
// scheduler then decides what is rejected, not the servers.
func (f *fleet) exhausted(v *vm, l *lookup) {
	if v.scheduler == nil || l.rounds == maxRounds || !l.shed {
		f.fail(l)
		f.release(v, l)
		return
	}
	l.rounds++
	l.tried, l.shed = l.tried[:0], false
	f.After(roundPause, func() { f.attempt(v, l) })
}

func (f *fleet) result(v *vm, l *lookup, c balance.Class) {
	switch {
	case c == balance.ClassOK:
		if l.measured {
			f.accounts[l.account].served++
			_ = f.latency.RecordValue(int64(f.Now.Sub(l.start) / time.Microsecond))
		}
		f.release(v, l)
	default:
		l.shed = l.shed || c == balance.ClassShed
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
