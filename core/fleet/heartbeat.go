package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// heartbeatHistorySize is the number of latest heartbeats whose
	// acknowledgements count. Older ones were sent more than lease.GrantTTL ago and
	// grant nothing.
	heartbeatHistorySize = 16
	// clockOffsetRange is the range of the random offset that is added to send
	// times. It keeps an acknowledgement for an earlier incarnation from matching
	// a heartbeat of this incarnation.
	clockOffsetRange = int64(1) << 60
)

// heartbeatHistory keeps the send times of the latest heartbeats.
type heartbeatHistory struct {
	origin     time.Time
	offset     int64
	nextSendAt time.Time
	sendTimes  [heartbeatHistorySize]time.Time
	count      int
}

func newHeartbeatHistory(rnd *rand.Rand) heartbeatHistory {
	return heartbeatHistory{offset: rnd.Int64N(clockOffsetRange)}
}

// record stores the send time of a heartbeat and returns it in the form used in
// messages.
func (h *heartbeatHistory) record(now time.Time) int64 {
	if h.origin.IsZero() {
		h.origin = now
	}
	h.sendTimes[h.count%heartbeatHistorySize] = now
	h.count++
	return h.wireTime(now)
}

// wireTime returns a send time in the form used in messages.
func (h *heartbeatHistory) wireTime(at time.Time) int64 { return h.offset + int64(at.Sub(h.origin)) }

// sendTimeOf returns the send time of a recent heartbeat of this incarnation.
func (h *heartbeatHistory) sendTimeOf(wire int64) (time.Time, bool) {
	for _, at := range h.sendTimes[:min(h.count, heartbeatHistorySize)] {
		if h.wireTime(at) == wire {
			return at, true
		}
	}
	return time.Time{}, false
}

// sendHeartbeats sends a heartbeat, which requests a lease grant, to every other
// member if the interval has passed. The VM grants itself at the same time.
func (m *Machine) sendHeartbeats(now time.Time) {
	if now.Before(m.heartbeats.nextSendAt) {
		return
	}
	m.heartbeats.nextSendAt = now.Add(lease.HeartbeatInterval)
	msg := &peerv1.Message{Kind: &peerv1.Message_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		SentNs:            m.heartbeats.record(now),
		Epoch:             m.latest.GetEpoch(),
		ConfigVersion:     m.info.ConfigVersion,
		Leaving:           m.info.Leaving || m.phase == phaseLeaving,
		Hints:             m.info.Hints,
		InFlightByRegion:  m.info.InFlightByRegion,
		ServiceDemand:     m.info.ServiceDemand,
		TableContactAgeMs: m.contactAgeMs(now),
	}}}
	for _, member := range m.latest.GetMembers() {
		if lease.IDOf(member) != m.id {
			m.send(member.GetVm(), msg)
		}
	}
	m.holder.RecordGrant(m.id, m.granter.Epoch(), now)
}

// contactAgeMs returns the time since the last known write to the table by any
// member, in milliseconds, rounded up.
func (m *Machine) contactAgeMs(now time.Time) int64 {
	age := min(m.holder.ContactAge(now), lease.TableContactTimeout)
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
