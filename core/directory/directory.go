// Package directory decides which VMs a caller may use.
package directory

import (
	"slices"

	"github.com/cassiawind/cassiawind/core/steering"
)

// maxAddresses is the largest number of addresses that callers read.
const maxAddresses = 64

// Addresses returns the front addresses for a caller: those of its region, or
// of all regions if none of its own is alive. Leaving VMs and those that alive
// does not name are left out; alive is nil while it is not known who lives. If
// nobody remains, the entries of the store count as they are.
func Addresses(vms map[string]*steering.VM, alive func(vm string) bool, region string) []string {
	usable := func(vm *steering.VM) bool { return !vm.Leaving && (alive == nil || alive(vm.Name)) }
	for _, allowed := range []func(*steering.VM) bool{
		func(vm *steering.VM) bool { return usable(vm) && vm.Region == region },
		usable,
		func(vm *steering.VM) bool { return !vm.Leaving },
	} {
		var out []string
		for _, vm := range vms {
			if allowed(vm) {
				out = append(out, vm.FrontAddress)
			}
		}
		if len(out) > 0 {
			slices.Sort(out)
			return out[:min(len(out), maxAddresses)]
		}
	}
	return nil
}
