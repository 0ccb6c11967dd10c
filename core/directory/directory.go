// Package directory selects the VMs that callers may use.
package directory

import (
	"slices"

	"github.com/cassiawind/cassiawind/core/steering"
)

// maxAddresses is the largest number of addresses that callers read.
const maxAddresses = 64

// Addresses returns the front addresses for a caller: those of the VMs in its
// region, or of all regions if no VM of its region is usable. VMs that are leaving or
// not alive are excluded; alive is nil while it is not known which VMs are alive. If
// no VM remains, Addresses returns all registered VMs that are not leaving.
func Addresses(vms map[string]*steering.VM, alive func(vm string) bool, region string) []string {
	usable := func(vm *steering.VM) bool { return !vm.Leaving && (alive == nil || alive(vm.Name)) }
	for _, accepts := range []func(*steering.VM) bool{
		func(vm *steering.VM) bool { return usable(vm) && vm.Region == region },
		usable,
		func(vm *steering.VM) bool { return !vm.Leaving },
	} {
		var out []string
		for _, vm := range vms {
			if accepts(vm) {
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
