package directory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

func vms() map[string]*steering.VM {
	return map[string]*steering.VM{
		"n1": {Name: "n1", Region: "north", FrontAddress: "n1"},
		"n2": {Name: "n2", Region: "north", FrontAddress: "n2", Leaving: true},
		"n3": {Name: "n3", Region: "north", FrontAddress: "n3"},
		"s1": {Name: "s1", Region: "south", FrontAddress: "s1"},
	}
}

// Guards against callers that are sent to leaving VMs, dead VMs or other
// regions while their own has one.
func TestAddresses(t *testing.T) {
	require.Equal(t, []string{"n1", "n3"}, Addresses(vms(), nil, "north"))
	callable := func(vm string) bool { return vm != "n1" }
	require.Equal(t, []string{"n3"}, Addresses(vms(), callable, "north"))
}

// Guards against a caller without any VM because its region has none.
func TestOtherRegionsWhereTheOwnHasNone(t *testing.T) {
	dead := func(vm string) bool { return vm == "s1" }
	require.Equal(t, []string{"s1"}, Addresses(vms(), dead, "north"))
	require.Equal(t, []string{"n1", "n3", "s1"}, Addresses(vms(), func(string) bool { return false }, "north"))
	require.Empty(t, Addresses(nil, nil, "north"))
}
