// Package quotasim measures core/quota at today's sizes in virtual time: 11 VMs
// in 3 regions, 8 client accounts and a cap for each region.
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
	vms          = 11
	tickInterval = 100 * time.Millisecond
	// heartbeatTicks is lease.HeartbeatInterval, rounded up to whole ticks.
	heartbeatTicks = 3
	vmName         = "vm%02d"
	// epochDelay is the time from a kill to the epoch without the VM: core/fleet
	// evicts one of 11 VMs after at most 1.9 s (TestKilledVMsAreEvicted).
	epochDelay = 2 * time.Second
	// warmUp fills the buckets before the figures are taken.
	warmUp = 5 * time.Second
)

// deployment holds the sizes of design section 1 that matter here.
type deployment struct {
	name    string
	regions []string
	near    time.Duration // between the failure domains of a region
	far     time.Duration // between regions
}

var deployments = []deployment{
	{"kapeng-tagpuan", []string{"luzon", "visayas", "mindanao"}, time.Millisecond, 55 * time.Millisecond},
	{"frameshare", []string{"north-tw", "central-tw", "south-tw"}, 500 * time.Microsecond, 12 * time.Millisecond},
}

// account is a client account; the requests of the due are a Poisson process
// at part load of the rate, cut by a bucket of the declared rate and burst.
type account struct {
	limit quota.Limit
	load  float64
	due   bucket // requests beyond it are not due
	bound bucket // reference bucket over all VMs: never below 0
	tally tally
}

type tally struct {
	asked, due, wrongful, admitted float64
	baseWrongful, baseAdmitted     float64
}

// bucket is a plain token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, level: burst} }

func (b *bucket) take(now time.Duration, floor float64) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level-1 < floor {
		return false
	}
	b.level--
	return true
}

// vm is one entry VM.
type vm struct {
	member *peerv1.Member
	m      *quota.Manager
	dead   bool
	ticks  int
	wait   []request
	wakeAt time.Duration // next call of Retry
	region string
	// static are the shares of the baseline, by limit.
	static map[string]*bucket
}

// request is one request of an account. It needs a token of the account's
// limit and then one of the region's cap.
type request struct {
	account int
	at      time.Duration
	due     bool
	paid    bool // the account's token is taken
	waits   bool // Take was called for the next token
}

type eventKind int

const (
	arrival eventKind = iota
	tick
	message
	hints
	expiry
	action
)

type event struct {
	at    time.Duration
	order uint64
	kind  eventKind
	vm    int // receiver
	from  int
	msg   *peerv1.Message
	hints []*peerv1.QuotaHint
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is the simulated fleet.
type world struct {
	deployment
	rnd      *rand.Rand
	start    time.Time
	now      time.Duration
	queue    events
	order    uint64
	vms      []*vm
	accounts []*account
	caps     map[string]*bucket // reference buckets of the region caps
	limits   []quota.Limit
	fleet    *peerv1.Fleet
	pick     func(account int) int
	loss     float64
	flying   int64 // units in flight of watched
	watched  string

	messages, bytes float64
	overshoot       float64
	measuring       bool
	watch           *watched
}

func newWorld(d deployment, seed uint64, count int, accounts []*account, limits []quota.Limit) *world {
	w := &world{deployment: d, rnd: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(1_700_000_000, 0), accounts: accounts, limits: limits, caps: map[string]*bucket{}}
	w.pick = func(int) int { return w.rnd.IntN(len(w.vms)) }
	for _, l := range limits {
		b := newBucket(l.RatePerSecond, l.Burst)
		w.caps[l.Name] = &b
	}
	for i := range count {
		region := d.regions[i%len(d.regions)]
		v := &vm{region: region, member: &peerv1.Member{Vm: fmt.Sprintf(vmName, i), Incarnation: 1, Region: region}}
		v.m = quota.New(v.member.Vm, rand.New(rand.NewPCG(seed, uint64(i))))
		v.m.SetLimits(w.start, limits)
		w.vms = append(w.vms, v)
		w.push(event{at: time.Duration(w.rnd.Int64N(int64(tickInterval))), kind: tick, vm: i})
	}
	w.epoch(0)
	for i := range accounts {
		w.push(event{kind: arrival, from: i})
	}
	return w
}

func (w *world) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.queue, e)
}

func (w *world) at() time.Time { return w.start.Add(w.now) }

// after runs f at the time after the start.
func (w *world) after(at time.Duration, f func()) { w.push(event{at: at, kind: action, run: f}) }

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.handle(e)
	}
	w.now = until
}

func (w *world) handle(e event) {
	switch e.kind {
	case arrival:
		w.arrive(e.from)
	case tick:
		w.tick(e.vm)
	case message:
		w.deliver(e)
	case hints:
		if !w.vms[e.vm].dead {
			w.vms[e.vm].m.PeerHints(w.at(), w.vms[e.from].member.Vm, e.hints)
		}
	case expiry:
		w.retry(e.vm, false)
	case action:
		e.run()
	}
}

// epoch writes the next epoch of the running VMs; each learns of it after the
// delay from the writer.
func (w *world) epoch(writer int) {
	f := &peerv1.Fleet{Epoch: w.fleet.GetEpoch() + 1, WriterVm: w.vms[writer].member.Vm}
	for _, v := range w.vms {
		if !v.dead {
			f.Members = append(f.Members, v.member)
		}
	}
	w.fleet = f
	w.share(len(f.Members))
	for i, v := range w.vms {
		if !v.dead {
			w.after(w.now+w.delay(writer, i), func() { w.post(i, v.m.EnterEpoch(w.at(), f)) })
		}
	}
}

func (w *world) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case w.vms[a].region == w.vms[b].region:
		return w.near
	}
	return w.far
}

func (w *world) index(name string) int {
	for i, v := range w.vms {
		if v.member.Vm == name {
			return i
		}
	}
	return -1
}

func (w *world) post(from int, sends []quota.Send) {
	for _, s := range sends {
		to := w.index(s.To)
		if w.measuring {
			w.messages++
			w.bytes += float64(proto.Size(s.Message))
		}
		if w.loss > 0 && w.rnd.Float64() < w.loss {
			continue
		}
		if t := s.Message.GetQuotaTransfer(); t != nil && t.Limit == w.watched {
			w.flying += int64(t.Units)
		}
		w.push(event{at: w.now + w.delay(from, to), kind: message, vm: to, from: from, msg: s.Message})
	}
}

func (w *world) deliver(e event) {
	if t := e.msg.GetQuotaTransfer(); t != nil && t.Limit == w.watched {
		w.flying -= int64(t.Units)
	}
	v := w.vms[e.vm]
	if v.dead {
		return
	}
	w.post(e.vm, v.m.Receive(w.at(), w.vms[e.from].member, e.msg))
	if e.msg.GetQuotaTransfer() != nil {
		w.retry(e.vm, true)
	}
}

func (w *world) tick(i int) {
	v := w.vms[i]
	if v.dead {
		return
	}
	w.post(i, v.m.Tick(w.at()))
	w.retry(i, true)
	v.ticks++
	if v.ticks%heartbeatTicks == 0 {
		w.heartbeat(i)
	}
	w.push(event{at: w.now + tickInterval, kind: tick, vm: i})
}

// heartbeat sends the hints to all VMs. Only their bytes count here; the rest
// of the heartbeat belongs to the lease.
func (w *world) heartbeat(i int) {
	list := w.vms[i].m.Hints(w.at())
	size := float64(proto.Size(&peerv1.Heartbeat{Hints: list}))
	for j := range w.vms {
		if j != i && !w.vms[j].dead && len(list) > 0 {
			if w.measuring {
				w.bytes += size
			}
			w.push(event{at: w.now + w.delay(i, j), kind: hints, vm: j, from: i, hints: list})
		}
	}
}

// held returns the part of the watched limit that running VMs hold or that is
// on its way to one.
func (w *world) held() float64 {
	sum := w.flying
	for _, v := range w.vms {
		if v.dead {
			continue
		}
		for _, s := range v.m.Status(w.at()) {
			if s.Limit.Name == w.watched {
				sum += int64(s.Units)
			}
		}
	}
	return float64(sum) / quota.TotalUnits
}
