package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/outbox"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Send is a message for one peer.
type Send = outbox.Send

const (
	// MaxWait is how long a request may wait for units: two round trips
	// between regions of 110 ms, with a margin.
	MaxWait = 250 * time.Millisecond
	// removedMemory is how long units of a removed limit are kept, so that a
	// limit removed by mistake is served again at once when it returns.
	removedMemory = time.Minute
	milliPerToken = 1000
	minWaitFor    = time.Millisecond
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Decision is the outcome of Take.
type Decision struct {
	OK bool
	// Wait tells that tokens may be here within MaxWait: the caller keeps the
	// request and calls Retry after each Receive of a QuotaTransfer, after each
	// Tick, and after WaitFor, in the order of arrival.
	Wait bool
	// WaitFor is the time in which this VM's own units earn the tokens.
	WaitFor time.Duration
	// RetryAfter estimates when tokens are available; 0 if OK.
	RetryAfter time.Duration
	Sends      []Send
}

// LimitStatus is this VM's part of one limit.
type LimitStatus struct {
	Limit  Limit
	Units  uint32
	Tokens float64
	// DemandPerSecond is the recent demand at this VM, in tokens per second.
	DemandPerSecond float64
}

// peer is another member of the epoch.
type peer struct {
	member   *peerv1.Member
	near     bool // in the region of this VM
	sequence uint64
	seen     window
}

// Manager holds this VM's units of all limits. It holds nothing until
// EnterEpoch is called. The caller serialises the calls and checks the lease
// before each Take.
type Manager struct {
	self string
	rnd  *rand.Rand

	limits map[string]*state
	order  []*state // by name

	fleet       *peerv1.Fleet // of the last epoch entered
	member      bool          // false after EnterEpoch(nil)
	incarnation uint64        // of this VM in the fleet
	near        string        // region of this VM
	peers       []*peer       // by VM id
	regions     int           // of the members
	future      []early

	leaving bool
	heirs   []string

	hintTurn int
	hintAll  bool
	rounds   rounds
	scratch  []candidate
}

// New returns the Manager of the VM. It draws from rnd to spread load.
func New(selfVM string, rnd *rand.Rand) *Manager {
	return &Manager{self: selfVM, rnd: rnd, limits: map[string]*state{}}
}

// SetLimits replaces the declared limits. A changed rate or burst moves no
// units, and tokens above a lowered burst are dropped at once.
func (m *Manager) SetLimits(now time.Time, limits []Limit) {
	declared := make(map[string]bool, len(limits))
	for _, l := range limits {
		declared[l.Name] = true
		s := m.state(now, l.Name)
		s.refill(now)
		s.limit, s.configured = l, true
		s.clamp()
		m.setHome(s)
	}
	for _, s := range m.order {
		if s.configured && !declared[s.limit.Name] {
			s.limit = Limit{Name: s.limit.Name}
			s.configured, s.removedAt, s.tokens = false, now, 0
		}
	}
}

// state returns the state of the limit, creating it without units.
func (m *Manager) state(now time.Time, name string) *state {
	if s, ok := m.limits[name]; ok {
		return s
	}
	s := &state{limit: Limit{Name: name}, removedAt: now, filledAt: now, hints: make([]peerHint, len(m.peers))}
	m.setHome(s)
	m.limits[name] = s
	at, _ := slices.BinarySearchFunc(m.order, name, func(s *state, n string) int { return cmp.Compare(s.limit.Name, n) })
	m.order = slices.Insert(m.order, at, s)
	return s
}

// Take takes n tokens of the limit, or tells whether waiting is worthwhile. It
// is called once for each request; a request that waits calls Retry. It does
// not check the lease. An unknown limit and more tokens than the burst are
// refused.
func (m *Manager) Take(now time.Time, limit string, n float64) Decision {
	s, ok := m.limits[limit]
	if !ok || !s.configured || !m.member || n > s.limit.Burst {
		return Decision{RetryAfter: maxRetryAfter}
	}
	s.refill(now)
	s.demand.add(now, n)
	// Requests that wait are served first.
	if s.tokens >= n+s.waiting.tokens(now) {
		s.tokens -= n
		return Decision{OK: true}
	}
	s.waiting.add(now, n)
	d := m.short(now, s, n)
	if !d.Wait && s.tokens >= n {
		s.tokens -= n
		d.OK, d.RetryAfter = true, 0
	}
	return d
}

// Retry is Take for a request that waits. A request stops waiting when it has
// its tokens, when Wait is false, or after MaxWait without a call.
func (m *Manager) Retry(now time.Time, limit string, n float64) Decision {
	s, ok := m.limits[limit]
	if !ok || !s.configured || !m.member || n > s.limit.Burst {
		return Decision{RetryAfter: maxRetryAfter}
	}
	s.refill(now)
	if s.tokens >= n {
		s.tokens -= n
		s.waiting.remove(now, n)
		return Decision{OK: true}
	}
	return m.short(now, s, n)
}

// short handles a request that found too few tokens.
func (m *Manager) short(now time.Time, s *state, n float64) Decision {
	sends := m.askForWaiting(now, s)
	d := Decision{RetryAfter: m.retryAfter(s, n), Sends: sends}
	if s.asking.open(now) || s.ownSuffice(now, n, MaxWait) || s.asking.pausedBriefly(now) {
		d.Wait, d.WaitFor = true, s.nextTime(n)
		return d
	}
	s.waiting.remove(now, n)
	return d
}

// nextTime returns the time in which the own units earn n tokens.
func (s *state) nextTime(n float64) time.Duration {
	if s.capacity() < n {
		return MaxWait
	}
	seconds := (n - s.tokens) / s.rate()
	return min(MaxWait, max(minWaitFor, time.Duration(seconds*float64(time.Second))))
}

// retryAfter estimates the time until the fleet has earned n tokens for this
// VM, given an even share.
func (m *Manager) retryAfter(s *state, n float64) time.Duration {
	rate := max(s.rate(), s.limit.RatePerSecond/float64(len(m.peers)+1))
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min((n-s.tokens)/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Refund returns n tokens of a request that was not run. The caller refunds
// at once, before the bucket can refill in their place: the bound on
// admissions counts tokens taken less tokens refunded.
func (m *Manager) Refund(now time.Time, limit string, n float64) {
	if s, ok := m.limits[limit]; ok && n > 0 {
		s.refill(now)
		s.tokens += n
		s.clamp()
	}
}

// Tick runs the periodic work. It is called every 100 ms.
func (m *Manager) Tick(now time.Time) []Send {
	if !m.member {
		return nil
	}
	if m.leaving {
		return m.handOver(now)
	}
	sends := m.reconcileTick(now)
	for _, s := range m.order {
		if !s.configured {
			continue
		}
		s.refill(now)
		if s.waiting.tokens(now) > 0 {
			sends = append(sends, m.askForWaiting(now, s)...)
		} else if m.wantsMore(now, s) {
			sends = append(sends, m.ask(now, s, 0)...)
		} else {
			sends = append(sends, m.goHome(now, s)...)
		}
	}
	return sends
}

// Receive handles a message of a peer. Messages of VMs outside the epoch and
// of other packages are ignored.
func (m *Manager) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) []Send {
	if from == nil || msg == nil {
		return nil
	}
	epoch, ours := epochOf(msg)
	if !ours || epoch < m.fleet.GetEpoch() {
		return nil
	}
	if epoch > m.fleet.GetEpoch() {
		m.keepEarly(from, msg)
		return nil
	}
	p := m.peer(from.GetVm())
	if !m.member || p < 0 || m.peers[p].member.GetIncarnation() != from.GetIncarnation() {
		return nil
	}
	switch k := msg.GetKind().(type) {
	case *peerv1.Message_QuotaRequest:
		return m.give(now, p, k.QuotaRequest)
	case *peerv1.Message_QuotaTransfer:
		return m.accept(now, p, k.QuotaTransfer)
	case *peerv1.Message_ReconcileRequest:
		return m.report(now, p, k.ReconcileRequest)
	case *peerv1.Message_ReconcileReport:
		return m.collect(now, p, k.ReconcileReport)
	case *peerv1.Message_ReconcileCredit:
		return m.credit(now, p, k.ReconcileCredit)
	}
	return nil
}

// epochOf returns the epoch of a message of this package.
func epochOf(msg *peerv1.Message) (epoch uint64, ours bool) {
	switch k := msg.GetKind().(type) {
	case *peerv1.Message_QuotaRequest:
		return k.QuotaRequest.GetEpoch(), true
	case *peerv1.Message_QuotaTransfer:
		return k.QuotaTransfer.GetEpoch(), true
	case *peerv1.Message_ReconcileRequest:
		return k.ReconcileRequest.GetEpoch(), true
	case *peerv1.Message_ReconcileReport:
		return k.ReconcileReport.GetEpoch(), true
	case *peerv1.Message_ReconcileCredit:
		return k.ReconcileCredit.GetEpoch(), true
	}
	return 0, false
}

// peer returns the index of the VM among the peers, or -1.
func (m *Manager) peer(vm string) int {
	at, ok := slices.BinarySearchFunc(m.peers, vm, func(p *peer, v string) int { return cmp.Compare(p.member.GetVm(), v) })
	if !ok {
		return -1
	}
	return at
}

// Status returns this VM's part of every declared limit, by name.
func (m *Manager) Status(now time.Time) []LimitStatus {
	out := make([]LimitStatus, 0, len(m.order))
	for _, s := range m.order {
		if s.configured || s.units > 0 {
			s.refill(now)
			out = append(out, LimitStatus{Limit: s.limit, Units: s.units, Tokens: s.tokens, DemandPerSecond: s.demand.perSecond(now)})
		}
	}
	return out
}
