package fleet

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// joinReadInterval is the mean time between reads of the fleet row by a VM
	// that is not a member.
	joinReadInterval = time.Second
	// joinAnnounceInterval is the time after which a joining VM announces the
	// epoch again to members that have not acknowledged it.
	joinAnnounceInterval = 500 * time.Millisecond
)

// joinState holds what a VM needs only while it is not a member.
type joinState struct {
	nextReadAt     time.Time
	announcedEpoch uint64
	nextAnnounceAt time.Time
}

// readAtNextTick makes the next tick read the fleet row.
func (j *joinState) readAtNextTick(now time.Time) { j.nextReadAt = now }

func (m *Machine) joinTick(now time.Time) {
	if m.phase == phaseLeaving && !m.table.writing() {
		m.finishLeave()
		return
	}
	if !now.Before(m.join.nextReadAt) && !m.table.busy(opReadRow) {
		jitter := 0.5 + m.rnd.Float64()
		m.join.nextReadAt = now.Add(time.Duration(jitter * float64(joinReadInterval)))
		m.readFleetRow(now)
	}
	m.tryJoin(now)
}

// tryJoin adds this VM to the fleet row if the latest epoch is settled. Otherwise
// it asks the members to acknowledge that epoch.
func (m *Machine) tryJoin(now time.Time) {
	if m.phase != phaseJoining || m.table.writing() || m.table.rowKnownAt.IsZero() {
		return
	}
	if m.table.rowAbsent && m.latest == nil {
		m.writeFleetRow(now, withJoined(&peerv1.Fleet{}, m.self))
		return
	}
	if m.latest == nil || m.table.rowVersion == 0 {
		return
	}
	if m.takeoverDue(now) {
		m.takeOver(now)
		return
	}
	if findVM(m.latest, m.self.GetVm()) != nil {
		return // the earlier incarnation must be evicted first
	}
	if m.settled(now) {
		m.writeFleetRow(now, withJoined(m.latest, m.self))
		return
	}
	m.requestEpochAcks(now)
}

// requestEpochAcks announces the latest epoch to members that have not
// acknowledged it.
func (m *Machine) requestEpochAcks(now time.Time) {
	epoch := m.latest.GetEpoch()
	if m.join.announcedEpoch == epoch && now.Before(m.join.nextAnnounceAt) {
		return
	}
	m.join.announcedEpoch, m.join.nextAnnounceAt = epoch, now.Add(joinAnnounceInterval)
	msg := m.announcement()
	for _, member := range m.latest.GetMembers() {
		if m.ackedEpochs[lease.IDOf(member)] < epoch {
			m.send(member.GetVm(), msg)
		}
	}
}

// takeoverDue reports whether the fleet row and the touch row have been unchanged
// for so long that no member can hold a lease.
func (m *Machine) takeoverDue(now time.Time) bool {
	return len(m.latest.GetMembers()) > 0 && !m.table.unchangedSince.IsZero() &&
		now.Sub(m.table.unchangedSince) >= lease.TakeoverTimeout
}

// takeOver replaces all members with this VM.
func (m *Machine) takeOver(now time.Time) {
	empty := &peerv1.Fleet{Epoch: m.latest.GetEpoch()}
	m.writeFleetRow(now, withJoined(empty, m.self), platform.Write{
		Key: TouchKey, CheckOnly: true, IfVersion: platform.IfVersion(m.table.touchVersion),
	})
}
