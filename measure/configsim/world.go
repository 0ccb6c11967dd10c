// Package configsim measures core/configsync in virtual time: how soon a key that
// an operator withdraws is without effect on all VMs, and whether a version is
// ever reverted.
package configsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure/virtual"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// fanOut is the number of peers that get a VM's heartbeats: the size of a
	// lease group.
	fanOut    = 16
	vmName    = "vm%04d"
	keyName   = "key-%03d.json"
	keyFiles  = 200
	fileBytes = 1000
)

// vm is one entry VM.
type vm struct {
	index int
	name  string
	store *configsync.Replica
	peers []int
	cut   bool
	// version is the one installed last.
	version uint64
}

// world is a fleet with its store.
type world struct {
	*virtual.Clock
	d       virtual.Deployment
	rnd     *rand.Rand
	table   virtual.Table
	objects map[string][]byte
	vms     []*vm
	// latePart of the messages and answers takes up to lateBy longer.
	latePart float64
	// pollOnly is the baseline: heartbeats do not carry the version.
	pollOnly bool

	folders map[string][]*peerv1.ConfigEntry // by change id
	changes int
	current configsync.Current
	// withdrawn tells which version withdrew a key.
	withdrawn map[string]uint64
	// wanted are the keys that operators withdraw.
	wanted   map[string]bool
	versions map[uint64]*version
	reverted int
	// healedAt is when the last VM that was cut off was connected again.
	healedAt time.Time
	// onInstall is called after each installation; nil is none.
	onInstall             func(version uint64)
	peerBytes, storeBytes int
}

// version is what is known of a version.
type version struct {
	writtenAt time.Time
	digest    string
	installed int
	// connected is the time from the write until all VMs that are not cut off
	// have it; negative until then.
	connected time.Duration
	// inEffect is the time from the write, or from the return of the last VM
	// that was cut off, until all VMs have it; negative until then.
	inEffect time.Duration
}

func newWorld(d virtual.Deployment, n int, seed uint64, pollOnly bool) *world {
	w := &world{
		Clock: virtual.New(), d: d, rnd: rand.New(rand.NewPCG(seed, uint64(n))), pollOnly: pollOnly,
		objects: map[string][]byte{}, folders: map[string][]*peerv1.ConfigEntry{},
		withdrawn: map[string]uint64{}, wanted: map[string]bool{}, versions: map[uint64]*version{},
	}
	w.table.Clock, w.table.OnWrite = w.Clock, w.rowWritten
	for i := range n {
		v := &vm{index: i, name: fmt.Sprintf(vmName, i), store: configsync.New(rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(i))))}
		for _, p := range w.rnd.Perm(n) {
			if p != i && len(v.peers) < fanOut {
				v.peers = append(v.peers, p)
			}
		}
		w.vms = append(w.vms, v)
		w.Every(w.phase(tickInterval), tickInterval, func() { w.tick(v) })
		w.Every(w.phase(lease.HeartbeatInterval), lease.HeartbeatInterval, func() { w.heartbeat(v) })
	}
	return w
}

// phase draws a time below a period.
func (w *world) phase(period time.Duration) time.Duration {
	return time.Duration(w.rnd.Int64N(int64(period)))
}

// run lets time pass.
func (w *world) run(d time.Duration) { w.RunUntil(w.Elapsed() + d) }

// rowWritten records a version. Versions grow by one.
func (w *world) rowWritten(row platform.Row) {
	current, err := configsync.ParseCurrent(row)
	if err != nil || current.Version != w.current.Version+1 {
		w.reverted++
		return
	}
	w.current = current
	w.versions[current.Version] = &version{writtenAt: w.Now, digest: current.Digest, connected: -1, inEffect: -1}
	kept := map[string]bool{}
	for _, e := range w.folder() {
		kept[e.Name] = true
	}
	for i := range keyFiles {
		name := fmt.Sprintf(keyName, i)
		if _, known := w.withdrawn[name]; !known && !kept[name] {
			w.withdrawn[name] = current.Version
		}
	}
}

// folder returns the entries of the version in effect.
func (w *world) folder() []*peerv1.ConfigEntry {
	if w.current.Version == 0 {
		return nil
	}
	return w.folders[w.current.ChangeIDs[0]]
}

func (w *world) tick(v *vm) {
	for _, op := range v.store.Tick(w.Now, len(w.vms)) {
		w.table.Call(w.d.StoreDelay(v.index), func() bool { return v.cut }, op, func(r tableop.Result) {
			w.After(w.lateness(), func() {
				if name, fetch := v.store.TableResult(w.Now, r); fetch {
					w.fetch(v, name)
				}
			})
		})
	}
}

func (w *world) fetch(v *vm, name string) {
	w.getObject(w.d.StoreDelay(v.index), func() bool { return v.cut }, name, func(content []byte, err error) {
		w.storeBytes += len(content)
		v.store.ObjectResult(w.Now, name, content, err)
		w.installed(v)
	})
}

func (w *world) getObject(oneWay time.Duration, cut func() bool, name string, then func([]byte, error)) {
	w.After(oneWay, func() {
		content, err := w.objects[name], error(nil)
		if w.table.Down || cut() {
			content, err = nil, platform.ErrUnavailable
		}
		w.After(oneWay, func() { then(content, err) })
	})
}

func (w *world) lateness() time.Duration {
	if w.latePart == 0 || w.rnd.Float64() >= w.latePart {
		return 0
	}
	return w.phase(lateBy)
}

func (w *world) heartbeat(v *vm) {
	if w.pollOnly {
		return
	}
	version := v.store.Version()
	for _, p := range v.peers {
		to := w.vms[p]
		w.deliver(v, to, func() { w.send(to, to.store.PeerVersion(w.Now, v.name, version)) })
	}
}

func (w *world) deliver(from, to *vm, arrive func()) {
	w.After(w.d.Delay(from.index, to.index)+w.lateness(), func() {
		if !from.cut && !to.cut {
			arrive()
		}
	})
}

func (w *world) send(from *vm, sends []outbox.Send) {
	for _, m := range sends {
		w.peerBytes += proto.Size(m.Message)
		for _, to := range w.vms {
			if to.name == m.To {
				w.deliver(from, to, func() {
					answers, _ := to.store.Receive(w.Now, &peerv1.Member{Vm: from.name}, m.Message)
					w.installed(to)
					w.send(to, answers)
				})
			}
		}
	}
}

// installed checks the version of a VM after a step.
func (w *world) installed(v *vm) {
	before, now := v.version, v.store.Version()
	if now == before {
		return
	}
	v.version = now
	if now < before || w.versions[now] == nil || fmt.Sprintf(hexFormat, v.store.Digest()) != w.versions[now].digest {
		w.reverted++
		return
	}
	for _, e := range v.store.Entries() {
		if at, gone := w.withdrawn[e.Name]; gone && at <= now {
			w.reverted++
		}
	}
	for n := before + 1; n <= now; n++ {
		w.count(w.versions[n])
	}
	if w.onInstall != nil {
		w.onInstall(now)
	}
}

func (w *world) count(x *version) {
	x.installed++
	cut := 0
	for _, v := range w.vms {
		if v.cut {
			cut++
		}
	}
	if x.connected < 0 && x.installed >= len(w.vms)-cut {
		x.connected = w.Now.Sub(x.writtenAt)
	}
	if x.installed < len(w.vms) {
		return
	}
	from := x.writtenAt
	if w.healedAt.After(from) {
		from = w.healedAt
	}
	x.inEffect = w.Now.Sub(from)
}

const hexFormat = "%x"
