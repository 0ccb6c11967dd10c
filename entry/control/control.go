// Package control drives the core state machines of an entry process: it gives
// them the time, messages and table results, and carries out what they ask for.
package control

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/membership"
	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// tickInterval is the resolution of the state machines' timers.
	tickInterval = 100 * time.Millisecond
	// seedInterval is the time between readings of the platform's VM list.
	seedInterval = 2 * time.Second
	// memberSeedIntervals is how many seedIntervals pass between readings by a
	// member: at 4,100 VMs that makes 137 readings a second, not 2,050.
	memberSeedIntervals = 15
	// tableTimeout bounds one table call; a late result counts as unknown.
	tableTimeout = 2 * time.Second
	// objectTimeout bounds the reading of one configuration object.
	objectTimeout = 10 * time.Second
	// hintDelay is the time after a heartbeat at which the hints of the next
	// one are made: when it is due. Hints made more often would be taken as
	// told to the peers without having been sent.
	hintDelay = lease.HeartbeatInterval
)

// Streams of the random numbers of an incarnation. The machines are used under
// different locks, so that each needs a source of its own.
const (
	fleetStream = iota
	storeStream
	quotaStream
	membershipStream
)

func newRand(incarnation, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(incarnation, stream))
}

// Sender queues messages for peers.
type Sender interface {
	Send([]outbox.Send)
}

// Platform groups the platform's services.
type Platform struct {
	Table   platform.Table
	Objects platform.Objects
	VMs     platform.VMList
}

// Control is safe for concurrent use. Use New, SetSender and Run.
type Control struct {
	self     atomic.Pointer[peerv1.Member]
	platform Platform
	log      logr.Logger
	ctx      context.Context
	base     time.Time
	sender   Sender

	// mu is locked before quotaMu.
	mu         sync.Mutex
	fleet      *fleet.Machine
	membership *membership.Machine
	store      *configsync.Store
	info       fleet.HeartbeatInfo
	// beatAt is the time of the last heartbeats.
	beatAt       time.Time
	seeds        map[string]*peerv1.Member
	members      map[string]*peerv1.Member
	registration registration
	// leavingPeers holds members that announced a planned stop.
	leavingPeers map[string]bool
	peerVersions map[string]uint64
	// peerDemand is in thousandths of a slot, by VM and service.
	peerDemand map[string]map[string]uint32
	// hints are the last ones told by members, by limit and VM.
	hints map[string]map[string]*peerv1.QuotaHint

	quotaMu sync.Mutex
	quota   *quota.Manager
	arrived chan struct{}

	// leaseUntil is in nanoseconds after base.
	leaseUntil atomic.Int64
	// leaseWall is the same in Unix nanoseconds.
	leaseWall atomic.Int64
	left      atomic.Bool
	policy    atomic.Pointer[policy.Policy]
	compile   chan struct{}
	// compiler belongs to the goroutine of runCompiler.
	compiler policy.Compiler
	onPolicy []func(*policy.Policy)
}

// New returns a Control whose goroutines end with ctx.
func New(ctx context.Context, self *peerv1.Member, p Platform, log logr.Logger) *Control {
	c := &Control{
		platform: p, registration: newRegistration(p.VMs), log: log, ctx: ctx, base: time.Now(),
		fleet:        fleet.New(self, newRand(self.Incarnation, fleetStream)),
		membership:   membership.New(self, newRand(self.Incarnation, membershipStream)),
		store:        configsync.New(newRand(self.Incarnation, storeStream)),
		quota:        quota.New(self.Vm, newRand(self.Incarnation, quotaStream)),
		seeds:        map[string]*peerv1.Member{},
		members:      map[string]*peerv1.Member{},
		leavingPeers: map[string]bool{},
		peerVersions: map[string]uint64{},
		peerDemand:   map[string]map[string]uint32{},
		hints:        map[string]map[string]*peerv1.QuotaHint{},
		arrived:      make(chan struct{}),
		compile:      make(chan struct{}, 1),
	}
	c.self.Store(self)
	c.policy.Store(&policy.Policy{})
	return c
}

// SetSender sets the transport. Call it before Run.
func (c *Control) SetSender(s Sender) { c.sender = s }

// OnPolicy registers a function that is called with each new policy, before it
// is in force. Call it before Run.
func (c *Control) OnPolicy(f func(*policy.Policy)) { c.onPolicy = append(c.onPolicy, f) }

// Run drives the machines until the context ends.
func (c *Control) Run() {
	go c.runCompiler()
	go c.runSeeds()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

func (c *Control) tick(now time.Time) {
	c.quotaMu.Lock()
	sends := c.quota.Tick(now)
	// The bucket has earned tokens, and Tick may have asked for units.
	c.wakeWaiters()
	c.quotaMu.Unlock()
	c.sender.Send(sends)

	c.mu.Lock()
	c.prepareHeartbeat(now)
	sends = c.membership.Tick(now)
	ops := c.store.Tick(now, len(c.members))
	c.mu.Unlock()
	c.sender.Send(sends)
	for _, op := range ops {
		go c.runConfigOp(op)
	}
	c.sender.Send(c.step(now, func(m *fleet.Machine) fleet.Output { return m.Tick(now) }))
}

// prepareHeartbeat sets what the next heartbeats carry. It needs mu.
func (c *Control) prepareHeartbeat(now time.Time) {
	if now.Sub(c.beatAt) >= hintDelay {
		c.quotaMu.Lock()
		c.info.Hints = mergeHints(c.info.Hints, c.quota.Hints(now))
		c.quotaMu.Unlock()
	}
	c.info.ConfigVersion = c.policy.Load().Version
	c.fleet.SetInfo(c.info)
}

// mergeHints returns the hints that wait for a heartbeat, the newer ones in
// place of older ones of the same limit.
func mergeHints(waiting, newer []*peerv1.QuotaHint) []*peerv1.QuotaHint {
	if len(waiting) == 0 {
		return newer
	}
	told := make(map[string]bool, len(newer))
	for _, h := range newer {
		told[h.Limit] = true
	}
	// Heartbeats on their way may share the slice of the waiting ones.
	merged := append([]*peerv1.QuotaHint(nil), newer...)
	for _, h := range waiting {
		if !told[h.Limit] {
			merged = append(merged, h)
		}
	}
	return merged
}

// Receive implements peers.Handler.
func (c *Control) Receive(from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	now := time.Now()
	switch kind := msg.Kind.(type) {
	case *peerv1.Message_QuotaRequest, *peerv1.Message_QuotaTransfer, *peerv1.Message_ReconcileRequest,
		*peerv1.Message_ReconcileReport, *peerv1.Message_ReconcileCredit:
		return c.receiveQuota(now, from, msg)
	case *peerv1.Message_ConfigRequest, *peerv1.Message_ConfigUpdate:
		return c.receiveConfig(now, from, msg)
	case *peerv1.Message_Heartbeat:
		sends := c.receiveHeartbeat(now, from, kind.Heartbeat)
		return append(sends, c.receiveFleet(now, from, msg)...)
	case *peerv1.Message_Ping, *peerv1.Message_PingAck, *peerv1.Message_PingRequest:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.membership.Receive(now, from, msg)
	default:
		return c.receiveFleet(now, from, msg)
	}
}

func (c *Control) receiveQuota(now time.Time, from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	sends := c.quota.Receive(now, from, msg)
	switch msg.Kind.(type) {
	case *peerv1.Message_QuotaRequest, *peerv1.Message_ReconcileRequest:
		// These bring nothing. Each further call of Take by a waiting request
		// would count as further demand.
	default:
		c.wakeWaiters()
	}
	return sends
}

func (c *Control) receiveConfig(now time.Time, from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	c.mu.Lock()
	sends, changed := c.store.Receive(now, from, msg)
	c.mu.Unlock()
	if changed {
		c.scheduleCompile()
	}
	return sends
}

func (c *Control) receiveHeartbeat(now time.Time, from *peerv1.Member, hb *peerv1.Heartbeat) []outbox.Send {
	c.quotaMu.Lock()
	c.quota.PeerHints(now, from.Vm, hb.Hints)
	c.quotaMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members[from.Vm].GetIncarnation() != from.Incarnation {
		// Not a member, or an earlier incarnation of one.
		return c.store.PeerVersion(now, from.Vm, hb.ConfigVersion)
	}
	c.leavingPeers[from.Vm] = hb.Leaving
	c.peerVersions[from.Vm] = hb.ConfigVersion
	c.peerDemand[from.Vm] = hb.ServiceDemand
	for _, h := range hb.Hints {
		if c.hints[h.Limit] == nil {
			c.hints[h.Limit] = map[string]*peerv1.QuotaHint{}
		}
		c.hints[h.Limit][from.Vm] = h
	}
	return c.store.PeerVersion(now, from.Vm, hb.ConfigVersion)
}

func (c *Control) receiveFleet(now time.Time, from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	return c.step(now, func(m *fleet.Machine) fleet.Output { return m.Receive(now, from, msg) })
}

// step runs a step of the fleet machine, starts its table calls and returns its
// messages. What follows from the step happens under the same lock, so that
// other goroutines see epoch, units and lease change together.
func (c *Control) step(now time.Time, f func(*fleet.Machine) fleet.Output) []outbox.Send {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.fleet
	out := f(machine)
	c.setLease(machine.LeaseUntil())
	if out.EpochChanged || out.Evicted {
		out.Sends = append(c.enterEpoch(now, machine.Fleet()), out.Sends...)
	}
	if out.Left {
		c.left.Store(true)
	}
	if hasHeartbeat(out.Sends) {
		c.beatAt, c.info.Hints = now, nil
	}
	for _, op := range out.Table {
		go c.runFleetOp(machine, op)
	}
	if out.Evicted {
		c.restart(now)
		// The messages would carry the new incarnation as their sender.
		return nil
	}
	return out.Sends
}

// setLease publishes the end of the lease; the zero time means that there is
// none.
func (c *Control) setLease(until time.Time) {
	if until.IsZero() {
		c.leaseUntil.Store(math.MinInt64)
		return
	}
	c.leaseWall.Store(until.UnixNano())
	c.leaseUntil.Store(int64(until.Sub(c.base)))
}

func hasHeartbeat(sends []outbox.Send) bool {
	for _, s := range sends {
		if _, ok := s.Message.GetKind().(*peerv1.Message_Heartbeat); ok {
			return true
		}
	}
	return false
}

// restart continues as a new incarnation after an eviction. It holds nothing
// and joins again. It needs mu.
func (c *Control) restart(now time.Time) {
	self := proto.CloneOf(c.self.Load())
	c.log.Info("evicted from the fleet; joining as a new incarnation", "incarnation", self.Incarnation)
	self.Incarnation = max(self.Incarnation+1, uint64(now.UnixNano()))
	c.self.Store(self)
	c.fleet = fleet.New(self, newRand(self.Incarnation, fleetStream))
	c.membership = membership.New(self, newRand(self.Incarnation, membershipStream))
	if c.info.Leaving {
		c.membership.SetLeaving()
	}
	c.setSeeds(now)
	c.info.Hints = nil
	c.setLease(time.Time{})
}

// enterEpoch needs mu.
func (c *Control) enterEpoch(now time.Time, f *peerv1.Fleet) []outbox.Send {
	c.log.Info("membership epoch", "epoch", f.GetEpoch(), "members", len(f.GetMembers()))
	c.setMembers(f)
	c.setSeeds(now)
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	defer c.wakeWaiters()
	return c.quota.EnterEpoch(now, f)
}

// setMembers needs mu.
func (c *Control) setMembers(f *peerv1.Fleet) {
	before := c.members
	c.members = map[string]*peerv1.Member{}
	for _, m := range f.GetMembers() {
		c.members[m.Vm] = m
	}
	for vm := range before {
		if c.members[vm] == nil && vm != c.Self().Vm {
			c.registration.evicted[vm] = true
		}
	}
	for limit, byVM := range c.hints {
		maps.DeleteFunc(byVM, func(vm string, _ *peerv1.QuotaHint) bool { return c.members[vm] == nil })
		if len(byVM) == 0 {
			delete(c.hints, limit)
		}
	}
	maps.DeleteFunc(c.leavingPeers, func(vm string, _ bool) bool { return c.members[vm] == nil })
	maps.DeleteFunc(c.peerVersions, func(vm string, _ uint64) bool { return c.members[vm] == nil })
	maps.DeleteFunc(c.peerDemand, func(vm string, _ map[string]uint32) bool { return c.members[vm] == nil })
}

// setSeeds tells the liveness tracking which VMs to look for: the members and
// those of the VM list. It needs mu.
func (c *Control) setSeeds(now time.Time) {
	var seeds []*peerv1.Member
	for _, m := range c.members {
		seeds = append(seeds, m)
	}
	for vm, m := range c.seeds {
		if c.members[vm] == nil {
			seeds = append(seeds, m)
		}
	}
	c.membership.SetSeeds(now, seeds)
}

// runFleetOp carries out a table call and gives its result to the machine that
// asked for it. A machine of an earlier incarnation needs no result.
func (c *Control) runFleetOp(machine *fleet.Machine, op tableop.Op) {
	result := c.runOp(op)
	now := time.Now()
	c.sender.Send(c.step(now, func(m *fleet.Machine) fleet.Output {
		if m != machine {
			return fleet.Output{}
		}
		return m.TableResult(now, result)
	}))
}

// runOp carries out one table call.
func (c *Control) runOp(op tableop.Op) tableop.Result {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	defer cancel()
	return RunOp(ctx, c.platform.Table, op)
}
