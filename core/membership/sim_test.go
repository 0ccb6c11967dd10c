package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const step = 10 * time.Millisecond

// sim runs machines in virtual time, in steps of 10 ms.
type sim struct {
	rnd          *rand.Rand
	now          time.Time
	vms          []string
	machines     map[string]*Machine
	members      map[string]*peerv1.Member
	silent       map[string]bool // VMs that neither run nor receive
	isCut        func(from, to string) bool
	loss         float64
	delay        time.Duration
	inFlight     map[time.Time][]func()
	seedCount    int
	messagesSent int
	bytesSent    int
}

func newSim(seed uint64, n int) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 3)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		machines: map[string]*Machine{}, members: map[string]*peerv1.Member{}, silent: map[string]bool{},
		isCut: func(string, string) bool { return false }, delay: 50 * time.Millisecond,
		inFlight: map[time.Time][]func(){}, seedCount: 3,
	}
	for i := range n {
		s.start(fmt.Sprintf("vm%03d", i), 1)
	}
	return s
}

// start starts an incarnation. Its seeds are the first seedCount VMs.
func (s *sim) start(vm string, incarnation uint64) {
	self := &peerv1.Member{
		Vm: vm, Incarnation: incarnation, PeerAddress: "10.20.30.40:7001", CallerAddress: "10.20.30.40:8080",
		Region: "luzon", FailureDomain: "luzon-1",
	}
	if s.machines[vm] == nil {
		s.vms = append(s.vms, vm)
	}
	m := New(self, rand.New(rand.NewPCG(s.rnd.Uint64(), 4)))
	s.machines[vm], s.members[vm] = m, self
	var seeds []*peerv1.Member
	for _, seed := range s.vms[:min(s.seedCount, len(s.vms))] {
		seeds = append(seeds, &peerv1.Member{Vm: seed})
	}
	m.SetSeeds(s.now, seeds)
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		due := s.inFlight[s.now]
		delete(s.inFlight, s.now)
		for _, deliver := range due {
			deliver()
		}
		if s.now.UnixMilli()%100 != 0 {
			continue
		}
		for _, vm := range s.vms {
			if !s.silent[vm] {
				s.post(vm, s.machines[vm].Tick(s.now))
			}
		}
	}
}

func (s *sim) post(from string, sends []Send) {
	for _, send := range sends {
		s.messagesSent++
		s.bytesSent += proto.Size(send.Message)
		if s.isCut(from, send.To) || s.rnd.Float64() < s.loss {
			continue
		}
		self := s.members[from]
		at := s.now.Add(s.delay)
		s.inFlight[at] = append(s.inFlight[at], func() {
			if m := s.machines[send.To]; m != nil && !s.silent[send.To] {
				s.post(send.To, m.Receive(s.now, self, send.Message))
			}
		})
	}
}

// lastKnownStates counts the states of a VM as known to all other running VMs.
func (s *sim) lastKnownStates(vm string) map[State]int {
	counts := map[State]int{}
	for _, observer := range s.vms {
		if observer == vm || s.silent[observer] {
			continue
		}
		for _, member := range s.machines[observer].Members() {
			if member.Member.GetVm() == vm {
				counts[member.State]++
			}
		}
	}
	return counts
}

// requireStateEverywhere fails unless all other running VMs have the state of the
// VM.
func (s *sim) requireStateEverywhere(t *testing.T, vm string, state State) {
	t.Helper()
	observers := slices.DeleteFunc(slices.Clone(s.vms), func(o string) bool { return o == vm || s.silent[o] })
	require.Equal(t, map[State]int{state: len(observers)}, s.lastKnownStates(vm), vm)
}

func newStartedSim(seed uint64, n int) *sim {
	s := newSim(seed, n)
	s.run(40 * time.Second)
	return s
}
