package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/core/membership"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/measure/virtual"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	roleLease      = "lease and epochs"
	roleQuota      = "limits and shares"
	roleMembership = "liveness (SWIM)"
	roleTable      = "platform table"

	byMembers = "members"
	byLimits  = "limits"
	byKilled  = "VMs killed at once"

	unitPerVM      = "1/VM/s"
	unitBytesPerVM = "bytes/VM/s"
	unitCPUPerVM   = "us CPU/VM/s"
	unitPerFleet   = "1/fleet/s"
	unitBytes      = "bytes"
	unitPerChange  = "1/change"

	presentLimitsAtRest = "17 limits at rest"
	noConditions        = ""
	atRest              = "at rest"
	atKill              = "one VM killed"
	atRestart           = "one VM stopped and a new one joined"
	atStart             = "while news of a common start spreads"
	membersFormat       = "%d members, %s"
	groupFormat         = "%d members"
	atLoad              = "uneven load"
)

// microseconds is the number of microseconds in a second.
const microseconds = 1e6

// Series of the leases and epochs.
var (
	leaseMessages     = Series{roleLease, "messages sent", unitPerVM, byMembers, presentLimitsAtRest}
	leaseExchanges    = Series{roleLease, "exchanges started", unitPerVM, byMembers, presentLimitsAtRest}
	leaseBytes        = Series{roleLease, "bytes sent, heartbeats and acks without hints", unitBytesPerVM, byMembers, presentLimitsAtRest}
	leaseFramingBytes = Series{roleLease, "bytes sent, framing of batches", unitBytesPerVM, byMembers, presentLimitsAtRest}
	leaseHintBytes    = Series{roleQuota, "bytes sent, hints in heartbeats", unitBytesPerVM, byMembers, presentLimitsAtRest}
	leaseCPU          = Series{roleLease, "time in core/fleet", unitCPUPerVM, byMembers, presentLimitsAtRest}
	tableWrites       = Series{roleTable, "transactions of core/fleet", unitPerFleet, byMembers, atRest}
	tableReads        = Series{roleTable, "reads of core/fleet", unitPerFleet, byMembers, atRest}

	epochMessageBytes    = Series{roleLease, "announcement of an epoch to one member", unitBytes, byMembers, noConditions}
	epochRowBytes        = Series{roleTable, "fleet row", unitBytes, byMembers, noConditions}
	epochKnownTime       = Series{roleLease, "time until the epoch is known to all members", unitSeconds, byMembers, atKill}
	unitsHeldTime        = Series{roleQuota, "time until all units are held again", unitSeconds, byMembers, atKill}
	changeRowWrites      = Series{roleTable, "changes of the fleet row", unitPerChange, byMembers, atKill}
	changeLeaseWrites    = Series{roleTable, "writes of lease rows", unitPerChange, byMembers, atKill}
	changeReads          = Series{roleTable, "reads of core/fleet", unitPerChange, byMembers, atKill}
	changeEpochBytes     = Series{roleLease, "bytes of all VMs about epochs", unitBytes, byMembers, atKill}
	changeReconcileBytes = Series{roleQuota, "bytes of all VMs for reconciliation", unitBytes, byMembers, atKill}
)

// Series of the loss of several VMs at the same time.
var (
	killEpochKnownTime = Series{roleLease, "time until the last epoch is known to all members", unitSeconds, byKilled, noConditions}
	killUnitsHeldTime  = Series{roleQuota, "time until all units are held again", unitSeconds, byKilled, noConditions}
	killBytes          = Series{roleLease, "bytes of all VMs about epochs and reconciliation", unitBytes, byKilled, noConditions}
	killWrites         = Series{roleTable, "writes of the fleet row and lease rows", unitPerChange, byKilled, noConditions}
	killReads          = Series{roleTable, "reads of core/fleet", unitPerChange, byKilled, noConditions}
)

// Series of the liveness protocol and the limits.
var (
	swimMessages = Series{roleMembership, "messages sent", unitPerVM, byMembers, atRest}
	swimBytes    = Series{roleMembership, "bytes sent with framing", unitBytesPerVM, byMembers, atRest}
	swimCPU      = Series{roleMembership, "time in core/membership", unitCPUPerVM, byMembers, atRest}
	swimMemory   = Series{roleMembership, "memory", "bytes/VM", byMembers, atRest}

	quotaHintBytes = Series{roleQuota, "bytes sent, hints in heartbeats", unitBytesPerVM, byLimits, noConditions}
	quotaMessages  = Series{roleQuota, "messages sent", unitPerVM, byLimits, noConditions}
	quotaBytes     = Series{roleQuota, "bytes sent, requests and transfers", unitBytesPerVM, byLimits, noConditions}
	quotaCPU       = Series{roleQuota, "time in core/quota", unitCPUPerVM, byLimits, noConditions}
	quotaMemory    = Series{roleQuota, "memory", "bytes/VM", byLimits, noConditions}
	quotaRejected  = Series{roleQuota, "requests within the rate refused", "part", byLimits, noConditions}
)

const (
	// presentLimits is the present number of limits: 8 accounts, 3 region caps and
	// 6 links.
	presentLimits   = 17
	warmUpDuration  = 10 * time.Second
	measureDuration = 10 * time.Second
	changeDuration  = 8 * time.Second
	killTimeout     = time.Minute
)

// ratePerVM converts a sum over all VMs during d into a rate per second and VM.
func (w *world) ratePerVM(sum float64, d time.Duration) float64 {
	return sum / float64(len(w.vms)) / d.Seconds()
}

// runMeasured resets the counters and runs the fleet for d.
func (w *world) runMeasured(d time.Duration) {
	w.counters = counters{}
	w.RunFor(d)
}

// measureLease measures heartbeats with quota hints at rest, and then a planned stop,
// a join and a kill of a VM.
func measureLease(r *Recorder, members []int) error {
	for _, n := range members {
		w, err := newLimitedFleet(n, presentLimits, false)
		if err != nil {
			return err
		}
		w.RunFor(warmUpDuration)
		w.runMeasured(measureDuration)
		size := float64(n)
		r.Add(leaseMessages, noConditions, size, w.ratePerVM(w.messages[componentFleet], measureDuration))
		r.Add(leaseExchanges, noConditions, size, w.ratePerVM(w.exchanges, measureDuration))
		r.Add(leaseBytes, noConditions, size, w.ratePerVM(w.bytes[componentFleet]-w.hintBytes, measureDuration))
		r.Add(leaseFramingBytes, noConditions, size, w.ratePerVM(w.framingBytes, measureDuration))
		r.Add(leaseHintBytes, noConditions, size, w.ratePerVM(w.hintBytes, measureDuration))
		r.Add(leaseCPU, noConditions, size, w.ratePerVM(w.cpu[componentFleet], measureDuration)*microseconds)
		r.Add(tableWrites, noConditions, size, w.writes[componentFleet]/measureDuration.Seconds())
		r.Add(tableReads, noConditions, size, w.reads[componentFleet]/measureDuration.Seconds())
		measureChanges(r, w, size)
	}
	return nil
}

// measureChanges stops a VM and starts a new one, and then kills a VM. Messages about
// epochs and reconciliation are sent only during such changes.
func measureChanges(r *Recorder, w *world, size float64) {
	w.counters = counters{}
	leaver := w.vms[len(w.vms)-1]
	leaver.send(leaver.runFleet(func(f *fleet.Machine) fleet.Output { return f.Leave(w.Now) }))
	w.RunFor(changeDuration)
	joiner := w.addVM(len(w.vms))
	joiner.fleet = fleet.New(joiner.member, w.newRand())
	joiner.quota = quota.New(joiner.member.Vm, w.newRand())
	joiner.quota.SetLimits(w.Now, w.limits)
	w.RunFor(changeDuration)
	w.recordChange(r, atRestart, size)

	w.counters = counters{}
	if epochKnown, unitsHeld := w.kill(1); unitsHeld > 0 {
		r.Add(epochKnownTime, noConditions, size, epochKnown.Seconds())
		r.Add(unitsHeldTime, noConditions, size, unitsHeld.Seconds())
	}
	w.recordChange(r, atKill, size)
}

// kill kills the first VMs at the same time. It returns the time until all others have
// entered an epoch without them, and the time until the others hold all units.
func (w *world) kill(count int) (epochKnown, unitsHeld time.Duration) {
	last := w.vms[len(w.vms)-1]
	before := last.fleet.Fleet().GetEpoch()
	for _, v := range w.vms[:count] {
		v.stopped = true
	}
	killedAt := w.Elapsed()
	for unitsHeld == 0 && w.Elapsed()-killedAt < killTimeout {
		w.RunFor(tickInterval)
		if epochKnown == 0 && w.allInEpoch(before+uint64(count)) {
			epochKnown = w.Elapsed() - killedAt
		}
		if epochKnown > 0 && w.allUnitsHeld() {
			unitsHeld = w.Elapsed() - killedAt
		}
	}
	w.RunFor(changeDuration)
	return epochKnown, unitsHeld
}

// measureKills kills several VMs of a fleet at the same time, as the loss of a failure
// domain does.
func measureKills(r *Recorder, members int, killed []int) error {
	for _, k := range killed {
		w, err := newLimitedFleet(members, presentLimits, false)
		if err != nil {
			return err
		}
		w.RunFor(warmUpDuration)
		w.counters = counters{}
		conditions := fmt.Sprintf(groupFormat, members)
		if epochKnown, unitsHeld := w.kill(k); unitsHeld > 0 {
			r.Add(killEpochKnownTime, conditions, float64(k), epochKnown.Seconds())
			r.Add(killUnitsHeldTime, conditions, float64(k), unitsHeld.Seconds())
		}
		r.Add(killBytes, conditions, float64(k), w.epochBytes+w.bytes[componentQuota])
		r.Add(killWrites, conditions, float64(k), w.rowWrites+w.leaseWrites)
		r.Add(killReads, conditions, float64(k), w.reads[componentFleet])
	}
	return nil
}

func (w *world) recordChange(r *Recorder, conditions string, size float64) {
	r.Add(changeRowWrites, conditions, size, w.rowWrites)
	r.Add(changeLeaseWrites, conditions, size, w.leaseWrites)
	r.Add(changeReads, conditions, size, w.reads[componentFleet])
	r.Add(changeEpochBytes, conditions, size, w.epochBytes)
	r.Add(changeReconcileBytes, conditions, size, w.bytes[componentQuota])
}

// allInEpoch reports whether all running VMs have entered the epoch or a later one.
func (w *world) allInEpoch(epoch uint64) bool {
	for _, v := range w.vms {
		if !v.stopped && v.fleet.Fleet().GetEpoch() < epoch {
			return false
		}
	}
	return true
}

// allUnitsHeld reports whether the running VMs hold all units of all limits.
func (w *world) allUnitsHeld() bool {
	held := map[string]uint64{}
	for _, v := range w.vms {
		if v.stopped {
			continue
		}
		for _, s := range v.quota.Status(w.Now) {
			held[s.Limit.Name] += uint64(s.Units)
		}
	}
	for _, l := range w.limits {
		if held[l.Name] < quota.TotalUnits {
			return false
		}
	}
	return true
}

// measureEpochSize measures the message and the row that contain the list of members.
func measureEpochSize(r *Recorder, members []int) error {
	for _, n := range members {
		f := &peerv1.Fleet{Epoch: 1, ChangeId: newMember(0).Vm, WriterVm: newMember(0).Vm}
		for i := range n {
			f.Members = append(f.Members, newMember(i))
		}
		row, err := fleet.EncodeRow(f)
		if err != nil {
			return err
		}
		announce := &peerv1.Message{Kind: &peerv1.Message_EpochAnnounce{EpochAnnounce: &peerv1.EpochAnnounce{Fleet: f}}}
		r.Add(epochMessageBytes, noConditions, float64(n), float64(proto.Size(announce)))
		r.Add(epochRowBytes, noConditions, float64(n), float64(len(row)))
	}
	return nil
}

// measureMembership measures SWIM at rest, or after all VMs have started at the same
// time, while each message carries the largest permitted number of updates.
func measureMembership(r *Recorder, members []int, conditions string, warmUp func(n int) time.Duration, duration time.Duration) {
	for _, n := range members {
		before := liveHeap()
		w := newWorld(n, 3)
		var seeds []*peerv1.Member
		for _, v := range w.vms {
			seeds = append(seeds, v.member)
		}
		for _, v := range w.vms {
			v.swim = membership.New(v.member, w.newRand())
			v.swim.SetSeeds(w.Now, seeds)
		}
		w.RunFor(warmUp(n))
		w.runMeasured(duration)
		size := float64(n)
		r.Add(swimMessages, conditions, size, w.ratePerVM(w.messages[componentMembership], duration))
		r.Add(swimBytes, conditions, size, w.ratePerVM(w.bytes[componentMembership]+w.framingBytes, duration))
		r.Add(swimCPU, conditions, size, w.ratePerVM(w.cpu[componentMembership], duration)*microseconds)
		w.Clock = virtual.New()
		r.Add(swimMemory, conditions, size, float64(liveHeap()-before)/size)
		runtime.KeepAlive(w)
	}
}

// waitingRequest is a request that waits for units of a limit.
type waitingRequest struct {
	limit string
	since time.Duration
}

const (
	limitRate  = 200
	limitBurst = 100
	// loadRate is the load on each limit in requests per second, half of its
	// rate.
	loadRate = 100
	// moveInterval is the time after which the main part of the load of a limit
	// moves to another VM.
	moveInterval    = 5 * time.Second
	limitNameFormat = "account-%04d"
	// mainFraction is the fraction of the requests of a limit that arrive at one VM.
	// The others arrive at random VMs.
	mainFraction = 0.8
)

// newLimitedFleet returns a fleet with limits. If loaded, each limit has a load whose
// main part arrives at one VM and moves between VMs.
func newLimitedFleet(members, count int, loaded bool) (*world, error) {
	w := newWorld(members, 1)
	if err := w.writeInitialEpoch(); err != nil {
		return nil, err
	}
	limits := make([]quota.Limit, count)
	for i := range limits {
		limits[i] = quota.Limit{Name: quota.AccountLimit(fmt.Sprintf(limitNameFormat, i)), RatePerSecond: limitRate, Burst: limitBurst}
	}
	w.limits = limits
	for _, v := range w.vms {
		v.quota = quota.New(v.member.Vm, w.newRand())
		v.quota.SetLimits(w.Now, limits)
	}
	if loaded {
		for _, l := range limits {
			w.After(warmUpDuration/2, func() { w.generateLoad(l.Name, 0, 0) })
		}
	}
	return w, nil
}

// generateLoad sends a request that counts against a limit and schedules the next one.
func (w *world) generateLoad(limit string, mainVM int, movedAt time.Duration) {
	if w.Elapsed()-movedAt >= moveInterval {
		mainVM, movedAt = w.rnd.IntN(len(w.vms)), w.Elapsed()
	}
	index := mainVM
	if w.rnd.Float64() >= mainFraction {
		index = w.rnd.IntN(len(w.vms))
	}
	w.vms[index].takeToken(limit)
	interval := time.Duration(w.rnd.ExpFloat64() / loadRate * float64(time.Second))
	w.After(interval, func() { w.generateLoad(limit, mainVM, movedAt) })
}

func (v *vm) takeToken(limit string) {
	v.world.requests++
	var d quota.Decision
	v.world.measureCPU(componentQuota, func() { d = v.quota.Take(v.world.Now, limit, 1) })
	v.handleDecision(waitingRequest{limit, v.world.Elapsed()}, d)
}

func (v *vm) handleDecision(r waitingRequest, d quota.Decision) {
	v.send(d.Sends)
	if d.OK {
		v.world.granted++
	} else if d.Wait && v.world.Elapsed()-r.since < quota.MaxWait {
		v.waiting = append(v.waiting, r)
	}
}

// retryWaiting retries the requests that wait for units.
func (v *vm) retryWaiting() {
	pending := v.waiting
	v.waiting = nil
	for _, request := range pending {
		var d quota.Decision
		v.world.measureCPU(componentQuota, func() { d = v.quota.Retry(v.world.Now, request.limit, 1) })
		v.handleDecision(request, d)
	}
}

// fleetSize holds the numbers of VMs and limits.
type fleetSize struct{ members, limits int }

// measureQuota measures the limits at rest and under load for all sizes.
func measureQuota(r *Recorder, members, limits []int) error {
	for _, loaded := range []bool{false, true} {
		for _, n := range members {
			for _, l := range limits {
				if err := measureLimits(r, fleetSize{n, l}, loaded); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func measureLimits(r *Recorder, s fleetSize, loaded bool) error {
	loadName := atRest
	if loaded {
		loadName = atLoad
	}
	before := liveHeap()
	w, err := newLimitedFleet(s.members, s.limits, loaded)
	if err != nil {
		return err
	}
	w.RunFor(warmUpDuration)
	d := measureDuration
	if loaded {
		d /= 2
	}
	w.runMeasured(d)
	count := float64(s.limits)
	conditions := fmt.Sprintf(membersFormat, s.members, loadName)
	r.Add(quotaHintBytes, conditions, count, w.ratePerVM(w.hintBytes, d))
	r.Add(quotaMessages, conditions, count, w.ratePerVM(w.messages[componentQuota], d))
	r.Add(quotaBytes, conditions, count, w.ratePerVM(w.bytes[componentQuota], d))
	r.Add(quotaCPU, conditions, count, w.ratePerVM(w.cpu[componentQuota], d)*microseconds)
	if loaded {
		r.Add(quotaRejected, conditions, count, max(0, 1-w.granted/max(1, w.requests)))
	}
	// The events and the fleet machines are dropped, so that the memory is that
	// of the quota managers.
	w.Clock = virtual.New()
	for _, v := range w.vms {
		v.fleet, v.waiting = nil, nil
	}
	r.Add(quotaMemory, conditions, count, float64(liveHeap()-before)/float64(s.members))
	runtime.KeepAlive(w)
	return nil
}
