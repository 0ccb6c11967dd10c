package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform/memory"
)

type noSender struct{}

func (noSender) Send([]outbox.Send) {}

func newControl(t *testing.T) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := Platform{Table: memory.NewTable(), Objects: memory.NewObjects(), VMs: memory.NewVMList(0, nil)}
	c := New(ctx, &peerv1.Member{Vm: "a", Incarnation: 1}, p, logr.Discard())
	c.SetSender(noSender{})
	return c
}

func isClosed(arrived <-chan struct{}) bool {
	select {
	case <-arrived:
		return true
	default:
		return false
	}
}

// Guards against a waiting request that is not woken by refilled tokens, a
// raised rate or units of a peer, and against waking it for a request of a
// peer.
func TestWaitingRequestsAreWoken(t *testing.T) {
	c := newControl(t)
	from := &peerv1.Member{Vm: "b", Incarnation: 1}
	arrived := c.UnitsArrived()
	c.Receive(from, &peerv1.Message{Kind: &peerv1.Message_QuotaRequest{QuotaRequest: &peerv1.QuotaRequest{}}})
	require.False(t, isClosed(arrived), "question")
	c.Receive(from, &peerv1.Message{Kind: &peerv1.Message_QuotaTransfer{QuotaTransfer: &peerv1.QuotaTransfer{}}})
	require.True(t, isClosed(arrived), "transfer")
	arrived = c.UnitsArrived()
	c.activatePolicy(&policy.Policy{Version: 1})
	require.True(t, isClosed(arrived), "new limits")
	// The tick comes last, because it starts the join, which also wakes waiting
	// requests.
	arrived = c.UnitsArrived()
	c.tick(time.Now())
	require.True(t, isClosed(arrived), "tick")
}

// Guards against losing hints between two heartbeats, and against changing the
// hints of a heartbeat that is being sent.
func TestHintsKeptUntilHeartbeat(t *testing.T) {
	first := []*peerv1.QuotaHint{{Limit: "a", Units: 1}, {Limit: "b", Units: 2}}
	merged := mergeHints(first, []*peerv1.QuotaHint{{Limit: "b", Units: 3}, {Limit: "c", Units: 4}})
	units := map[string]uint32{}
	for _, h := range merged {
		units[h.Limit] = h.Units
	}
	require.Len(t, merged, 3)
	require.Equal(t, map[string]uint32{"a": 1, "b": 3, "c": 4}, units)
	require.Equal(t, uint32(2), first[1].Units)
}

// Guards against reporting the state of VMs that are no longer members, or of
// earlier incarnations of members.
func TestHeartbeatOfEarlierIncarnation(t *testing.T) {
	c := newControl(t)
	c.setMembers(&peerv1.Fleet{Members: []*peerv1.Member{{Vm: "b", Incarnation: 2}}})
	leaving := &peerv1.Heartbeat{Leaving: true, Hints: []*peerv1.QuotaHint{{Limit: "l", Units: 1}}}
	c.receiveHeartbeat(time.Now(), &peerv1.Member{Vm: "b", Incarnation: 1}, leaving)
	require.Empty(t, c.leavingPeers)
	require.Empty(t, c.Holders("l"))
	c.receiveHeartbeat(time.Now(), &peerv1.Member{Vm: "b", Incarnation: 2}, leaving)
	require.True(t, c.leavingPeers["b"])
	require.Equal(t, map[string]uint32{"b": 1}, c.Holders("l"))
	c.setMembers(nil)
	require.Empty(t, c.leavingPeers)
	require.Empty(t, c.peerHints)
}
