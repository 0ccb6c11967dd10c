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
	// MaxWait is the maximum time for which a request may wait for units: two
	// round trips between regions of 110 ms, with a margin.
	MaxWait = 250 * time.Millisecond
	// removedLimitGracePeriod is how long the units of a removed limit are kept, so
	// that a limit that was removed by mistake has its units as soon as it is
	// declared again.
	removedLimitGracePeriod = time.Minute
	milliPerToken           = 1000
	minWaitFor              = time.Millisecond
	minRetryAfter           = time.Second
	maxRetryAfter           = 30 * time.Second
)

// Decision is the result of Take and Retry.
type Decision struct {
	OK bool
	// Wait is set if tokens may become available within MaxWait. The caller then
	// keeps the request and calls Retry after each Receive of a QuotaTransfer,
	// after each Tick, and after WaitFor, in the order of arrival of the waiting
	// requests.
	Wait bool
	// WaitFor is the time in which this VM's own units earn the tokens.
	WaitFor time.Duration
	// RetryAfter is the estimated time until tokens are available, 0 if OK.
	RetryAfter time.Duration
	Sends      []Send
}

// LimitStatus is this VM's share of one limit.
type LimitStatus struct {
	Limit  Limit
	Units  uint32
	Tokens float64
	// DemandPerSecond is the recent demand at this VM in tokens per second.
	DemandPerSecond float64
}

// peer is another member of the epoch.
type peer struct {
	member     *peerv1.Member
	sameRegion bool // whether it is in the region of this VM
	sequence   uint64
	received   duplicateFilter
}

// Manager holds this VM's units of all limits. It holds nothing until EnterEpoch
// is called. The caller serialises the calls and checks the lease before each
// Take.
type Manager struct {
	self string
	rnd  *rand.Rand

	limits map[string]*limitState
	sorted []*limitState // by name

	fleet         *peerv1.Fleet // last epoch entered
	member        bool          // false after EnterEpoch(nil)
	incarnation   uint64        // of this VM in the fleet
	region        string        // of this VM
	peers         []*peer       // by VM id
	regionCount   int           // regions with members
	earlyMessages []earlyMessage

	leaving    bool
	handOverTo []string

	hintCall        int
	hintAllLimits   bool
	rounds          rounds
	candidateBuffer []candidate
}

// New returns the Manager of the VM. Random numbers from rnd select among equal
// peers, which spreads the load.
func New(selfVM string, rnd *rand.Rand) *Manager {
	return &Manager{self: selfVM, rnd: rnd, limits: map[string]*limitState{}}
}

// SetLimits replaces the declared limits. A changed rate or burst moves no units.
// Tokens above a lowered burst are dropped immediately.
func (m *Manager) SetLimits(now time.Time, limits []Limit) {
	declared := make(map[string]bool, len(limits))
	for _, l := range limits {
		declared[l.Name] = true
		s := m.state(now, l.Name)
		s.refill(now)
		s.limit, s.configured = l, true
		s.capTokens()
		m.assignHomes(s)
	}
	for _, s := range m.sorted {
		if s.configured && !declared[s.limit.Name] {
			s.limit = Limit{Name: s.limit.Name}
			s.configured, s.removedAt, s.tokens = false, now, 0
		}
	}
}

// state returns the state of the limit, creating it without units if necessary.
func (m *Manager) state(now time.Time, name string) *limitState {
	if s, ok := m.limits[name]; ok {
		return s
	}
	s := &limitState{limit: Limit{Name: name}, removedAt: now, refilledAt: now, hints: make([]peerHint, len(m.peers))}
	m.assignHomes(s)
	m.limits[name] = s
	at, _ := slices.BinarySearchFunc(m.sorted, name, func(s *limitState, n string) int { return cmp.Compare(s.limit.Name, n) })
	m.sorted = slices.Insert(m.sorted, at, s)
	return s
}

// Take takes n tokens of the limit, or reports whether to wait for them. The
// caller calls it once for each request, and Retry for a request that waits. Take
// does not check the lease. It refuses an unknown limit and more tokens than the
// burst.
func (m *Manager) Take(now time.Time, limit string, n float64) Decision {
	s, ok := m.limits[limit]
	if !ok || !s.configured || !m.member || n > s.limit.Burst {
		return Decision{RetryAfter: maxRetryAfter}
	}
	s.refill(now)
	s.demand.add(now, n)
	// Requests that wait are served first.
	if s.tokens >= n+s.waiting.total(now) {
		s.tokens -= n
		return Decision{OK: true}
	}
	s.waiting.add(now, n)
	d := m.handleShortage(now, s, n)
	if !d.Wait && s.tokens >= n {
		s.tokens -= n
		d.OK, d.RetryAfter = true, 0
	}
	return d
}

// Retry is Take for a waiting request. A request stops waiting when it has its
// tokens, when Wait is false, or after MaxWait without a call.
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
	return m.handleShortage(now, s, n)
}

// handleShortage handles a request for which too few tokens are available.
func (m *Manager) handleShortage(now time.Time, s *limitState, n float64) Decision {
	sends := m.requestForWaiting(now, s)
	d := Decision{RetryAfter: m.retryAfter(s, n), Sends: sends}
	if s.requests.awaiting(now) || s.ownUnitsSuffice(now, n, MaxWait) || s.requests.inShortBackoff(now) {
		d.Wait, d.WaitFor = true, s.timeToEarn(n)
		return d
	}
	s.waiting.remove(now, n)
	return d
}

// timeToEarn returns the time in which this VM's units earn n tokens.
func (s *limitState) timeToEarn(n float64) time.Duration {
	if s.capacity() < n {
		return MaxWait
	}
	seconds := (n - s.tokens) / s.rate()
	return min(MaxWait, max(minWaitFor, time.Duration(seconds*float64(time.Second))))
}

// retryAfter estimates the time until this VM's units, or an even share of the
// limit if that is more, have earned n tokens.
func (m *Manager) retryAfter(s *limitState, n float64) time.Duration {
	rate := max(s.rate(), s.limit.RatePerSecond/float64(len(m.peers)+1))
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min((n-s.tokens)/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Refund returns n tokens of a request that was not run. The caller must refund
// immediately, before the bucket refills in their place, because the bound on
// admissions counts the tokens taken minus the tokens refunded.
func (m *Manager) Refund(now time.Time, limit string, n float64) {
	if s, ok := m.limits[limit]; ok && n > 0 {
		s.refill(now)
		s.tokens += n
		s.capTokens()
	}
}

// Tick does the periodic work. The caller calls it every 100 ms.
func (m *Manager) Tick(now time.Time) []Send {
	if !m.member {
		return nil
	}
	if m.leaving {
		return m.transferAllUnits(now)
	}
	sends := m.reconcileTick(now)
	for _, s := range m.sorted {
		if !s.configured {
			continue
		}
		s.refill(now)
		if s.waiting.total(now) > 0 {
			sends = append(sends, m.requestForWaiting(now, s)...)
		} else if m.needsRebalance(now, s) {
			sends = append(sends, m.requestUnits(now, s, 0)...)
		} else {
			sends = append(sends, m.returnToHome(now, s)...)
		}
	}
	return sends
}

// Receive handles a message of a peer. Messages of VMs outside the epoch and of
// other packages are ignored.
func (m *Manager) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) []Send {
	if from == nil || msg == nil {
		return nil
	}
	epoch, ours := epochOf(msg)
	if !ours || epoch < m.fleet.GetEpoch() {
		return nil
	}
	if epoch > m.fleet.GetEpoch() {
		m.bufferEarlyMessage(from, msg)
		return nil
	}
	p := m.peerIndex(from.GetVm())
	if !m.member || p < 0 || m.peers[p].member.GetIncarnation() != from.GetIncarnation() {
		return nil
	}
	switch k := msg.GetKind().(type) {
	case *peerv1.Message_QuotaRequest:
		return m.handleRequest(now, p, k.QuotaRequest)
	case *peerv1.Message_QuotaTransfer:
		return m.handleTransfer(now, p, k.QuotaTransfer)
	case *peerv1.Message_ReconcileRequest:
		return m.handleReconcileRequest(now, p, k.ReconcileRequest)
	case *peerv1.Message_ReconcileReport:
		return m.handleReconcileReport(now, p, k.ReconcileReport)
	case *peerv1.Message_ReconcileCredit:
		return m.handleReconcileCredit(now, p, k.ReconcileCredit)
	}
	return nil
}

// epochOf returns the epoch of a message, and whether the message belongs to this
// package.
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

// peerIndex returns the index of the VM among the peers, or -1.
func (m *Manager) peerIndex(vm string) int {
	at, ok := slices.BinarySearchFunc(m.peers, vm, func(p *peer, v string) int { return cmp.Compare(p.member.GetVm(), v) })
	if !ok {
		return -1
	}
	return at
}

// Status returns this VM's share of every limit that is declared or of which it
// holds units, by name.
func (m *Manager) Status(now time.Time) []LimitStatus {
	out := make([]LimitStatus, 0, len(m.sorted))
	for _, s := range m.sorted {
		if s.configured || s.units > 0 {
			s.refill(now)
			out = append(out, LimitStatus{Limit: s.limit, Units: s.units, Tokens: s.tokens, DemandPerSecond: s.demand.perSecond(now)})
		}
	}
	return out
}
