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
	// reportInterval is the interval at which a VM reads each server's report.
	reportInterval = time.Second
	// attemptTimeout bounds one attempt of a lookup. Lookups are idempotent, so
	// the lookup is then retried on another server.
	attemptTimeout = 500 * time.Millisecond
	maxAttempts    = 3
	// A lookup that servers shed gets up to maxRounds further rounds of attempts,
	// each after roundBackoff.
	roundBackoff = 10 * time.Millisecond
	maxRounds    = 8
	// lookupDeadline is the time after which a waiting lookup expires at the
	// scheduler.
	lookupDeadline = 2 * time.Second
	// demandInterval is the interval at which VMs learn the demand from
	// heartbeats, and demandDelay is its age when they receive it.
	demandInterval = 500 * time.Millisecond
	demandDelay    = time.Second
	// vmRateDeviation is the deviation of each VM's request rate from the mean of
	// its region, relative to the mean.
	vmRateDeviation = 0.25

	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// fleet models the entry VMs and the backend servers of one service. A VM sends
// lookups to the servers of its own region.
type fleet struct {
	*virtual.Clock
	deployment  Deployment
	rng         *rand.Rand
	backends    map[string]*backend
	backendList []*backend
	vms         []*vm

	accounts  []accountLoad
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
	// scheduler admits the VM's lookups. If it is nil, all are admitted.
	scheduler *admission.Scheduler
	waiting   map[uint64]*lookup
}

// newFleet returns a fleet whose load uses the given fraction of each region's slots.
func newFleet(d Deployment, p policy, load float64, seed uint64) *fleet {
	f := &fleet{
		Clock: virtual.New(), deployment: d, rng: rand.New(rand.NewPCG(seed, 0)),
		backends: make(map[string]*backend),
		latency:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	for range d.Accounts {
		f.accounts = append(f.accounts, accountLoad{weight: 1, demand: 1})
	}
	servers := d.servers()
	for i, s := range servers {
		b := &backend{declared: s, clock: f.Clock, rng: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
		f.backends[s.Name] = b
		f.backendList = append(f.backendList, b)
	}
	for i := range d.EntryVMs {
		region := d.regionOf(i)
		mean := load * float64(d.slotsOf(region)) / meanServiceTime.Seconds() / float64(d.vmsOf(region))
		sign := float64(1 - 2*(i/len(d.Regions)%2))
		v := &vm{region: region, rate: mean * (1 + sign*vmRateDeviation), picker: p.build(servers, d.EntryVMs, rand.New(rand.NewPCG(seed, uint64(2000+i))))}
		f.vms = append(f.vms, v)
		f.startReports(v, i)
		f.scheduleArrival(v)
	}
	return f
}

func (f *fleet) startReports(v *vm, i int) {
	for j, b := range f.backendList {
		offset := time.Duration((i*len(f.backendList) + j*7) % 100 * int(reportInterval) / 100)
		f.Every(offset, reportInterval, func() {
			if r, ok := b.report(); ok {
				f.After(f.deployment.DomainDelay, func() { v.picker.report(f.Now, b.declared.Name, r) })
			}
		})
	}
}

// scheduleArrival schedules the next lookup of a VM.
func (f *fleet) scheduleArrival(v *vm) {
	f.After(time.Duration(f.rng.ExpFloat64()/v.rate*float64(time.Second)), func() {
		if f.measuring {
			f.sent++
		}
		f.nextID++
		l := &lookup{id: f.nextID, start: f.Now, measured: f.measuring, account: f.drawAccount()}
		if l.measured {
			f.accounts[l.account].offered++
		}
		f.admit(v, l)
		f.scheduleArrival(v)
	})
}

// drawAccount draws the client account of a lookup with probabilities proportional to
// the demands of the accounts.
func (f *fleet) drawAccount() int {
	sum := 0.0
	for _, a := range f.accounts {
		sum += a.demand
	}
	x := f.rng.Float64() * sum
	for i, a := range f.accounts {
		if x -= a.demand; x < 0 {
			return i
		}
	}
	return len(f.accounts) - 1
}

// admit offers a lookup to the VM's scheduler. Without a scheduler, it starts the
// lookup at once.
func (f *fleet) admit(v *vm, l *lookup) {
	if v.scheduler == nil {
		f.attempt(v, l)
		return
	}
	decision := v.scheduler.Offer(f.Now, admission.Request{
		ID: l.id, Account: accountName(l.account), Weight: f.accounts[l.account].weight, Deadline: f.Now.Add(lookupDeadline),
	})
	if decision.Displaced != nil {
		f.handleExpired(v, decision.Displaced.ID)
	}
	switch decision.Verdict {
	case admission.Admitted:
		f.attempt(v, l)
	case admission.Queued:
		v.waiting[l.id] = l
	case admission.Rejected:
		f.recordFailure(l)
	}
}

// release ends a lookup at its VM's scheduler and starts the lookups that are
// admitted next.
func (f *fleet) release(v *vm, l *lookup) {
	if v.scheduler == nil {
		return
	}
	f.startAdmitted(v, v.scheduler.Release(f.Now, l.id))
}

func (f *fleet) startAdmitted(v *vm, ids []uint64) {
	for _, id := range ids {
		next := v.waiting[id]
		delete(v.waiting, id)
		f.attempt(v, next)
	}
}

// limitSlots gives each VM a scheduler with an equal share of the region's slots. If
// adaptive, the share is then set by admission.SlotShare for the demand of one second
// ago.
func (f *fleet) limitSlots(adaptive bool) {
	for _, v := range f.vms {
		slots, vms := f.deployment.slotsOf(v.region), f.deployment.vmsOf(v.region)
		v.scheduler = admission.New(admission.Config{Slots: slots / vms, InitialServiceTime: meanServiceTime})
		v.waiting = make(map[uint64]*lookup)
		f.Every(expiryInterval, expiryInterval, func() {
			for _, e := range v.scheduler.Expire(f.Now) {
				f.handleExpired(v, e.ID)
			}
		})
	}
	if adaptive {
		f.Every(0, demandInterval, f.updateSlotShares)
	}
}

// handleExpired ends a waiting lookup that expired at the scheduler or was displaced.
func (f *fleet) handleExpired(v *vm, id uint64) {
	l := v.waiting[id]
	delete(v.waiting, id)
	f.recordFailure(l)
}

// updateSlotShares sets the slots of all VMs for the present demand. The change takes
// effect a second later, because VMs receive the demand with that delay.
func (f *fleet) updateSlotShares() {
	regionDemand := map[string]float64{}
	for _, v := range f.vms {
		regionDemand[v.region] += v.scheduler.Demand(f.Now)
	}
	for _, v := range f.vms {
		share := admission.SlotShare(f.deployment.slotsOf(v.region), f.deployment.vmsOf(v.region), v.scheduler.Demand(f.Now), regionDemand[v.region])
		f.After(demandDelay, func() {
			v.scheduler.SetSlots(f.Now, share)
			f.startAdmitted(v, v.scheduler.Admit(f.Now))
		})
	}
}

// lookup is one lookup with the servers that were tried in the present round.
type lookup struct {
	id       uint64
	account  int
	start    time.Time
	measured bool
	tried    []string
	shed     bool
	rounds   int
}

// attempt sends a lookup to a server. If the lookup is shed or times out, it is
// retried on another server.
func (f *fleet) attempt(v *vm, l *lookup) {
	name, ok := "", false
	if len(l.tried) < maxAttempts {
		name, ok = v.picker.pick(f.Now, v.region, l.tried)
	}
	if !ok {
		f.handleAttemptsExhausted(v, l)
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
		f.handleResult(v, l, c)
	}
	f.After(f.deployment.DomainDelay, func() {
		f.backends[name].receive(backendRequest{respond: func(c balance.Class) {
			f.After(f.deployment.DomainDelay, func() { settle(c) })
		}})
	})
	f.After(attemptTimeout, func() { settle(balance.ClassTimeout) })
}

// handleAttemptsExhausted ends a round of attempts. If a server shed the lookup,
// another round starts after a backoff, and the lookup keeps its slot at the scheduler
// meanwhile. The scheduler then decides which requests are rejected, not the servers.
func (f *fleet) handleAttemptsExhausted(v *vm, l *lookup) {
	if v.scheduler == nil || l.rounds == maxRounds || !l.shed {
		f.recordFailure(l)
		f.release(v, l)
		return
	}
	l.rounds++
	l.tried, l.shed = l.tried[:0], false
	f.After(roundBackoff, func() { f.attempt(v, l) })
}

func (f *fleet) handleResult(v *vm, l *lookup, c balance.Class) {
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

func (f *fleet) recordFailure(l *lookup) {
	if l.measured {
		f.failed++
	}
}

// percentile returns a latency percentile in milliseconds.
func (f *fleet) percentile(percentile float64) float64 { return percentileMS(f.latency, percentile) }
