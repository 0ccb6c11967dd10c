package gateway

import (
	"context"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
)

// Guards against a message of another VM that ends the process, or whose numbers make the shares
// of the regions invalid.
func FuzzPeerMessage(f *testing.F) {
	work := map[string]map[string]float64{"north": {"desk": 3}, "south": {"desk": 1e308}}
	for _, message := range []peerMessage{
		{Report: &exchange.Report{VM: "vm-2", Region: "north", Seq: 1, Demand: map[string]float64{"t1": 5}, Work: work["north"], Pinned: work}},
		{Digest: &exchange.Digest{Hub: "vm-2", Seq: 1, Alive: 2, RosterSize: 2, Demand: map[string]float64{"t1": 1e308}, Work: work, Pinned: work, Settled: true}},
		{Heartbeat: &exchange.Heartbeat{Hub: "vm-2", Seq: 1, Versions: exchange.Versions{Servers: 1 << 60}, Healthy: true}},
		{TokenRequest: &tokenRequest{ID: 1, From: "127.0.0.1:1", Account: "t1", Request: ratelimit.Request{Want: 3, Used: 4, Credit: 9, Unsettled: 8}}},
		{TokenGrant: &tokenGrant{ID: 1, Tokens: 5, WaitMS: math.MaxInt64}},
		{LoanRequest: &loanRequest{Account: "t1"}}, {Loan: &loan{Account: "t1"}}, {LimitRequest: &limitRequest{}}, {LimitGrant: &limitGrant{}},
	} {
		raw, err := json.Marshal(message)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		n := newTestNode(&standInBackends{}, testConfig(&steering.Account{Name: "t1", Keys: []string{"k1"}, RatePerSecond: 10, Burst: 10}))
		n.sendDatagram = func(string, []byte) error { return nil }
		n.mu.Lock()
		n.peers.SetRoster([]exchange.Member{{Name: "vm-1", Region: "north", Weight: 1}, {Name: "vm-2", Region: "south", Weight: 2}})
		n.mu.Unlock()
		for range 2 {
			n.receiveDatagram(context.Background(), datagram)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		now := n.now()
		n.updateRegionFlows(now)
		n.updateRates(now, n.view.Load())
		n.applyServerLimits(now)
		n.applySuspects(now)
		n.digestsToSend(now)
		n.expireSuspects(now + time.Hour)
		for _, flow := range n.regionFlows {
			sum := 0.0
			for _, share := range flow.Shares() {
				require.False(t, math.IsNaN(share) || share < 0)
				sum += share
			}
			require.InDelta(t, 1, sum, 0.01)
		}
		for _, account := range []string{"t1"} {
			require.False(t, math.IsNaN(n.peers.RateShare(now, account, 10)))
		}
		require.LessOrEqual(t, n.peers.Heartbeat(now, exchange.Versions{}, true).Versions.Era(), uint64(platform.MaxEra))
	})
}
