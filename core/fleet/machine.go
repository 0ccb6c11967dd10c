package fleet

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Send and Op are the outputs of the machine.
type (
	Send = outbox.Send
	Op   = tableop.Op
)

// HeartbeatInfo is copied into heartbeats.
type HeartbeatInfo struct {
	ConfigVersion    uint64
	Leaving          bool
	Hints            []*peerv1.QuotaHint
	InFlightByRegion map[string]uint32
	// ServiceDemand is in thousandths of a slot, by service.
	ServiceDemand map[string]uint32
}

// Output is the result of a step.
type Output struct {
	Sends []Send
	Table []Op
	// EpochChanged is set if Fleet returns another epoch than before.
	EpochChanged bool
	// Evicted is set once, when this incarnation is no longer a member or
	// cannot become one. The caller starts a new incarnation, which holds
	// nothing.
	Evicted bool
	// Left is set once, when a planned stop has removed the VM.
	Left bool
}

// phase is the state of this incarnation.
type phase int

const (
	phaseJoining phase = iota
	phaseMember
	phaseLeaving  // planned stop requested, still a member
	phaseRemoving // removes itself after a long time without a lease
	phaseDone
)

// Machine is the membership and lease state machine of one incarnation of a
// VM. It has no settings; its periods are the constants of this package and of
// core/lease. The caller serialises the calls, passes a clock that also
// advances while the VM is suspended, and drops messages that are addressed to
// another incarnation.
type Machine struct {
	self  *peerv1.Member
	id    lease.ID
	rnd   *rand.Rand
	info  HeartbeatInfo
	phase phase
	out   Output

	current   *peerv1.Fleet // latest epoch known, member or not
	member    bool          // whether current contains this incarnation
	enteredAt time.Time
	chain     chain
	acked     map[lease.ID]uint64
	holder    *lease.Holder
	granter   *lease.Granter

	heard      map[lease.ID]time.Time
	beats      heartbeats
	table      tableState
	join       joinState
	candidates map[lease.ID]*candidate
	// validAt is the last time at which the lease was seen valid, or the time
	// of the first entry.
	validAt  time.Time
	joinedAt time.Time // first entry
	lastErr  error
}

// New returns the machine of an incarnation that is not a member yet. It joins
// the fleet by itself.
func New(self *peerv1.Member, rnd *rand.Rand) *Machine {
	id := lease.IDOf(self)
	return &Machine{
		self: proto.CloneOf(self), id: id, rnd: rnd,
		acked:  map[lease.ID]uint64{},
		holder: lease.NewHolder(id), granter: lease.NewGranter(),
		heard:      map[lease.ID]time.Time{},
		beats:      newHeartbeats(rnd),
		table:      newTableState(),
		candidates: map[lease.ID]*candidate{},
	}
}

// SetInfo sets what later heartbeats carry.
func (m *Machine) SetInfo(info HeartbeatInfo) { m.info = info }

// Tick advances the machine; it is called every 100 ms.
func (m *Machine) Tick(now time.Time) Output {
	if m.phase == phaseDone {
		return Output{}
	}
	m.table.expire(now)
	if m.isMember() {
		m.memberTick(now)
	} else {
		m.joinTick(now)
	}
	return m.flush()
}

func (m *Machine) memberTick(now time.Time) {
	m.sendHeartbeats(now)
	m.touch(now)
	m.renewLeaseRow(now)
	m.evictTick(now)
	m.removeTick(now)
	m.resolveRow(now)
}

// Leave starts the removal of the VM from the fleet row. The lease ends at
// once. Output.Left follows, possibly in this call.
func (m *Machine) Leave(now time.Time) Output {
	switch m.phase {
	case phaseJoining:
		m.phase = phaseLeaving
		if !m.table.writing() {
			m.finishLeave()
		}
	case phaseMember, phaseRemoving:
		m.phase = phaseLeaving
		m.holder.Release()
		m.removeTick(now)
	}
	return m.flush()
}

// LeaseValid reports whether the VM may admit requests.
func (m *Machine) LeaseValid(now time.Time) bool { return now.Before(m.LeaseUntil()) }

// LeaseUntil returns the end of the lease known now, or the zero time. The
// caller may admit until then without further calls to the machine; after any
// other call it reads the time again.
func (m *Machine) LeaseUntil() time.Time {
	if m.phase != phaseMember {
		return time.Time{}
	}
	return m.holder.Until()
}

// Fleet returns the current epoch, or nil while the VM is not a member. The
// caller does not change it.
func (m *Machine) Fleet() *peerv1.Fleet {
	if !m.isMember() {
		return nil
	}
	return m.current
}

func (m *Machine) isMember() bool {
	return m.phase != phaseDone && m.member
}

func (m *Machine) flush() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Machine) send(to string, msg *peerv1.Message) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Message: msg})
}

// learn takes note of an epoch read from the table (version is that of the
// row) or told by a peer (version is 0).
func (m *Machine) learn(now time.Time, f *peerv1.Fleet, version uint64) {
	known := m.current.GetEpoch()
	if f.GetEpoch() == known && version != 0 && m.current != nil {
		m.table.rowVersion = version
	}
	if f.GetEpoch() <= known || m.phase == phaseDone {
		return
	}
	wasMember := m.isMember()
	m.current, m.enteredAt = f, now
	m.table.rowVersion = version
	m.chain.learn(now, f)
	m.resetVotes()
	m.member = findMember(f, m.id) != nil
	m.out.EpochChanged = m.out.EpochChanged || m.member || wasMember
	switch {
	case m.member:
		m.enter(now, wasMember)
	case wasMember:
		m.removed()
	default:
		if vm := findVM(f, m.self.GetVm()); vm.GetIncarnation() > m.id.Incarnation {
			m.removed()
		}
	}
}

// enter takes part in the current epoch.
func (m *Machine) enter(now time.Time, wasMember bool) {
	if m.phase == phaseJoining {
		m.phase = phaseMember
		m.validAt, m.joinedAt = now, now
	}
	voters := m.chain.current().voters
	m.table.removalInDoubt = false
	m.holder.Enter(m.current.GetEpoch(), voters)
	m.granter.Enter(now, m.current.GetEpoch(), voters)
	m.acked[m.id] = m.current.GetEpoch()
	heard := make(map[lease.ID]time.Time, voters.Size())
	for _, member := range m.current.GetMembers() {
		id := lease.IDOf(member)
		at, ok := m.heard[id]
		if !ok {
			at = now
		}
		heard[id] = at
	}
	m.heard = heard
	m.pruneAcks(voters)
	if !wasMember {
		m.beats.next = now
	}
	m.sendHeartbeats(now)
}

// removed handles an epoch without this incarnation.
func (m *Machine) removed() {
	if m.phase == phaseLeaving {
		m.finishLeave()
		return
	}
	m.phase = phaseDone
	m.holder.Release()
	m.out.Evicted = true
}

func (m *Machine) finishLeave() {
	m.phase = phaseDone
	m.holder.Release()
	m.out.Left = true
}

func (m *Machine) pruneAcks(voters lease.Voters) {
	previous := m.chain.current().previous
	for id := range m.acked {
		if !voters.Has(id) && !previous.Has(id) {
			delete(m.acked, id)
		}
	}
}

// noteAck records that the VM acts under an epoch.
func (m *Machine) noteAck(now time.Time, from lease.ID, epoch uint64) {
	e := m.chain.current()
	if e == nil || epoch <= m.acked[from] || !(e.voters.Has(from) || e.previous.Has(from)) {
		return
	}
	m.acked[from] = epoch
	m.settled(now)
}

// settled reports whether the next epoch may be written.
func (m *Machine) settled(now time.Time) bool { return m.chain.settle(now, m.acked) }
