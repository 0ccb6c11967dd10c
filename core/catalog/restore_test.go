package catalog

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
)

// at returns the position of a version in an era.
func at(era, version uint64) platform.Position {
	p, ok := platform.NewPosition(era, version)
	if !ok {
		panic("position exceeds its limits")
	}
	return p
}

// registration returns a registration of server s1.
func registration(incarnation, sequence int64, draining bool) *steering.Server {
	s := testServer("s1")
	s.Incarnation, s.Sequence, s.Draining = incarnation, sequence, draining
	return s
}

func evacuation(version platform.Position) RowChange[struct{}] {
	return RowChange[struct{}]{Key: "a", Position: version, Value: &struct{}{}}
}

// evacuatedCatalog returns a catalog in which failure domain a is evacuated.
func evacuatedCatalog(t *testing.T) *Catalog {
	c := loadedCatalog(t)
	require.True(t, c.LoadEvacuations(0, 40, []RowChange[struct{}]{evacuation(40)}))
	return c
}

func vmChange(version platform.Position, incarnation int64, leaving bool) RowChange[steering.VM] {
	return RowChange[steering.VM]{Key: "vm-1", Position: version, Value: &steering.VM{Name: "vm-1", Incarnation: incarnation, Leaving: leaving}}
}

// Guards against a catalog that is emptied by the first read after a restoration:
// the servers of the lost rows are alive and write them again within about 2 s. A
// row that is still missing after that is gone.
func TestRestorationKeepsMissingServers(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.LoadServers(time.Second, at(1, 2), nil))
	v := c.BuildView(time.Second)
	require.Equal(t, []string{"s1"}, serverIDs(v))
	require.True(t, v.Servers["desk"][0].Expired, "the server is probed before it gets a request")
	missing, outdated := c.Kept()
	require.Equal(t, []int{1, 0}, []int{missing, outdated})

	until := time.Second + ExpiryGracePeriod
	require.Zero(t, c.RemoveExpired(until-1))
	require.Equal(t, 1, c.RemoveExpired(until))
	require.Empty(t, serverIDs(c.BuildView(until)))

	c = loadedCatalog(t)
	c.LoadServers(time.Second, at(1, 2), nil)
	require.True(t, c.ApplyServer(2*time.Second, serverChange(at(1, 3), testServer("s1"), "s1")))
	require.Zero(t, c.RemoveExpired(until))
	require.False(t, c.BuildView(until).Servers["desk"][0].Expired)
}

// Guards against a comparison by version alone: the versions of a restored store are
// lower than those known, and an answer from before the restoration may arrive late.
func TestRestorationIsNewerThanHigherVersions(t *testing.T) {
	c := loadedCatalog(t)
	other := testServer("s2")
	require.True(t, c.LoadServers(0, at(1, 2), []RowChange[steering.Server]{serverChange(at(1, 1), other, "s2")}))
	require.Contains(t, serverIDs(c.BuildView(0)), "s2")
	require.False(t, c.LoadServers(0, at(0, 900), nil), "full read from before the restoration")
	require.False(t, c.ApplyServer(0, serverChange(at(0, 901), nil, "s2")), "change from before the restoration")
	require.Contains(t, serverIDs(c.BuildView(0)), "s2")
}

// Guards against changes of a new era that are applied to a table of the earlier one:
// what changed between the copy and these changes would be missing.
func TestChangesOfANewEraNeedAFullRead(t *testing.T) {
	c := loadedCatalog(t)
	require.False(t, c.ApplyServer(0, serverChange(at(1, 2), nil, "s1")))
	require.Equal(t, []string{"s1"}, serverIDs(c.BuildView(0)))
}

// Guards against requests to servers that leave or have left: a copy still has their
// earlier state. A newer incarnation, or a later state of this one, counts at once.
func TestRestorationDoesNotBringBackLeavingServers(t *testing.T) {
	load := func(c *Catalog, s *steering.Server) {
		require.True(t, c.LoadServers(time.Second, at(1, 2), []RowChange[steering.Server]{serverChange(at(1, 1), s, "s1")}))
	}
	draining := func() *Catalog {
		c := loadedCatalog(t)
		c.ApplyServer(0, serverChange(20, registration(7, 3, true), "s1"))
		return c
	}
	removed := func() *Catalog {
		c := draining()
		c.ApplyServer(0, serverChange(21, nil, "s1"))
		return c
	}
	for name, known := range map[string]func() *Catalog{"draining": draining, "removed": removed} {
		c := known()
		load(c, registration(7, 2, false))
		require.Empty(t, serverIDs(c.BuildView(time.Second)), name)
		c.ApplyServer(2*time.Second, serverChange(at(1, 3), registration(7, 3, true), "s1"))
		require.Empty(t, serverIDs(c.BuildView(2*time.Second)), name)

		c = known()
		load(c, registration(7, 2, false))
		c.ApplyServer(2*time.Second, serverChange(at(1, 3), nil, "s1"))
		c.RemoveExpired(time.Minute)
		require.Empty(t, serverIDs(c.BuildView(time.Minute)), "%s, then removed again", name)

		c = known()
		load(c, registration(8, 1, false))
		require.Equal(t, []string{"s1"}, serverIDs(c.BuildView(time.Second)), "%s, then started again", name)

		c = known()
		load(c, registration(7, 2, false))
		c.RemoveExpired(time.Second + OutdatedRowPeriod)
		require.Equal(t, []string{"s1"}, serverIDs(c.BuildView(time.Minute)), "%s: the store has the row for good", name)
	}
}

// Guards against an evacuation that ends because the store lost it, against one that
// the operator has ended and that lasts forever, and against one that is not seen.
func TestRestorationAndEvacuations(t *testing.T) {
	c := evacuatedCatalog(t)
	require.True(t, c.LoadEvacuations(time.Second, at(1, 2), nil))
	require.True(t, c.BuildView(time.Second).EvacuatedDomains["a"])
	require.True(t, c.ApplyEvacuation(2*time.Second, evacuation(at(1, 3))))
	require.Zero(t, c.RemoveExpired(time.Minute))
	require.True(t, c.BuildView(time.Minute).EvacuatedDomains["a"], "the operator wrote it again")

	c = evacuatedCatalog(t)
	c.LoadEvacuations(time.Second, at(1, 2), nil)
	ended := time.Second + ExpiryGracePeriod
	require.Equal(t, 1, c.RemoveExpired(ended))
	v := c.BuildView(ended)
	require.False(t, v.EvacuatedDomains["a"])
	require.NotZero(t, v.Servers["desk"][0].ColdUntil)

	c = loadedCatalog(t)
	require.True(t, c.LoadEvacuations(time.Second, at(1, 2), []RowChange[struct{}]{evacuation(at(1, 1))}))
	require.True(t, c.BuildView(time.Second).EvacuatedDomains["a"])
}

// Guards against a configuration that goes back with the store, which would give back
// withdrawn keys.
func TestRestorationKeepsTheConfiguration(t *testing.T) {
	c := loadedCatalog(t)
	require.False(t, c.ApplyConfig(testConfig(4)))
	require.Equal(t, uint64(5), c.BuildView(0).Config.Version)
}

// Guards against a fleet that shrinks to the VMs of the copy, and against VMs that do
// not notice that their registration is lost because they still use it themselves.
func TestRestorationAndVMs(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.LoadVMs(0, 10, []RowChange[steering.VM]{vmChange(9, 3, false)}))
	require.False(t, c.RegistrationLost("vm-1", 3))
	require.True(t, c.RegistrationLost("vm-1", 4), "registration of an earlier start")
	require.True(t, c.LoadVMs(time.Second, at(1, 2), nil))
	require.Contains(t, c.BuildView(time.Second).VMs, "vm-1")
	require.True(t, c.RegistrationLost("vm-1", 3))
	require.Zero(t, c.VMVersion("vm-1"), "there is no registration to remove")
	require.True(t, c.ApplyVM(2*time.Second, vmChange(at(1, 3), 3, false)))
	require.False(t, c.RegistrationLost("vm-1", 3))
	require.Zero(t, c.RemoveExpired(time.Minute))

	c = loadedCatalog(t)
	c.LoadVMs(0, 10, []RowChange[steering.VM]{vmChange(9, 3, true)})
	c.LoadVMs(time.Second, at(1, 2), []RowChange[steering.VM]{vmChange(at(1, 1), 3, false)})
	require.True(t, c.BuildView(time.Second).VMs["vm-1"].Leaving, "a VM that leaves does not come back")
	c.ApplyVM(2*time.Second, vmChange(at(1, 3), 4, false))
	require.False(t, c.BuildView(2 * time.Second).VMs["vm-1"].Leaving, "it was started again")
}

// Guards against a second restoration that ends the grace period of the first.
func TestSecondRestorationStartsAnotherGracePeriod(t *testing.T) {
	c := loadedCatalog(t)
	c.LoadServers(time.Second, at(1, 2), nil)
	c.LoadServers(3*time.Second, at(2, 2), nil)
	require.Zero(t, c.RemoveExpired(time.Second+ExpiryGracePeriod))
	require.Equal(t, []string{"s1"}, serverIDs(c.BuildView(4*time.Second)))
	require.Equal(t, 1, c.RemoveExpired(3*time.Second+ExpiryGracePeriod))
}

// Guards against rows that are kept for longer in a larger table, or in one that had
// many rows: a server that is still missing after the grace period is gone. Only VMs
// spread their writes.
func TestGracePeriodDoesNotGrowWithTheTable(t *testing.T) {
	c := loadedCatalog(t)
	for i := range 5000 {
		id := "gone-" + strconv.Itoa(i)
		c.ApplyServer(0, serverChange(platform.Position(20+2*i), testServer(id), id))
		c.ApplyServer(0, serverChange(platform.Position(21+2*i), nil, id))
	}
	c.LoadServers(time.Second, at(1, 2), nil)
	require.Equal(t, 1, c.RemoveExpired(time.Second+ExpiryGracePeriod))

	var vms []RowChange[steering.VM]
	for i := range 1000 {
		vms = append(vms, RowChange[steering.VM]{Key: strconv.Itoa(i), Position: platform.Position(1 + i), Value: &steering.VM{}})
	}
	c.LoadVMs(0, 2000, vms)
	c.LoadVMs(time.Second, at(1, 2), nil)
	until := time.Second + ExpiryGracePeriod + RegistrationSpread(1000)
	require.Zero(t, c.RemoveExpired(until-1))
	require.Equal(t, 1000, c.RemoveExpired(until))
}

// Guards against a VM that the others leave out for seconds: it could not write its
// registration again in time, was removed, and what it then writes looks like the state
// that was removed. Only a row of the copy may be such a state.
func TestVMThatRegistersLateAfterARestorationIsUsedAtOnce(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.LoadVMs(0, 10, []RowChange[steering.VM]{vmChange(9, 3, false)}))
	require.True(t, c.LoadVMs(time.Second, at(1, 20), nil))
	removed := time.Second + ExpiryGracePeriod + RegistrationSpread(1)
	require.Equal(t, 1, c.RemoveExpired(removed))
	require.True(t, c.ApplyVM(removed, vmChange(at(1, 21), 3, false)), "it was written after the restoration")
	require.Contains(t, c.BuildView(removed).VMs, "vm-1")

	c = loadedCatalog(t)
	require.True(t, c.LoadVMs(0, 10, []RowChange[steering.VM]{vmChange(9, 3, false)}))
	require.True(t, c.ApplyVM(0, RowChange[steering.VM]{Key: "vm-1", Position: 12}))
	require.True(t, c.LoadVMs(time.Second, at(1, 9), []RowChange[steering.VM]{vmChange(at(1, 9), 3, false)}))
	require.NotContains(t, c.BuildView(time.Second).VMs, "vm-1", "a row of the copy does not bring a removed VM back")
}

// Guards against a VM that was suspended during a restoration, and takes itself for the only
// one on waking: the others had written their registrations again, but it has not read that
// yet.
func TestSuspensionDuringARestorationRemovesNothing(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.LoadVMs(0, 10, []RowChange[steering.VM]{vmChange(9, 3, false)}))
	require.True(t, c.LoadVMs(time.Second, at(1, 2), nil))
	require.Zero(t, c.RemoveExpired(1100*time.Millisecond))
	woke, suspended := 4*time.Second, 2900*time.Millisecond
	c.Suspended(woke, suspended)
	require.Zero(t, c.RemoveExpired(woke), "the time of the suspension does not count")
	require.Contains(t, c.BuildView(woke).VMs, "vm-1")
	require.True(t, c.ApplyVM(woke+100*time.Millisecond, vmChange(at(1, 3), 3, false)))
	for now := woke; now < woke+10*time.Second; now += 250 * time.Millisecond {
		require.Zero(t, c.RemoveExpired(now))
	}

	c = loadedCatalog(t)
	require.True(t, c.LoadVMs(0, 10, []RowChange[steering.VM]{vmChange(9, 3, false)}))
	require.True(t, c.LoadVMs(time.Second, at(1, 2), nil))
	require.Zero(t, c.RemoveExpired(1100*time.Millisecond))
	c.Suspended(woke, suspended)
	until := time.Second + ExpiryGracePeriod + RegistrationSpread(1) + suspended
	require.Zero(t, c.RemoveExpired(until-1))
	require.Equal(t, 1, c.RemoveExpired(until), "a VM that does not register again is removed")
	c.Suspended(until+time.Minute, 50*time.Second)
	require.True(t, c.ApplyVM(until+time.Minute, RowChange[steering.VM]{Key: "vm-2", Position: at(1, 4), Value: &steering.VM{Name: "vm-2"}}))
	require.True(t, c.LoadVMs(until+time.Minute, at(1, 5), nil))
	require.NotContains(t, c.BuildView(until+time.Minute).VMs, "vm-2", "periods that have ended stay so")
}
