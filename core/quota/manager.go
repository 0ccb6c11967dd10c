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
	// MaxWait is how long a request may wait for units.
	MaxWait = 250 * time.Millisecond
	// removedMemory is how long units of a removed limit are kept, so that a
	// limit removed by mistake is served again at once when it returns.
	removedMemory = time.Minute
	milliPerToken = 1000
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Decision is the outcome of Take.
type Decision struct {
	OK bool
	// Wait tells that tokens may be here within MaxWait: the caller keeps the
	// request and calls Take again after each Receive of a QuotaTransfer and
	// after each Tick.
	Wait bool
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
// does not check the lease. An unknown limit and more tokens than the burst
// are refused.
func (m *Manager) Take(now time.Time, limit string, n float64) Decision {
	s, ok := m.limits[limit]
	if !ok || !s.configured || !m.member || n > s.limit.Burst {
		return Decision{RetryAfter: maxRetryAfter}
	}
	s.refill(now)
	if s.tokens >= n {
		s.tokens -= n
		s.demand.add(now, n)
		d := Decision{OK: true}
		if s.low(now) {
			d.Sends = m.ask(now, s, s.demand.perSecond(now)*tokenHorizon.Seconds())
		}
		return d
	}
	return m.short(now, s, n)
}

// short handles a Take that found too few tokens.
func (m *Manager) short(now time.Time, s *state, n float64) Decision {
	s.asking.wait(now, n)
	sends := m.ask(now, s, n)
	wait := s.asking.open(now) || s.asking.pausedTo.Sub(now) <= minPause && !s.asking.pausedTo.IsZero() && s.asking.pause <= minPause || (s.capacity() >= n && (n-s.tokens) <= s.rate()*MaxWait.Seconds())
	if !wait {
		s.demand.add(now, n)
	}
	return Decision{Wait: wait, RetryAfter: m.retryAfter(s, n), Sends: sends}
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
		if waiting := s.asking.waiting(now); waiting > 0 {
			sends = append(sends, m.ask(now, s, waiting)...)
			s.asking.waitingTokens = 0 // the caller calls Take again
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
