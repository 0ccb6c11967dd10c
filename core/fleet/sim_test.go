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

// sim runs machines on a network and a table in virtual time. All randomness
// comes from one seed.
type sim struct {
	t      require.TestingT
	rnd    *rand.Rand
	now    time.Duration
	events []event          // the next one is the last
	nodes  map[string]*node // by VM, the current incarnation
	all    []*node

	rows         map[string]platform.Row
	version      uint64
	tableUp      bool
	loseAnswers  float64 // probability that the answer to an applied write is lost
	tableLatency time.Duration
	tableJitter  time.Duration
	calls        map[string]int

	cut       func(from, to string) bool // true: the message is lost
	cutTable  func(vm string) bool
	loss, dup float64
	late      float64 // probability that a message or a table call takes up to 10 s
	latency   func(from, to string) time.Duration
	jitter    time.Duration

	evictedAt map[lease.ID]time.Duration
	writtenAt time.Duration // last change of the fleet row
	messages  int           // sent
	bytes     int           // sent
	cpu       time.Duration // real time spent in machines, for benchmarks only
}

type node struct {
	s      *sim
	self   *peerv1.Member
	m      *Machine
	rate   float64
	origin time.Duration
	paused bool
	dead   bool
	queue  []func()
	// evicted, left are the outputs seen.
	evicted, left bool
	served        bool
	gaps          time.Duration // time without a lease since the first one
}

type event struct {
	at  time.Duration
	run func()
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(t require.TestingT, seed uint64) *sim {
	return &sim{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
		rows: map[string]platform.Row{}, tableUp: true, calls: map[string]int{},
		tableLatency: 20 * time.Millisecond, tableJitter: 10 * time.Millisecond,
		cut: func(string, string) bool { return false }, cutTable: func(string) bool { return false },
		latency: func(string, string) time.Duration { return 5 * time.Millisecond },
		jitter:  5 * time.Millisecond, evictedAt: map[lease.ID]time.Duration{},
	}
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now + d
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at <= at })
	s.events = slices.Insert(s.events, i, event{at: at, run: run})
}

// start starts a VM, as a new incarnation if it has run before.
func (s *sim) start(vm string, rate float64) *node {
	self := &peerv1.Member{Vm: vm, Incarnation: 1, Region: vm[:1]}
	if old := s.nodes[vm]; old != nil {
		old.dead = true
		self.Incarnation = old.self.GetIncarnation() + 1
	}
	n := &node{s: s, self: self, rate: rate, origin: s.now}
	n.m = New(self, rand.New(rand.NewPCG(s.rnd.Uint64(), 2)))
	s.nodes[vm] = n
	s.all = append(s.all, n)
	s.after(time.Duration(s.rnd.Int64N(int64(100*time.Millisecond))), n.tick)
	return n
}

// local is the node's clock.
func (n *node) local() time.Time {
	return simEpoch.Add(time.Duration(float64(n.s.now-n.origin) * n.rate))
}

func (n *node) valid() bool { return !n.dead && n.m.LeaseValid(n.local()) }

// do runs a step now, or when the node resumes.
func (n *node) do(step func() Output) {
	switch {
	case n.dead:
	case n.paused:
		n.queue = append(n.queue, func() { n.do(step) })
	default:
		n.s.check(n)
		began := time.Now()
		out := step()
		n.s.cpu += time.Since(began)
		n.s.check(n)
		n.handle(out)
	}
}

func (n *node) tick() {
	if n.dead || n.evicted || n.left {
		return
	}
	if !n.paused {
		n.served = n.served || n.valid()
		if n.served && !n.valid() {
			n.gaps += 100 * time.Millisecond
		}
		n.do(func() Output { return n.m.Tick(n.local()) })
	}
	n.s.after(100*time.Millisecond, n.tick)
}

func (n *node) pause() { n.paused = true }

func (n *node) leave() { n.do(func() Output { return n.m.Leave(n.local()) }) }

func (n *node) resume() {
	n.paused = false
	queue := n.queue
	n.queue = nil
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
	s.messages++
	s.bytes += proto.Size(send.Message)
	if to == nil || s.cut(from.self.GetVm(), send.To) || s.rnd.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rnd.Float64() < s.dup {
		copies = 2
	}
	for range copies {
		delay := s.latency(from.self.GetVm(), send.To) + s.lateness() + time.Duration(s.rnd.Int64N(int64(s.jitter)+1))
		s.after(delay, func() {
			to.do(func() Output { return to.m.Receive(to.local(), from.self, send.Message) })
		})
	}
}

func (s *sim) lateness() time.Duration {
	if s.late == 0 || s.rnd.Float64() >= s.late {
		return 0
	}
	return time.Duration(s.rnd.Int64N(int64(10 * time.Second)))
}

// call applies a table call in the middle of its latency.
func (s *sim) call(n *node, op Op) {
	delay := func() time.Duration {
		return s.tableLatency/2 + s.lateness() + time.Duration(s.rnd.Int64N(int64(s.tableJitter)+1))
	}
	answer := func(r tableop.Result) {
		r.ID = op.ID
		s.after(delay(), func() { n.do(func() Output { return n.m.TableResult(n.local(), r) }) })
	}
	if len(op.Writes) > 0 && s.rnd.Float64() < s.loseAnswers/2 { // given up before it takes effect
		answer(tableop.Result{Err: platform.ErrOutcomeUnknown})
		answer = func(tableop.Result) {}
	}
	s.after(delay(), func() {
		if !s.tableUp || s.cutTable(n.self.GetVm()) {
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
		s.calls["read "+key]++
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
		s.calls["conflict"]++
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
		s.calls["write "+w.Key]++
		if w.Key == RowKey {
			s.rowWritten(w.Value)
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return r
}

// rowWritten records which members a new fleet row evicts, and checks at this
// moment that they have no lease.
func (s *sim) rowWritten(value []byte) {
	next, err := DecodeRow(value)
	require.NoError(s.t, err)
	old := s.fleet()
	require.Equal(s.t, old.GetEpoch()+1, next.GetEpoch(), "epochs grow by one")
	s.writtenAt = s.now
	for _, m := range old.GetMembers() {
		if findMember(next, lease.IDOf(m)) == nil && next.GetWriterVm() != m.GetVm() {
			s.evictedAt[lease.IDOf(m)] = s.now
		}
	}
	for _, m := range next.GetMembers() {
		delete(s.evictedAt, lease.IDOf(m))
	}
	for _, n := range s.all {
		s.check(n)
	}
}

// check guards the safety property: an evicted incarnation has no lease.
func (s *sim) check(n *node) {
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

// runUntil runs until the condition holds and returns the time it took.
func (s *sim) runUntil(limit time.Duration, what string, done func() bool) time.Duration {
	began := s.now
	for !done() {
		require.Less(s.t, s.now-began, limit, what)
		s.run(50 * time.Millisecond)
	}
	return s.now - began
}

func (s *sim) vms() []string { return slices.Sorted(maps.Keys(s.nodes)) }

// serving counts the VMs with a lease, of those given or of all.
func (s *sim) serving(vms ...string) int {
	if vms == nil {
		vms = s.vms()
	}
	return len(slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return !s.nodes[vm].valid() }))
}

func (s *sim) isMember(n *node) bool { return findMember(s.fleet(), lease.IDOf(n.self)) != nil }

// names returns VM ids with a region prefix.
func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%02d", prefix, i))
	}
	return out
}

// threeRegions are the VMs of a fleet of 11; region a is that of the store.
func threeRegions() []string {
	return append(append(names("a", 4), names("b", 4)...), names("c", 3)...)
}

// startAll starts VMs with clock rates within 5% and waits until all serve.
func startAll(t *testing.T, seed uint64, vms []string) *sim {
	s := newSim(t, seed)
	s.latency = func(from, to string) time.Duration {
		return map[bool]time.Duration{true: time.Millisecond, false: 55 * time.Millisecond}[from[0] == to[0]]
	}
	for _, vm := range vms {
		s.start(vm, s.rate())
	}
	s.runUntil(20*time.Second, "all VMs serve", func() bool { return s.serving() == len(vms) })
	s.run(6 * time.Second)
	return s
}

// rate draws a clock rate; two rates differ by at most 5%.
func (s *sim) rate() float64 { return 0.975 + 0.05*s.rnd.Float64() }
