package fleet

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// nonWriterAnnounceDelay is the time after learning of an epoch during which only
// the writer of the epoch announces it to members whose heartbeats carry an
// earlier one.
const nonWriterAnnounceDelay = 400 * time.Millisecond

// Receive handles a message from a peer. Messages of other packages are ignored.
func (m *Machine) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) Output {
	if m.phase == phaseDone {
		return Output{}
	}
	id := lease.IDOf(from)
	switch k := msg.GetKind().(type) {
	case *peerv1.Message_Heartbeat:
		m.receiveHeartbeat(now, id, k.Heartbeat)
	case *peerv1.Message_HeartbeatAck:
		m.receiveHeartbeatAck(now, id, k.HeartbeatAck)
	case *peerv1.Message_EvictionVoteRequest:
		m.receiveVoteRequest(now, id, k.EvictionVoteRequest)
	case *peerv1.Message_EvictionVote:
		m.receiveVote(now, id, k.EvictionVote)
	case *peerv1.Message_EpochAnnounce:
		m.receiveAnnounce(now, id, k.EpochAnnounce)
	case *peerv1.Message_EpochAck:
		m.receiveEpochAck(now, id, k.EpochAck)
	}
	return m.takeOutput()
}

func (m *Machine) receiveHeartbeat(now time.Time, from lease.ID, hb *peerv1.Heartbeat) {
	if !m.isMember() {
		return
	}
	member := m.epochs.latest().voters.Has(from)
	if member {
		m.lastSeenAt[from] = now
		m.recordAck(now, from, hb.GetEpoch())
	}
	behind := hb.GetEpoch() < m.latest.GetEpoch()
	writer := m.latest.GetWriterVm() == m.id.VM
	if behind && (!member || writer || now.Sub(m.learnedAt) >= nonWriterAnnounceDelay) {
		m.announce(from.VM)
	}
	if m.table.ownRemovalSent || !m.granter.Grant(now, from) {
		return
	}
	m.send(from.VM, &peerv1.Message{Kind: &peerv1.Message_HeartbeatAck{HeartbeatAck: &peerv1.HeartbeatAck{
		SentNs:            hb.GetSentNs(),
		Epoch:             m.granter.Epoch(),
		ConfigVersion:     m.info.ConfigVersion,
		TableContactAgeMs: m.contactAgeMs(now),
	}}})
}

func (m *Machine) receiveHeartbeatAck(now time.Time, from lease.ID, ack *peerv1.HeartbeatAck) {
	sentAt, ok := m.heartbeats.sendTimeOf(ack.GetSentNs())
	if !m.isMember() || !ok {
		return
	}
	m.recordAck(now, from, ack.GetEpoch())
	m.holder.RecordGrant(from, ack.GetEpoch(), sentAt)
	// The granter measured the age when it answered, which was after the
	// heartbeat was sent. Subtracting the age from the send time can only
	// make the contact appear older than it is.
	m.holder.RecordContact(sentAt.Add(-time.Duration(ack.GetTableContactAgeMs()) * time.Millisecond))
}

func (m *Machine) receiveAnnounce(now time.Time, from lease.ID, a *peerv1.EpochAnnounce) {
	announced := a.GetFleet()
	if announced == nil {
		return
	}
	if announced.GetEpoch() < m.latest.GetEpoch() {
		if m.isMember() {
			m.announce(from.VM)
		}
		return
	}
	m.recordEpoch(now, announced, 0)
	if m.isMember() {
		m.send(from.VM, &peerv1.Message{Kind: &peerv1.Message_EpochAck{EpochAck: &peerv1.EpochAck{
			Epoch: m.latest.GetEpoch(),
		}}})
		return
	}
	m.join.readAtNextTick(now)
}

func (m *Machine) receiveEpochAck(now time.Time, from lease.ID, ack *peerv1.EpochAck) {
	m.recordAck(now, from, ack.GetEpoch())
	if m.isMember() {
		m.tryEvict(now)
		m.selfRemovalTick(now)
		return
	}
	m.tryJoin(now)
}

func (m *Machine) announce(to string) {
	m.send(to, m.announcement())
}

func (m *Machine) announcement() *peerv1.Message {
	return &peerv1.Message{Kind: &peerv1.Message_EpochAnnounce{
		EpochAnnounce: &peerv1.EpochAnnounce{Fleet: m.latest},
	}}
}

// announceAll announces the latest epoch to its members and to the member that it
// removes.
func (m *Machine) announceAll() {
	msg := m.announcement()
	for _, member := range m.latest.GetMembers() {
		if lease.IDOf(member) != m.id {
			m.send(member.GetVm(), msg)
		}
	}
	if r := m.latest.GetRemoved(); r != nil && lease.IDOf(r) != m.id {
		m.send(r.GetVm(), msg)
	}
}
