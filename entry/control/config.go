package control

import (
	"context"
	"time"

	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

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

func (c *Control) installPolicy() {
	c.mu.Lock()
	version := c.store.Version()
	entries := c.store.Entries()
	c.mu.Unlock()
	if version <= c.policy.Load().Version {
		return
	}
	config, err := declare.Parse(Files(entries))
	if err != nil {
		c.log.Error(err, "accepted configuration is not valid; the previous one stays in force", "version", version)
		return
	}
	p, err := policy.Compile(version, config)
	if err != nil {
		c.log.Error(err, "accepted configuration can not be compiled; the previous one stays in force", "version", version)
		return
	}
	c.install(p)
}

func (c *Control) install(p *policy.Policy) {
	c.quotaMu.Lock()
	c.quota.SetLimits(time.Now(), p.Limits)
	c.quotaMu.Unlock()
	for _, f := range c.onPolicy {
		f(p)
	}
	c.policy.Store(p)
	c.log.Info("configuration in force", "version", p.Version)
}

// Files returns the declarations of entries, without removed ones.
func Files(entries []*peerv1.ConfigEntry) []declare.File {
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
	for {
		c.readSeeds()
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Control) readSeeds() {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	vms, err := c.platform.VMs.List(ctx)
	cancel()
	if err != nil {
		c.log.V(1).Info("VM list not read", "error", err.Error())
		return
	}
	seeds := map[string]*peerv1.Member{}
	for _, vm := range vms {
		if vm.ID != c.Self().Vm {
			seeds[vm.ID] = &peerv1.Member{Vm: vm.ID, PeerAddress: vm.Address}
		}
	}
	c.mu.Lock()
	c.seeds = seeds
	without := c.store.Version() == 0
	c.mu.Unlock()
	if without {
		c.requestConfig(seeds)
	}
}

// requestConfig asks one peer for the whole configuration.
func (c *Control) requestConfig(seeds map[string]*peerv1.Member) {
	for vm := range seeds {
		c.sender.Send([]outbox.Send{{To: vm, Message: &peerv1.Message{
			Kind: &peerv1.Message_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}},
		}}})
		return
	}
}
