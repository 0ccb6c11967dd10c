// Package control drives the core state machines of an entry process: it passes
// them the time, messages and table results, and executes the operations that
// they request.
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
	// seedInterval is the interval at which a VM that is not a member reads the
	// platform's VM list.
	seedInterval = 2 * time.Second
	// seedIntervalsPerMemberRead is the number of seed intervals between two
	// reads of the VM list by a member. With 4,100 VMs this gives 137 reads per
	// second instead of 2,050.
	seedIntervalsPerMemberRead = 15
	// tableTimeout bounds one table call. After the timeout, its result counts
	// as unknown.
	tableTimeout = 2 * time.Second
	// objectTimeout bounds one read of a configuration object.
	objectTimeout = 10 * time.Second
	// hintInterval is the time after a heartbeat at which the hints for the next
	// one are collected. It ends when that heartbeat is due, because collected
	// hints count as sent to the peers even if no heartbeat has carried them yet.
	hintInterval = lease.HeartbeatInterval
)

// Streams of the random number generators of an incarnation. The state machines
// are protected by different locks, so each of them needs a generator of its
// own.
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

// Control holds the control state of an entry process. It is safe for
// concurrent use. Call New, SetSender and Run, in this order.
type Control struct {
	self          atomic.Pointer[peerv1.Member]
	platform      Platform
	log           logr.Logger
	ctx           context.Context
	monotonicBase time.Time
	sender        Sender

	// mu is locked before quotaMu.
	mu            sync.Mutex
	fleet         *fleet.Machine
	membership    *membership.Machine
	store         *configsync.Replica
	heartbeatInfo fleet.HeartbeatInfo
	// lastHeartbeatAt is the time at which the last heartbeats were sent.
	lastHeartbeatAt time.Time
	seeds           map[string]*peerv1.Member
	members         map[string]*peerv1.Member
	registrar       registrar
	// leavingPeers holds the members that announced a planned stop.
	leavingPeers map[string]bool
	peerVersions map[string]uint64
	// peerServiceDemand is in thousandths of a slot, by VM and service.
	peerServiceDemand map[string]map[string]uint32
	// peerHints are the latest hints received from members, by limit and VM. A
	// hint contains the units of a limit that the member holds and its demand.
	peerHints map[string]map[string]*peerv1.QuotaHint

	quotaMu      sync.Mutex
	quota        *quota.Manager
	unitsArrived chan struct{}

	// leaseUntilMonotonic is the end of the lease in nanoseconds after
	// monotonicBase.
	leaseUntilMonotonic atomic.Int64
	// leaseUntilWall is the end of the lease in Unix nanoseconds.
	leaseUntilWall   atomic.Int64
	left             atomic.Bool
	policy           atomic.Pointer[policy.Policy]
	compileRequested chan struct{}
	// compiler is used only by the goroutine of runCompilations.
	compiler policy.Compiler
	onPolicy []func(*policy.Policy)
}

// New returns a Control. Its goroutines end when ctx is done.
func New(ctx context.Context, self *peerv1.Member, p Platform, log logr.Logger) *Control {
	c := &Control{
		platform: p, registrar: newRegistrar(p.VMs), log: log, ctx: ctx, monotonicBase: time.Now(),
		fleet:             fleet.New(self, newRand(self.Incarnation, fleetStream)),
		membership:        membership.New(self, newRand(self.Incarnation, membershipStream)),
		store:             configsync.New(newRand(self.Incarnation, storeStream)),
		quota:             quota.New(self.Vm, newRand(self.Incarnation, quotaStream)),
		seeds:             map[string]*peerv1.Member{},
		members:           map[string]*peerv1.Member{},
		leavingPeers:      map[string]bool{},
		peerVersions:      map[string]uint64{},
		peerServiceDemand: map[string]map[string]uint32{},
		peerHints:         map[string]map[string]*peerv1.QuotaHint{},
		unitsArrived:      make(chan struct{}),
		compileRequested:  make(chan struct{}, 1),
	}
	c.self.Store(self)
	c.policy.Store(&policy.Policy{})
	return c
}

// SetSender sets the transport. Call it before Run.
func (c *Control) SetSender(s Sender) { c.sender = s }

// OnPolicy registers a function that is called with each new policy before the
// policy takes effect. Call it before Run.
func (c *Control) OnPolicy(f func(*policy.Policy)) { c.onPolicy = append(c.onPolicy, f) }

// Run drives the state machines until the context is done.
func (c *Control) Run() {
	go c.runCompilations()
	go c.runSeedUpdates()
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
	// Tokens have been refilled, and Tick may have requested units.
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

// prepareHeartbeat sets the content of the next heartbeats. It requires mu.
func (c *Control) prepareHeartbeat(now time.Time) {
	if now.Sub(c.lastHeartbeatAt) >= hintInterval {
		c.quotaMu.Lock()
		c.heartbeatInfo.Hints = mergeHints(c.heartbeatInfo.Hints, c.quota.Hints(now))
		c.quotaMu.Unlock()
	}
	c.heartbeatInfo.ConfigVersion = c.policy.Load().Version
	c.fleet.SetInfo(c.heartbeatInfo)
}

// mergeHints returns the hints that wait for a heartbeat. A renewed hint
// replaces a pending one of the same limit.
func mergeHints(pending, renewed []*peerv1.QuotaHint) []*peerv1.QuotaHint {
	if len(pending) == 0 {
		return renewed
	}
	isRenewed := make(map[string]bool, len(renewed))
	for _, h := range renewed {
		isRenewed[h.Limit] = true
	}
	// Heartbeats that are being sent may share the slice of the pending hints.
	merged := append([]*peerv1.QuotaHint(nil), renewed...)
	for _, h := range pending {
		if !isRenewed[h.Limit] {
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
		// These messages bring no units or tokens. If waiting requests were
		// woken, each further call of Take would count as additional demand.
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
		// The sender is not a member, or is an earlier incarnation of one.
		return c.store.PeerVersion(now, from.Vm, hb.ConfigVersion)
	}
	c.leavingPeers[from.Vm] = hb.Leaving
	c.peerVersions[from.Vm] = hb.ConfigVersion
	c.peerServiceDemand[from.Vm] = hb.ServiceDemand
	for _, h := range hb.Hints {
		if c.peerHints[h.Limit] == nil {
			c.peerHints[h.Limit] = map[string]*peerv1.QuotaHint{}
		}
		c.peerHints[h.Limit][from.Vm] = h
	}
	return c.store.PeerVersion(now, from.Vm, hb.ConfigVersion)
}

func (c *Control) receiveFleet(now time.Time, from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	return c.step(now, func(m *fleet.Machine) fleet.Output { return m.Receive(now, from, msg) })
}

// step runs one step of the fleet state machine, starts its table calls and
// returns its messages. The consequences of the step are applied under the same
// lock, so that other goroutines see epoch, units and lease change together.
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
		c.lastHeartbeatAt, c.heartbeatInfo.Hints = now, nil
	}
	for _, op := range out.Table {
		go c.runFleetOp(machine, op)
	}
	if out.Evicted {
		c.startNewIncarnation(now)
		// The messages would be sent with the new incarnation as their sender.
		return nil
	}
	return out.Sends
}

// setLease publishes the end of the lease. The zero time means that there is no
// lease.
func (c *Control) setLease(until time.Time) {
	if until.IsZero() {
		c.leaseUntilMonotonic.Store(math.MinInt64)
		return
	}
	c.leaseUntilWall.Store(until.UnixNano())
	c.leaseUntilMonotonic.Store(int64(until.Sub(c.monotonicBase)))
}

func hasHeartbeat(sends []outbox.Send) bool {
	for _, s := range sends {
		if _, ok := s.Message.GetKind().(*peerv1.Message_Heartbeat); ok {
			return true
		}
	}
	return false
}

// startNewIncarnation continues as a new incarnation after an eviction. The new
// incarnation holds no units and joins again. It requires mu.
func (c *Control) startNewIncarnation(now time.Time) {
	self := proto.CloneOf(c.self.Load())
	c.log.Info("evicted from the fleet; joining as a new incarnation", "incarnation", self.Incarnation)
	self.Incarnation = max(self.Incarnation+1, uint64(now.UnixNano()))
	c.self.Store(self)
	c.fleet = fleet.New(self, newRand(self.Incarnation, fleetStream))
	c.membership = membership.New(self, newRand(self.Incarnation, membershipStream))
	if c.heartbeatInfo.Leaving {
		c.membership.SetLeaving()
	}
	c.setMembershipSeeds(now)
	c.heartbeatInfo.Hints = nil
	c.setLease(time.Time{})
}

// enterEpoch applies a new fleet to the quota and to the sets of peers. It
// requires mu.
func (c *Control) enterEpoch(now time.Time, f *peerv1.Fleet) []outbox.Send {
	c.log.Info("membership epoch", "epoch", f.GetEpoch(), "members", len(f.GetMembers()))
	c.setMembers(f)
	c.setMembershipSeeds(now)
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	defer c.wakeWaiters()
	return c.quota.EnterEpoch(now, f)
}

// setMembers replaces the members and drops the state of former members. It
// requires mu.
func (c *Control) setMembers(f *peerv1.Fleet) {
	previous := c.members
	c.members = map[string]*peerv1.Member{}
	for _, m := range f.GetMembers() {
		c.members[m.Vm] = m
	}
	for vm := range previous {
		if c.members[vm] == nil && vm != c.Self().Vm {
			c.registrar.evicted[vm] = true
		}
	}
	for limit, byVM := range c.peerHints {
		maps.DeleteFunc(byVM, func(vm string, _ *peerv1.QuotaHint) bool { return c.members[vm] == nil })
		if len(byVM) == 0 {
			delete(c.peerHints, limit)
		}
	}
	maps.DeleteFunc(c.leavingPeers, func(vm string, _ bool) bool { return c.members[vm] == nil })
	maps.DeleteFunc(c.peerVersions, func(vm string, _ uint64) bool { return c.members[vm] == nil })
	maps.DeleteFunc(c.peerServiceDemand, func(vm string, _ map[string]uint32) bool { return c.members[vm] == nil })
}

// setMembershipSeeds tells the membership state machine which VMs to look for:
// the members and the VMs of the VM list. It requires mu.
func (c *Control) setMembershipSeeds(now time.Time) {
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

// runFleetOp executes a table call and passes its result to the state machine
// that requested it. The state machine of an earlier incarnation gets no
// result.
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

// runOp executes one table call with a timeout.
func (c *Control) runOp(op tableop.Op) tableop.Result {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	defer cancel()
	return RunOp(ctx, c.platform.Table, op)
}
