// Package configsim measures core/configsync in virtual time: how long it takes
// until a key that an operator withdraws has no effect on any VM, and whether a version
// is ever reverted.
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
	// heartbeatFanOut is the number of peers that receive a VM's heartbeats. It
	// is the size of a lease group.
	heartbeatFanOut = 16
	vmNameFormat    = "vm%04d"
	keyNameFormat   = "key-%03d.json"
	// keyFiles is the number of files of a configuration. Each has fileBytes bytes.
	keyFiles  = 200
	fileBytes = 1000
)

// vm is one entry VM.
type vm struct {
	index        int
	name         string
	replica      *configsync.Replica
	peers        []int
	disconnected bool
	// version is the version that the VM installed last.
	version uint64
}

// simulation is the simulated fleet with its store and operators.
type simulation struct {
	*virtual.Clock
	deployment virtual.Deployment
	rng        *rand.Rand
	table      virtual.Table
	objects    map[string][]byte
	vms        []*vm
	// lateFraction is the fraction of messages and table results that takes up to
	// maxLateDelay longer.
	lateFraction float64
	// pollOnly selects the baseline, in which heartbeats do not carry the version
	// and VMs learn of a change by polling the table.
	pollOnly bool

	folders map[string][]*peerv1.ConfigEntry // by change id
	changes int
	current configsync.Current
	// withdrawn holds the version that withdrew a key, by the name of its file.
	withdrawn map[string]uint64
	// requestedWithdrawals holds the files of the keys that operators withdraw.
	requestedWithdrawals map[string]bool
	versions             map[uint64]*version
	reverted             int
	// partitionEndedAt is the time at which the last disconnected VM was
	// reconnected.
	partitionEndedAt time.Time
	// onInstall is called after each installation of a version, unless it is nil.
	onInstall             func(version uint64)
	peerBytes, storeBytes int
}

// version records how a version of the configuration spreads.
type version struct {
	writtenAt     time.Time
	digest        string
	installations int
	// connectedDelay is the time from the write until all connected VMs have the
	// version; negative until then.
	connectedDelay time.Duration
	// inEffectDelay is the time until all VMs have the version; negative until
	// then. It starts at the write or, if that is later, when the last
	// disconnected VM was reconnected.
	inEffectDelay time.Duration
}

func newSimulation(deployment virtual.Deployment, n int, seed uint64, pollOnly bool) *simulation {
	sim := &simulation{
		Clock: virtual.New(), deployment: deployment, rng: rand.New(rand.NewPCG(seed, uint64(n))), pollOnly: pollOnly,
		objects: map[string][]byte{}, folders: map[string][]*peerv1.ConfigEntry{},
		withdrawn: map[string]uint64{}, requestedWithdrawals: map[string]bool{}, versions: map[uint64]*version{},
	}
	sim.table.Clock, sim.table.OnWrite = sim.Clock, sim.rowWritten
	for i := range n {
		v := &vm{index: i, name: fmt.Sprintf(vmNameFormat, i), replica: configsync.New(rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(i))))}
		for _, p := range sim.rng.Perm(n) {
			if p != i && len(v.peers) < heartbeatFanOut {
				v.peers = append(v.peers, p)
			}
		}
		sim.vms = append(sim.vms, v)
		sim.Every(sim.randomOffset(tickInterval), tickInterval, func() { sim.tick(v) })
		sim.Every(sim.randomOffset(lease.HeartbeatInterval), lease.HeartbeatInterval, func() { sim.heartbeat(v) })
	}
	return sim
}

// randomOffset returns a random duration below the period.
func (sim *simulation) randomOffset(period time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(period)))
}

// advance runs the simulation for a duration.
func (sim *simulation) advance(d time.Duration) { sim.RunUntil(sim.Elapsed() + d) }

// rowWritten records a version that was written to the table. A version that is not
// the previous one plus 1 counts as reverted.
func (sim *simulation) rowWritten(row platform.Row) {
	current, err := configsync.ParseCurrent(row)
	if err != nil || current.Version != sim.current.Version+1 {
		sim.reverted++
		return
	}
	sim.current = current
	sim.versions[current.Version] = &version{writtenAt: sim.Now, digest: current.Digest, connectedDelay: -1, inEffectDelay: -1}
	present := map[string]bool{}
	for _, e := range sim.currentFolder() {
		present[e.Name] = true
	}
	for i := range keyFiles {
		name := fmt.Sprintf(keyNameFormat, i)
		if _, recorded := sim.withdrawn[name]; !recorded && !present[name] {
			sim.withdrawn[name] = current.Version
		}
	}
}

// currentFolder returns the files of the version in effect.
func (sim *simulation) currentFolder() []*peerv1.ConfigEntry {
	if sim.current.Version == 0 {
		return nil
	}
	return sim.folders[sim.current.ChangeIDs[0]]
}

func (sim *simulation) tick(v *vm) {
	for _, op := range v.replica.Tick(sim.Now, len(sim.vms)) {
		sim.table.Call(sim.deployment.StoreDelay(v.index), func() bool { return v.disconnected }, op, func(r tableop.Result) {
			sim.After(sim.randomLateDelay(), func() {
				if name, mustFetch := v.replica.TableResult(sim.Now, r); mustFetch {
					sim.fetch(v, name)
				}
			})
		})
	}
}

func (sim *simulation) fetch(v *vm, name string) {
	sim.getObject(sim.deployment.StoreDelay(v.index), func() bool { return v.disconnected }, name, func(content []byte, err error) {
		sim.storeBytes += len(content)
		v.replica.ObjectResult(sim.Now, name, content, err)
		sim.checkInstalled(v)
	})
}

func (sim *simulation) getObject(oneWay time.Duration, disconnected func() bool, name string, onResult func([]byte, error)) {
	sim.After(oneWay, func() {
		content, err := sim.objects[name], error(nil)
		if sim.table.Down || disconnected() {
			content, err = nil, platform.ErrUnavailable
		}
		sim.After(oneWay, func() { onResult(content, err) })
	})
}

func (sim *simulation) randomLateDelay() time.Duration {
	if sim.lateFraction == 0 || sim.rng.Float64() >= sim.lateFraction {
		return 0
	}
	return sim.randomOffset(maxLateDelay)
}

func (sim *simulation) heartbeat(v *vm) {
	if sim.pollOnly {
		return
	}
	version := v.replica.Version()
	for _, p := range v.peers {
		to := sim.vms[p]
		sim.deliver(v, to, func() { sim.send(to, to.replica.PeerVersion(sim.Now, v.name, version)) })
	}
}

func (sim *simulation) deliver(from, to *vm, onArrival func()) {
	sim.After(sim.deployment.Delay(from.index, to.index)+sim.randomLateDelay(), func() {
		if !from.disconnected && !to.disconnected {
			onArrival()
		}
	})
}

func (sim *simulation) send(from *vm, sends []outbox.Send) {
	for _, m := range sends {
		sim.peerBytes += proto.Size(m.Message)
		for _, to := range sim.vms {
			if to.name == m.To {
				sim.deliver(from, to, func() {
					replies, _ := to.replica.Receive(sim.Now, &peerv1.Member{Vm: from.name}, m.Message)
					sim.checkInstalled(to)
					sim.send(to, replies)
				})
			}
		}
	}
}

// checkInstalled checks the installed version of a VM after a step and records the
// versions that became installed.
func (sim *simulation) checkInstalled(v *vm) {
	previous, current := v.version, v.replica.Version()
	if current == previous {
		return
	}
	v.version = current
	if current < previous || sim.versions[current] == nil || fmt.Sprintf(hexFormat, v.replica.Digest()) != sim.versions[current].digest {
		sim.reverted++
		return
	}
	for _, e := range v.replica.Entries() {
		if withdrawnIn, isWithdrawn := sim.withdrawn[e.Name]; isWithdrawn && withdrawnIn <= current {
			sim.reverted++
		}
	}
	for n := previous + 1; n <= current; n++ {
		sim.recordInstallation(sim.versions[n])
	}
	if sim.onInstall != nil {
		sim.onInstall(current)
	}
}

func (sim *simulation) recordInstallation(ver *version) {
	ver.installations++
	disconnected := 0
	for _, v := range sim.vms {
		if v.disconnected {
			disconnected++
		}
	}
	if ver.connectedDelay < 0 && ver.installations >= len(sim.vms)-disconnected {
		ver.connectedDelay = sim.Now.Sub(ver.writtenAt)
	}
	if ver.installations < len(sim.vms) {
		return
	}
	from := ver.writtenAt
	if sim.partitionEndedAt.After(from) {
		from = sim.partitionEndedAt
	}
	ver.inEffectDelay = sim.Now.Sub(from)
}

const hexFormat = "%x"
