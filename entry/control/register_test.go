package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

// Guards against a VM that nobody can find because its registration is missing
// or outdated, and against writing the registration after each read of the
// list.
func TestRegistrationWrittenWhenItDiffers(t *testing.T) {
	r := newRegistrar(nil)
	self := platform.VM{ID: "b", Address: "x:1"}
	require.Equal(t, &self, r.planChanges(self, nil, nil).register)
	require.Nil(t, r.planChanges(self, []platform.VM{self}, nil).register)
	leaving := self
	leaving.Leaving = true
	require.Equal(t, &leaving, r.planChanges(leaving, []platform.VM{self}, nil).register)
}

// Guards against registrations of failed VMs that are never removed, against
// all members removing the same registration, and against removing that of a VM
// that is a member again.
func TestFirstMemberRemovesEvictedRegistrations(t *testing.T) {
	a, b := platform.VM{ID: "a"}, platform.VM{ID: "b"}
	listed := []platform.VM{a, b, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for self, want := range map[string][]string{"a": {"c", "d"}, "b": nil} {
		r := newRegistrar(nil)
		r.evicted = map[string]bool{"c": true, "d": true, "gone": true}
		changes := r.planChanges(platform.VM{ID: self}, listed, []string{"b", "a", "e"})
		require.Equal(t, want, changes.remove, self)
		require.NotContains(t, r.evicted, "gone")
		changes = r.planChanges(platform.VM{ID: self}, listed, []string{"b", "a", "c"})
		require.NotContains(t, changes.remove, "c")
	}
	r := newRegistrar(nil)
	r.evicted = map[string]bool{"c": true}
	require.Empty(t, r.planChanges(a, listed, nil).remove, "a VM without a fleet must not remove any registration")
}
