// Package fleetsim measures core/fleet and core/quota together in virtual time. It
// simulates 11 VMs on a network with the delays of a deployment, and a table that
// may be down.
package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure/virtual"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// hintDelay is the time after a heartbeat from which hints for the next one
	// are collected, as in entry/control.
	hintDelay    = 200 * time.Millisecond
	vmNameFormat = "vm%02d"
	// Streams of the random number generators that share a seed.
	simulationStream = 1 << 32
	fleetStream      = 1 << 33
)

// vm is one entry VM.
type vm struct {
	index       int
	member      *peerv1.Member
	fleet       *fleet.Machine
	quota       *quota.Manager
	info        fleet.HeartbeatInfo
	heartbeatAt time.Time
	// disconnected VMs reach each other, but neither the other VMs nor the store.
	down, paused, disconnected bool
	pendingSteps               []func()
	pendingRequests            []func() // requests that arrived during the pause
	waiting                    []*request
	retryAt                    time.Time // next scheduled retry of waiting requests
	// staticShares are the VM's shares in the baseline, by account.
	staticShares []bucket
}

// simulation is the simulated fleet with its table and callers.
type simulation struct {
	*virtual.Clock
	deployment virtual.Deployment
	seed       uint64
	rng        *rand.Rand
	table      virtual.Table
	vms        []*vm
	accounts   []*account
	// unitsInFlight is the number of units of the first account in transfers
	// that are on their way.
	unitsInFlight int64
	overshoot     float64
	observations  faultObservations
}

func newSimulation(deployment virtual.Deployment, seed uint64) *simulation {
	sim := &simulation{Clock: virtual.New(), deployment: deployment, seed: seed, rng: rand.New(rand.NewPCG(seed, simulationStream))}
	sim.table.Clock, sim.table.OnWrite = sim.Clock, sim.rowWritten
	sim.observations.evictedAt = map[int]time.Time{}
	sim.accounts = newAccounts()
	for i := range virtual.EntryVMs {
		v := &vm{index: i, member: &peerv1.Member{Vm: fmt.Sprintf(vmNameFormat, i), Incarnation: 1, Region: deployment.Regions[deployment.Region(i)]}}
		v.quota = quota.New(v.member.Vm, rand.New(rand.NewPCG(seed, uint64(i))))
		var limits []quota.Limit
		for _, a := range sim.accounts {
			limits = append(limits, a.limit)
			v.staticShares = append(v.staticShares, newBucket(a.limit.RatePerSecond/virtual.EntryVMs, a.limit.Burst/virtual.EntryVMs))
		}
		v.quota.SetLimits(sim.Now, limits)
		sim.newMachine(v)
		sim.vms = append(sim.vms, v)
		sim.Every(time.Duration(sim.rng.Int64N(int64(tickInterval))), tickInterval, func() { sim.tick(v) })
	}
	for i := range sim.accounts {
		sim.scheduleArrival(i)
	}
	return sim
}

func (sim *simulation) newMachine(v *vm) {
	v.fleet = fleet.New(v.member, rand.New(rand.NewPCG(sim.seed, fleetStream+v.member.Incarnation<<8+uint64(v.index))))
}

// runStep runs a step of a VM now, or when the VM resumes if it is paused. A VM that
// is down runs no steps.
func (sim *simulation) runStep(v *vm, step func()) {
	switch {
	case v.down:
	case v.paused:
		v.pendingSteps = append(v.pendingSteps, step)
	default:
		step()
	}
}

// resume ends the pause of a VM. It handles the pending requests before the
// messages, because the messages would inform the VM that it was evicted.
func (sim *simulation) resume(v *vm) {
	v.paused = false
	steps := append(v.pendingRequests, v.pendingSteps...)
	v.pendingRequests, v.pendingSteps = nil, nil
	for _, step := range steps {
		step()
	}
}

func (sim *simulation) tick(v *vm) {
	if v.down || v.paused {
		return
	}
	sim.send(v, v.quota.Tick(sim.Now))
	sim.retryWaiting(v)
	if sim.Now.Sub(v.heartbeatAt) >= hintDelay {
		v.info.Hints = mergeHints(v.info.Hints, v.quota.Hints(sim.Now))
	}
	v.fleet.SetInfo(v.info)
	sim.handleOutput(v, v.fleet.Tick(sim.Now))
}

// mergeHints returns the hints for the next heartbeat. A newer hint replaces a
// pending one for the same limit.
func mergeHints(pending, newer []*peerv1.QuotaHint) []*peerv1.QuotaHint {
	updated := map[string]bool{}
	for _, h := range newer {
		updated[h.Limit] = true
	}
	merged := append([]*peerv1.QuotaHint(nil), newer...)
	for _, h := range pending {
		if !updated[h.Limit] {
			merged = append(merged, h)
		}
	}
	return merged
}

// handleOutput performs the table calls and sends that the fleet state machine requests.
func (sim *simulation) handleOutput(v *vm, out fleet.Output) {
	machine := v.fleet
	if out.EpochChanged || out.Evicted {
		sim.send(v, v.quota.EnterEpoch(sim.Now, machine.Fleet()))
		sim.retryWaiting(v)
	}
	for _, op := range out.Table {
		isDisconnected := func() bool { return v.disconnected }
		sim.table.Call(sim.deployment.StoreDelay(v.index), isDisconnected, op, func(r tableop.Result) {
			sim.runStep(v, func() {
				if v.fleet == machine {
					sim.handleOutput(v, machine.TableResult(sim.Now, r))
				}
			})
		})
	}
	if out.Evicted {
		v.member = proto.CloneOf(v.member)
		v.member.Incarnation++
		v.info.Hints = nil
		sim.newMachine(v)
		return
	}
	for _, s := range out.Sends {
		if s.Message.GetHeartbeat() != nil {
			v.heartbeatAt, v.info.Hints = sim.Now, nil
		}
	}
	sim.send(v, out.Sends)
}

// send sends messages. A message to an earlier incarnation of a VM is dropped.
func (sim *simulation) send(from *vm, sends []outbox.Send) {
	sender := from.member
	for _, s := range sends {
		to := sim.vmByName(s.To)
		if to == nil {
			continue
		}
		receiver, units := to.member, sim.transferredUnits(s.Message)
		sim.unitsInFlight += units
		sim.After(sim.deployment.Delay(from.index, to.index), func() {
			sim.unitsInFlight -= units
			if from.disconnected == to.disconnected {
				sim.runStep(to, func() {
					if to.member == receiver {
						sim.receive(to, sender, s.Message)
					}
				})
			}
		})
	}
}

func (sim *simulation) vmByName(name string) *vm {
	for _, v := range sim.vms {
		if v.member.Vm == name {
			return v
		}
	}
	return nil
}

func (sim *simulation) transferredUnits(msg *peerv1.Message) int64 {
	if t := msg.GetQuotaTransfer(); t != nil && t.Limit == sim.accounts[0].limit.Name {
		return int64(t.Units)
	}
	return 0
}

func (sim *simulation) receive(v *vm, from *peerv1.Member, msg *peerv1.Message) {
	switch msg.Kind.(type) {
	case *peerv1.Message_QuotaRequest, *peerv1.Message_ReconcileRequest:
		sim.send(v, v.quota.Receive(sim.Now, from, msg))
	case *peerv1.Message_QuotaTransfer, *peerv1.Message_ReconcileReport, *peerv1.Message_ReconcileCredit:
		sim.send(v, v.quota.Receive(sim.Now, from, msg))
		sim.retryWaiting(v)
	default:
		if hb := msg.GetHeartbeat(); hb != nil {
			v.quota.PeerHints(sim.Now, from.Vm, hb.Hints)
		}
		sim.handleOutput(v, v.fleet.Receive(sim.Now, from, msg))
	}
}

func (sim *simulation) up(v *vm) bool { return !v.down && !v.paused && v.fleet.LeaseValid(sim.Now) }

// usableFraction returns the fraction of the first account's units that is held by
// VMs with a valid lease or is on its way.
func (sim *simulation) usableFraction() float64 {
	sum := sim.unitsInFlight
	for _, v := range sim.vms {
		if !sim.up(v) {
			continue
		}
		for _, s := range v.quota.Status(sim.Now) {
			if s.Limit.Name == sim.accounts[0].limit.Name {
				sum += int64(s.Units)
			}
		}
	}
	return float64(sum) / quota.TotalUnits
}

// rowWritten records when a victim is no longer a member in the fleet row.
func (sim *simulation) rowWritten(row platform.Row) {
	if row.Key != fleet.RowKey {
		return
	}
	f, err := fleet.DecodeRow(row.Value)
	if err != nil {
		return
	}
	members := map[lease.ID]bool{}
	for _, m := range f.GetMembers() {
		members[lease.IDOf(m)] = true
	}
	for i, id := range sim.observations.victims {
		if _, recorded := sim.observations.evictedAt[i]; !recorded && !members[id] {
			sim.observations.evictedAt[i] = sim.Now
		}
	}
}
