package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
)

func testConfig(version uint64) *steering.Config {
	return steering.NewConfig(version, nil, []*steering.Service{{Name: "desk", ColdPeriod: 3 * time.Second}}, nil, steering.Limits{})
}

func testServer(id string) *steering.Server {
	return &steering.Server{ID: id, Service: "desk", FailureDomain: "a", Region: "north", Slots: 4}
}

func serverChange(version platform.Position, s *steering.Server, id string) RowChange[steering.Server] {
	return RowChange[steering.Server]{Key: id, Position: version, Value: s}
}

func serverIDs(v *View) []string {
	var out []string
	for _, s := range v.Servers["desk"] {
		out = append(out, s.ID)
	}
	return out
}

func loadedCatalog(t *testing.T) *Catalog {
	t.Helper()
	c := New()
	c.MarkOperatorLoaded()
	require.True(t, c.ApplyConfig(testConfig(5)))
	require.True(t, c.LoadServers(0, 10, []RowChange[steering.Server]{serverChange(3, testServer("s1"), "s1")}))
	return c
}

// Guards against a configuration that goes back to an older version when an older
// read arrives late.
func TestConfigNeverStepsBack(t *testing.T) {
	c := loadedCatalog(t)
	require.False(t, c.ApplyConfig(testConfig(4)))
	require.False(t, c.ApplyConfig(testConfig(5)))
	require.Equal(t, uint64(5), c.BuildView(0).Config.Version)
	require.True(t, c.ApplyConfig(testConfig(9)))
}

// Guards against an outdated full read that brings back a deleted server. Such a read
// may follow when the store has dropped its history.
func TestOldFullReadIsNotUsed(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.ApplyServer(0, serverChange(20, nil, "s1")))
	require.False(t, c.LoadServers(0, 15, []RowChange[steering.Server]{serverChange(3, testServer("s1"), "s1")}))
	require.Empty(t, serverIDs(c.BuildView(0)))
}

// Guards against an older change of a row that arrives after a newer one.
func TestOldChangeIsNotUsed(t *testing.T) {
	c := loadedCatalog(t)
	draining := testServer("s1")
	draining.Draining = true
	require.True(t, c.ApplyServer(0, serverChange(20, draining, "s1")))
	require.False(t, c.ApplyServer(0, serverChange(19, testServer("s1"), "s1")))
	require.Empty(t, serverIDs(c.BuildView(0)))
}

// Guards against invalid rows of other writers that take a server out of use or stop
// the process.
func TestUnreadableRowChangesNothing(t *testing.T) {
	c := loadedCatalog(t)
	c.ApplyServer(0, RowChange[steering.Server]{Key: "s1", Position: 21, Unreadable: true})
	c.ApplyServer(0, RowChange[steering.Server]{Key: "junk", Position: 22, Unreadable: true})
	require.Equal(t, []string{"s1"}, serverIDs(c.BuildView(0)))
}

// Guards against losing all servers whose registrations expired during an outage of
// the store, and against keeping them indefinitely.
func TestExpiredServersStayForTheGracePeriod(t *testing.T) {
	c := loadedCatalog(t)
	c.MarkStoreUnresponsive()
	c.MarkStoreResponsive(time.Second)
	require.True(t, c.LoadServers(time.Second, 30, nil))
	v := c.BuildView(time.Second)
	require.Equal(t, []string{"s1"}, serverIDs(v))
	require.True(t, v.Servers["desk"][0].Expired, "an expired server is probed before it gets a request")
	require.Zero(t, c.RemoveExpired(time.Second+ExpiryGracePeriod-1))
	require.Equal(t, 1, c.RemoveExpired(time.Second+ExpiryGracePeriod))
	require.Empty(t, serverIDs(c.BuildView(time.Second+ExpiryGracePeriod)))
}

// Guards against removing an expired server that was registered again in time.
func TestExpiredServerComesBack(t *testing.T) {
	c := loadedCatalog(t)
	c.MarkStoreUnresponsive()
	c.MarkStoreResponsive(time.Second)
	require.True(t, c.ApplyServer(time.Second, serverChange(30, nil, "s1")))
	require.True(t, c.ApplyServer(2*time.Second, serverChange(31, testServer("s1"), "s1")))
	c.RemoveExpired(10 * time.Second)
	v := c.BuildView(10 * time.Second)
	require.Equal(t, []string{"s1"}, serverIDs(v))
	require.False(t, v.Servers["desk"][0].Expired)
}

// Guards against requests to a server whose registration disappeared while the store
// was responsive, or that had announced that it leaves.
func TestDeletedServerIsRemovedAtOnce(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.ApplyServer(time.Second, serverChange(30, nil, "s1")))
	require.Empty(t, serverIDs(c.BuildView(time.Second)))

	c = loadedCatalog(t)
	draining := testServer("s1")
	draining.Draining = true
	c.ApplyServer(0, serverChange(20, draining, "s1"))
	c.MarkStoreUnresponsive()
	c.ApplyServer(0, serverChange(21, nil, "s1"))
	require.Empty(t, serverIDs(c.BuildView(0)))
}

// Guards against requests to an evacuated failure domain, and against full load on
// its servers as soon as the evacuation ends: they may have restarted unnoticed.
func TestEvacuation(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.ApplyEvacuation(0, RowChange[struct{}]{Key: "a", Position: 40, Value: &struct{}{}}))
	require.Empty(t, serverIDs(c.BuildView(0)))
	require.True(t, c.ApplyEvacuation(8*time.Second, RowChange[struct{}]{Key: "a", Position: 41}))
	v := c.BuildView(8 * time.Second)
	require.Equal(t, []string{"s1"}, serverIDs(v))
	require.Equal(t, 8*time.Second+3*time.Second+EvacuationColdMargin, v.Servers["desk"][0].ColdUntil)
	require.Zero(t, c.BuildView(20 * time.Second).Servers["desk"][0].ColdUntil)
}

// Guards against missing the end of an evacuation between two full reads.
func TestEvacuationEndsWithAFullRead(t *testing.T) {
	c := loadedCatalog(t)
	c.ApplyEvacuation(0, RowChange[struct{}]{Key: "a", Position: 40, Value: &struct{}{}})
	require.True(t, c.LoadEvacuations(9*time.Second, 50, nil))
	require.NotZero(t, c.BuildView(9 * time.Second).Servers["desk"][0].ColdUntil)
}

// Guards against a process that answers 404 or 401 before it has read what the
// operator wrote.
func TestNotReadyBeforeAllWasRead(t *testing.T) {
	c := New()
	require.False(t, c.BuildView(0).Ready)
	c.ApplyConfig(testConfig(1))
	require.False(t, c.BuildView(0).Ready)
	c.MarkOperatorLoaded()
	require.False(t, c.BuildView(0).Ready)
	c.LoadServers(0, 1, nil)
	require.False(t, c.BuildView(0).Ready)
	c.LoadVMs(0, 1, nil)
	require.True(t, c.BuildView(0).Ready)
}

// Guards against a VM that serves without knowing the other VMs: it would use the
// whole rate of each account itself. Found by the soak test with seed 9205: after all
// processes were killed, the store delivered the configuration and the servers
// seconds before the VMs.
func TestNotReadyWithoutTheVMs(t *testing.T) {
	c := New()
	c.ApplyConfig(steering.NewConfig(1, nil, nil, nil, steering.Limits{}))
	c.MarkOperatorLoaded()
	require.True(t, c.LoadServers(0, 1, nil))
	require.False(t, c.BuildView(0).Ready)
	require.True(t, c.LoadVMs(0, 1, nil))
	require.True(t, c.BuildView(0).Ready)
}

// Guards against a full read that is ignored because an earlier one, in several pages, had
// a row that is newer than its position.
func TestRowsOfALaterPageAreNotThePosition(t *testing.T) {
	c := loadedCatalog(t)
	require.True(t, c.LoadServers(0, 20, []RowChange[steering.Server]{serverChange(3, testServer("s1"), "s1"), serverChange(30, testServer("s2"), "s2")}))
	draining := testServer("s1")
	draining.Draining = true
	require.True(t, c.LoadServers(0, 25, []RowChange[steering.Server]{serverChange(22, draining, "s1"), serverChange(4, testServer("s2"), "s2")}))
	require.Equal(t, []string{"s2"}, serverIDs(c.BuildView(0)))
	require.True(t, c.ApplyServer(0, serverChange(26, nil, "s1")))
}
