package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// beatsKept is the number of heartbeats whose acknowledgements count. Those
	// sent longer ago than lease.Duration grant nothing any more.
	beatsKept = 16
	// clockOffsetRange spreads the origins of the send times, so that an
	// acknowledgement meant for an earlier incarnation is not taken for one of
	// this incarnation's heartbeats.
	clockOffsetRange = int64(1) << 60
)

// heartbeats keeps the send times of the latest heartbeats.
type heartbeats struct {
	origin time.Time
	offset int64
	next   time.Time
	sent   [beatsKept]time.Time
	count  int
}

func newHeartbeats(rnd *rand.Rand) heartbeats {
	return heartbeats{offset: rnd.Int64N(clockOffsetRange)}
}

// stamp records a heartbeat and returns its send time for the wire.
func (h *heartbeats) stamp(now time.Time) int64 {
	if h.origin.IsZero() {
		h.origin = now
	}
	h.sent[h.count%beatsKept] = now
	h.count++
	return h.wire(now)
}

func (h *heartbeats) wire(at time.Time) int64 { return h.offset + int64(at.Sub(h.origin)) }

// sentAt returns the send time of a recent heartbeat of this incarnation.
func (h *heartbeats) sentAt(wire int64) (time.Time, bool) {
	for _, at := range h.sent[:min(h.count, beatsKept)] {
		if h.wire(at) == wire {
			return at, true
		}
	}
	return time.Time{}, false
}

// sendHeartbeats asks every member for a grant if the interval has passed. The
// VM grants itself at the same time.
func (m *Machine) sendHeartbeats(now time.Time) {
	if now.Before(m.beats.next) {
		return
	}
	m.beats.next = now.Add(lease.HeartbeatInterval)
	msg := &peerv1.Message{Kind: &peerv1.Message_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		SentNs:            m.beats.stamp(now),
		Epoch:             m.current.GetEpoch(),
		ConfigVersion:     m.info.ConfigVersion,
		Leaving:           m.info.Leaving || m.phase == phaseLeaving,
		Hints:             m.info.Hints,
		InFlightByRegion:  m.info.InFlightByRegion,
		ServiceDemand:     m.info.ServiceDemand,
		TableContactAgeMs: m.contactAgeMs(now),
	}}}
	for _, member := range m.current.GetMembers() {
		if lease.IDOf(member) != m.id {
			m.send(member.GetVm(), msg)
		}
	}
	m.holder.Granted(m.id, m.granter.Epoch(), now)
}

// contactAgeMs returns the age of the last known table contact, rounded up.
func (m *Machine) contactAgeMs(now time.Time) int64 {
	age := min(m.holder.ContactAge(now), lease.TableContactLimit)
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
