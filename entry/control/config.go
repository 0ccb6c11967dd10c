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

// seedsAsked is the number of VMs asked for the configuration at once.
const seedsAsked = 2

func (c *Control) runConfigOp(op tableop.Op) {
	result := c.runOp(op)
	now := time.Now()
	c.mu.Lock()
	name, fetch := c.store.TableResult(now, result)
	c.mu.Unlock()
	if fetch {
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
		c.log.Info("configuration object not read", "object", name, "error", err.Error())
	}
	if changed {
		c.scheduleCompile()
	}
}

func (c *Control) scheduleCompile() {
	select {
	case c.compile <- struct{}{}:
	default:
	}
}

// runCompiler compiles accepted configurations outside the lock, since a full
// client block map takes about a second.
func (c *Control) runCompiler() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.compile:
			c.installPolicy()
		}
	}
}

// manyBlocks is the number of decoded client blocks from which the memory of a
// compilation is returned to the system. It takes 81 ms with 980,000 blocks in
// all, too much for each of 59,000 changes a day.
const manyBlocks = 50_000

func (c *Control) installPolicy() {
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
	c.install(p)
	if c.compiler.DecodedBlocks() >= manyBlocks {
		// What the compilation used is several times what stays.
		debug.FreeOSMemory()
	}
}

func (c *Control) install(p *policy.Policy) {
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

// Files returns the declarations of entries, without removed ones.
func DeclarationFiles(entries []*peerv1.ConfigEntry) []declare.File {
	out := make([]declare.File, 0, len(entries))
	for _, e := range entries {
		if !e.Removed {
			out = append(out, declare.File{Name: e.Name, Content: e.Content})
		}
	}
	return out
}

// runSeeds reads the platform's VM list. It lags and is used only to find
// peers before this VM is a member, and for the configuration while the store
// is down.
func (c *Control) runSeeds() {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%memberSeedIntervals == 0 || !c.settled() {
			c.readSeeds()
		}
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// settled reports whether this VM is a member and has a configuration, so that
// it finds its peers and their news without the list.
func (c *Control) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Version() != 0 && c.members[c.Self().Vm] != nil
}

// readSeeds keeps the last list if the VM list is not available.
func (c *Control) readSeeds() {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	vms, err := c.platform.VMs.List(ctx)
	if err == nil {
		c.keepListed(ctx, vms)
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
		c.setSeeds(time.Now())
	}
	var asked []outbox.Send
	// A VM that is not a member gets no heartbeats, and would not learn of
	// changes while the table is down.
	if c.store.Version() == 0 || c.fleet.Fleet() == nil {
		asked = c.configRequests()
	}
	c.mu.Unlock()
	if err != nil {
		c.log.V(1).Info("VM list not read", "error", err.Error())
	}
	c.sender.Send(asked)
}

// configRequests asks two listed VMs for the configuration, since one of them
// may be gone. It needs mu.
func (c *Control) configRequests() []outbox.Send {
	var sends []outbox.Send
	// The order of a map's range differs between calls.
	for vm := range c.seeds {
		sends = append(sends, outbox.Send{To: vm, Message: &peerv1.Message{
			Kind: &peerv1.Message_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{HaveVersion: c.store.Version()}},
		}})
		if len(sends) == seedsAsked {
			break
		}
	}
	return sends
}
