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
	experimentFairness = "overload-fairness"
	baselineFIFO       = "fifo"
	figureWorst        = "worst-served-account"
	figureWaitP99      = "wait-p99-within-rate"
	figureGiveUpP99    = "time-to-rejection-p99"
	figureGiveUp       = "time-to-rejection-max"
	figureUse          = "slots-in-use"
	unitPartOfDue      = "part of due"
	unitPartOfSlots    = "part of slots"

	// worstServedTarget is from docs/design.md, section 1.
	worstServedTarget = 0.98
	// rateLoad is the part of the slots that all accounts use together when
	// each sends at its rate.
	rateLoad = 0.9
	// neighbourFactor is how much one large account sends of its rate.
	neighbourFactor = 5
	bookingPart     = 0.2
	requestDeadline = time.Second
	fairnessFrom    = 5 * time.Second
	fairnessEnd     = 35 * time.Second
	expireEvery     = 20 * time.Millisecond
	// fifoWait is the longest expected wait with which the baseline accepts a
	// request, so that it loses no slot time to requests that end too late.
	fifoWait = 700 * time.Millisecond
	// neighbour is the index of the account that exceeds its rate.
	neighbour = 0
)

// scheduler is the part of admission.Scheduler that the model uses.
type scheduler interface {
	Offer(now time.Time, r admission.Request) admission.Decision
	Release(now time.Time, id uint64) []uint64
	Expire(now time.Time) []admission.Expired
}

// fairFleet models the admission at the entry VMs of one service.
type fairFleet struct {
	*virtual.Clock
	rnd       *rand.Rand
	accounts  []fairAccount
	waits     *hdrhistogram.Histogram // microseconds, accounts within their rate
	giveUps   *hdrhistogram.Histogram // microseconds
	busy      time.Duration
	pending   map[uint64]*pendingRequest
	nextID    uint64
	measuring bool
}

type fairAccount struct {
	weight          float64
	demand          float64 // relative to the other accounts
	offered, served int
}

type pendingRequest struct {
	account  int
	at       time.Time
	measured bool
}

// OverloadFairness measures the worst-served client account within its rate while
// a large neighbour sends at 5 times its rate.
func OverloadFairness(d Deployment, seed uint64) []Figure {
	own := runFairness(d, seed, func(slots int) scheduler {
		return admission.New(admission.Config{Slots: slots, InitialServiceTime: serviceMean})
	})
	base := runFairness(d, seed, func(slots int) scheduler { return newFIFO(slots) })
	var out []Figure
	figure := func(name, unit string, target Target, value, baseline float64) {
		out = append(out, Figure{Experiment: experimentFairness + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineFIFO, Baseline: baseline})
	}
	slots := float64(slotsPerVM(d)*d.EntryVMs) * (fairnessEnd - fairnessFrom).Seconds()
	figure(figureWorst, unitPartOfDue, atLeast(worstServedTarget), worst(own.accounts), worst(base.accounts))
	figure(figureWaitP99, unitMS, Target{}, percentileMS(own.waits, 99), percentileMS(base.waits, 99))
	figure(figureGiveUpP99, unitMS, Target{}, percentileMS(own.giveUps, 99), percentileMS(base.giveUps, 99))
	figure(figureGiveUp, unitMS, Target{}, percentileMS(own.giveUps, 100), percentileMS(base.giveUps, 100))
	figure(figureUse, unitPartOfSlots, Target{}, own.busy.Seconds()/slots, base.busy.Seconds()/slots)
	return out
}

// overloadAccounts returns accounts of which two are large. Each sends at its
// rate, which is in proportion to its weight, but one large one at 5 times that.
func overloadAccounts(d Deployment) []fairAccount {
	out := make([]fairAccount, d.Accounts)
	for i := range out {
		out[i].weight = 1
		if i < largeAccounts {
			out[i].weight = largeAccountFactor
		}
		out[i].demand = out[i].weight
	}
	out[neighbour].demand *= neighbourFactor
	return out
}

func slotsPerVM(d Deployment) int { return d.Servers * d.Slots / d.EntryVMs }

func runFairness(d Deployment, seed uint64, build func(slots int) scheduler) *fairFleet {
	f := &fairFleet{
		Clock: virtual.New(), rnd: rand.New(rand.NewPCG(seed, 0)), pending: map[uint64]*pendingRequest{},
		waits:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		giveUps: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	f.accounts = overloadAccounts(d)
	weights := 0.0
	for _, a := range f.accounts {
		weights += a.weight
	}
	slots := slotsPerVM(d)
	for range d.EntryVMs {
		s := build(slots)
		for i, a := range f.accounts {
			f.arrivals(s, i, rateLoad*float64(slots)/serviceMean.Seconds()*a.demand/weights)
		}
		f.Every(expireEvery, expireEvery, func() {
			for _, e := range s.Expire(f.Now) {
				f.rejected(e.ID)
			}
		})
	}
	f.RunUntil(fairnessFrom)
	f.measuring = true
	f.RunUntil(fairnessEnd)
	return f
}

func (f *fairFleet) arrivals(s scheduler, account int, rate float64) {
	f.After(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		f.offer(s, account)
		f.arrivals(s, account, rate)
	})
}

func (f *fairFleet) offer(s scheduler, account int) {
	f.nextID++
	id := f.nextID
	f.pending[id] = &pendingRequest{account: account, at: f.Now, measured: f.measuring}
	if f.measuring {
		f.accounts[account].offered++
	}
	class := admission.Lookup
	if f.rnd.Float64() < bookingPart {
		class = admission.Booking
	}
	decision := s.Offer(f.Now, admission.Request{
		ID: id, Account: accountName(account), Weight: f.accounts[account].weight,
		Class: class, Deadline: f.Now.Add(requestDeadline),
	})
	if decision.Displaced != nil {
		f.rejected(decision.Displaced.ID)
	}
	switch decision.Verdict {
	case admission.Admitted:
		f.run(s, id)
	case admission.Rejected:
		f.rejected(id)
	}
}

// run holds a slot for the service time. A request that would end after its
// deadline holds the slot but does not count as served.
func (f *fairFleet) run(s scheduler, id uint64) {
	p := f.pending[id]
	delete(f.pending, id)
	if p.measured && p.account != neighbour {
		_ = f.waits.RecordValue(int64(f.Now.Sub(p.at) / time.Microsecond))
	}
	t := time.Duration(float64(serviceMean) * math.Exp(f.rnd.NormFloat64()*serviceSpread-serviceSpread*serviceSpread/2))
	f.After(t, func() {
		if f.measuring {
			f.busy += t
		}
		if p.measured && f.Now.Sub(p.at) <= requestDeadline {
			f.accounts[p.account].served++
		}
		for _, next := range s.Release(f.Now, id) {
			f.run(s, next)
		}
	})
}

func (f *fairFleet) rejected(id uint64) {
	p := f.pending[id]
	delete(f.pending, id)
	if p.measured {
		_ = f.giveUps.RecordValue(int64(f.Now.Sub(p.at) / time.Microsecond))
	}
}

// worst returns the smallest part of its due that an account within its rate was
// served. Its due is all that it sent: the rates together are below the slots.
func worst(accounts []fairAccount) float64 {
	worst := 1.0
	for i, a := range accounts {
		if i != neighbour {
			worst = min(worst, float64(a.served)/float64(a.offered))
		}
	}
	return worst
}

// percentileMS returns a percentile of a histogram of microseconds.
func percentileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// fifo is the baseline: one queue for all accounts, bounded by the expected wait;
// requests are given up at their deadline.
type fifo struct {
	slots, used int
	queue       []admission.Request
}

func newFIFO(slots int) *fifo { return &fifo{slots: slots} }

func (q *fifo) Offer(_ time.Time, r admission.Request) admission.Decision {
	switch {
	case q.used < q.slots:
		q.used++
		return admission.Decision{Verdict: admission.Admitted}
	case time.Duration(len(q.queue))*serviceMean/time.Duration(q.slots) < fifoWait:
		q.queue = append(q.queue, r)
		return admission.Decision{Verdict: admission.Queued}
	}
	return admission.Decision{Verdict: admission.Rejected, Reason: admission.ReasonAccountQueueFull}
}

func (q *fifo) Release(time.Time, uint64) []uint64 {
	if len(q.queue) == 0 {
		q.used--
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
