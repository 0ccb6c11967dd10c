package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/outbox"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Send is the output of the machine.
type Send = outbox.Send

// Machine is the SWIM state machine of one incarnation of a VM. It has no
// settings; its intervals and timeouts are constants of this package. The caller
// serialises the calls and drops messages addressed to another incarnation.
type Machine struct {
	self             *peerv1.Member
	rnd              *rand.Rand
	state            State
	refutation       uint64
	selfSendsLeft    int // messages that still carry this VM's own state
	peers            map[string]*peer
	probeOrder       []string // remaining members of the current round
	nextProbeAt      time.Time
	elapsedIntervals int
	lastSequence     uint64
	probe            *probe
	relays           map[uint64]relayedProbe
}

// probe is this VM's outstanding probe.
type probe struct {
	sequence uint64
	vm       string
	sentAt   time.Time
	indirect bool
}

// relayedProbe is a probe made for another member.
type relayedProbe struct {
	origin    string
	sequence  uint64
	vm        string
	startedAt time.Time
}

// New returns the machine of an incarnation that knows no peers.
func New(self *peerv1.Member, rnd *rand.Rand) *Machine {
	m := &Machine{
		self: proto.CloneOf(self), rnd: rnd, state: Alive,
		peers: map[string]*peer{}, relays: map[uint64]relayedProbe{},
	}
	m.selfSendsLeft = retransmissions(0)
	return m
}

// SetSeeds sets the VMs that may be members, from the VM list and the fleet row.
// A seed is pinged until it answers, and is not considered alive before.
func (m *Machine) SetSeeds(now time.Time, seeds []*peerv1.Member) {
	listed := make(map[string]bool, len(seeds))
	for _, s := range seeds {
		listed[s.GetVm()] = true
		p := m.peers[s.GetVm()]
		newer := p != nil && s.GetIncarnation() > p.Member.GetIncarnation()
		if s.GetVm() == m.self.GetVm() || p != nil && !newer {
			continue
		}
		m.peers[s.GetVm()] = &peer{
			MemberState: MemberState{Member: proto.CloneOf(s), Since: now}, knownSince: now, seed: true,
		}
	}
	for vm, p := range m.peers {
		if p.seed && !listed[vm] {
			delete(m.peers, vm)
		}
	}
}

// SetLeaving informs the peers that this VM is in a planned stop.
func (m *Machine) SetLeaving() {
	if m.state == Leaving {
		return
	}
	m.state = Leaving
	m.refutation++
	m.selfSendsLeft = retransmissions(len(m.peers))
}

// Members returns the peers in the order of their VM ids: those that are alive,
// leaving or suspected, and those that died within the last minute. Seeds that
// have not answered are not included.
func (m *Machine) Members() []MemberState {
	var out []MemberState
	for _, vm := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[vm]; !p.seed {
			out = append(out, p.MemberState)
		}
	}
	return out
}

// Tick advances the machine. The caller calls it every 100 ms.
func (m *Machine) Tick(now time.Time) []Send {
	m.expire(now)
	sends := m.checkProbe(now)
	if now.Before(m.nextProbeAt) {
		return sends
	}
	m.nextProbeAt = now.Add(ProbeInterval)
	m.elapsedIntervals++
	sends = append(sends, m.pingUnreachable(now)...)
	if m.probe == nil {
		sends = append(sends, m.startProbe(now)...)
	}
	return sends
}

// expire ends suspicions and deletes dead peers and old relayed probes.
func (m *Machine) expire(now time.Time) {
	for vm, p := range m.peers {
		age := now.Sub(p.Since)
		switch {
		case p.seed:
		case p.State == Suspect && age >= SuspicionTimeout:
			m.setState(now, p, Dead)
		case p.State == Dead && age >= deadMemberGracePeriod:
			delete(m.peers, vm)
		}
	}
	for sequence, r := range m.relays {
		if now.Sub(r.startedAt) >= ProbeInterval {
			delete(m.relays, sequence)
		}
	}
}

// setState sets the state of a peer and schedules it for dissemination.
func (m *Machine) setState(now time.Time, p *peer, s State) {
	p.State, p.Since = s, now
	p.sendsLeft = retransmissions(len(m.peers))
}

// checkProbe continues a probe that has not been answered in time.
func (m *Machine) checkProbe(now time.Time) []Send {
	if m.probe == nil {
		return nil
	}
	p := m.peers[m.probe.vm]
	waited := now.Sub(m.probe.sentAt)
	switch {
	case p == nil || p.State == Dead:
		m.probe = nil
	case waited >= probeTimeout:
		m.probe = nil
		if p.State != Suspect {
			m.setState(now, p, Suspect)
		}
	case waited >= directTimeout && !m.probe.indirect:
		m.probe.indirect = true
		return m.sendPingRequests(now)
	}
	return nil
}

// sendPingRequests asks random members to probe the member for this VM.
func (m *Machine) sendPingRequests(now time.Time) []Send {
	var helpers []string
	for _, vm := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[vm]; vm != m.probe.vm && !p.seed && p.State == Alive {
			helpers = append(helpers, vm)
		}
	}
	m.rnd.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var sends []Send
	for _, vm := range helpers[:min(indirectProbes, len(helpers))] {
		sends = append(sends, Send{To: vm, Message: &peerv1.Message{Kind: &peerv1.Message_PingRequest{
			PingRequest: &peerv1.PingRequest{
				Sequence: m.probe.sequence, TargetVm: m.probe.vm, Updates: m.nextUpdates(now, vm),
			},
		}}})
	}
	return sends
}

// startProbe pings the next member of the round. Each round visits the members in
// random order, which bounds the time to detect a failure.
func (m *Machine) startProbe(now time.Time) []Send {
	for range 2 {
		for len(m.probeOrder) > 0 {
			vm := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if p := m.peers[vm]; p != nil && p.probeable() {
				m.lastSequence++
				m.probe = &probe{sequence: m.lastSequence, vm: vm, sentAt: now}
				return []Send{m.ping(now, vm, m.lastSequence)}
			}
		}
		m.probeOrder = slices.Sorted(maps.Keys(m.peers))
		m.rnd.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// pingUnreachable pings a random peer among the seeds that have not answered
// and, every deadPingIntervals probe intervals, the dead peers.
func (m *Machine) pingUnreachable(now time.Time) []Send {
	var unreachable []string
	for _, vm := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[vm]
		if p.seed || p.State == Dead && m.elapsedIntervals%deadPingIntervals == 0 {
			unreachable = append(unreachable, vm)
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	m.lastSequence++
	return []Send{m.ping(now, unreachable[m.rnd.IntN(len(unreachable))], m.lastSequence)}
}

func (m *Machine) ping(now time.Time, to string, sequence uint64) Send {
	return Send{To: to, Message: &peerv1.Message{Kind: &peerv1.Message_Ping{
		Ping: &peerv1.Ping{Sequence: sequence, Updates: m.nextUpdates(now, to)},
	}}}
}
