package locate

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// fleet is the state of a fleet with VMs in two regions.
type fleet struct {
	policy atomic.Pointer[policy.Policy]
	vms    int
}

func (s *fleet) Policy() *policy.Policy { return s.policy.Load() }
func (s *fleet) Peers() []control.PeerState {
	var out []control.PeerState
	for i := range s.vms {
		name := fmt.Sprint("vm", i)
		out = append(out, control.PeerState{Member: &peerv1.Member{Vm: name, CallerAddress: name, Region: fmt.Sprint("r", i%2)}, Alive: true})
	}
	return out
}
func (s *fleet) AllHolders(time.Time, string) map[string]uint32 { return map[string]uint32{"vm3": 1} }

func newFleet(t *testing.T, vms int) *fleet {
	s := &fleet{vms: vms}
	s.policy.Store(compile(t, 1))
	return s
}

func compile(t *testing.T, version uint64) *policy.Policy {
	p, err := policy.Compile(version, &declare.Config{
		Regions: []declare.Region{{Name: "r0"}, {Name: "r1"}},
		Blocks:  []declare.Block{{Prefix: "10.0.0.0/16", Region: "r0"}, {Prefix: "10.1.0.0/16", Region: "r1"}, {Prefix: "10.2.0.0/16", Region: "gone"}},
	})
	require.NoError(t, err)
	return p
}

// Guards against data races between lookups, and between lookups and a new
// configuration. The race detector finds them.
func TestConcurrentLocate(t *testing.T) {
	s := newFleet(t, 6)
	l := New(s, 5000)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 300 {
				response, ok := l.Locate(fmt.Sprintf("10.%d.0.%d:80", i%3, worker), "")
				if !ok || len(response.Entries) != 6 {
					t.Errorf("response with %d entries", len(response.Entries))
					return
				}
			}
		})
	}
	for version := range uint64(20) {
		s.policy.Store(compile(t, version+2))
	}
	group.Wait()
}

// Guards against sending a caller to different VMs for each connection, and
// against not sending it to its nearest region.
func TestLocateByAddress(t *testing.T) {
	l := New(newFleet(t, 6), 5000)
	first, ok := l.Locate("10.1.0.7:1000", "")
	require.True(t, ok)
	second, _ := l.Locate("10.1.0.7:2000", "")
	require.Equal(t, first, second)
	require.Equal(t, "r1", first.Region)
	for _, e := range first.Entries[:3] {
		require.Equal(t, "r1", e.Region)
	}
}
