package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

// Guards against a VM that nobody finds because its entry was lost or is out of
// date, and against one that writes its entry at each reading.
func TestRegistrationWrittenWhenItDiffers(t *testing.T) {
	r := newRegistration(nil)
	self := platform.VM{ID: "b", Address: "x:1"}
	require.Equal(t, &self, r.plan(self, nil, nil).register)
	require.Nil(t, r.plan(self, []platform.VM{self}, nil).register)
	leaving := self
	leaving.Leaving = true
	require.Equal(t, &leaving, r.plan(leaving, []platform.VM{self}, nil).register)
}

// Guards against entries of failed VMs that stay for ever, against all members
// removing the same one, and against the removal of a VM that is a member again.
func TestFirstMemberRemovesEvictedRegistrations(t *testing.T) {
	a, b := platform.VM{ID: "a"}, platform.VM{ID: "b"}
	listed := []platform.VM{a, b, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for self, want := range map[string][]string{"a": {"c", "d"}, "b": nil} {
		r := newRegistration(nil)
		r.evicted = map[string]bool{"c": true, "d": true, "gone": true}
		changes := r.plan(platform.VM{ID: self}, listed, []string{"b", "a", "e"})
		require.Equal(t, want, changes.remove, self)
		require.NotContains(t, r.evicted, "gone")
		changes = r.plan(platform.VM{ID: self}, listed, []string{"b", "a", "c"})
		require.NotContains(t, changes.remove, "c")
	}
	r := newRegistration(nil)
	r.evicted = map[string]bool{"c": true}
	require.Empty(t, r.plan(a, listed, nil).remove, "a VM that knows no fleet removes nothing")
}
