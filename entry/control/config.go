package control

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// maxConfigRequests is the number of VMs that are asked for the configuration
// at once.
const maxConfigRequests = 2

func (c *Control) runConfigOp(op tableop.Op) {
	result := c.runOp(op)
	now := time.Now()
	c.mu.Lock()
	name, fetchNeeded := c.store.TableResult(now, result)
	c.mu.Unlock()
	if fetchNeeded {
		c.fetchObject(name)
	}
}

func (c *Control) fetchObject(name string) {
	ctx, cancel := context.WithTimeout(c.ctx, objectTimeout)
	defer cancel()
	content, err := c.platform.Objects.Get(ctx, name)
	now := time.Now()
	c.mu.Lock()
	changed := c.store.ObjectResult(now, name, content, err)
	c.mu.Unlock()
	if err != nil {
		c.log.Info("reading a configuration object failed", "object", name, "error", err.Error())
	}
	if changed {
		c.scheduleCompile()
	}
}

func (c *Control) scheduleCompile() {
	select {
	case c.compileRequested <- struct{}{}:
	default:
	}
}

// runCompilations compiles accepted configurations without holding the lock,
// because a full client block map takes about a second.
func (c *Control) runCompilations() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.compileRequested:
			c.compileAndActivate()
		}
	}
}

// freeMemoryBlocks is the smallest number of decoded client blocks with which a
// compilation returns its memory to the operating system. This takes 81 ms with
// 980,000 blocks in total, which is too long for each of 59,000 changes a day.
const freeMemoryBlocks = 50_000

func (c *Control) compileAndActivate() {
	c.mu.Lock()
	version := c.store.Version()
	entries := c.store.Entries()
	c.mu.Unlock()
	if version <= c.policy.Load().Version {
		return
	}
	p, err := c.compiler.Compile(version, entries)
	if err != nil {
		c.log.Error(err, "accepted configuration can not be compiled; the previous one stays in force", "version", version)
		return
	}
	c.activatePolicy(p)
	if c.compiler.DecodedBlocks() >= freeMemoryBlocks {
		// The compilation uses several times the memory that remains in use.
		debug.FreeOSMemory()
	}
}

func (c *Control) activatePolicy(p *policy.Policy) {
	c.quotaMu.Lock()
	c.quota.SetLimits(time.Now(), p.Limits)
	c.wakeWaiters()
	c.quotaMu.Unlock()
	for _, f := range c.onPolicy {
		f(p)
	}
	c.policy.Store(p)
	c.log.Info("configuration in force", "version", p.Version)
}

// DeclarationFiles returns the declarations of the entries, without removed
// ones.
func DeclarationFiles(entries []*peerv1.ConfigEntry) []declare.File {
	out := make([]declare.File, 0, len(entries))
	for _, e := range entries {
		if !e.Removed {
			out = append(out, declare.File{Name: e.Name, Content: e.Content})
		}
	}
	return out
}

// runSeedUpdates reads the platform's VM list periodically. The list lags
// behind. It is used only to find peers before this VM is a member, and to get
// the configuration while the store is unavailable.
func (c *Control) runSeedUpdates() {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%seedIntervalsPerMemberRead == 0 || !c.hasFleetAndConfig() {
			c.updateSeeds()
		}
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasFleetAndConfig reports whether this VM is a member and has a
// configuration. It then finds its peers and learns of changes without the VM
// list.
func (c *Control) hasFleetAndConfig() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Version() != 0 && c.members[c.Self().Vm] != nil
}

// updateSeeds reads the VM list. It keeps the last list if the VM list is
// unavailable.
func (c *Control) updateSeeds() {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	vms, err := c.platform.VMs.List(ctx)
	if err == nil {
		c.updateRegistrations(ctx, vms)
	}
	cancel()
	c.mu.Lock()
	if err == nil {
		c.seeds = map[string]*peerv1.Member{}
		for _, vm := range vms {
			if vm.ID != c.Self().Vm {
				c.seeds[vm.ID] = &peerv1.Member{Vm: vm.ID, PeerAddress: vm.Address}
			}
		}
		c.setMembershipSeeds(time.Now())
	}
	var requests []outbox.Send
	// A VM that is not a member receives no heartbeats and would not learn of
	// changes while the table is unavailable.
	if c.store.Version() == 0 || c.fleet.Fleet() == nil {
		requests = c.configRequests()
	}
	c.mu.Unlock()
	if err != nil {
		c.log.V(1).Info("reading the VM list failed", "error", err.Error())
	}
	c.sender.Send(requests)
}

// configRequests asks two VMs of the list for the configuration, because one of
// them may have been removed. It requires mu.
func (c *Control) configRequests() []outbox.Send {
	var sends []outbox.Send
	// The iteration order of a map differs between calls, so different VMs are
	// asked each time.
	for vm := range c.seeds {
		sends = append(sends, outbox.Send{To: vm, Message: &peerv1.Message{
			Kind: &peerv1.Message_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{HaveVersion: c.store.Version()}},
		}})
		if len(sends) == maxConfigRequests {
			break
		}
	}
	return sends
}
