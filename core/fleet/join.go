package fleet

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// joinReadInterval is the mean time between reads of the fleet row by a
	// VM that waits to join.
	joinReadInterval = time.Second
	// joinAnnounceInterval is the time after which a joining VM repeats its
	// announcement to members that have not acknowledged the epoch.
	joinAnnounceInterval = 500 * time.Millisecond
)

// joinState is the bookkeeping of a VM that is not a member.
type joinState struct {
	nextRead     time.Time
	announced    uint64
	nextAnnounce time.Time
}

// readSoon makes the next tick read the fleet row.
func (j *joinState) readSoon(now time.Time) { j.nextRead = now }

func (m *Machine) joinTick(now time.Time) {
	if m.phase == phaseLeaving && !m.table.writing() {
		m.finishLeave()
		return
	}
	if !now.Before(m.join.nextRead) && !m.table.busy(opReadRow) {
		jitter := 0.5 + m.rnd.Float64()
		m.join.nextRead = now.Add(time.Duration(jitter * float64(joinReadInterval)))
		m.readRow(now)
	}
	m.tryJoin(now)
}

// tryJoin adds this VM to the fleet row as soon as the current epoch is
// settled, and until then asks its members to enter it.
func (m *Machine) tryJoin(now time.Time) {
	if m.phase != phaseJoining || m.table.writing() || m.table.reachedAt.IsZero() {
		return
	}
	if m.table.rowAbsent && m.current == nil {
		m.writeRow(now, withJoined(&peerv1.Fleet{}, m.self))
		return
	}
	if m.current == nil || m.table.rowVersion == 0 {
		return
	}
	if m.takeoverDue(now) {
		m.takeOver(now)
		return
	}
	if findVM(m.current, m.self.GetVm()) != nil {
		return // the earlier incarnation has to be evicted first
	}
	if m.settled(now) {
		m.writeRow(now, withJoined(m.current, m.self))
		return
	}
	m.askAcks(now)
}

// askAcks announces the current epoch to members not known to have entered it.
func (m *Machine) askAcks(now time.Time) {
	epoch := m.current.GetEpoch()
	if m.join.announced == epoch && now.Before(m.join.nextAnnounce) {
		return
	}
	m.join.announced, m.join.nextAnnounce = epoch, now.Add(joinAnnounceInterval)
	msg := m.announcement()
	for _, member := range m.current.GetMembers() {
		if m.acked[lease.IDOf(member)] < epoch {
			m.send(member.GetVm(), msg)
		}
	}
}

// takeoverDue reports whether the fleet row and the touch row have been
// unchanged for so long that no member can hold a lease.
func (m *Machine) takeoverDue(now time.Time) bool {
	return len(m.current.GetMembers()) > 0 && !m.table.unchanged.IsZero() &&
		now.Sub(m.table.unchanged) >= lease.TakeoverAfter
}

// takeOver replaces all members by this VM.
func (m *Machine) takeOver(now time.Time) {
	empty := &peerv1.Fleet{Epoch: m.current.GetEpoch()}
	m.writeRow(now, withJoined(empty, m.self), platform.Write{
		Key: TouchKey, CheckOnly: true, IfVersion: platform.IfVersion(m.table.touchSeen),
	})
}
