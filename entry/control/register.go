package control

import (
	"context"
	"maps"
	"slices"

	"github.com/cassiawind/cassiawind/platform"
)

// registration is what the VMs that write the list of VMs themselves keep in
// order: their own entries, and those of members that failed.
type registration struct {
	registry platform.VMRegistry
	// evicted are former members whose entries may have to be removed.
	evicted map[string]bool
}

func newRegistration(list platform.VMList) registration {
	registry, _ := list.(platform.VMRegistry)
	return registration{registry: registry, evicted: make(map[string]bool)}
}

// entryChanges are the writes that bring a list of VMs in order.
type entryChanges struct {
	register *platform.VM
	remove   []string
}

// plan compares a list with what this VM knows. Of the members only the first
// one removes entries, so that a failure takes one write.
func (r *registration) plan(self platform.VM, listed []platform.VM, members []string) entryChanges {
	var c entryChanges
	if !slices.Contains(listed, self) {
		c.register = &self
	}
	present := make(map[string]bool, len(listed))
	for _, vm := range listed {
		present[vm.ID] = true
	}
	maps.DeleteFunc(r.evicted, func(vm string, _ bool) bool { return !present[vm] || slices.Contains(members, vm) })
	if len(members) > 0 && slices.Min(members) == self.ID {
		c.remove = slices.Sorted(maps.Keys(r.evicted))
	}
	return c
}

// keepListed brings the list of VMs in order, where the VMs write it
// themselves. What fails is tried again after the next reading of the list.
func (c *Control) keepListed(ctx context.Context, listed []platform.VM) {
	if c.registration.registry == nil || c.Left() {
		return
	}
	c.mu.Lock()
	self := platform.VM{ID: c.Self().Vm, Address: c.Self().PeerAddress, Leaving: c.info.Leaving}
	changes := c.registration.plan(self, listed, slices.Collect(maps.Keys(c.members)))
	c.mu.Unlock()
	if changes.register != nil {
		if err := c.registration.registry.Register(ctx, *changes.register); err != nil {
			c.log.Info("VM not registered", "error", err.Error())
		} else {
			c.log.Info("VM registered", "vm", self.ID, "leaving", self.Leaving)
		}
	}
	for _, vm := range changes.remove {
		if err := c.registration.registry.Remove(ctx, vm); err != nil {
			c.log.Info("entry of an evicted VM not removed", "evicted", vm, "error", err.Error())
		} else {
			c.log.Info("entry of an evicted VM removed", "evicted", vm)
		}
	}
}

// Deregister removes this VM's entry at the end of a planned stop.
func (c *Control) Deregister(ctx context.Context) {
	if c.registration.registry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := c.registration.registry.Remove(ctx, c.Self().Vm); err != nil {
		// The other members remove it once they miss this VM in the fleet.
		c.log.Info("own entry not removed", "error", err.Error())
	}
}
