package configsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// newStoreWithTwoVersions returns a store with two versions and a VM at each.
func newStoreWithTwoVersions(t *testing.T) (s *fakeStore, vms map[string]*Replica) {
	s = newFakeStore()
	require.NoError(t, s.publish(NewPublish(entriesOf("a", "b"), 0, "c1"), nil).Err)
	vms = map[string]*Replica{"old": s.startReplica(1)}
	require.NoError(t, s.publish(NewPublish(entriesOf("a", "c"), 1, "c2"), nil).Err)
	vms["new"] = s.startReplica(2)
	return s, vms
}

// Guards against a VM that starts without a configuration while the store is down
// although its peers have one.
func TestStartWhileStoreIsDown(t *testing.T) {
	s, vms := newStoreWithTwoVersions(t)
	v := newReplica(3)
	vms["start"] = v
	require.False(t, s.readInto(start, v, v.Tick(start, 3), failedCall))
	require.Zero(t, v.Version())
	require.True(t, exchange(start, vms, "start", v.PeerVersion(start, "new", 2)))
	require.EqualValues(t, 2, v.Version())
	require.Equal(t, []string{"a", "c"}, contentsOf(v.Entries()))
}

// Guards against a version that decreases because a read returns an old row or a
// peer sends an old update.
func TestLowerVersionIsNotInstalled(t *testing.T) {
	s, vms := newStoreWithTwoVersions(t)
	v := vms["new"]
	now := start.Add(time.Hour)
	op := v.Tick(now, 1)[0]
	_, fetch := v.TableResult(now, tableop.Result{ID: op.ID, Rows: []platform.Row{s.history[0]}})
	require.False(t, fetch)
	old := vms["old"].handleRequest("new", &peerv1.ConfigRequest{})[0]
	_, changed := v.Receive(now, &peerv1.Member{Vm: "old"}, old.Message)
	require.False(t, changed)
	require.Empty(t, v.PeerVersion(now, "old", 1))
	require.EqualValues(t, 2, v.Version())
	// An object that arrives after a peer's higher version is not installed.
	behind := vms["old"]
	op = behind.Tick(now, 1)[0]
	name, fetch := behind.TableResult(now, s.call(op, noFault))
	require.True(t, fetch)
	require.NoError(t, s.publish(NewPublish(entriesOf("z"), 2, "c3"), nil).Err)
	vms["newest"] = s.startReplica(4)
	require.True(t, exchange(now, vms, "old", behind.PeerVersion(now, "newest", 3)))
	require.False(t, behind.ObjectResult(now, name, s.objects[name], nil))
	require.EqualValues(t, 3, behind.Version())
}

// Guards against a VM that keeps an old version after it was disconnected, and
// against an update that contains more than the delta.
func TestVMAfterDisconnection(t *testing.T) {
	_, vms := newStoreWithTwoVersions(t)
	v := vms["old"]
	request := v.PeerVersion(start, "new", 2)
	require.Len(t, request, 1)
	require.Empty(t, v.PeerVersion(start, "new", 2), "one request at a time")
	again := v.PeerVersion(start.Add(requestTimeout), "new", 2)
	require.Len(t, again, 1, "a lost request is sent again")
	sends, _ := vms["new"].Receive(start, &peerv1.Member{Vm: "old"}, again[0].Message)
	require.Len(t, sends[0].Message.GetConfigUpdate().GetEntries(), 1)
	require.True(t, exchange(start, vms, "new", sends))
	require.Equal(t, vms["new"].Digest(), v.Digest())
	require.Empty(t, v.PeerVersion(start.Add(time.Minute), "new", 2))
}

// Guards against content that was damaged or made for a different base version.
func TestMismatchedUpdate(t *testing.T) {
	s, vms := newStoreWithTwoVersions(t)
	from := &peerv1.Member{Vm: "new"}
	for name, corrupt := range map[string]func(u *peerv1.ConfigUpdate){
		"base":    func(u *peerv1.ConfigUpdate) { u.FromVersion = 7 },
		"content": func(u *peerv1.ConfigUpdate) { u.Entries = nil },
		"version": func(u *peerv1.ConfigUpdate) { u.Version++ },
		"digest":  func(u *peerv1.ConfigUpdate) { u.Digest = nil },
	} {
		v := vms["old"]
		update := vms["new"].handleRequest("old", &peerv1.ConfigRequest{HaveVersion: 1})[0].Message
		corrupt(update.GetConfigUpdate())
		sends, changed := v.Receive(start, from, update)
		require.False(t, changed, name)
		require.EqualValues(t, 0, sends[0].Message.GetConfigRequest().GetHaveVersion(), name)
		require.Len(t, sends, 1)
	}
	full := vms["new"].handleRequest("old", &peerv1.ConfigRequest{})[0].Message
	full.GetConfigUpdate().Entries = full.GetConfigUpdate().GetEntries()[:1]
	sends, changed := vms["old"].Receive(start, from, full)
	require.False(t, changed)
	require.Empty(t, sends, "an invalid update with all entries does not lead to a loop of requests")
	now := start.Add(time.Minute)
	require.True(t, exchange(now, vms, "old", vms["old"].PeerVersion(now, "new", 2)))
	// Objects are checked too, and fetched again after a failure.
	v := newReplica(9)
	name, _ := v.TableResult(start, s.call(v.Tick(start, 1)[0], noFault))
	require.False(t, v.ObjectResult(start, name, append([]byte{0}, s.objects[name]...), nil))
	name, fetch := v.TableResult(now, s.call(v.Tick(now, 1)[0], noFault))
	require.True(t, fetch)
	require.False(t, v.ObjectResult(now, name, nil, platform.ErrUnavailable))
	later := now.Add(time.Hour)
	require.True(t, s.readInto(later, v, v.Tick(later, 1), noFault))
}

// Guards against a VM that gets the whole configuration for each change, and
// against one that keeps an old version because the delta object is damaged.
func TestDeltaObject(t *testing.T) {
	for _, damaged := range []bool{false, true} {
		s, vms := newStoreWithTwoVersions(t)
		v := vms["old"]
		now := start.Add(time.Hour)
		name, fetch := v.TableResult(now, s.call(v.Tick(now, 1)[0], noFault))
		require.True(t, fetch)
		require.Less(t, len(s.objects[name]), len(s.objects[v.rowRead.pendingRow.Object]))
		if damaged {
			require.False(t, v.ObjectResult(now, name, s.objects[name][1:], nil))
			now = now.Add(time.Hour)
			name, _ = v.TableResult(now, s.call(v.Tick(now, 1)[0], noFault))
			require.Equal(t, v.rowRead.pendingRow.Object, name)
		}
		require.True(t, v.ObjectResult(now, name, s.objects[name], nil))
		require.Equal(t, vms["new"].Digest(), v.Digest())
	}
}

// Guards against a number of reads of the row that grows with the fleet.
func TestFleetReadsTwicePerSecond(t *testing.T) {
	s := newFakeStore()
	require.NoError(t, s.publish(NewPublish(entriesOf("a"), 0, "c1"), nil).Err)
	for _, n := range []int{1, 11, 256} {
		var vms []*Replica
		for i := range n {
			vms = append(vms, newReplica(uint64(i)))
		}
		reads := 0
		const seconds = 200
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(100 * time.Millisecond) {
			for _, v := range vms {
				ops := v.Tick(now, n)
				reads += len(ops)
				s.readInto(now, v, ops, noFault)
			}
		}
		require.InDelta(t, 2, float64(reads-n)/seconds, 0.35, "%d VMs", n)
	}
}

// Guards against a wrong current version read from the row, and against a missing
// row that is confused with a store that does not answer.
func TestRow(t *testing.T) {
	s, _ := newStoreWithTwoVersions(t)
	current, err := CurrentFromResult(s.call(tableop.Op{Reads: []string{CurrentKey}}, noFault))
	require.NoError(t, err)
	require.EqualValues(t, 2, current.Version)
	_, err = CurrentFromResult(tableop.Result{})
	require.ErrorIs(t, err, platform.ErrNotFound)
	_, err = CurrentFromResult(tableop.Result{Err: platform.ErrUnavailable})
	require.ErrorIs(t, err, platform.ErrUnavailable)
}
