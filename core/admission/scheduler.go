package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	defaultMinPart         = 0.3
	defaultQueuePerAccount = 256
	defaultQueueTotal      = 1024
	defaultServiceTime     = 20 * time.Millisecond
	defaultMaxWait         = 500 * time.Millisecond
	// serviceGain weighs one request in the average time in a slot.
	serviceGain = 0.05
	// idleAccounts is the number of accounts above which those without queue and
	// without a claim on virtual time are dropped.
	idleAccounts = 1024
)

// Scheduler admits the requests of one service to this VM's slots by start-time
// fair queueing. It is work-conserving: a slot is free only if nothing is
// queued.
type Scheduler struct {
	cfg   Config
	slots int
	// virtual is the system's virtual time: the start time of the last request
	// admitted, but not above that of any account with requests queued. Without
	// that bound, an account served by the guaranteed part of its class would
	// move the time ahead, and a newly active account would wait for all others
	// to catch up.
	virtual  float64
	accounts map[string]*account
	active   []*account
	queued   map[uint64]*waiting
	running  map[uint64]running
	last     Class // class admitted last
	inUse    [classes]int
	length   [classes]int
	sequence uint64
	demand   demand
	// service is the average time in a slot, in seconds.
	service float64
}

// running is a request that holds a slot.
type running struct {
	class Class
	since time.Time
}

// New returns a Scheduler with cfg.Slots slots.
func New(cfg Config) *Scheduler {
	cfg.MinLookupShare = cmp.Or(cfg.MinLookupShare, defaultMinPart)
	cfg.MinBookingShare = cmp.Or(cfg.MinBookingShare, defaultMinPart)
	cfg.MaxQueuedPerAccount = cmp.Or(cfg.MaxQueuedPerAccount, defaultQueuePerAccount)
	cfg.MaxQueuedTotal = cmp.Or(cfg.MaxQueuedTotal, defaultQueueTotal)
	cfg.InitialServiceTime = cmp.Or(cfg.InitialServiceTime, defaultServiceTime)
	cfg.MaxWait = cmp.Or(cfg.MaxWait, defaultMaxWait)
	return &Scheduler{
		cfg:      cfg,
		slots:    cfg.Slots,
		accounts: make(map[string]*account),
		queued:   make(map[uint64]*waiting),
		running:  make(map[uint64]running),
		service:  cfg.InitialServiceTime.Seconds(),
	}
}

// SetSlots sets this VM's part of the service's slots. Requests that hold a slot
// keep it. After an increase, call Admit.
func (s *Scheduler) SetSlots(_ time.Time, slots int) { s.slots = max(0, slots) }

// Offer asks for a slot. A queued request is returned later by Release, Cancel,
// Admit or Expire.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	if r.Cost <= 0 {
		r.Cost = 1
	}
	s.demand.add(now, r.Cost)
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Verdict: Rejected, Reason: ReasonDeadlinePassed}
	}
	a := s.account(r)
	if len(s.queued) == 0 && s.used() < s.slots {
		s.run(now, a, r.ID, r.Class, r.Cost)
		return Decision{Verdict: Admitted}
	}
	wait := s.nextWait(a, r.Class)
	if a.length >= s.cfg.MaxQueuedPerAccount {
		return Decision{Verdict: Rejected, Reason: ReasonAccountQueueFull, RetryAfter: wait}
	}
	if cautious := time.Duration(arrivalMargin * float64(wait)); s.tooLate(now, cautious, r.Deadline) {
		return Decision{Verdict: Rejected, Reason: ReasonWaitExceedsDeadline, RetryAfter: s.retryAfter(now, cautious, r.Deadline)}
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

// Release ends a request that holds a slot and returns the ids admitted next.
func (s *Scheduler) Release(now time.Time, id uint64) []uint64 {
	if r, ok := s.running[id]; ok {
		delete(s.running, id)
		s.inUse[r.class]--
		s.service += serviceGain * (now.Sub(r.since).Seconds() - s.service)
	}
	return s.Admit(now)
}

// Cancel withdraws a request, queued or running, whose caller has gone, and
// returns the ids admitted next. Its time in a slot is not counted as service
// time.
func (s *Scheduler) Cancel(now time.Time, id uint64) []uint64 {
	if w, ok := s.queued[id]; ok {
		s.remove(w)
	}
	if r, ok := s.running[id]; ok {
		delete(s.running, id)
		s.inUse[r.class]--
	}
	return s.Admit(now)
}

// Admit fills free slots and returns the ids admitted, nil if there are none.
func (s *Scheduler) Admit(now time.Time) []uint64 {
	var ids []uint64
	for s.used() < s.slots && len(s.queued) > 0 {
		w := s.next()
		s.remove(w)
		w.account.drains[w.class].admitted(now, w.account.queues[w.class].Len())
		s.run(now, w.account, w.id, w.class, w.cost)
		ids = append(ids, w.id)
	}
	return ids
}

// next returns the queued request to admit: of the class below its minimum part
// if there is one, otherwise of any class, the one with the smallest virtual
// start time.
func (s *Scheduler) next() *waiting {
	var best *waiting
	var bestStart float64
	only, restricted := s.classBelowMinimum()
	for _, a := range s.active {
		w := a.head(only)
		if !restricted {
			w = older(a.head(Lookup), a.head(Booking))
		}
		if w == nil {
			continue
		}
		start := a.start(s.virtual)
		if best == nil || start < bestStart || start == bestStart && w.sequence < best.sequence {
			best, bestStart = w, start
		}
	}
	return best
}

func older(a, b *waiting) *waiting {
	if a == nil || b != nil && b.sequence < a.sequence {
		return b
	}
	return a
}

// classBelowMinimum returns the class that must be served next because it has
// requests queued and uses less than its minimum part, the one with the smaller
// use if both do.
func (s *Scheduler) classBelowMinimum() (Class, bool) {
	lookups, bookings := s.deficit(Lookup), s.deficit(Booking)
	if lookups <= 0 && bookings <= 0 {
		return Lookup, false
	}
	if bookings == lookups {
		// With few slots both minimums are one slot: the classes take turns.
		return Booking - s.last, true
	}
	if bookings > lookups {
		return Booking, true
	}
	return Lookup, true
}

// deficit is the unused part of the class's minimum, 0 if it has enough or needs
// nothing.
func (s *Scheduler) deficit(c Class) float64 {
	if s.length[c] == 0 {
		return 0
	}
	return max(0, 1-float64(s.inUse[c])/s.minimum(c))
}

// minimum is the class's guaranteed number of slots, at least one.
func (s *Scheduler) minimum(c Class) float64 {
	part := s.cfg.MinLookupShare
	if c == Booking {
		part = s.cfg.MinBookingShare
	}
	return max(1, math.Floor(part*float64(s.slots)))
}

func (s *Scheduler) used() int { return s.inUse[Lookup] + s.inUse[Booking] }

func (s *Scheduler) run(now time.Time, a *account, id uint64, c Class, cost float64) {
	start := a.start(s.virtual)
	for _, other := range s.active {
		start = min(start, other.start(s.virtual))
	}
	s.virtual = max(s.virtual, start)
	a.charge(s.virtual, cost)
	s.running[id] = running{class: c, since: now}
	s.inUse[c]++
	s.last = c
}

// account returns the state of the request's account, with its present weight.
func (s *Scheduler) account(r Request) *account {
	a := s.accounts[r.Account]
	if a == nil {
		if len(s.accounts) >= idleAccounts {
			s.dropIdle()
		}
		a = &account{name: r.Account, active: -1}
		s.accounts[r.Account] = a
	}
	a.weight = 1
	if r.Weight > 0 {
		a.weight = r.Weight
	}
	return a
}

// dropIdle forgets accounts whose next request would start at the present
// virtual time, as a new account's would.
func (s *Scheduler) dropIdle() {
	for name, a := range s.accounts {
		if a.length == 0 && a.finish <= s.virtual {
			delete(s.accounts, name)
		}
	}
}

func (s *Scheduler) enqueue(a *account, r Request) {
	s.sequence++
	w := &waiting{id: r.ID, sequence: s.sequence, cost: r.Cost, class: r.Class, deadline: r.Deadline, account: a}
	w.element = a.queues[r.Class].PushBack(w)
	s.queued[r.ID] = w
	s.length[r.Class]++
	a.length++
	if a.active < 0 {
		a.active = len(s.active)
		s.active = append(s.active, a)
	}
}

func (s *Scheduler) remove(w *waiting) {
	a := w.account
	a.queues[w.class].Remove(w.element)
	delete(s.queued, w.id)
	s.length[w.class]--
	a.length--
	if a.length == 0 {
		last := s.active[len(s.active)-1]
		s.active[a.active], last.active = last, a.active
		s.active = s.active[:len(s.active)-1]
		a.active = -1
	}
}

// displace gives up the newest request of the account with the longest queue for
// its weight, so that one account cannot fill the queues of the service. It
// returns nil if the arriving account has the longest queue itself.
func (s *Scheduler) displace(arriving *account) *Expired {
	longest := arriving
	longestPart := float64(arriving.length+1) / arriving.weight
	for _, a := range s.active {
		if part := float64(a.length) / a.weight; part > longestPart {
			longest, longestPart = a, part
		}
	}
	if longest == arriving {
		return nil
	}
	w := newest(longest)
	s.remove(w)
	return &Expired{ID: w.id, Account: longest.name, Reason: ReasonQueuesFull, RetryAfter: s.nextWait(longest, w.class)}
}

func newest(a *account) *waiting {
	var w *waiting
	for c := range a.queues {
		if e := a.queues[c].Back(); e != nil {
			if v := e.Value.(*waiting); w == nil || v.sequence > w.sequence {
				w = v
			}
		}
	}
	return w
}

// InFlight returns the number of requests that hold a slot.
func (s *Scheduler) InFlight() int { return s.used() }

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.queued) }
