package control

import (
	"context"
	"maps"
	"slices"

	"github.com/cassiawind/cassiawind/platform"
)

// registrar maintains the VM list on platforms where the VMs write the list
// themselves: it writes this VM's registration and removes those of failed
// members.
type registrar struct {
	registry platform.VMRegistry
	// evicted are former members whose registrations may have to be removed.
	evicted map[string]bool
}

func newRegistrar(list platform.VMList) registrar {
	registry, _ := list.(platform.VMRegistry)
	return registrar{registry: registry, evicted: make(map[string]bool)}
}

// registrationChanges are the writes that bring the VM list up to date.
type registrationChanges struct {
	register *platform.VM
	remove   []string
}

// planChanges compares the VM list with this VM's state. Only the first of the
// members removes registrations, so that a failure takes one write.
func (r *registrar) planChanges(self platform.VM, listed []platform.VM, members []string) registrationChanges {
	var changes registrationChanges
	if !slices.Contains(listed, self) {
		changes.register = &self
	}
	present := make(map[string]bool, len(listed))
	for _, vm := range listed {
		present[vm.ID] = true
	}
	maps.DeleteFunc(r.evicted, func(vm string, _ bool) bool { return !present[vm] || slices.Contains(members, vm) })
	if len(members) > 0 && slices.Min(members) == self.ID {
		changes.remove = slices.Sorted(maps.Keys(r.evicted))
	}
	return changes
}

// updateRegistrations brings the VM list up to date if the VMs write it
// themselves. Failed writes are retried after the next read of the list.
func (c *Control) updateRegistrations(ctx context.Context, listed []platform.VM) {
	if c.registrar.registry == nil || c.Left() {
		return
	}
	c.mu.Lock()
	self := platform.VM{ID: c.Self().Vm, Address: c.Self().PeerAddress, Leaving: c.heartbeatInfo.Leaving}
	changes := c.registrar.planChanges(self, listed, slices.Collect(maps.Keys(c.members)))
	c.mu.Unlock()
	if changes.register != nil {
		if err := c.registrar.registry.Register(ctx, *changes.register); err != nil {
			c.log.Info("VM not registered", "error", err.Error())
		} else {
			c.log.Info("VM registered", "vm", self.ID, "leaving", self.Leaving)
		}
	}
	for _, vm := range changes.remove {
		if err := c.registrar.registry.Remove(ctx, vm); err != nil {
			c.log.Info("removing the registration of an evicted VM failed", "evicted", vm, "error", err.Error())
		} else {
			c.log.Info("removed the registration of an evicted VM", "evicted", vm)
		}
	}
}

// Deregister removes this VM's registration at the end of a planned stop.
func (c *Control) Deregister(ctx context.Context) {
	if c.registrar.registry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := c.registrar.registry.Remove(ctx, c.Self().Vm); err != nil {
		// The other members remove the registration once this VM is missing
		// from the fleet.
		c.log.Info("removing this VM's registration failed", "error", err.Error())
	}
}
