package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// sim runs machines with a simulated network and table in virtual time. All
// randomness comes from one seed.
type sim struct {
	t        require.TestingT
	rnd      *rand.Rand
	now      time.Duration
	events   []event          // in descending order of time
	nodes    map[string]*node // current incarnation by VM
	allNodes []*node

	rows         map[string]platform.Row
	version      uint64
	tableUp      bool
	loseAnswers  float64 // probability that the answer to an applied write is lost
	tableLatency time.Duration
	tableJitter  time.Duration
	callCounts   map[string]int

	isPartitioned           func(from, to string) bool // reports whether the message is lost
	isDisconnectedFromTable func(vm string) bool
	loss, duplication       float64
	lateProbability         float64 // probability that a message or a table call is delayed by up to 10 s
	latency                 func(from, to string) time.Duration
	jitter                  time.Duration

	evictedAt    map[lease.ID]time.Duration
	rowWrittenAt time.Duration // last change of the fleet row
	messagesSent int
	bytesSent    int
	machineTime  time.Duration // real time spent in machines, for benchmarks only
}

type node struct {
	s         *sim
	self      *peerv1.Member
	m         *Machine
	clockRate float64
	startedAt time.Duration
	paused    bool
	killed    bool
	deferred  []func()
	// evicted and left record the outputs of the machine.
	evicted, left    bool
	hadLease         bool
	timeWithoutLease time.Duration // time without a lease since the first one
}

type event struct {
	at  time.Duration
	run func()
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(t require.TestingT, seed uint64) *sim {
	return &sim{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
		rows: map[string]platform.Row{}, tableUp: true, callCounts: map[string]int{},
		tableLatency: 20 * time.Millisecond, tableJitter: 10 * time.Millisecond,
		isPartitioned: func(string, string) bool { return false }, isDisconnectedFromTable: func(string) bool { return false },
		latency: func(string, string) time.Duration { return 5 * time.Millisecond },
		jitter:  5 * time.Millisecond, evictedAt: map[lease.ID]time.Duration{},
	}
}

func (s *sim) schedule(d time.Duration, run func()) {
	at := s.now + d
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at <= at })
	s.events = slices.Insert(s.events, i, event{at: at, run: run})
}

// start starts a VM. If the VM has run before, this is a new incarnation.
func (s *sim) start(vm string, rate float64) *node {
	self := &peerv1.Member{Vm: vm, Incarnation: 1, Region: vm[:1]}
	if old := s.nodes[vm]; old != nil {
		old.killed = true
		self.Incarnation = old.self.GetIncarnation() + 1
	}
	n := &node{s: s, self: self, clockRate: rate, startedAt: s.now}
	n.m = New(self, rand.New(rand.NewPCG(s.rnd.Uint64(), 2)))
	s.nodes[vm] = n
	s.allNodes = append(s.allNodes, n)
	s.schedule(time.Duration(s.rnd.Int64N(int64(100*time.Millisecond))), n.tick)
	return n
}

// local returns the time of the node's clock.
func (n *node) local() time.Time {
	return simStart.Add(time.Duration(float64(n.s.now-n.startedAt) * n.clockRate))
}

func (n *node) hasLease() bool { return !n.killed && n.m.LeaseValid(n.local()) }

// step runs a step of the machine now, or when the node resumes.
func (n *node) step(step func() Output) {
	switch {
	case n.killed:
	case n.paused:
		n.deferred = append(n.deferred, func() { n.step(step) })
	default:
		n.s.requireNoLeaseIfEvicted(n)
		startedAt := time.Now()
		out := step()
		n.s.machineTime += time.Since(startedAt)
		n.s.requireNoLeaseIfEvicted(n)
		n.handle(out)
	}
}

func (n *node) tick() {
	if n.killed || n.evicted || n.left {
		return
	}
	if !n.paused {
		n.hadLease = n.hadLease || n.hasLease()
		if n.hadLease && !n.hasLease() {
			n.timeWithoutLease += 100 * time.Millisecond
		}
		n.step(func() Output { return n.m.Tick(n.local()) })
	}
	n.s.schedule(100*time.Millisecond, n.tick)
}

func (n *node) pause() { n.paused = true }

func (n *node) leave() { n.step(func() Output { return n.m.Leave(n.local()) }) }

func (n *node) resume() {
	n.paused = false
	queue := n.deferred
	n.deferred = nil
	for _, step := range queue {
		step()
	}
}

func (n *node) handle(out Output) {
	n.evicted = n.evicted || out.Evicted
	n.left = n.left || out.Left
	for _, send := range out.Sends {
		n.s.deliver(n, send)
	}
	for _, op := range out.Table {
		n.s.call(n, op)
	}
}

func (s *sim) deliver(from *node, send Send) {
	to := s.nodes[send.To]
	s.messagesSent++
	s.bytesSent += proto.Size(send.Message)
	if to == nil || s.isPartitioned(from.self.GetVm(), send.To) || s.rnd.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rnd.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		delay := s.latency(from.self.GetVm(), send.To) + s.extraDelay() + time.Duration(s.rnd.Int64N(int64(s.jitter)+1))
		s.schedule(delay, func() {
			to.step(func() Output { return to.m.Receive(to.local(), from.self, send.Message) })
		})
	}
}

func (s *sim) extraDelay() time.Duration {
	if s.lateProbability == 0 || s.rnd.Float64() >= s.lateProbability {
		return 0
	}
	return time.Duration(s.rnd.Int64N(int64(10 * time.Second)))
}

// call applies a table call after half of its latency.
func (s *sim) call(n *node, op Op) {
	delay := func() time.Duration {
		return s.tableLatency/2 + s.extraDelay() + time.Duration(s.rnd.Int64N(int64(s.tableJitter)+1))
	}
	answer := func(r tableop.Result) {
		r.ID = op.ID
		s.schedule(delay(), func() { n.step(func() Output { return n.m.TableResult(n.local(), r) }) })
	}
	if len(op.Writes) > 0 && s.rnd.Float64() < s.loseAnswers/2 { // the caller gets this answer before the write takes effect
		answer(tableop.Result{Err: platform.ErrOutcomeUnknown})
		answer = func(tableop.Result) {}
	}
	s.schedule(delay(), func() {
		if !s.tableUp || s.isDisconnectedFromTable(n.self.GetVm()) {
			answer(tableop.Result{Err: platform.ErrUnavailable})
			return
		}
		r := s.apply(op)
		if r.Err == nil && len(op.Writes) > 0 && s.rnd.Float64() < s.loseAnswers {
			r = tableop.Result{Err: platform.ErrOutcomeUnknown}
		}
		answer(r)
	})
}

func (s *sim) apply(op Op) (r tableop.Result) {
	for _, key := range op.Reads {
		s.callCounts["read "+key]++
		if row, ok := s.rows[key]; ok {
			r.Rows = append(r.Rows, row)
		}
	}
	conflict := &platform.ConflictError{}
	for _, w := range op.Writes {
		if w.IfVersion != nil && *w.IfVersion != s.rows[w.Key].Version {
			conflict.Keys = append(conflict.Keys, w.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		s.callCounts["conflict"]++
		return tableop.Result{Err: conflict}
	}
	for _, w := range op.Writes {
		s.version++
		r.Versions = append(r.Versions, s.version)
		switch {
		case w.CheckOnly:
			continue
		case w.Delete:
			delete(s.rows, w.Key)
			continue
		}
		s.callCounts["write "+w.Key]++
		if w.Key == RowKey {
			s.rowWritten(w.Value)
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return r
}

// rowWritten records which members a new fleet row evicts, and checks that they
// hold no lease at this moment.
func (s *sim) rowWritten(value []byte) {
	next, err := DecodeRow(value)
	require.NoError(s.t, err)
	old := s.fleet()
	require.Equal(s.t, old.GetEpoch()+1, next.GetEpoch(), "each epoch is the preceding one plus 1")
	s.rowWrittenAt = s.now
	for _, m := range old.GetMembers() {
		if findMember(next, lease.IDOf(m)) == nil && next.GetWriterVm() != m.GetVm() {
			s.evictedAt[lease.IDOf(m)] = s.now
		}
	}
	for _, m := range next.GetMembers() {
		delete(s.evictedAt, lease.IDOf(m))
	}
	for _, n := range s.allNodes {
		s.requireNoLeaseIfEvicted(n)
	}
}

// requireNoLeaseIfEvicted fails if an evicted incarnation holds a lease.
func (s *sim) requireNoLeaseIfEvicted(n *node) {
	if at, evicted := s.evictedAt[lease.IDOf(n.self)]; evicted && n.m.LeaseValid(n.local()) {
		require.Failf(s.t, "evicted member holds a lease", "%v evicted at %v, valid at %v until %v",
			n.self, at, s.now, n.m.LeaseUntil())
	}
}

func (s *sim) fleet() *peerv1.Fleet {
	if s.rows[RowKey].Version == 0 {
		return nil
	}
	f, err := DecodeRow(s.rows[RowKey].Value)
	require.NoError(s.t, err)
	return f
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for last := len(s.events) - 1; last >= 0 && s.events[last].at <= end; last = len(s.events) - 1 {
		e := s.events[last]
		s.events = s.events[:last]
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil runs until the condition holds and returns the virtual time it took.
func (s *sim) runUntil(limit time.Duration, description string, done func() bool) time.Duration {
	startedAt := s.now
	for !done() {
		require.Less(s.t, s.now-startedAt, limit, description)
		s.run(50 * time.Millisecond)
	}
	return s.now - startedAt
}

func (s *sim) vms() []string { return slices.Sorted(maps.Keys(s.nodes)) }

// serving returns the number of VMs with a lease, of those given or of all.
func (s *sim) serving(vms ...string) int {
	if vms == nil {
		vms = s.vms()
	}
	return len(slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return !s.nodes[vm].hasLease() }))
}

func (s *sim) isMember(n *node) bool { return findMember(s.fleet(), lease.IDOf(n.self)) != nil }

// vmNames returns n VM names that start with a prefix, which is the region.
func vmNames(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%02d", prefix, i))
	}
	return out
}

// threeRegionVMs returns the VMs of a fleet of 11. The store runs in region a.
func threeRegionVMs() []string {
	return append(append(vmNames("a", 4), vmNames("b", 4)...), vmNames("c", 3)...)
}

// startAll starts VMs with random clock rates and waits until all hold a lease.
func startAll(t *testing.T, seed uint64, vms []string) *sim {
	s := newSim(t, seed)
	s.latency = func(from, to string) time.Duration {
		return map[bool]time.Duration{true: time.Millisecond, false: 55 * time.Millisecond}[from[0] == to[0]]
	}
	for _, vm := range vms {
		s.start(vm, s.randomClockRate())
	}
	s.runUntil(20*time.Second, "all VMs hold a lease", func() bool { return s.serving() == len(vms) })
	s.run(6 * time.Second)
	return s
}

// randomClockRate returns a random clock rate. Two rates differ by at most 5%.
func (s *sim) randomClockRate() float64 { return 0.975 + 0.05*s.rnd.Float64() }
