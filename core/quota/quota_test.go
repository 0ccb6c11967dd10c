package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

var largeLimit = Limit{Name: testLimit, RatePerSecond: 1000, Burst: 200}

// Guards against units that stay at a VM after its traffic has moved to another.
func TestTrafficMovesBetweenVMs(t *testing.T) {
	for _, l := range []Limit{largeLimit, {testLimit, 50, 25}, {testLimit, 20, 5}} {
		n := newSettledNetwork(t, 11, l)
		for _, vm := range []int{1, 5, 9, 0} {
			requests, refused := n.generateDemand(2*time.Second, l.RatePerSecond*0.8, n.nodes[vm])
			require.Zero(t, refused, "of %d at vm %d, %v", requests, vm, l)
		}
	}
}

// Guards against a small burst that is split into units too few to hold a token.
func TestSmallBurstEvenlySpread(t *testing.T) {
	n := newSettledNetwork(t, 11, Limit{testLimit, 10, 5})
	requests, refused := n.generateDemand(30*time.Second, 7, n.nodes...)
	require.LessOrEqual(t, float64(refused), 0.01*float64(requests))
}

// Guards against a burst of one token that no VM can collect.
func TestBurstOfOneToken(t *testing.T) {
	n := newSettledNetwork(t, 4, Limit{testLimit, 2, 1})
	requests, refused := n.generateDemand(10*time.Second, 1, n.nodes[2])
	require.Zero(t, refused, "of %d", requests)
}

// Guards against lost units that are not credited until the membership changes.
func TestLostTransfersAreCredited(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	deliver := n.deliveryDelays
	n.deliveryDelays = dropUnits
	n.generateDemand(time.Second, 800, n.nodes[1])
	require.Less(t, n.heldUnits(testLimit), uint64(TotalUnits))
	n.deliveryDelays = deliver
	n.run(MissingUnitsTimeout + 6*time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against units that are added twice, by a duplicate or by a transfer that
// arrives after the reconciliation has credited its units.
func TestDuplicatedAndLateTransfers(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	deliver := n.deliveryDelays
	n.deliveryDelays = func(p packet) []time.Duration {
		if p.msg.GetQuotaTransfer() == nil {
			return deliver(p)
		}
		return []time.Duration{4 * time.Second, remoteDelay, 10 * time.Millisecond}
	}
	n.generateDemand(time.Second, 800, n.nodes[1])
	n.deliveryDelays = func(p packet) []time.Duration {
		if p.msg.GetQuotaTransfer() == nil {
			return deliver(p)
		}
		return []time.Duration{3 * time.Second}
	}
	n.generateDemand(500*time.Millisecond, 800, n.nodes[2])
	n.advanceEpoch(n.nodes[3])
	n.run(time.Second)
	n.deliveryDelays = deliver
	n.run(10 * time.Second) // the network checks the sum of units at each step
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against the loss of a killed VM's units.
func TestKilledVM(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	n.generateDemand(time.Second, 800, n.nodes[1])
	n.nodes[1].killed = true
	n.run(5 * time.Second)
	n.advanceEpoch(n.nodes[2])
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against a paused VM that uses units which were credited to others. Its
// late messages are dropped, and EnterEpoch(nil) makes it give up its units.
func TestPausedVMAfterReconciliation(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	paused := n.nodes[1]
	n.generateDemand(time.Second, 800, paused)
	paused.paused = true
	n.advanceEpoch(n.nodes[0])
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
	paused.paused = false
	for _, v := range n.nodes {
		if v != paused {
			before := v.m.limits[testLimit].units
			transfer := &peerv1.QuotaTransfer{Epoch: 1, Sequence: 999, Limit: testLimit, Units: 5}
			n.post(v, v.m.Receive(n.now, paused.member, &peerv1.Message{Kind: &peerv1.Message_QuotaTransfer{QuotaTransfer: transfer}}))
			require.Equal(t, before, v.m.limits[testLimit].units)
		}
	}
	require.Nil(t, paused.m.EnterEpoch(n.now, nil))
	require.False(t, paused.m.Take(n.now, testLimit, 1).OK)
	n.advanceEpoch(n.nodes[0])
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against two credits for the same units when a newer epoch starts before
// the reconciliation of the previous one has ended. The VMs enter the epochs at
// different times.
func TestConcurrentEpochs(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	n.nodes[3].killed = true
	first := n.writeEpoch(n.nodes[0])
	n.enter(n.nodes[0], first)
	n.enter(n.nodes[1], first)
	n.run(20 * time.Millisecond)
	second := n.writeEpoch(n.nodes[1])
	n.enter(n.nodes[1], second)
	n.run(70 * time.Millisecond)
	n.enter(n.nodes[2], first)
	n.run(70 * time.Millisecond)
	n.enter(n.nodes[2], second)
	n.run(time.Second)
	require.Less(t, n.heldUnits(testLimit), uint64(TotalUnits), "no credit before all members have reported")
	n.enter(n.nodes[0], second)
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against a reconciliation that never completes because its writer was
// killed. The epoch after the writer's eviction completes it.
func TestWriterKilledDuringReconciliation(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	n.nodes[3].killed = true
	n.advanceEpoch(n.nodes[0])
	n.run(30 * time.Millisecond)
	n.nodes[0].killed = true
	n.run(4 * time.Second)
	require.Less(t, n.heldUnits(testLimit), uint64(TotalUnits))
	n.advanceEpoch(n.nodes[2])
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against an epoch without a reconciler after its writer removed itself,
// and against units that are not handed over at a planned stop.
func TestPlannedStopHandsOver(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	n.generateDemand(time.Second, 800, n.nodes[1])
	n.post(n.nodes[1], n.nodes[1].m.HandOver(n.now, []string{"vm00", "vm02", "vm03"}))
	n.run(100 * time.Millisecond)
	require.Zero(t, n.nodes[1].m.limits[testLimit].units)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit), "units move without an epoch")
	n.deliveryDelays = dropUnits
	n.generateDemand(500*time.Millisecond, 800, n.nodes[2])
	n.deliveryDelays = func(packet) []time.Duration { return []time.Duration{remoteDelay} }
	n.nodes[1].killed = true
	n.advanceEpoch(n.nodes[1])
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit))
}

// Guards against tokens created by a change of rate and burst. While the change
// spreads, the old limit may be used, and afterwards only the new one.
func TestRateChange(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	lower := Limit{Name: testLimit, RatePerSecond: 100, Burst: 20}
	for _, v := range n.nodes {
		v.m.SetLimits(n.now, []Limit{lower})
		n.generateDemand(300*time.Millisecond, 2000, n.nodes...)
	}
	n.limits, n.referenceTokens, n.referenceRefilledAt = []Limit{lower}, lower.Burst, n.now
	n.generateDemand(3*time.Second, 2000, n.nodes...)
	n.limits, n.referenceTokens = []Limit{largeLimit}, largeLimit.Burst
	for _, v := range n.nodes {
		v.m.SetLimits(n.now, []Limit{largeLimit})
	}
	n.generateDemand(3*time.Second, 2000, n.nodes...)
	n.run(time.Second) // transfers in flight arrive
	require.EqualValues(t, TotalUnits, n.heldUnits(testLimit), "a change loses no units")
}

// Guards against a new limit that gets its units only with the next epoch.
func TestNewLimitWithinAnEpoch(t *testing.T) {
	n := newSettledNetwork(t, 4, largeLimit)
	added := Limit{Name: RegionLimit("r0"), RatePerSecond: 10, Burst: 10}
	n.limits = append(n.limits, added)
	for _, v := range n.nodes {
		v.m.SetLimits(n.now, n.limits)
	}
	n.run(time.Second)
	require.EqualValues(t, TotalUnits, n.heldUnits(added.Name))
}

// Guards against a report that differs when it is requested again, and against a
// credit that is accepted twice.
func TestReportOnceCreditOnce(t *testing.T) {
	n := newSettledNetwork(t, 3, largeLimit)
	v, writer := n.nodes[1], n.nodes[0].member
	n.deliveryDelays = func(packet) []time.Duration { return nil }
	receive := func(kind *peerv1.Message) []Send { return v.m.Receive(n.now, writer, kind) }
	request := &peerv1.Message{Kind: &peerv1.Message_ReconcileRequest{ReconcileRequest: &peerv1.ReconcileRequest{Epoch: 1, Round: 9, Limits: []string{testLimit}}}}
	first := receive(request)
	v.m.limits[testLimit].remove(n.now, 1000, 0)
	require.True(t, proto.Equal(first[0].Message, receive(request)[0].Message))
	before := v.m.limits[testLimit].units
	credit := &peerv1.Message{Kind: &peerv1.Message_ReconcileCredit{ReconcileCredit: &peerv1.ReconcileCredit{
		Epoch: 1, Round: 9, Holdings: []*peerv1.Holding{{Limit: testLimit, Units: 7}},
	}}}
	receive(credit)
	receive(credit)
	require.Equal(t, before+7, v.m.limits[testLimit].units)
	credit.GetReconcileCredit().Round = 8
	receive(credit)
	require.Equal(t, before+7, v.m.limits[testLimit].units, "credit of an older round")
}

// Guards against an evicted VM that keeps its units because it learns of its
// eviction only from its new incarnation in a later epoch.
func TestNewIncarnationHoldsNothing(t *testing.T) {
	n := newSettledNetwork(t, 3, largeLimit)
	m := n.nodes[1].m
	f := proto.Clone(n.fleet).(*peerv1.Fleet)
	f.Epoch += 2
	findMember(f, "vm01").Incarnation = 2
	m.EnterEpoch(n.now, f)
	require.Zero(t, m.limits[testLimit].units)
}

// Guards against an evicted VM that treats the first transfers to its new
// incarnation as duplicates of earlier ones, because peers number them from 1.
func TestNewIncarnationAcceptsTransfers(t *testing.T) {
	n := newSettledNetwork(t, 2, largeLimit)
	sender, receiver := n.nodes[0], n.nodes[1]
	transfer := func(from *Manager, units uint32) *peerv1.Message {
		s := from.limits[testLimit]
		return from.transfer(n.now, s, 0, units, 0).Message
	}
	member := func(vm string) *peerv1.Member { return findMember(sender.m.fleet, vm) }
	receiver.m.Receive(n.now, member("vm00"), transfer(sender.m, 1))
	without := proto.CloneOf(n.fleet)
	without.Epoch++
	without.Members = []*peerv1.Member{member("vm00")}
	with := proto.CloneOf(n.fleet)
	with.Epoch += 2
	findMember(with, "vm01").Incarnation = 2
	sender.m.EnterEpoch(n.now, without)
	sender.m.EnterEpoch(n.now, with)
	receiver.m.EnterEpoch(n.now, nil)
	receiver.m.EnterEpoch(n.now, with)
	receiver.m.Receive(n.now, findMember(with, "vm00"), transfer(sender.m, 7))
	require.EqualValues(t, 7, receiver.m.limits[testLimit].units)
}

// Guards against a refund that fills the bucket above its capacity.
func TestRefundStaysWithinCapacity(t *testing.T) {
	n := newSettledNetwork(t, 1, largeLimit)
	m := n.nodes[0].m
	require.True(t, m.Take(n.now, testLimit, 3).OK)
	m.Refund(n.now, testLimit, 5)
	require.InDelta(t, largeLimit.Burst, m.limits[testLimit].tokens, 1e-9)
}

// Guards against units or admissions above the limit under random faults. The
// network checks both at every step.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]Limit{largeLimit, {testLimit, 50, 25}, {testLimit, 10, 3}}).Draw(t, "limit")
		n := newTestNetwork(t, rapid.IntRange(2, 5).Draw(t, "vms"), limit)
		n.run(time.Second)
		seed := rapid.Uint64().Draw(t, "network")
		rnd := rand.New(rand.NewPCG(seed, 1))
		loss, duplication := rnd.Float64()*0.3, rnd.Float64()*0.3
		n.deliveryDelays = func(packet) []time.Duration {
			randomDelay := func() time.Duration { return time.Duration(rnd.ExpFloat64() * 60 * float64(time.Millisecond)) }
			if rnd.Float64() < loss {
				return nil
			}
			if rnd.Float64() < duplication {
				return []time.Duration{randomDelay(), 20 * randomDelay()}
			}
			return []time.Duration{randomDelay()}
		}
		drawRunning := func(t *rapid.T) *node {
			var all []*node
			for _, v := range n.nodes {
				if !v.killed && !v.paused {
					all = append(all, v)
				}
			}
			if len(all) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(all).Draw(t, "vm")
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				v := drawRunning(t)
				for range rapid.IntRange(1, 40).Draw(t, "tokens") {
					n.take(v)
				}
			},
			"drain": func(t *rapid.T) { // a steady demand above the rate
				v := drawRunning(t)
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					for range 1 + int(limit.RatePerSecond/200) {
						n.take(v)
					}
					n.run(5 * time.Millisecond)
				}
			},
			"run":  func(t *rapid.T) { n.run(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond) },
			"kill": func(t *rapid.T) { drawRunning(t).killed = true },
			"pause": func(t *rapid.T) {
				drawRunning(t).paused = true
			},
			"resume": func(t *rapid.T) {
				for _, v := range n.nodes {
					if v.paused {
						v.paused = false
						if !n.isMember(v) && rapid.Bool().Draw(t, "told") {
							n.post(v, v.m.EnterEpoch(n.now, nil))
						}
					}
				}
			},
			"join": func(t *rapid.T) {
				if len(n.nodes) < 8 {
					n.start()
				}
			},
			"write": func(t *rapid.T) { n.writeEpoch(drawRunning(t)) },
			"enter": func(t *rapid.T) {
				if v := drawRunning(t); n.isMember(v) {
					n.enter(v, n.fleet)
				}
			},
			"epoch": func(t *rapid.T) {
				n.writeEpoch(drawRunning(t))
				for _, v := range slices.Clone(n.nodes) {
					if n.isMember(v) {
						n.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
						n.enter(v, n.fleet)
					}
				}
			},
			"round": func(t *rapid.T) {
				for _, v := range n.nodes {
					if m := v.m; n.isMember(v) && !v.killed && !v.paused && m.member && m.reconciler() == m.self && !m.inOpenRound(testLimit) && m.limits[testLimit].reconciled {
						n.post(v, m.openRound(n.now, []string{testLimit}))
					}
				}
			},
			"hand over": func(t *rapid.T) {
				v := drawRunning(t)
				if !n.isMember(v) || rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
					t.Skip()
				}
				var to []string
				for _, w := range n.fleet.GetMembers() {
					to = append(to, w.Vm)
				}
				n.post(v, v.m.HandOver(n.now, to))
			},
		})
	})
}

// Guards against all unused units staying with the first VM of a fleet, whose
// failure would then stop every account.
func TestJoinedVMGetsIdleUnits(t *testing.T) {
	n := newSettledNetwork(t, 1, largeLimit)
	first := n.nodes[0]
	joined := n.start()
	f := n.writeEpoch(first)
	f.Joined = findMember(f, "vm01")
	n.enter(first, f)
	n.enter(joined, f)
	n.run(time.Second)
	require.EqualValues(t, TotalUnits/2, first.m.limits[testLimit].units)
	require.EqualValues(t, TotalUnits/2, joined.m.limits[testLimit].units)
}
