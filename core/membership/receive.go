package membership

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Receive handles a message from a peer. Messages of other packages are ignored.
func (m *Machine) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) []Send {
	if from.GetVm() == m.self.GetVm() {
		return nil
	}
	switch k := msg.GetKind().(type) {
	case *peerv1.Message_Ping:
		m.handleUpdates(now, from, k.Ping.GetUpdates())
		return []Send{m.ack(now, from.GetVm(), k.Ping.GetSequence(), m.self.GetVm())}
	case *peerv1.Message_PingAck:
		m.handleUpdates(now, from, k.PingAck.GetUpdates())
		return m.receiveAck(now, from, k.PingAck)
	case *peerv1.Message_PingRequest:
		m.handleUpdates(now, from, k.PingRequest.GetUpdates())
		return m.receiveRequest(now, from, k.PingRequest)
	}
	return nil
}

func (m *Machine) ack(now time.Time, to string, sequence uint64, about string) Send {
	return Send{To: to, Message: &peerv1.Message{Kind: &peerv1.Message_PingAck{
		PingAck: &peerv1.PingAck{Sequence: sequence, AboutVm: about, Updates: m.nextUpdates(now, to)},
	}}}
}

// receiveAck ends the outstanding probe, or relays the answer to a probe made for
// another member.
func (m *Machine) receiveAck(now time.Time, from *peerv1.Member, ack *peerv1.PingAck) []Send {
	if m.probe != nil && ack.GetSequence() == m.probe.sequence && ack.GetAboutVm() == m.probe.vm {
		m.probe = nil
		return nil
	}
	r, ok := m.relays[ack.GetSequence()]
	if !ok || r.vm != from.GetVm() {
		return nil
	}
	delete(m.relays, ack.GetSequence())
	return []Send{m.ack(now, r.origin, r.sequence, r.vm)}
}

func (m *Machine) receiveRequest(now time.Time, from *peerv1.Member, req *peerv1.PingRequest) []Send {
	if m.peers[req.GetTargetVm()] == nil {
		return nil
	}
	m.lastSequence++
	m.relays[m.lastSequence] = relayedProbe{
		origin: from.GetVm(), sequence: req.GetSequence(), vm: req.GetTargetVm(), startedAt: now,
	}
	return []Send{m.ping(now, req.GetTargetVm(), m.lastSequence)}
}

// handleUpdates records the sender of a message as seen and applies the updates
// in the message.
func (m *Machine) handleUpdates(now time.Time, from *peerv1.Member, updates []*peerv1.Liveness) {
	if p := m.peers[from.GetVm()]; p == nil || p.seed || from.GetIncarnation() > p.Member.GetIncarnation() {
		m.apply(now, &peerv1.Liveness{Member: from, State: Alive})
	}
	for _, u := range updates {
		m.apply(now, u)
	}
	if p := m.peers[from.GetVm()]; p != nil && p.Member.GetIncarnation() == from.GetIncarnation() {
		p.LastSeenAt = now
		if p.State == Suspect || p.State == Dead {
			// Inform the peer again that it is suspected, so that it refutes.
			p.sendsLeft = max(p.sendsLeft, 1)
		}
	}
}

// apply applies an update that supersedes the last known state.
func (m *Machine) apply(now time.Time, u *peerv1.Liveness) {
	vm := u.GetMember().GetVm()
	if vm == m.self.GetVm() {
		m.refuteSuspicion(u)
		return
	}
	p := m.peers[vm]
	if p != nil && !p.supersedes(u) || precedence(u.GetState()) == 0 {
		return
	}
	if p == nil {
		if u.GetState() == Dead {
			return // the peer is not known
		}
		p = &peer{knownSince: now}
		m.peers[vm] = p
	}
	if p.Member == nil || u.GetMember().GetIncarnation() > p.Member.GetIncarnation() {
		p.knownSince, p.LastSeenAt = now, time.Time{}
	}
	changed := p.State != u.GetState()
	p.Member, p.refutation, p.seed = proto.CloneOf(u.GetMember()), u.GetRefutation(), false
	since := p.Since
	m.setState(now, p, u.GetState())
	if !changed {
		p.Since = since
	}
}

// refuteSuspicion refutes a suspicion of this incarnation by a higher refutation
// number.
func (m *Machine) refuteSuspicion(u *peerv1.Liveness) {
	own := u.GetMember().GetIncarnation() == m.self.GetIncarnation()
	if !own || u.GetRefutation() < m.refutation || u.GetState() == m.state {
		return
	}
	m.refutation = u.GetRefutation() + 1
	m.selfSendsLeft = retransmissions(len(m.peers))
}

// nextUpdates returns the updates for a message to a peer: first this VM's own
// state if it still has to be sent, then the updates sent least often, then, for
// a new peer, some members that it may not know.
func (m *Machine) nextUpdates(now time.Time, to string) []*peerv1.Liveness {
	var out []*peerv1.Liveness
	if m.selfSendsLeft > 0 {
		m.selfSendsLeft--
		out = append(out, &peerv1.Liveness{Member: m.self, State: m.state, Refutation: m.refutation})
	}
	if p := m.peers[to]; p != nil && !p.seed && (p.State == Suspect || p.State == Dead) {
		out = append(out, p.liveness())
	}
	var pending []*peer
	for _, p := range m.peers {
		if p.sendsLeft > 0 && p.Member.GetVm() != to {
			pending = append(pending, p)
		}
	}
	slices.SortFunc(pending, func(a, b *peer) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		if a.Member.GetVm() < b.Member.GetVm() {
			return -1
		}
		return 1
	})
	for _, p := range pending[:min(len(pending), maxUpdates-len(out))] {
		p.sendsLeft--
		out = append(out, p.liveness())
	}
	return m.addIntroductions(now, to, out)
}

// addIntroductions fills up the updates with random members if the peer is new to
// this VM.
func (m *Machine) addIntroductions(now time.Time, to string, out []*peerv1.Liveness) []*peerv1.Liveness {
	p := m.peers[to]
	if p == nil || now.Sub(p.knownSince) >= introductionPeriod || len(out) >= maxUpdates {
		return out
	}
	vms := slices.Sorted(maps.Keys(m.peers))
	m.rnd.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms {
		if q := m.peers[vm]; len(out) < maxUpdates && vm != to && q.probeable() {
			out = append(out, q.liveness())
		}
	}
	return out
}
