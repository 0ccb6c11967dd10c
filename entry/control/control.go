// Package control drives the core state machines of an entry process: it gives
// them the time, messages and table results, and carries out what they ask for.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/fleet"
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
	// tableTimeout bounds one table call; a late result counts as unknown.
	tableTimeout = 2 * time.Second
	// objectTimeout bounds the reading of one configuration object.
	objectTimeout = 10 * time.Second
)

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

	mu      sync.Mutex
	fleet   *fleet.Machine
	store   *configsync.Store
	info    fleet.HeartbeatInfo
	seeds   map[string]*peerv1.Member
	members map[string]*peerv1.Member
	// leavingPeers holds members that announced a planned stop.
	leavingPeers map[string]bool
	peerVersions map[string]uint64
	// hints are the last ones told by members, by limit and VM.
	hints map[string]map[string]*peerv1.QuotaHint

	quotaMu sync.Mutex
	quota   *quota.Manager
	arrived chan struct{}

	// leaseUntil is in nanoseconds after base.
	leaseUntil atomic.Int64
	left       atomic.Bool
	policy     atomic.Pointer[policy.Policy]
	compile    chan struct{}
	onPolicy   []func(*policy.Policy)
}

// New returns a Control whose goroutines end with ctx.
func New(ctx context.Context, self *peerv1.Member, p Platform, log logr.Logger) *Control {
	seed := rand.NewPCG(self.Incarnation, 0)
	c := &Control{
		platform: p, log: log, ctx: ctx, base: time.Now(),
		fleet:        fleet.New(self, rand.New(seed)),
		store:        configsync.New(rand.New(seed)),
		quota:        quota.New(self.Vm, rand.New(seed)),
		seeds:        map[string]*peerv1.Member{},
		members:      map[string]*peerv1.Member{},
		leavingPeers: map[string]bool{},
		peerVersions: map[string]uint64{},
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
	hints := c.quota.Hints(now)
	sends := c.quota.Tick(now)
	c.quotaMu.Unlock()
	c.sender.Send(sends)

	c.mu.Lock()
	c.info.Hints = hints
	c.info.ConfigVersion = c.store.Version()
	c.fleet.SetInfo(c.info)
	machine := c.fleet
	out := machine.Tick(now)
	ops := c.store.Tick(now, len(c.members))
	c.mu.Unlock()

	c.apply(now, machine, out)
	for _, op := range ops {
		go c.runConfigOp(op)
	}
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
	default:
		return c.receiveFleet(now, from, msg)
	}
}

func (c *Control) receiveQuota(now time.Time, from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	sends := c.quota.Receive(now, from, msg)
	c.wakeWaiters()
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
	c.leavingPeers[from.Vm] = hb.Leaving
	c.peerVersions[from.Vm] = hb.ConfigVersion
	for _, h := range hb.Hints {
		if c.hints[h.Limit] == nil {
			c.hints[h.Limit] = map[string]*peerv1.QuotaHint{}
		}
		c.hints[h.Limit][from.Vm] = h
	}
	return c.store.PeerVersion(now, from.Vm, hb.ConfigVersion)
}

func (c *Control) receiveFleet(now time.Time, from *peerv1.Member, msg *peerv1.Message) []outbox.Send {
	c.mu.Lock()
	machine := c.fleet
	out := machine.Receive(now, from, msg)
	c.mu.Unlock()
	sends := out.Sends
	out.Sends = nil
	c.apply(now, machine, out)
	return sends
}

// apply carries out what a fleet machine asked for.
func (c *Control) apply(now time.Time, machine *fleet.Machine, out fleet.Output) {
	c.mu.Lock()
	c.leaseUntil.Store(int64(c.fleet.LeaseUntil().Sub(c.base)))
	var sends []outbox.Send
	if out.EpochChanged || out.Evicted {
		// The current fleet is read under the lock, so that concurrent calls
		// enter epochs in their order.
		sends = c.enterEpoch(now, c.fleet.Fleet())
	}
	c.mu.Unlock()
	if out.Evicted {
		c.restart(now)
	}
	if out.Left {
		c.left.Store(true)
	}
	c.sender.Send(sends)
	c.sender.Send(out.Sends)
	for _, op := range out.Table {
		go c.runFleetOp(machine, op)
	}
}

// restart continues as a new incarnation after an eviction. It holds nothing
// and joins again.
func (c *Control) restart(now time.Time) {
	self := proto.CloneOf(c.self.Load())
	c.log.Info("evicted from the fleet; joining as a new incarnation", "incarnation", self.Incarnation)
	self.Incarnation = uint64(now.UnixNano())
	seed := rand.NewPCG(self.Incarnation, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self.Store(self)
	c.fleet = fleet.New(self, rand.New(seed))
	c.leaseUntil.Store(0)
}

// enterEpoch needs mu.
func (c *Control) enterEpoch(now time.Time, f *peerv1.Fleet) []outbox.Send {
	c.log.Info("membership epoch", "epoch", f.GetEpoch(), "members", len(f.GetMembers()))
	c.setMembers(f)
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	c.wakeWaiters()
	return c.quota.EnterEpoch(now, f)
}

// setMembers needs mu.
func (c *Control) setMembers(f *peerv1.Fleet) {
	c.members = map[string]*peerv1.Member{}
	for _, m := range f.GetMembers() {
		c.members[m.Vm] = m
	}
	for _, byVM := range c.hints {
		for vm := range byVM {
			if c.members[vm] == nil {
				delete(byVM, vm)
			}
		}
	}
}

// runFleetOp carries out a table call and gives its result to the machine that
// asked for it, which may be that of an earlier incarnation.
func (c *Control) runFleetOp(machine *fleet.Machine, op tableop.Op) {
	result := c.runOp(op)
	now := time.Now()
	c.mu.Lock()
	out := machine.TableResult(now, result)
	current := machine == c.fleet
	c.mu.Unlock()
	if current {
		c.apply(now, machine, out)
	}
}

// runOp carries out one table call.
func (c *Control) runOp(op tableop.Op) tableop.Result {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	defer cancel()
	return RunOp(ctx, c.platform.Table, op)
}
