package directory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

func testVMs() map[string]*steering.VM {
	return map[string]*steering.VM{
		"n1": {Name: "n1", Region: "north", FrontAddress: "n1"},
		"n2": {Name: "n2", Region: "north", FrontAddress: "n2", Leaving: true},
		"n3": {Name: "n3", Region: "north", FrontAddress: "n3"},
		"s1": {Name: "s1", Region: "south", FrontAddress: "s1"},
	}
}

// Guards against callers that are sent to leaving VMs, to failed VMs, or to other
// regions while their own has a usable VM.
func TestAddresses(t *testing.T) {
	require.Equal(t, []string{"n1", "n3"}, Addresses(testVMs(), nil, "north"))
	alive := func(vm string) bool { return vm != "n1" }
	require.Equal(t, []string{"n3"}, Addresses(testVMs(), alive, "north"))
}

// Guards against a caller that gets no VM because its region has none.
func TestOtherRegionsIfTheOwnHasNoVM(t *testing.T) {
	alive := func(vm string) bool { return vm == "s1" }
	require.Equal(t, []string{"s1"}, Addresses(testVMs(), alive, "north"))
	require.Equal(t, []string{"n1", "n3", "s1"}, Addresses(testVMs(), func(string) bool { return false }, "north"))
	require.Empty(t, Addresses(nil, nil, "north"))
}
