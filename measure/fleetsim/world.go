// Package fleetsim measures core/fleet and core/quota together in virtual time:
// 11 VMs on a network with the declared delays, and a table that may be down.
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
	// hintDelay is how soon after a heartbeat the hints of the next one are
	// taken, as in entry/control.
	hintDelay = 200 * time.Millisecond
	vmName    = "vm%02d"
	// Streams of the random sources of a seed.
	worldStream = 1 << 32
	fleetStream = 1 << 33
)

// vm is one entry VM.
type vm struct {
	index  int
	member *peerv1.Member
	fleet  *fleet.Machine
	quota  *quota.Manager
	info   fleet.HeartbeatInfo
	beatAt time.Time
	// cut VMs reach each other, but neither the others nor the store.
	dead, paused, cut bool
	inbox             []func()
	requests          []func() // that arrived during the pause
	waiting           []*request
	wakeAt            time.Time // next planned retry
	// static are the shares of the baseline, by account.
	static []bucket
}

// world is the simulated fleet.
type world struct {
	*virtual.Clock
	d        virtual.Deployment
	seed     uint64
	rnd      *rand.Rand
	table    virtual.Table
	vms      []*vm
	accounts []*account
	// flying are the units of the first account on their way.
	flying    int64
	overshoot float64
	watch     watch
}

func newWorld(d virtual.Deployment, seed uint64) *world {
	w := &world{Clock: virtual.New(), d: d, seed: seed, rnd: rand.New(rand.NewPCG(seed, worldStream))}
	w.table.Clock, w.table.OnWrite = w.Clock, w.rowWritten
	w.watch.evictedAt = map[int]time.Time{}
	w.accounts = newAccounts()
	for i := range virtual.EntryVMs {
		v := &vm{index: i, member: &peerv1.Member{Vm: fmt.Sprintf(vmName, i), Incarnation: 1, Region: d.Regions[d.Region(i)]}}
		v.quota = quota.New(v.member.Vm, rand.New(rand.NewPCG(seed, uint64(i))))
		var limits []quota.Limit
		for _, a := range w.accounts {
			limits = append(limits, a.limit)
			v.static = append(v.static, newBucket(a.limit.RatePerSecond/virtual.EntryVMs, a.limit.Burst/virtual.EntryVMs))
		}
		v.quota.SetLimits(w.Now, limits)
		w.newMachine(v)
		w.vms = append(w.vms, v)
		w.Every(time.Duration(w.rnd.Int64N(int64(tickInterval))), tickInterval, func() { w.tick(v) })
	}
	for i := range w.accounts {
		w.arrive(i)
	}
	return w
}

func (w *world) newMachine(v *vm) {
	v.fleet = fleet.New(v.member, rand.New(rand.NewPCG(w.seed, fleetStream+v.member.Incarnation<<8+uint64(v.index))))
}

// do runs a step of a VM now, or when it resumes.
func (w *world) do(v *vm, step func()) {
	switch {
	case v.dead:
	case v.paused:
		v.inbox = append(v.inbox, step)
	default:
		step()
	}
}

// resume handles the waiting requests before the messages, which would tell the
// VM that it was evicted.
func (w *world) resume(v *vm) {
	v.paused = false
	inbox := append(v.requests, v.inbox...)
	v.requests, v.inbox = nil, nil
	for _, step := range inbox {
		step()
	}
}

func (w *world) tick(v *vm) {
	if v.dead || v.paused {
		return
	}
	w.post(v, v.quota.Tick(w.Now))
	w.retry(v)
	if w.Now.Sub(v.beatAt) >= hintDelay {
		v.info.Hints = mergeHints(v.info.Hints, v.quota.Hints(w.Now))
	}
	v.fleet.SetInfo(v.info)
	w.handle(v, v.fleet.Tick(w.Now))
}

// mergeHints returns the hints that wait for a heartbeat, the newer ones in
// place of older ones of the same limit.
func mergeHints(waiting, newer []*peerv1.QuotaHint) []*peerv1.QuotaHint {
	told := map[string]bool{}
	for _, h := range newer {
		told[h.Limit] = true
	}
	merged := append([]*peerv1.QuotaHint(nil), newer...)
	for _, h := range waiting {
		if !told[h.Limit] {
			merged = append(merged, h)
		}
	}
	return merged
}

// handle carries out what the membership machine asks for.
func (w *world) handle(v *vm, out fleet.Output) {
	machine := v.fleet
	if out.EpochChanged || out.Evicted {
		w.post(v, v.quota.EnterEpoch(w.Now, machine.Fleet()))
		w.retry(v)
	}
	for _, op := range out.Table {
		cut := func() bool { return v.cut }
		w.table.Call(w.d.StoreDelay(v.index), cut, op, func(r tableop.Result) {
			w.do(v, func() {
				if v.fleet == machine {
					w.handle(v, machine.TableResult(w.Now, r))
				}
			})
		})
	}
	if out.Evicted {
		v.member = proto.CloneOf(v.member)
		v.member.Incarnation++
		v.info.Hints = nil
		w.newMachine(v)
		return
	}
	for _, s := range out.Sends {
		if s.Message.GetHeartbeat() != nil {
			v.beatAt, v.info.Hints = w.Now, nil
		}
	}
	w.post(v, out.Sends)
}

// post sends messages. One for an earlier incarnation is dropped.
func (w *world) post(from *vm, sends []outbox.Send) {
	sender := from.member
	for _, s := range sends {
		to := w.find(s.To)
		if to == nil {
			continue
		}
		receiver, units := to.member, w.watchedUnits(s.Message)
		w.flying += units
		w.After(w.d.Delay(from.index, to.index), func() {
			w.flying -= units
			if from.cut == to.cut {
				w.do(to, func() {
					if to.member == receiver {
						w.receive(to, sender, s.Message)
					}
				})
			}
		})
	}
}

func (w *world) find(name string) *vm {
	for _, v := range w.vms {
		if v.member.Vm == name {
			return v
		}
	}
	return nil
}

func (w *world) watchedUnits(msg *peerv1.Message) int64 {
	if t := msg.GetQuotaTransfer(); t != nil && t.Limit == w.accounts[0].limit.Name {
		return int64(t.Units)
	}
	return 0
}

func (w *world) receive(v *vm, from *peerv1.Member, msg *peerv1.Message) {
	switch msg.Kind.(type) {
	case *peerv1.Message_QuotaRequest, *peerv1.Message_ReconcileRequest:
		w.post(v, v.quota.Receive(w.Now, from, msg))
	case *peerv1.Message_QuotaTransfer, *peerv1.Message_ReconcileReport, *peerv1.Message_ReconcileCredit:
		w.post(v, v.quota.Receive(w.Now, from, msg))
		w.retry(v)
	default:
		if hb := msg.GetHeartbeat(); hb != nil {
			v.quota.PeerHints(w.Now, from.Vm, hb.Hints)
		}
		w.handle(v, v.fleet.Receive(w.Now, from, msg))
	}
}

func (w *world) serves(v *vm) bool { return !v.dead && !v.paused && v.fleet.LeaseValid(w.Now) }

// usable returns the part of the first account's units that VMs with a lease
// hold or that is on its way.
func (w *world) usable() float64 {
	sum := w.flying
	for _, v := range w.vms {
		if !w.serves(v) {
			continue
		}
		for _, s := range v.quota.Status(w.Now) {
			if s.Limit.Name == w.accounts[0].limit.Name {
				sum += int64(s.Units)
			}
		}
	}
	return float64(sum) / quota.TotalUnits
}

// rowWritten records when the victims are no longer in the fleet row.
func (w *world) rowWritten(row platform.Row) {
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
	for i, id := range w.watch.victims {
		if _, known := w.watch.evictedAt[i]; !known && !members[id] {
			w.watch.evictedAt[i] = w.Now
		}
	}
}
