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
// settings; its periods are the constants of this package. The caller
// serialises the calls and drops messages addressed to another incarnation.
type Machine struct {
	self       *peerv1.Member
	rnd        *rand.Rand
	state      State
	refutation uint64
	selfSends  int // messages that still carry this VM's own state
	peers      map[string]*peer
	order      []string // rest of the current round
	next       time.Time
	periods    int
	sequence   uint64
	probe      *probe
	relays     map[uint64]relay
}

// probe is this VM's outstanding probe.
type probe struct {
	sequence uint64
	vm       string
	sentAt   time.Time
	indirect bool
}

// relay is a probe made for another member.
type relay struct {
	origin   string
	sequence uint64
	vm       string
	at       time.Time
}

// New returns the machine of an incarnation that knows no peers.
func New(self *peerv1.Member, rnd *rand.Rand) *Machine {
	m := &Machine{
		self: proto.CloneOf(self), rnd: rnd, state: Alive,
		peers: map[string]*peer{}, relays: map[uint64]relay{},
	}
	m.selfSends = retransmissions(0)
	return m
}

// SetSeeds names VMs that may be members, from the VM list and the fleet row.
// A seed is probed until it answers; it is not believed alive before.
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
			MemberState: MemberState{Member: proto.CloneOf(s), Since: now}, known: now, seed: true,
		}
	}
	for vm, p := range m.peers {
		if p.seed && !listed[vm] {
			delete(m.peers, vm)
		}
	}
}

// SetLeaving tells the peers that this VM is in a planned stop.
func (m *Machine) SetLeaving() {
	if m.state == Leaving {
		return
	}
	m.state = Leaving
	m.refutation++
	m.selfSends = retransmissions(len(m.peers))
}

// Members returns the peers in the order of their VM ids: those alive, leaving,
// suspected, and those that died within the last minute. Seeds that have not
// answered are left out.
func (m *Machine) Members() []MemberState {
	var out []MemberState
	for _, vm := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[vm]; !p.seed {
			out = append(out, p.MemberState)
		}
	}
	return out
}

// Tick advances the machine; it is called every 100 ms.
func (m *Machine) Tick(now time.Time) []Send {
	m.expire(now)
	sends := m.checkProbe(now)
	if now.Before(m.next) {
		return sends
	}
	m.next = now.Add(ProbePeriod)
	m.periods++
	sends = append(sends, m.revisit(now)...)
	if m.probe == nil {
		sends = append(sends, m.startProbe(now)...)
	}
	return sends
}

// expire ends suspicions, forgets dead peers and drops old relays.
func (m *Machine) expire(now time.Time) {
	for vm, p := range m.peers {
		age := now.Sub(p.Since)
		switch {
		case p.seed:
		case p.State == Suspect && age >= SuspicionTimeout:
			m.change(now, p, Dead)
		case p.State == Dead && age >= forgetAfter:
			delete(m.peers, vm)
		}
	}
	for sequence, r := range m.relays {
		if now.Sub(r.at) >= ProbePeriod {
			delete(m.relays, sequence)
		}
	}
}

// change sets the state of a peer and spreads it.
func (m *Machine) change(now time.Time, p *peer, s State) {
	p.State, p.Since = s, now
	p.sends = retransmissions(len(m.peers))
}

// checkProbe follows an unanswered probe up.
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
			m.change(now, p, Suspect)
		}
	case waited >= directTimeout && !m.probe.indirect:
		m.probe.indirect = true
		return m.askOthers(now)
	}
	return nil
}

// askOthers asks random members to probe the member for this VM.
func (m *Machine) askOthers(now time.Time) []Send {
	var others []string
	for _, vm := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[vm]; vm != m.probe.vm && !p.seed && p.State == Alive {
			others = append(others, vm)
		}
	}
	m.rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var sends []Send
	for _, vm := range others[:min(indirectProbes, len(others))] {
		sends = append(sends, Send{To: vm, Message: &peerv1.Message{Kind: &peerv1.Message_PingRequest{
			PingRequest: &peerv1.PingRequest{
				Sequence: m.probe.sequence, TargetVm: m.probe.vm, Updates: m.updates(now, vm),
			},
		}}})
	}
	return sends
}

// startProbe pings the next member of the round. Each round visits the members
// in random order, which bounds the time to detect a failure.
func (m *Machine) startProbe(now time.Time) []Send {
	for range 2 {
		for len(m.order) > 0 {
			vm := m.order[0]
			m.order = m.order[1:]
			if p := m.peers[vm]; p != nil && p.probeable() {
				m.sequence++
				m.probe = &probe{sequence: m.sequence, vm: vm, sentAt: now}
				return []Send{m.ping(now, vm, m.sequence)}
			}
		}
		m.order = slices.Sorted(maps.Keys(m.peers))
		m.rnd.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return nil
}

// revisit pings a random seed that has not answered, and now and then a peer
// that is dead.
func (m *Machine) revisit(now time.Time) []Send {
	var absent []string
	for _, vm := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[vm]
		if p.seed || p.State == Dead && m.periods%revisitEvery == 0 {
			absent = append(absent, vm)
		}
	}
	if len(absent) == 0 {
		return nil
	}
	m.sequence++
	return []Send{m.ping(now, absent[m.rnd.IntN(len(absent))], m.sequence)}
}

func (m *Machine) ping(now time.Time, to string, sequence uint64) Send {
	return Send{To: to, Message: &peerv1.Message{Kind: &peerv1.Message_Ping{
		Ping: &peerv1.Ping{Sequence: sequence, Updates: m.updates(now, to)},
	}}}
}
