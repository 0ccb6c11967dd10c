package fleet

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// tableCallTimeout is the time after which another call of the same kind may
	// be made although the result of the earlier one is outstanding.
	tableCallTimeout = 2 * time.Second
	// tableRetryInterval is the minimum time between table calls of the same
	// kind.
	tableRetryInterval = 250 * time.Millisecond
	// touchIntervalPerMember times the number of members is the mean time between
	// writes of one VM to the touch row. Thus the whole fleet writes it every 2 s
	// on average.
	touchIntervalPerMember = 2 * time.Second
	// leaseRenewThreshold is the remaining lease by member grants below which the
	// lease row is renewed. A heartbeat round leaves at least 1.1 s, so less than
	// 0.9 s means that a round was lost. In 0.9 s the table can be read and
	// written.
	leaseRenewThreshold = 900 * time.Millisecond
	// firstGrantsTimeout is how long a new member waits for member grants before
	// it renews its lease row.
	firstGrantsTimeout = 500 * time.Millisecond
)

type opKind int

const (
	opReadRow opKind = iota
	opReadCandidates
	opTouch
	opRenew
	opWriteRow
	opKindCount
)

type pendingOp struct {
	kind       opKind
	sentAt     time.Time
	epoch      uint64
	candidates []lease.ID
	nextFleet  *peerv1.Fleet
}

// tableState is the state of the table calls and what they returned.
type tableState struct {
	lastOpID    uint64
	pending     map[uint64]pendingOp
	outstanding [opKindCount]uint64 // ID of the outstanding call of a kind, or 0
	sentAt      [opKindCount]time.Time

	rowVersion     uint64 // version of the fleet row of the latest epoch, 0 if unknown
	rowAbsent      bool
	nextTouchAt    time.Time
	rowKnownAt     time.Time // last answer that confirmed the state of the fleet row
	touchVersion   uint64
	unchangedSince time.Time // time since which the fleet row and the touch row are unchanged
	changeCount    uint64
	nextWriteAt    time.Time // earliest time of the next change of the fleet row
	// unresolvedChange is a change whose outcome is not known, or nil.
	unresolvedChange *peerv1.Fleet
	unresolvedAt     time.Time
	// ownRemovalSent is set when this VM sends the write that removes itself, until
	// it enters a later epoch. Meanwhile it grants nothing, because the epoch that
	// removes it counts it among the VMs that have entered that epoch.
	ownRemovalSent bool
}

func newTableState() tableState { return tableState{pending: map[uint64]pendingOp{}} }

// expire stops waiting for calls older than tableCallTimeout so that others can
// be made. Their results are still handled.
func (t *tableState) expire(now time.Time) {
	for kind := range t.outstanding {
		if t.outstanding[kind] != 0 && now.Sub(t.sentAt[kind]) >= tableCallTimeout {
			t.outstanding[kind] = 0
		}
	}
}

func (t *tableState) busy(kind opKind) bool { return t.outstanding[kind] != 0 }

// ready reports whether a call of the kind may be made.
func (t *tableState) ready(now time.Time, kind opKind) bool {
	return !t.busy(kind) && now.Sub(t.sentAt[kind]) >= tableRetryInterval
}

// writing reports whether a change of the fleet row is outstanding or unresolved.
func (t *tableState) writing() bool {
	for _, p := range t.pending {
		if p.kind == opWriteRow {
			return true
		}
	}
	return t.unresolvedChange != nil
}

// callTable adds a table call to the output.
func (m *Machine) callTable(now time.Time, p pendingOp, op Op) {
	m.table.lastOpID++
	op.ID = m.table.lastOpID
	p.sentAt = now
	p.epoch = m.latest.GetEpoch()
	m.table.pending[op.ID] = p
	m.table.outstanding[p.kind], m.table.sentAt[p.kind] = op.ID, now
	m.out.Table = append(m.out.Table, op)
}

// TableResult handles the result of a table call.
func (m *Machine) TableResult(now time.Time, r tableop.Result) Output {
	p, ok := m.table.pending[r.ID]
	if !ok || m.phase == phaseDone {
		return Output{}
	}
	delete(m.table.pending, r.ID)
	if m.table.outstanding[p.kind] == r.ID {
		m.table.outstanding[p.kind] = 0
	}
	switch p.kind {
	case opReadRow:
		m.handleRowRead(now, r)
	case opReadCandidates:
		m.handleCandidatesRead(now, p, r)
	case opTouch, opRenew:
		m.handleContactResult(now, p, r)
	case opWriteRow:
		m.handleWriteResult(now, p, r)
	}
	return m.takeOutput()
}

func (m *Machine) readFleetRow(now time.Time) {
	if !m.table.busy(opReadRow) {
		m.callTable(now, pendingOp{kind: opReadRow}, Op{Reads: []string{RowKey, TouchKey}})
	}
}

// handleRowRead handles a read of the fleet row and the touch row.
func (m *Machine) handleRowRead(now time.Time, r tableop.Result) {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		m.lastTableErr = r.Err
		return
	}
	m.trackUnchangedRows(now, r)
	m.applyFleetRow(now, r)
	if m.phase == phaseDone {
		return
	}
	if m.isMember() {
		m.tryEvict(now)
		m.selfRemovalTick(now)
		return
	}
	if m.phase == phaseLeaving {
		m.finishLeave()
		return
	}
	m.tryJoin(now)
}

// applyFleetRow learns the epoch of a fleet row that was read, and resolves a
// change whose outcome was unknown.
func (m *Machine) applyFleetRow(now time.Time, r tableop.Result) {
	row, found := r.Row(RowKey)
	m.table.rowAbsent = !found
	m.table.rowKnownAt = now
	if !found {
		m.table.unresolvedChange = nil
		return
	}
	f, err := DecodeRow(row.Value)
	if err != nil {
		m.lastTableErr = err
		return
	}
	if f.GetEpoch() < m.latest.GetEpoch() {
		return // a later epoch became known after this read was sent
	}
	change := m.table.unresolvedChange
	own := change != nil && f.GetChangeId() == change.GetChangeId()
	if own {
		m.holder.RecordContact(m.table.unresolvedAt)
	}
	// If the row still has its former version, the lost write may still take
	// effect. Sending the change again is harmless: both writes are
	// conditional on that version, so at most one of them is applied.
	m.table.unresolvedChange = nil
	m.recordEpoch(now, f, row.Version)
	if own {
		m.announceAll()
	}
}

// trackUnchangedRows records since when both the fleet row and the touch row are
// unchanged.
func (m *Machine) trackUnchangedRows(now time.Time, r tableop.Result) {
	row, _ := r.Row(RowKey)
	touch, _ := r.Row(TouchKey)
	t := &m.table
	if t.unchangedSince.IsZero() || t.touchVersion != touch.Version || t.rowVersion != row.Version {
		t.unchangedSince, t.touchVersion = now, touch.Version
	}
}

// rereadFleetRow reads the fleet row if the version of the row or the outcome of
// a change is unknown but needed.
func (m *Machine) rereadFleetRow(now time.Time) {
	needed := m.table.unresolvedChange != nil || len(m.candidates) > 0 ||
		m.phase == phaseLeaving || m.phase == phaseRemoving || m.needsTableGrant(now)
	unknown := m.table.unresolvedChange != nil || m.table.rowVersion == 0
	if needed && unknown && m.table.ready(now, opReadRow) {
		m.readFleetRow(now)
	}
}

// touch writes the touch row at random intervals. The write is conditional on the
// fleet row, so a VM that has missed an epoch learns of it from a conflict.
func (m *Machine) touch(now time.Time) {
	t := &m.table
	if t.nextTouchAt.IsZero() {
		t.nextTouchAt = now.Add(m.touchDelay())
	}
	if now.Before(t.nextTouchAt) || t.busy(opTouch) {
		return
	}
	if t.rowVersion == 0 {
		if t.ready(now, opReadRow) {
			m.readFleetRow(now)
		}
		return
	}
	t.nextTouchAt = now.Add(m.touchDelay())
	m.callTable(now, pendingOp{kind: opTouch}, Op{Writes: []platform.Write{m.fleetRowCheck(), m.touchWrite()}})
}

// touchDelay returns an exponentially distributed time to the next touch.
func (m *Machine) touchDelay() time.Duration {
	mean := touchIntervalPerMember * time.Duration(len(m.latest.GetMembers()))
	return time.Duration(m.rnd.ExpFloat64() * float64(mean))
}

// fleetRowCheck returns the condition that the fleet row is unchanged.
func (m *Machine) fleetRowCheck() platform.Write {
	return platform.Write{Key: RowKey, CheckOnly: true, IfVersion: platform.IfVersion(m.table.rowVersion)}
}

func (m *Machine) touchWrite() platform.Write {
	return platform.Write{Key: TouchKey, Value: []byte(m.id.VM)}
}

// needsTableGrant reports whether member grants are not enough for the lease.
func (m *Machine) needsTableGrant(now time.Time) bool {
	return m.phase == phaseMember && now.Sub(m.joinedAt) >= firstGrantsTimeout &&
		m.holder.ValidUntilByMembers().Sub(now) < leaseRenewThreshold
}

// renewLeaseRow renews the lease row while member grants are not enough.
func (m *Machine) renewLeaseRow(now time.Time) {
	if !m.needsTableGrant(now) || m.table.rowVersion == 0 || !m.table.ready(now, opRenew) {
		return
	}
	leaseRow := platform.Write{Key: LeaseKey(m.id), Value: []byte(m.newChangeID())}
	m.callTable(now, pendingOp{kind: opRenew}, Op{Writes: []platform.Write{m.fleetRowCheck(), leaseRow, m.touchWrite()}})
}

// handleContactResult handles the result of a write to the touch row, which may
// also renew the lease row.
func (m *Machine) handleContactResult(now time.Time, p pendingOp, r tableop.Result) {
	switch {
	case r.Err == nil:
		m.holder.RecordContact(p.sentAt)
		m.table.rowKnownAt = now
		if p.kind == opRenew {
			m.holder.RecordTableGrant(p.epoch, p.sentAt)
		}
	case errors.Is(r.Err, platform.ErrConflict):
		m.table.rowVersion = 0
		m.readFleetRow(now)
	default:
		m.lastTableErr = r.Err
	}
}

// writeFleetRow starts the change to the next epoch. Extra writes are part of the
// same transaction.
func (m *Machine) writeFleetRow(now time.Time, next *peerv1.Fleet, extra ...platform.Write) {
	if m.table.writing() || now.Before(m.table.nextWriteAt) {
		return
	}
	next.ChangeId, next.WriterVm = m.newChangeID(), m.id.VM
	write, err := rowWrite(next, m.table.rowVersion)
	if err != nil {
		m.lastTableErr = err
		return
	}
	if findMember(next, m.id) == nil {
		m.table.ownRemovalSent = true
	}
	op := Op{Writes: append([]platform.Write{write}, extra...)}
	m.callTable(now, pendingOp{kind: opWriteRow, nextFleet: proto.CloneOf(next)}, op)
}

// newChangeID returns a value that no other change has.
func (m *Machine) newChangeID() string {
	m.table.changeCount++
	return m.id.VM + keySeparator + strconv.FormatUint(m.id.Incarnation, decimalBase) +
		keySeparator + strconv.FormatUint(m.table.changeCount, decimalBase) +
		keySeparator + strconv.FormatUint(m.rnd.Uint64(), changeIDRandomBase)
}

// handleWriteResult handles the outcome of a change of the fleet row.
func (m *Machine) handleWriteResult(now time.Time, p pendingOp, r tableop.Result) {
	switch {
	case r.Err == nil && len(r.Versions) > 0:
		m.holder.RecordContact(p.sentAt)
		previousEpoch := m.latest.GetEpoch()
		m.recordEpoch(now, p.nextFleet, r.Versions[0])
		if m.latest.GetEpoch() > previousEpoch {
			m.announceAll()
		}
	case errors.Is(r.Err, platform.ErrConflict):
		m.table.rowVersion = 0
		m.dropDisprovedObservations(r.Err)
		m.readFleetRow(now)
	case errors.Is(r.Err, platform.ErrUnavailable):
		m.lastTableErr = r.Err
		m.table.nextWriteAt = now.Add(tableRetryInterval)
	default:
		m.lastTableErr = r.Err
		m.table.unresolvedChange, m.table.unresolvedAt = p.nextFleet, p.sentAt
		m.readFleetRow(now)
	}
}
