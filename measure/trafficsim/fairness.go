package trafficsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiawind/cassiawind/core/admission"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	experimentFairness      = "overload-fairness"
	baselineFIFO            = "fifo"
	figureWorstServed       = "worst-served-account"
	figureWaitP99           = "wait-p99-within-rate"
	figureRejectionDelayP99 = "time-to-rejection-p99"
	figureRejectionDelayMax = "time-to-rejection-max"
	figureSlotsInUse        = "slots-in-use"
	unitFractionOfDue       = "part of due"
	unitFractionOfSlots     = "part of slots"

	// worstServedTarget is from docs/design.md, section 1.
	worstServedTarget = 0.98
	// utilizationAtRates is the fraction of the slots that all accounts use
	// together when each of them sends at its rate.
	utilizationAtRates = 0.9
	// excessFactor is the load of the account that exceeds its rate, relative to
	// the rate.
	excessFactor    = 5
	bookingFraction = 0.2
	requestDeadline = time.Second
	fairnessStart   = 5 * time.Second
	fairnessEnd     = 35 * time.Second
	expiryInterval  = 20 * time.Millisecond
	// fifoMaxWait is the longest expected wait at which the baseline accepts a
	// request. It keeps the baseline from spending slot time on requests that end
	// after their deadline.
	fifoMaxWait = 700 * time.Millisecond
	// excessAccount is the index of the account that exceeds its rate.
	excessAccount = 0
)

// scheduler is the part of admission.Scheduler that the simulation uses.
type scheduler interface {
	Offer(now time.Time, r admission.Request) admission.Decision
	Release(now time.Time, id uint64) []uint64
	Expire(now time.Time) []admission.Expired
}

// admissionFleet models the admission of requests for one service at the entry VMs.
type admissionFleet struct {
	*virtual.Clock
	rng             *rand.Rand
	accounts        []accountLoad
	waits           *hdrhistogram.Histogram // microseconds, accounts within their rate
	rejectionDelays *hdrhistogram.Histogram // microseconds
	busyTime        time.Duration
	pending         map[uint64]*pendingRequest
	nextID          uint64
	measuring       bool
}

type accountLoad struct {
	weight          float64
	demand          float64 // relative to the other accounts
	offered, served int
}

type pendingRequest struct {
	account   int
	arrivedAt time.Time
	measured  bool
}

// OverloadFairness measures the worst-served client account among those within their
// rates, while a large account sends at 5 times its rate.
func OverloadFairness(d Deployment, seed uint64) []Figure {
	measured := runFairness(d, seed, func(slots int) scheduler {
		return admission.New(admission.Config{Slots: slots, InitialServiceTime: meanServiceTime})
	})
	baseline := runFairness(d, seed, func(slots int) scheduler { return newFIFO(slots) })
	var out []Figure
	figure := func(name, unit string, target Target, value, baseline float64) {
		out = append(out, Figure{Experiment: experimentFairness + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineFIFO, Baseline: baseline})
	}
	slots := float64(slotsPerVM(d)*d.EntryVMs) * (fairnessEnd - fairnessStart).Seconds()
	figure(figureWorstServed, unitFractionOfDue, atLeast(worstServedTarget), worstServedFraction(measured.accounts), worstServedFraction(baseline.accounts))
	figure(figureWaitP99, unitMS, Target{}, percentileMS(measured.waits, 99), percentileMS(baseline.waits, 99))
	figure(figureRejectionDelayP99, unitMS, Target{}, percentileMS(measured.rejectionDelays, 99), percentileMS(baseline.rejectionDelays, 99))
	figure(figureRejectionDelayMax, unitMS, Target{}, percentileMS(measured.rejectionDelays, 100), percentileMS(baseline.rejectionDelays, 100))
	figure(figureSlotsInUse, unitFractionOfSlots, Target{}, measured.busyTime.Seconds()/slots, baseline.busyTime.Seconds()/slots)
	return out
}

// newOverloadAccounts returns accounts of which two are large. The rate of an account
// is proportional to its weight. Each account sends at its rate, except for one large
// account that sends at 5 times its rate.
func newOverloadAccounts(d Deployment) []accountLoad {
	out := make([]accountLoad, d.Accounts)
	for i := range out {
		out[i].weight = 1
		if i < largeAccounts {
			out[i].weight = largeAccountFactor
		}
		out[i].demand = out[i].weight
	}
	out[excessAccount].demand *= excessFactor
	return out
}

func slotsPerVM(d Deployment) int { return d.Servers * d.Slots / d.EntryVMs }

func runFairness(d Deployment, seed uint64, build func(slots int) scheduler) *admissionFleet {
	f := &admissionFleet{
		Clock: virtual.New(), rng: rand.New(rand.NewPCG(seed, 0)), pending: map[uint64]*pendingRequest{},
		waits:           hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		rejectionDelays: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	f.accounts = newOverloadAccounts(d)
	weights := 0.0
	for _, a := range f.accounts {
		weights += a.weight
	}
	slots := slotsPerVM(d)
	for range d.EntryVMs {
		s := build(slots)
		for i, a := range f.accounts {
			f.scheduleArrival(s, i, utilizationAtRates*float64(slots)/meanServiceTime.Seconds()*a.demand/weights)
		}
		f.Every(expiryInterval, expiryInterval, func() {
			for _, e := range s.Expire(f.Now) {
				f.recordRejection(e.ID)
			}
		})
	}
	f.RunUntil(fairnessStart)
	f.measuring = true
	f.RunUntil(fairnessEnd)
	return f
}

func (f *admissionFleet) scheduleArrival(s scheduler, account int, rate float64) {
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		f.offer(s, account)
		f.scheduleArrival(s, account, rate)
	})
}

func (f *admissionFleet) offer(s scheduler, account int) {
	f.nextID++
	id := f.nextID
	f.pending[id] = &pendingRequest{account: account, arrivedAt: f.Now, measured: f.measuring}
	if f.measuring {
		f.accounts[account].offered++
	}
	class := admission.Lookup
	if f.rng.Float64() < bookingFraction {
		class = admission.Booking
	}
	decision := s.Offer(f.Now, admission.Request{
		ID: id, Account: accountName(account), Weight: f.accounts[account].weight,
		Class: class, Deadline: f.Now.Add(requestDeadline),
	})
	if decision.Displaced != nil {
		f.recordRejection(decision.Displaced.ID)
	}
	switch decision.Verdict {
	case admission.Admitted:
		f.run(s, id)
	case admission.Rejected:
		f.recordRejection(id)
	}
}

// run holds a slot for the service time of the request. A request that ends after its
// deadline holds the slot but does not count as served.
func (f *admissionFleet) run(s scheduler, id uint64) {
	p := f.pending[id]
	delete(f.pending, id)
	if p.measured && p.account != excessAccount {
		_ = f.waits.RecordValue(int64(f.Now.Sub(p.arrivedAt) / time.Microsecond))
	}
	serviceTime := time.Duration(float64(meanServiceTime) * math.Exp(f.rng.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2))
	f.After(serviceTime, func() {
		if f.measuring {
			f.busyTime += serviceTime
		}
		if p.measured && f.Now.Sub(p.arrivedAt) <= requestDeadline {
			f.accounts[p.account].served++
		}
		for _, next := range s.Release(f.Now, id) {
			f.run(s, next)
		}
	})
}

func (f *admissionFleet) recordRejection(id uint64) {
	p := f.pending[id]
	delete(f.pending, id)
	if p.measured {
		_ = f.rejectionDelays.RecordValue(int64(f.Now.Sub(p.arrivedAt) / time.Microsecond))
	}
}

// worstServedFraction returns the served fraction of the worst-served account within
// its rate. It is relative to all requests that the account sent, because the rates
// together need fewer slots than there are.
func worstServedFraction(accounts []accountLoad) float64 {
	worst := 1.0
	for i, a := range accounts {
		if i != excessAccount {
			worst = min(worst, float64(a.served)/float64(a.offered))
		}
	}
	return worst
}

// percentileMS returns a percentile of a histogram of microseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// fifo is the baseline scheduler: one queue for all accounts that is bounded by the
// expected wait. Requests in the queue expire at their deadline.
type fifo struct {
	slots, inUse int
	queue        []admission.Request
}

func newFIFO(slots int) *fifo { return &fifo{slots: slots} }

func (q *fifo) Offer(_ time.Time, r admission.Request) admission.Decision {
	switch {
	case q.inUse < q.slots:
		q.inUse++
		return admission.Decision{Verdict: admission.Admitted}
	case time.Duration(len(q.queue))*meanServiceTime/time.Duration(q.slots) < fifoMaxWait:
		q.queue = append(q.queue, r)
		return admission.Decision{Verdict: admission.Queued}
	}
	return admission.Decision{Verdict: admission.Rejected, Reason: admission.ReasonAccountQueueFull}
}

func (q *fifo) Release(time.Time, uint64) []uint64 {
	if len(q.queue) == 0 {
		q.inUse--
		return nil
	}
	next := q.queue[0]
	q.queue = q.queue[1:]
	return []uint64{next.ID}
}

func (q *fifo) Expire(now time.Time) []admission.Expired {
	var out []admission.Expired
	for len(q.queue) > 0 && !now.Before(q.queue[0].Deadline) {
		out = append(out, admission.Expired{ID: q.queue[0].ID})
		q.queue = q.queue[1:]
	}
	return out
}
