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
	// opPatience is the time after which another call is made although the
	// result of the earlier one is outstanding.
	opPatience = 2 * time.Second
	// retryInterval is the least time between table calls of one kind.
	retryInterval = 250 * time.Millisecond
	// touchPerMember times the number of members is the mean time between
	// writes of one VM to the touch row: the fleet writes it every 2 s.
	touchPerMember = 2 * time.Second
	// renewBelow is the remaining lease by member grants at which the lease
	// row is renewed. A heartbeat round leaves at least 1.1 s; below 0.9 s,
	// one was lost, and 0.9 s suffice for a read and a write of the table.
	renewBelow = 900 * time.Millisecond
	// renewGrace is the time after a VM's first entry in which member grants
	// are awaited.
	renewGrace = 500 * time.Millisecond
)

type opKind int

const (
	opReadRow opKind = iota
	opReadCandidates
	opTouch
	opRenew
	opWriteRow
	opKinds
)

type pendingOp struct {
	kind   opKind
	sentAt time.Time
	epoch  uint64
	keys   []lease.ID
	next   *peerv1.Fleet
}

// tableState is the bookkeeping of table calls.
type tableState struct {
	lastID  uint64
	pending map[uint64]pendingOp
	latest  [opKinds]uint64 // id of the outstanding call of a kind, or 0
	sentAt  [opKinds]time.Time

	rowVersion  uint64 // version of the fleet row of the current epoch, 0: unknown
	rowAbsent   bool
	touchAt     time.Time // time of the next touch
	reachedAt   time.Time // last answer that tells the state of the fleet row
	touchSeen   uint64
	unchanged   time.Time // since when fleet row and touch row are as read
	changeCount uint64
	writeAfter  time.Time // earliest time of the next change of the row
	// unresolved is a change whose outcome is not known.
	unresolved   *peerv1.Fleet
	unresolvedAt time.Time
	// removalInDoubt is set from the sending of this VM's own removal until it
	// enters a later epoch. The VM grants nothing meanwhile, because the epoch
	// without it counts it among those that have entered.
	removalInDoubt bool
}

func newTableState() tableState { return tableState{pending: map[uint64]pendingOp{}} }

// expire forgets outstanding calls so that others can be made. Their results
// are still handled.
func (t *tableState) expire(now time.Time) {
	for kind := range t.latest {
		if t.latest[kind] != 0 && now.Sub(t.sentAt[kind]) >= opPatience {
			t.latest[kind] = 0
		}
	}
}

func (t *tableState) busy(kind opKind) bool { return t.latest[kind] != 0 }

// ready reports whether a call of the kind may be made.
func (t *tableState) ready(now time.Time, kind opKind) bool {
	return !t.busy(kind) && now.Sub(t.sentAt[kind]) >= retryInterval
}

// writing reports whether a change of the fleet row is outstanding.
func (t *tableState) writing() bool {
	for _, p := range t.pending {
		if p.kind == opWriteRow {
			return true
		}
	}
	return t.unresolved != nil
}

func (m *Machine) request(now time.Time, p pendingOp, op Op) {
	m.table.lastID++
	op.ID = m.table.lastID
	p.sentAt = now
	p.epoch = m.current.GetEpoch()
	m.table.pending[op.ID] = p
	m.table.latest[p.kind], m.table.sentAt[p.kind] = op.ID, now
	m.out.Table = append(m.out.Table, op)
}

// TableResult handles the result of a table call.
func (m *Machine) TableResult(now time.Time, r tableop.Result) Output {
	p, ok := m.table.pending[r.ID]
	if !ok || m.phase == phaseDone {
		return Output{}
	}
	delete(m.table.pending, r.ID)
	if m.table.latest[p.kind] == r.ID {
		m.table.latest[p.kind] = 0
	}
	switch p.kind {
	case opReadRow:
		m.rowRead(now, r)
	case opReadCandidates:
		m.candidatesRead(now, p, r)
	case opTouch, opRenew:
		m.contactResult(now, p, r)
	case opWriteRow:
		m.writeResult(now, p, r)
	}
	return m.flush()
}

func (m *Machine) readRow(now time.Time) {
	if !m.table.busy(opReadRow) {
		m.request(now, pendingOp{kind: opReadRow}, Op{Reads: []string{RowKey, TouchKey}})
	}
}

// rowRead handles the fleet row and the touch row.
func (m *Machine) rowRead(now time.Time, r tableop.Result) {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		m.lastErr = r.Err
		return
	}
	m.noteTouch(now, r)
	m.takeRow(now, r)
	if m.phase == phaseDone {
		return
	}
	if m.isMember() {
		m.tryEvict(now)
		m.removeTick(now)
		return
	}
	if m.phase == phaseLeaving {
		m.finishLeave()
		return
	}
	m.tryJoin(now)
}

// takeRow learns the epoch of a fleet row that was read and resolves a change
// whose answer was lost.
func (m *Machine) takeRow(now time.Time, r tableop.Result) {
	row, found := r.Row(RowKey)
	m.table.rowAbsent = !found
	m.table.reachedAt = now
	if !found {
		m.table.unresolved = nil
		return
	}
	f, err := DecodeRow(row.Value)
	if err != nil {
		m.lastErr = err
		return
	}
	if f.GetEpoch() < m.current.GetEpoch() {
		return // this read was overtaken by a later one
	}
	change := m.table.unresolved
	mine := change != nil && f.GetChangeId() == change.GetChangeId()
	if mine {
		m.holder.Contact(m.table.unresolvedAt)
	}
	// If the row still has its former version, the lost write may yet take
	// effect. Repeating the change is harmless: at most one of the two is
	// applied, since both are conditional on that version.
	m.table.unresolved = nil
	m.learn(now, f, row.Version)
	if mine {
		m.announceAll()
	}
}

// noteTouch keeps since when neither row has changed.
func (m *Machine) noteTouch(now time.Time, r tableop.Result) {
	row, _ := r.Row(RowKey)
	touch, _ := r.Row(TouchKey)
	t := &m.table
	if t.unchanged.IsZero() || t.touchSeen != touch.Version || t.rowVersion != row.Version {
		t.unchanged, t.touchSeen = now, touch.Version
	}
}

// resolveRow reads the fleet row if its version or the outcome of a change is
// not known and is needed.
func (m *Machine) resolveRow(now time.Time) {
	needed := m.table.unresolved != nil || len(m.candidates) > 0 ||
		m.phase == phaseLeaving || m.phase == phaseRemoving || m.needsTable(now)
	unknown := m.table.unresolved != nil || m.table.rowVersion == 0
	if needed && unknown && m.table.ready(now, opReadRow) {
		m.readRow(now)
	}
}

// touch writes the touch row from time to time. The write is conditional on
// the fleet row, so a VM that has missed an epoch learns of it here.
func (m *Machine) touch(now time.Time) {
	t := &m.table
	if t.touchAt.IsZero() {
		t.touchAt = now.Add(m.touchDelay())
	}
	if now.Before(t.touchAt) || t.busy(opTouch) {
		return
	}
	if t.rowVersion == 0 {
		if t.ready(now, opReadRow) {
			m.readRow(now)
		}
		return
	}
	t.touchAt = now.Add(m.touchDelay())
	m.request(now, pendingOp{kind: opTouch}, Op{Writes: []platform.Write{m.unchangedRow(), m.touchWrite()}})
}

// touchDelay is exponentially distributed.
func (m *Machine) touchDelay() time.Duration {
	mean := touchPerMember * time.Duration(len(m.current.GetMembers()))
	return time.Duration(m.rnd.ExpFloat64() * float64(mean))
}

func (m *Machine) unchangedRow() platform.Write {
	return platform.Write{Key: RowKey, CheckOnly: true, IfVersion: platform.IfVersion(m.table.rowVersion)}
}

func (m *Machine) touchWrite() platform.Write {
	return platform.Write{Key: TouchKey, Value: []byte(m.id.VM)}
}

// needsTable reports whether member grants are not enough for the lease.
func (m *Machine) needsTable(now time.Time) bool {
	return m.phase == phaseMember && now.Sub(m.joinedAt) >= renewGrace &&
		m.holder.MembersUntil().Sub(now) < renewBelow
}

// renewLeaseRow renews the lease row while member grants are not enough.
func (m *Machine) renewLeaseRow(now time.Time) {
	if !m.needsTable(now) || m.table.rowVersion == 0 || !m.table.ready(now, opRenew) {
		return
	}
	row := platform.Write{Key: LeaseKey(m.id), Value: []byte(m.changeID())}
	m.request(now, pendingOp{kind: opRenew}, Op{Writes: []platform.Write{m.unchangedRow(), row, m.touchWrite()}})
}

// contactResult handles a write to the touch row, and to the lease row.
func (m *Machine) contactResult(now time.Time, p pendingOp, r tableop.Result) {
	switch {
	case r.Err == nil:
		m.holder.Contact(p.sentAt)
		m.table.reachedAt = now
		if p.kind == opRenew {
			m.holder.TableGranted(p.epoch, p.sentAt)
		}
	case errors.Is(r.Err, platform.ErrConflict):
		m.table.rowVersion = 0
		m.readRow(now)
	default:
		m.lastErr = r.Err
	}
}

// writeRow starts the change to the next epoch. Extra writes are part of the
// same transaction.
func (m *Machine) writeRow(now time.Time, next *peerv1.Fleet, extra ...platform.Write) {
	if m.table.writing() || now.Before(m.table.writeAfter) {
		return
	}
	next.ChangeId, next.WriterVm = m.changeID(), m.id.VM
	write, err := rowWrite(next, m.table.rowVersion)
	if err != nil {
		m.lastErr = err
		return
	}
	if findMember(next, m.id) == nil {
		m.table.removalInDoubt = true
	}
	op := Op{Writes: append([]platform.Write{write}, extra...)}
	m.request(now, pendingOp{kind: opWriteRow, next: proto.CloneOf(next)}, op)
}

// changeID returns a value that no other change has.
func (m *Machine) changeID() string {
	m.table.changeCount++
	return m.id.VM + keySeparator + strconv.FormatUint(m.id.Incarnation, decimalBase) +
		keySeparator + strconv.FormatUint(m.table.changeCount, decimalBase) +
		keySeparator + strconv.FormatUint(m.rnd.Uint64(), changeIDSuffix)
}

// writeResult handles the outcome of a change of the fleet row.
func (m *Machine) writeResult(now time.Time, p pendingOp, r tableop.Result) {
	switch {
	case r.Err == nil && len(r.Versions) > 0:
		m.holder.Contact(p.sentAt)
		before := m.current.GetEpoch()
		m.learn(now, p.next, r.Versions[0])
		if m.current.GetEpoch() > before {
			m.announceAll()
		}
	case errors.Is(r.Err, platform.ErrConflict):
		m.table.rowVersion = 0
		m.forgetObservations(r.Err)
		m.readRow(now)
	case errors.Is(r.Err, platform.ErrUnavailable):
		m.lastErr = r.Err
		m.table.writeAfter = now.Add(retryInterval)
	default:
		m.lastErr = r.Err
		m.table.unresolved, m.table.unresolvedAt = p.next, p.sentAt
		m.readRow(now)
	}
}
