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

// HeartbeatInfo is the data that heartbeats carry for other packages.
type HeartbeatInfo struct {
	ConfigVersion    uint64
	Leaving          bool
	Hints            []*peerv1.QuotaHint
	InFlightByRegion map[string]uint32
	// ServiceDemand is the demand by service in thousandths of a slot.
	ServiceDemand map[string]uint32
}

// Output is the result of a step.
type Output struct {
	Sends []Send
	Table []Op
	// EpochChanged is set if Fleet returns a different epoch than before.
	EpochChanged bool
	// Evicted is set once, when this incarnation is no longer a member or cannot
	// become one. The caller then starts a new incarnation, which holds no lease
	// and no quota.
	Evicted bool
	// Left is set once, when a planned stop has removed the VM from the fleet.
	Left bool
}

// phase is the state of this incarnation.
type phase int

const (
	phaseJoining phase = iota
	phaseMember
	phaseLeaving  // planned stop requested, still a member
	phaseRemoving // removes itself because it has had no lease for selfRemovalTimeout
	phaseDone
)

// Machine is the membership and lease state machine of one incarnation of a VM.
// It has no settings; its intervals and timeouts are constants of this package
// and of core/lease. The caller serialises the calls, passes a clock that also
// advances while the VM is suspended, and drops messages addressed to another
// incarnation.
type Machine struct {
	self  *peerv1.Member
	id    lease.ID
	rnd   *rand.Rand
	info  HeartbeatInfo
	phase phase
	out   Output

	latest      *peerv1.Fleet // latest epoch known, whether or not this VM is a member
	inLatest    bool          // whether latest contains this incarnation
	learnedAt   time.Time
	epochs      epochHistory
	ackedEpochs map[lease.ID]uint64
	holder      *lease.Holder
	granter     *lease.Granter

	lastSeenAt map[lease.ID]time.Time
	heartbeats heartbeatHistory
	table      tableState
	join       joinState
	candidates map[lease.ID]*evictionCandidate
	// leaseValidAt is the last time at which the lease was seen to be valid, or
	// the time at which this VM became a member.
	leaseValidAt time.Time
	joinedAt     time.Time // time at which this VM became a member
	lastTableErr error
}

// New returns the machine of an incarnation that is not a member yet. The machine
// joins the fleet without further calls than Tick, Receive and TableResult.
func New(self *peerv1.Member, rnd *rand.Rand) *Machine {
	id := lease.IDOf(self)
	return &Machine{
		self: proto.CloneOf(self), id: id, rnd: rnd,
		ackedEpochs: map[lease.ID]uint64{},
		holder:      lease.NewHolder(id), granter: lease.NewGranter(),
		lastSeenAt: map[lease.ID]time.Time{},
		heartbeats: newHeartbeatHistory(rnd),
		table:      newTableState(),
		candidates: map[lease.ID]*evictionCandidate{},
	}
}

// SetInfo sets the data that later heartbeats carry.
func (m *Machine) SetInfo(info HeartbeatInfo) { m.info = info }

// Tick advances the machine. The caller calls it every 100 ms.
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
	return m.takeOutput()
}

func (m *Machine) memberTick(now time.Time) {
	m.sendHeartbeats(now)
	m.touch(now)
	m.renewLeaseRow(now)
	m.evictTick(now)
	m.selfRemovalTick(now)
	m.rereadFleetRow(now)
}

// Leave starts the removal of the VM from the fleet row. The lease ends at once.
// Output.Left follows, possibly in the output of this call.
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
		m.selfRemovalTick(now)
	}
	return m.takeOutput()
}

// LeaseValid reports whether the VM may admit requests.
func (m *Machine) LeaseValid(now time.Time) bool { return now.Before(m.LeaseUntil()) }

// LeaseUntil returns the end of the lease as known now, or the zero time. The
// caller may admit requests until then without calling the machine, and must read
// the time again after any other call to the machine.
func (m *Machine) LeaseUntil() time.Time {
	if m.phase != phaseMember {
		return time.Time{}
	}
	return m.holder.ValidUntil()
}

// Fleet returns the latest epoch, or nil while the VM is not a member. The caller
// must not change it.
func (m *Machine) Fleet() *peerv1.Fleet {
	if !m.isMember() {
		return nil
	}
	return m.latest
}

func (m *Machine) isMember() bool {
	return m.phase != phaseDone && m.inLatest
}

func (m *Machine) takeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Machine) send(to string, msg *peerv1.Message) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Message: msg})
}

// recordEpoch records an epoch. The version is that of the fleet row if the epoch was
// read from the table or written to it, and 0 if a peer announced the epoch.
func (m *Machine) recordEpoch(now time.Time, f *peerv1.Fleet, version uint64) {
	known := m.latest.GetEpoch()
	if f.GetEpoch() == known && version != 0 && m.latest != nil {
		m.table.rowVersion = version
	}
	if f.GetEpoch() <= known || m.phase == phaseDone {
		return
	}
	wasMember := m.isMember()
	m.latest, m.learnedAt = f, now
	m.table.rowVersion = version
	m.epochs.add(now, f)
	m.resetVotes()
	m.inLatest = findMember(f, m.id) != nil
	m.out.EpochChanged = m.out.EpochChanged || m.inLatest || wasMember
	switch {
	case m.inLatest:
		m.enterEpoch(now, wasMember)
	case wasMember:
		m.handleRemoval()
	default:
		if vm := findVM(f, m.self.GetVm()); vm.GetIncarnation() > m.id.Incarnation {
			m.handleRemoval()
		}
	}
}

// enterEpoch enters the latest epoch, of which this VM is a member.
func (m *Machine) enterEpoch(now time.Time, wasMember bool) {
	if m.phase == phaseJoining {
		m.phase = phaseMember
		m.leaseValidAt, m.joinedAt = now, now
	}
	voters := m.epochs.latest().voters
	m.table.ownRemovalSent = false
	m.holder.EnterEpoch(m.latest.GetEpoch(), voters)
	m.granter.EnterEpoch(now, m.latest.GetEpoch(), voters)
	m.ackedEpochs[m.id] = m.latest.GetEpoch()
	lastSeen := make(map[lease.ID]time.Time, voters.Size())
	for _, member := range m.latest.GetMembers() {
		id := lease.IDOf(member)
		at, ok := m.lastSeenAt[id]
		if !ok {
			at = now
		}
		lastSeen[id] = at
	}
	m.lastSeenAt = lastSeen
	m.pruneAcks(voters)
	if !wasMember {
		m.heartbeats.nextSendAt = now
	}
	m.sendHeartbeats(now)
}

// handleRemoval handles an epoch without this incarnation.
func (m *Machine) handleRemoval() {
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
	previous := m.epochs.latest().previous
	for id := range m.ackedEpochs {
		if !voters.Has(id) && !previous.Has(id) {
			delete(m.ackedEpochs, id)
		}
	}
}

// recordAck records that a VM has entered an epoch.
func (m *Machine) recordAck(now time.Time, from lease.ID, epoch uint64) {
	e := m.epochs.latest()
	if e == nil || epoch <= m.ackedEpochs[from] || !(e.voters.Has(from) || e.previous.Has(from)) {
		return
	}
	m.ackedEpochs[from] = epoch
	m.settled(now)
}

// settled reports whether the next epoch may be written.
func (m *Machine) settled(now time.Time) bool { return m.epochs.checkSettled(now, m.ackedEpochs) }
