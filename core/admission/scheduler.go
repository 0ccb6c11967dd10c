package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	defaultMinShare            = 0.3
	defaultMaxQueuedPerAccount = 256
	defaultMaxQueuedTotal      = 1024
	defaultInitialServiceTime  = 20 * time.Millisecond
	defaultMaxWait             = 500 * time.Millisecond
	// serviceTimeGain is the weight of one request in the average time in a
	// slot.
	serviceTimeGain = 0.05
	// idleCleanupThreshold is the number of accounts at which idle ones are
	// removed before another is added.
	idleCleanupThreshold = 1024
)

// Scheduler admits the requests of one service to this VM's slots by
// start-time fair queueing. It is work-conserving: a slot is free only if
// nothing is queued.
type Scheduler struct {
	cfg   Config
	slots int
	// virtualTime is the virtual start time of the last admitted request, but
	// not later than that of any account with queued requests. Without this
	// bound, an account served by the guaranteed share of its class would
	// advance the time, and a newly active account would have to wait until all
	// others had caught up.
	virtualTime   float64
	accounts      map[string]*account
	active        []*account
	queued        map[uint64]*queuedRequest
	running       map[uint64]runningRequest
	lastClass     Class // class of the last admitted request
	slotsInUse    [numClasses]int
	queuedByClass [numClasses]int
	sequence      uint64
	demand        demand
	// serviceSeconds is the average time in a slot.
	serviceSeconds float64
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	class Class
	since time.Time
}

// New returns a Scheduler with cfg.Slots slots.
func New(cfg Config) *Scheduler {
	cfg.MinLookupShare = cmp.Or(cfg.MinLookupShare, defaultMinShare)
	cfg.MinBookingShare = cmp.Or(cfg.MinBookingShare, defaultMinShare)
	cfg.MaxQueuedPerAccount = cmp.Or(cfg.MaxQueuedPerAccount, defaultMaxQueuedPerAccount)
	cfg.MaxQueuedTotal = cmp.Or(cfg.MaxQueuedTotal, defaultMaxQueuedTotal)
	cfg.InitialServiceTime = cmp.Or(cfg.InitialServiceTime, defaultInitialServiceTime)
	cfg.MaxWait = cmp.Or(cfg.MaxWait, defaultMaxWait)
	return &Scheduler{
		cfg:            cfg,
		slots:          cfg.Slots,
		accounts:       make(map[string]*account),
		queued:         make(map[uint64]*queuedRequest),
		running:        make(map[uint64]runningRequest),
		serviceSeconds: cfg.InitialServiceTime.Seconds(),
	}
}

// SetSlots sets this VM's share of the service's slots. Requests that hold a
// slot keep it. Call Admit after an increase.
func (s *Scheduler) SetSlots(_ time.Time, slots int) { s.slots = max(0, slots) }

// Offer requests a slot. A queued request is returned later by Release,
// Cancel, Admit or Expire.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	if r.Cost <= 0 {
		r.Cost = 1
	}
	s.demand.add(now, r.Cost)
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Verdict: Rejected, Reason: ReasonDeadlinePassed}
	}
	a := s.account(r)
	if len(s.queued) == 0 && s.slotsUsed() < s.slots {
		s.assignSlot(now, a, r.ID, r.Class, r.Cost)
		return Decision{Verdict: Admitted}
	}
	wait := s.waitOfNext(a, r.Class)
	if a.queued >= s.cfg.MaxQueuedPerAccount {
		return Decision{Verdict: Rejected, Reason: ReasonAccountQueueFull, RetryAfter: wait}
	}
	if waitWithMargin := time.Duration(arrivalMargin * float64(wait)); s.missesDeadline(now, waitWithMargin, r.Deadline) {
		return Decision{Verdict: Rejected, Reason: ReasonWaitExceedsDeadline, RetryAfter: s.retryAfter(now, waitWithMargin, r.Deadline)}
	}
	if wait > s.cfg.MaxWait && s.slots > 0 {
		return Decision{Verdict: Rejected, Reason: ReasonWaitExceedsMax, RetryAfter: max(minRetryAfter, wait-s.cfg.MaxWait)}
	}
	d := Decision{Verdict: Queued, ExpectedWait: wait}
	if len(s.queued) >= s.cfg.MaxQueuedTotal {
		if d.Displaced = s.displace(a); d.Displaced == nil {
			return Decision{Verdict: Rejected, Reason: ReasonQueuesFull, RetryAfter: wait}
		}
	}
	s.enqueue(a, r)
	return d
}

// Release ends a request that holds a slot and returns the ids of the
// requests admitted next.
func (s *Scheduler) Release(now time.Time, id uint64) []uint64 {
	if r, ok := s.running[id]; ok {
		delete(s.running, id)
		s.slotsInUse[r.class]--
		s.serviceSeconds += serviceTimeGain * (now.Sub(r.since).Seconds() - s.serviceSeconds)
	}
	return s.Admit(now)
}

// Cancel withdraws a queued or running request whose caller has disconnected
// and returns the ids of the requests admitted next. The time that the
// request held its slot does not count as service time.
func (s *Scheduler) Cancel(now time.Time, id uint64) []uint64 {
	if q, ok := s.queued[id]; ok {
		s.remove(q)
	}
	if r, ok := s.running[id]; ok {
		delete(s.running, id)
		s.slotsInUse[r.class]--
	}
	return s.Admit(now)
}

// Admit assigns free slots to queued requests and returns the ids of those
// admitted, nil if there are none.
func (s *Scheduler) Admit(now time.Time) []uint64 {
	var ids []uint64
	for s.slotsUsed() < s.slots && len(s.queued) > 0 {
		q := s.next()
		s.remove(q)
		q.account.intervals[q.class].observe(now, q.account.queues[q.class].Len())
		s.assignSlot(now, q.account, q.id, q.class, q.cost)
		ids = append(ids, q.id)
	}
	return ids
}

// next returns the queued request to admit: the one with the smallest virtual
// start time. If a class is below its minimum share, only its requests are
// considered.
func (s *Scheduler) next() *queuedRequest {
	var best *queuedRequest
	var bestStart float64
	class, restricted := s.classBelowMinimum()
	for _, a := range s.active {
		q := a.head(class)
		if !restricted {
			q = older(a.head(Lookup), a.head(Booking))
		}
		if q == nil {
			continue
		}
		start := a.virtualStart(s.virtualTime)
		if best == nil || start < bestStart || start == bestStart && q.sequence < best.sequence {
			best, bestStart = q, start
		}
	}
	return best
}

func older(a, b *queuedRequest) *queuedRequest {
	if a == nil || b != nil && b.sequence < a.sequence {
		return b
	}
	return a
}

// classBelowMinimum returns the class that must be served next because it has
// queued requests and uses less than its minimum share. If that holds for
// both classes, it is the one that uses the smaller part of its minimum.
func (s *Scheduler) classBelowMinimum() (Class, bool) {
	lookups, bookings := s.deficit(Lookup), s.deficit(Booking)
	if lookups <= 0 && bookings <= 0 {
		return Lookup, false
	}
	if bookings == lookups {
		// With few slots, both minimums are one slot: the classes alternate.
		return Booking - s.lastClass, true
	}
	if bookings > lookups {
		return Booking, true
	}
	return Lookup, true
}

// deficit returns the unused fraction of the class's minimum, 0 if the class
// uses its minimum or has nothing queued.
func (s *Scheduler) deficit(c Class) float64 {
	if s.queuedByClass[c] == 0 {
		return 0
	}
	return max(0, 1-float64(s.slotsInUse[c])/s.minSlots(c))
}

// minSlots returns the class's guaranteed number of slots, at least one.
func (s *Scheduler) minSlots(c Class) float64 {
	share := s.cfg.MinLookupShare
	if c == Booking {
		share = s.cfg.MinBookingShare
	}
	return max(1, math.Floor(share*float64(s.slots)))
}

func (s *Scheduler) slotsUsed() int { return s.slotsInUse[Lookup] + s.slotsInUse[Booking] }

func (s *Scheduler) assignSlot(now time.Time, a *account, id uint64, c Class, cost float64) {
	start := a.virtualStart(s.virtualTime)
	for _, other := range s.active {
		start = min(start, other.virtualStart(s.virtualTime))
	}
	s.virtualTime = max(s.virtualTime, start)
	a.charge(s.virtualTime, cost)
	s.running[id] = runningRequest{class: c, since: now}
	s.slotsInUse[c]++
	s.lastClass = c
}

// account returns the state of the request's account and updates its weight.
func (s *Scheduler) account(r Request) *account {
	a := s.accounts[r.Account]
	if a == nil {
		if len(s.accounts) >= idleCleanupThreshold {
			s.dropIdle()
		}
		a = &account{name: r.Account, activeIndex: -1}
		s.accounts[r.Account] = a
	}
	a.weight = 1
	if r.Weight > 0 {
		a.weight = r.Weight
	}
	return a
}

// dropIdle removes accounts whose next request would start at the present
// virtual time, as that of a new account would.
func (s *Scheduler) dropIdle() {
	for name, a := range s.accounts {
		if a.queued == 0 && a.virtualFinish <= s.virtualTime {
			delete(s.accounts, name)
		}
	}
}

func (s *Scheduler) enqueue(a *account, r Request) {
	s.sequence++
	q := &queuedRequest{id: r.ID, sequence: s.sequence, cost: r.Cost, class: r.Class, deadline: r.Deadline, account: a}
	q.element = a.queues[r.Class].PushBack(q)
	s.queued[r.ID] = q
	s.queuedByClass[r.Class]++
	a.queued++
	if a.activeIndex < 0 {
		a.activeIndex = len(s.active)
		s.active = append(s.active, a)
	}
}

func (s *Scheduler) remove(q *queuedRequest) {
	a := q.account
	a.queues[q.class].Remove(q.element)
	delete(s.queued, q.id)
	s.queuedByClass[q.class]--
	a.queued--
	if a.queued == 0 {
		last := s.active[len(s.active)-1]
		s.active[a.activeIndex], last.activeIndex = last, a.activeIndex
		s.active = s.active[:len(s.active)-1]
		a.activeIndex = -1
	}
}

// displace removes the newest request of the account with the longest queue
// relative to its weight, so that one account cannot fill the queues of the
// service. It returns nil if that is the arriving account.
func (s *Scheduler) displace(arriving *account) *Expired {
	longest := arriving
	longestPerWeight := float64(arriving.queued+1) / arriving.weight
	for _, a := range s.active {
		if perWeight := float64(a.queued) / a.weight; perWeight > longestPerWeight {
			longest, longestPerWeight = a, perWeight
		}
	}
	if longest == arriving {
		return nil
	}
	q := newest(longest)
	s.remove(q)
	return &Expired{ID: q.id, Account: longest.name, Reason: ReasonQueuesFull, RetryAfter: s.waitOfNext(longest, q.class)}
}

func newest(a *account) *queuedRequest {
	var latest *queuedRequest
	for c := range a.queues {
		if e := a.queues[c].Back(); e != nil {
			if q := e.Value.(*queuedRequest); latest == nil || q.sequence > latest.sequence {
				latest = q
			}
		}
	}
	return latest
}

// InFlight returns the number of requests that hold a slot.
func (s *Scheduler) InFlight() int { return s.slotsUsed() }

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.queued) }
