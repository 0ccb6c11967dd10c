// Package quotasim measures core/quota in virtual time at the present size of a
// deployment: 11 VMs in 3 regions, 8 client accounts and a cap for each region.
package quotasim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/quota"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	vmCount      = 11
	tickInterval = 100 * time.Millisecond
	// heartbeatTicks is lease.HeartbeatInterval in ticks, rounded up.
	heartbeatTicks = 3
	vmNameFormat   = "vm%02d"
	// epochDelay is the time from the kill of a VM to the epoch without it.
	// core/fleet evicts one of 11 VMs after at most 1.9 s
	// (TestKilledVMsAreEvicted).
	epochDelay = 2 * time.Second
	// warmUpPeriod is the time before the measurement in which the buckets fill.
	warmUpPeriod = 5 * time.Second
)

// deployment holds the sizes from docs/design.md, section 1, that this simulation
// needs. Delays are one-way.
type deployment struct {
	name        string
	regions     []string
	domainDelay time.Duration // between the failure domains of a region
	regionDelay time.Duration // between regions
}

var deployments = []deployment{
	{"kapeng-tagpuan", []string{"luzon", "visayas", "mindanao"}, time.Millisecond, 55 * time.Millisecond},
	{"frameshare", []string{"north-tw", "central-tw", "south-tw"}, 500 * time.Microsecond, 12 * time.Millisecond},
}

// account is a client account. Its requests are a Poisson process whose rate is load
// times the rate of the limit. Those that a bucket with the declared rate and burst
// admits are within the rate.
type account struct {
	limit      quota.Limit
	load       float64
	withinRate bucket // requests that it does not admit exceed the rate
	reference  bucket // counts the admissions of all VMs; below 0 it shows an overshoot
	tally      tally
}

type tally struct {
	arrived, withinRate, wrongfullyRejected, admitted float64
	baselineWrongfullyRejected, baselineAdmitted      float64
}

// bucket is a simple token bucket.
type bucket struct {
	rate, burst, tokens float64
	updatedAt           time.Duration
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, tokens: burst} }

func (b *bucket) take(now time.Duration, floor float64) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens-1 < floor {
		return false
	}
	b.tokens--
	return true
}

// vm is one entry VM.
type vm struct {
	member    *peerv1.Member
	manager   *quota.Manager
	killed    bool
	tickCount int
	waiting   []request
	retryAt   time.Duration // next scheduled retry of waiting requests
	region    string
	// staticShares are the VM's shares in the baseline, by limit.
	staticShares map[string]*bucket
}

// request is one request of an account. It needs a token of the account's limit and
// then one of the region's cap.
type request struct {
	account           int
	arrivedAt         time.Duration
	withinRate        bool
	accountTokenTaken bool
	waiting           bool // Take was called for the next token, so Retry is called from now on
}

type eventKind int

const (
	arrival eventKind = iota
	tick
	message
	hints
	retryDue
	call
)

type event struct {
	at       time.Duration
	sequence uint64
	kind     eventKind
	vm       int // receiver
	from     int
	msg      *peerv1.Message
	hints    []*peerv1.QuotaHint
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is the simulated fleet with its callers.
type simulation struct {
	deployment
	rng                  *rand.Rand
	start                time.Time
	now                  time.Duration
	queue                events
	sequence             uint64
	vms                  []*vm
	accounts             []*account
	caps                 map[string]*bucket // reference buckets of the region caps
	limits               []quota.Limit
	fleet                *peerv1.Fleet
	pickVM               func(account int) int
	lossProbability      float64
	watchedUnitsInFlight int64 // units of watchedLimit in transfers that are on their way
	watchedLimit         string

	messages, bytes  float64
	overshoot        float64
	measuring        bool
	killObservations *killObservations
}

func newSimulation(d deployment, seed uint64, count int, accounts []*account, limits []quota.Limit) *simulation {
	sim := &simulation{deployment: d, rng: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(1_700_000_000, 0), accounts: accounts, limits: limits, caps: map[string]*bucket{}}
	sim.pickVM = func(int) int { return sim.rng.IntN(len(sim.vms)) }
	for _, l := range limits {
		b := newBucket(l.RatePerSecond, l.Burst)
		sim.caps[l.Name] = &b
	}
	for i := range count {
		region := d.regions[i%len(d.regions)]
		v := &vm{region: region, member: &peerv1.Member{Vm: fmt.Sprintf(vmNameFormat, i), Incarnation: 1, Region: region}}
		v.manager = quota.New(v.member.Vm, rand.New(rand.NewPCG(seed, uint64(i))))
		v.manager.SetLimits(sim.start, limits)
		sim.vms = append(sim.vms, v)
		sim.push(event{at: time.Duration(sim.rng.Int64N(int64(tickInterval))), kind: tick, vm: i})
	}
	sim.startEpoch(0)
	for i := range accounts {
		sim.push(event{kind: arrival, from: i})
	}
	return sim
}

func (sim *simulation) push(e event) {
	sim.sequence++
	e.sequence = sim.sequence
	heap.Push(&sim.queue, e)
}

func (sim *simulation) wallTime() time.Time { return sim.start.Add(sim.now) }

// at runs f at the given time since the start.
func (sim *simulation) at(t time.Duration, f func()) { sim.push(event{at: t, kind: call, run: f}) }

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		sim.handleEvent(e)
	}
	sim.now = until
}

func (sim *simulation) handleEvent(e event) {
	switch e.kind {
	case arrival:
		sim.handleArrival(e.from)
	case tick:
		sim.tick(e.vm)
	case message:
		sim.deliver(e)
	case hints:
		if !sim.vms[e.vm].killed {
			sim.vms[e.vm].manager.PeerHints(sim.wallTime(), sim.vms[e.from].member.Vm, e.hints)
		}
	case retryDue:
		sim.retryWaiting(e.vm, false)
	case call:
		e.run()
	}
}

// startEpoch starts the next epoch, whose members are the running VMs. Each VM learns
// of it after the delay from the writer.
func (sim *simulation) startEpoch(writer int) {
	f := &peerv1.Fleet{Epoch: sim.fleet.GetEpoch() + 1, WriterVm: sim.vms[writer].member.Vm}
	for _, v := range sim.vms {
		if !v.killed {
			f.Members = append(f.Members, v.member)
		}
	}
	sim.fleet = f
	sim.setStaticShares(len(f.Members))
	for i, v := range sim.vms {
		if !v.killed {
			sim.at(sim.now+sim.delay(writer, i), func() { sim.send(i, v.manager.EnterEpoch(sim.wallTime(), f)) })
		}
	}
}

func (sim *simulation) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case sim.vms[a].region == sim.vms[b].region:
		return sim.domainDelay
	}
	return sim.regionDelay
}

func (sim *simulation) vmIndex(name string) int {
	for i, v := range sim.vms {
		if v.member.Vm == name {
			return i
		}
	}
	return -1
}

func (sim *simulation) send(from int, sends []quota.Send) {
	for _, s := range sends {
		to := sim.vmIndex(s.To)
		if sim.measuring {
			sim.messages++
			sim.bytes += float64(proto.Size(s.Message))
		}
		if sim.lossProbability > 0 && sim.rng.Float64() < sim.lossProbability {
			continue
		}
		if t := s.Message.GetQuotaTransfer(); t != nil && t.Limit == sim.watchedLimit {
			sim.watchedUnitsInFlight += int64(t.Units)
		}
		sim.push(event{at: sim.now + sim.delay(from, to), kind: message, vm: to, from: from, msg: s.Message})
	}
}

func (sim *simulation) deliver(e event) {
	if t := e.msg.GetQuotaTransfer(); t != nil && t.Limit == sim.watchedLimit {
		sim.watchedUnitsInFlight -= int64(t.Units)
	}
	v := sim.vms[e.vm]
	if v.killed {
		return
	}
	sim.send(e.vm, v.manager.Receive(sim.wallTime(), sim.vms[e.from].member, e.msg))
	if e.msg.GetQuotaTransfer() != nil {
		sim.retryWaiting(e.vm, true)
	}
}

func (sim *simulation) tick(i int) {
	v := sim.vms[i]
	if v.killed {
		return
	}
	sim.send(i, v.manager.Tick(sim.wallTime()))
	sim.retryWaiting(i, true)
	v.tickCount++
	if v.tickCount%heartbeatTicks == 0 {
		sim.heartbeat(i)
	}
	sim.push(event{at: sim.now + tickInterval, kind: tick, vm: i})
}

// heartbeat sends the hints of a VM to all other VMs. Only the bytes of the hints are
// counted, because the rest of the heartbeat belongs to the lease.
func (sim *simulation) heartbeat(i int) {
	pendingHints := sim.vms[i].manager.Hints(sim.wallTime())
	size := float64(proto.Size(&peerv1.Heartbeat{Hints: pendingHints}))
	for j := range sim.vms {
		if j != i && !sim.vms[j].killed && len(pendingHints) > 0 {
			if sim.measuring {
				sim.bytes += size
			}
			sim.push(event{at: sim.now + sim.delay(i, j), kind: hints, vm: j, from: i, hints: pendingHints})
		}
	}
}

// heldFraction returns the fraction of the units of watchedLimit that is held by
// running VMs or is on its way.
func (sim *simulation) heldFraction() float64 {
	sum := sim.watchedUnitsInFlight
	for _, v := range sim.vms {
		if v.killed {
			continue
		}
		for _, s := range v.manager.Status(sim.wallTime()) {
			if s.Limit.Name == sim.watchedLimit {
				sum += int64(s.Units)
			}
		}
	}
	return float64(sum) / quota.TotalUnits
}
