package capacity

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/policy"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform/memory"
)

const (
	roleConfig = "configuration spread"

	byVMs     = "VMs"
	byFiles   = "files"
	byBlocks  = "blocks in the file"
	byChanged = "blocks changed"
	byTotal   = "blocks in total"

	unitSeconds     = "s"
	unitBytesChange = "bytes/VM/change"
	unitCPUMillis   = "ms CPU"
	unitCPUMicros   = "us CPU"

	atAll          = "heartbeats to all members"
	atRandomPeers  = "heartbeats to 16 random members (planned)"
	atContent      = "content of 200 files of 1,000 bytes"
	totalFormat    = "%d blocks in total"
	changedFormat  = "%d blocks in the changed file"
	fileSizeFormat = "%d bytes a file"
	fileFormat     = "%05d.json"
	changeIDFormat = "change-%d"
)

// Series of the propagation and installation of configurations.
var (
	propagationMean        = Series{roleConfig, "time until in force on all VMs, mean", unitSeconds, byVMs, atAll}
	propagationWorst       = Series{roleConfig, "time until in force on all VMs, longest of 20", unitSeconds, byVMs, atAll}
	propagationBytes       = Series{roleConfig, "bytes received from peers, with framing", unitBytesChange, byVMs, atAll}
	propagationObjectBytes = Series{roleConfig, "bytes received from the object store", unitBytesChange, byVMs, atAll}
	propagationReads       = Series{roleTable, "reads of core/configsync", unitPerFleet, byVMs, atAll}
	propagationCPU         = Series{roleConfig, "time in core/configsync for a change", "us CPU/VM/change", byVMs, atAll}

	updateCPU    = Series{roleConfig, "time of core/configsync to install a difference of one file", unitCPUMicros, byFiles, noConditions}
	contentHeap  = Series{roleConfig, "memory of the content", unitBytes, byFiles, noConditions}
	publishCPU   = Series{roleConfig, "time of a publish of one changed file", unitCPUMillis, byFiles, noConditions}
	publishBytes = Series{roleConfig, "bytes to and from the object store for a publish", unitBytes, byFiles, noConditions}

	compileByFileSize = Series{roleConfig, "time of policy.Compiler for one changed file", unitCPUMillis, byBlocks, noConditions}
	compileByTotal    = Series{roleConfig, "time of policy.Compiler for one changed file", unitCPUMillis, byTotal, noConditions}
	compileFirst      = Series{roleConfig, "time of policy.Compiler for the first version", unitCPUMillis, byTotal, noConditions}
	freeMemoryTime    = Series{roleConfig, "time of debug.FreeOSMemory after a compilation", unitCPUMillis, byTotal, noConditions}
	compileServers    = Series{roleConfig, "time of policy.Compiler for a change without blocks", unitCPUMillis, byServers, noConditions}
	blockBytes        = Series{roleConfig, "content of a file", unitBytes, byBlocks, noConditions}
)

const (
	// propagationFiles and propagationFileBytes are the size of the configuration
	// whose propagation is measured.
	propagationFiles     = 200
	propagationFileBytes = 1000
	// heartbeatPeers is the number of VMs to which a VM sends heartbeats in a
	// fleet above fullMeshLimit.
	heartbeatPeers = 16
	// fullMeshLimit is the largest number of VMs in a fleet in which each VM
	// sends heartbeats to all others. In larger ones it has a fixed set of peers.
	fullMeshLimit  = 64
	changesPerSize = 20
	// compileDelay is the time from the installation of a version until it is
	// active.
	compileDelay       = 100 * time.Millisecond
	propagationTimeout = time.Minute
)

// Errors of the measurements of the configuration.
var (
	// ErrPublish means that a publish failed or changed nothing.
	ErrPublish = errors.New("configuration was not published")
	// ErrPropagation means that a version did not become active on all VMs
	// within propagationTimeout, or that a replica did not install it.
	ErrPropagation = errors.New("configuration version was not installed on all VMs")
)

// publisher publishes configurations to a table and an object store in memory.
type publisher struct {
	table   *memory.Table
	objects *memory.Objects
	version uint64
	// objectStoreBytes counts the bytes to and from the object store.
	objectStoreBytes int
}

func (p *publisher) publish(entries []*peerv1.ConfigEntry) error {
	ctx := context.Background()
	plan := configsync.NewPublish(entries, p.version, fmt.Sprintf(changeIDFormat, p.version))
	step := plan.Start()
	for {
		switch step.Kind {
		case configsync.PublishTable:
			step = plan.TableResult(control.RunOp(ctx, p.table, step.Op))
		case configsync.PublishGetObject:
			content, err := p.objects.Get(ctx, step.Object)
			p.objectStoreBytes += len(content)
			step = plan.ObjectResult(content, err)
		case configsync.PublishPutObject:
			p.objectStoreBytes += len(step.Content)
			step = plan.ObjectResult(nil, p.objects.Put(ctx, step.Object, step.Content))
		case configsync.PublishDone:
			if step.Err != nil || step.Unchanged {
				return errors.Wrap(ErrPublish, fmt.Sprint(step.Err))
			}
			p.version = step.Version
			return nil
		default:
			return ErrPublish
		}
	}
}

// configFiles returns files of a size. Each revision after 0 differs from revision 0
// in one file.
func configFiles(files, size, revision int) []*peerv1.ConfigEntry {
	entries := make([]*peerv1.ConfigEntry, files)
	for i := range entries {
		content := bytes.Repeat([]byte{'x'}, size)
		if revision > 0 && i == revision%files {
			copy(content, fmt.Sprintf(changeIDFormat, revision))
		}
		entries[i] = &peerv1.ConfigEntry{Name: fmt.Sprintf(fileFormat, i), Content: content}
	}
	return entries
}

// measurePropagation publishes changes one after another and measures the time and
// cost until each is active on all VMs.
func measurePropagation(r *Recorder, vms []int) error {
	for _, n := range vms {
		w := newWorld(n, 5)
		pub := &publisher{table: w.table, objects: memory.NewObjects()}
		for i, v := range w.vms {
			w.addReplica(v, w.choosePeers(i), pub.objects)
		}
		if err := pub.publish(configFiles(propagationFiles, propagationFileBytes, 0)); err != nil {
			return err
		}
		if _, err := w.runUntilActive(pub.version); err != nil {
			return err
		}
		w.RunFor(warmUpDuration)
		if err := w.propagateChanges(r, pub); err != nil {
			return err
		}
	}
	return nil
}

// propagateChanges publishes the changes of one fleet and records the series.
func (w *world) propagateChanges(r *Recorder, pub *publisher) error {
	n := float64(len(w.vms))
	var sum, worst time.Duration
	var total counters
	for change := 1; change <= changesPerSize; change++ {
		// The random wait publishes each change at another phase of the heartbeats.
		w.RunFor(time.Duration(w.rnd.Int64N(int64(time.Second))))
		w.counters = counters{}
		startedAt := w.Elapsed()
		if err := pub.publish(configFiles(propagationFiles, propagationFileBytes, change)); err != nil {
			return err
		}
		took, err := w.runUntilActive(pub.version)
		if err != nil {
			return err
		}
		sum, worst = sum+took, max(worst, took)
		// Messages that are still in flight are counted for this change.
		w.RunFor(time.Second)
		total.bytes[componentConfig] += w.bytes[componentConfig] + w.framingBytes
		total.objectBytes += w.objectBytes
		total.cpu[componentConfig] += w.cpu[componentConfig]
		total.reads[componentConfig] += w.reads[componentConfig] / (w.Elapsed() - startedAt).Seconds()
	}
	conditions := atAll
	if len(w.vms) > fullMeshLimit {
		conditions = atRandomPeers
	}
	r.Add(propagationMean, conditions, n, sum.Seconds()/changesPerSize)
	r.Add(propagationWorst, conditions, n, worst.Seconds())
	r.Add(propagationBytes, conditions, n, total.bytes[componentConfig]/changesPerSize/n)
	r.Add(propagationObjectBytes, conditions, n, total.objectBytes/changesPerSize/n)
	r.Add(propagationCPU, conditions, n, total.cpu[componentConfig]*microseconds/changesPerSize/n)
	r.Add(propagationReads, conditions, n, total.reads[componentConfig]/changesPerSize)
	return nil
}

// choosePeers returns the VMs to which a VM sends heartbeats.
func (w *world) choosePeers(self int) []int {
	var peers []int
	for _, p := range w.rnd.Perm(len(w.vms)) {
		if p != self && (len(w.vms) <= fullMeshLimit || len(peers) < heartbeatPeers) {
			peers = append(peers, p)
		}
	}
	return peers
}

// addReplica adds a replica of the configuration to a VM, and heartbeats that carry
// only its active version.
func (w *world) addReplica(v *vm, peers []int, objects *memory.Objects) {
	v.replica = configsync.New(w.newRand())
	v.onInstalled = func() {
		version := v.replica.Version()
		w.After(compileDelay, func() { v.activeVersion = max(v.activeVersion, version) })
	}
	v.fetchObject = func(name string) {
		content, err := objects.Get(context.Background(), name)
		w.objectBytes += float64(len(content))
		w.After(2*inRegionDelay, func() {
			changed := false
			w.measureCPU(componentConfig, func() { changed = v.replica.ObjectResult(w.Now, name, content, err) })
			if changed {
				v.onInstalled()
			}
		})
	}
	var sendHeartbeat func()
	sendHeartbeat = func() {
		w.After(lease.HeartbeatInterval, sendHeartbeat)
		version := v.activeVersion
		for _, p := range peers {
			peer := w.vms[p]
			w.After(w.delay(v, peer), func() {
				peer.send(peer.replica.PeerVersion(w.Now, v.member.Vm, version))
			})
		}
	}
	w.After(time.Duration(w.rnd.Int64N(int64(lease.HeartbeatInterval))), sendHeartbeat)
}

func (v *vm) tickReplica() {
	if v.replica == nil {
		return
	}
	for _, op := range v.replica.Tick(v.world.Now, len(v.world.vms)) {
		v.world.callTable(componentConfig, op, func(result tableop.Result) {
			if name, fetch := v.replica.TableResult(v.world.Now, result); fetch {
				v.fetchObject(name)
			}
		})
	}
}

// runUntilActive runs the fleet until a version is active on all VMs, and returns the
// time that this takes.
func (w *world) runUntilActive(version uint64) (time.Duration, error) {
	startedAt := w.Elapsed()
	for {
		behind := false
		for _, v := range w.vms {
			behind = behind || v.activeVersion < version
		}
		if !behind {
			return w.Elapsed() - startedAt, nil
		}
		if w.Elapsed()-startedAt > propagationTimeout {
			return 0, ErrPropagation
		}
		w.RunFor(tickInterval / 2)
	}
}

// measureContent measures the memory and time of one VM and of the publisher by the
// number of files.
func measureContent(r *Recorder, files []int, size int) error {
	for _, n := range files {
		pub := &publisher{table: memory.NewTable(), objects: memory.NewObjects()}
		entries := configFiles(n, size, 0)
		if err := pub.publish(entries); err != nil {
			return err
		}
		before := liveHeap()
		replica := configsync.New(rand.New(rand.NewPCG(1, 1)))
		if err := pub.updateReplica(replica, nil); err != nil {
			return err
		}
		conditions := fmt.Sprintf(fileSizeFormat, size)
		r.Add(contentHeap, conditions, float64(n), float64(liveHeap()-before))
		var installing, publishing time.Duration
		pub.objectStoreBytes = 0
		const roundCount = 5
		for round := 1; round <= roundCount; round++ {
			entries = configFiles(n, size, round)
			cpuBefore := cpuTime()
			if err := pub.publish(entries); err != nil {
				return err
			}
			publishing += cpuTime() - cpuBefore
			if err := pub.updateReplica(replica, &installing); err != nil {
				return err
			}
		}
		r.Add(publishCPU, conditions, float64(n), publishing.Seconds()*1000/roundCount)
		r.Add(publishBytes, conditions, float64(n), float64(pub.objectStoreBytes)/roundCount)
		r.Add(updateCPU, conditions, float64(n), installing.Seconds()*microseconds/roundCount)
		runtime.KeepAlive(replica)
	}
	return nil
}

// updateReplica lets a replica read the row of the current version and the object
// that it requests, and adds the time of the installation to installing.
func (p *publisher) updateReplica(replica *configsync.Replica, installing *time.Duration) error {
	ctx, now := context.Background(), time.Unix(0, 0).Add(time.Duration(p.version)*time.Hour)
	// The first call may only choose the time of the next read.
	ops := append(replica.Tick(now, 1), replica.Tick(now.Add(time.Minute), 1)...)
	for _, op := range ops[:min(1, len(ops))] {
		name, fetch := replica.TableResult(now, control.RunOp(ctx, p.table, op))
		if !fetch {
			return ErrPropagation
		}
		content, err := p.objects.Get(ctx, name)
		startedAt := time.Now()
		replica.ObjectResult(now, name, content, err)
		if installing != nil {
			*installing += time.Since(startedAt)
		}
	}
	if replica.Version() != p.version {
		return ErrPropagation
	}
	return nil
}

// blockMap is a client block map that is divided into files.
type blockMap struct {
	entries []*peerv1.ConfigEntry
}

const (
	regionsFile      = "00000.json"
	regionsPrefix    = `{"regions":[`
	regionJSONFormat = `{"name":"%s","failure_domains":["%s"],"cap_per_second":1000,"cap_burst":1000}`
	listSuffix       = `]}`
	blocksPrefix     = `{"client_blocks":[`
	blockJSONFormat  = `{"prefix":"%s","region":"%s"}`
	listSeparator    = ','
)

// newBlockMap returns a file of regions and files of client blocks, the first of
// which has the given number of blocks and the others blocksPerFile.
func newBlockMap(blocks []routing.BlockEntry, firstSize int) *blockMap {
	total := len(blocks)
	m := &blockMap{entries: []*peerv1.ConfigEntry{regionsEntry()}}
	for at, size := 0, firstSize; at < total; at, size = at+size, blocksPerFile {
		size = min(size, total-at)
		m.entries = append(m.entries, &peerv1.ConfigEntry{
			Name: fmt.Sprintf(fileFormat, len(m.entries)), Version: 1, Content: blocksContent(blocks[at:at+size], 0),
		})
	}
	return m
}

// regionsEntry returns a file that declares the regions.
func regionsEntry() *peerv1.ConfigEntry {
	var b bytes.Buffer
	b.WriteString(regionsPrefix)
	for i := range regionsTarget {
		if i > 0 {
			b.WriteByte(listSeparator)
		}
		fmt.Fprintf(&b, regionJSONFormat, regionName(i), fmt.Sprintf(domainFormat, i, 0))
	}
	b.WriteString(listSuffix)
	return &peerv1.ConfigEntry{Name: regionsFile, Version: 1, Content: b.Bytes()}
}

// measureCompile measures policy.Compiler when one file of each size changes.
func measureCompile(r *Recorder, blocks []routing.BlockEntry, fileSizes []int) error {
	for i, fileSize := range fileSizes {
		if err := compileWithFileSize(r, blocks, fileSize, i == 0); err != nil {
			return err
		}
		debug.FreeOSMemory()
	}
	return nil
}

// compileWithFileSize measures the compilation after changes of a file with fileSize blocks.
// If withTotals is set, it also records the series that do not depend on this size.
func compileWithFileSize(r *Recorder, blocks []routing.BlockEntry, fileSize int, withTotals bool) error {
	total := len(blocks)
	m := newBlockMap(blocks, fileSize)
	var c policy.Compiler
	cpuBefore := cpuTime()
	p, err := c.Compile(1, m.entries)
	if err != nil {
		return err
	}
	if withTotals {
		r.Add(compileFirst, noConditions, float64(total), (cpuTime()-cpuBefore).Seconds()*1000)
	}
	debug.FreeOSMemory()
	changed := blocks[:fileSize]
	const roundCount = 3
	var compiling, freeing time.Duration
	for round := range uint64(roundCount) {
		entries := append([]*peerv1.ConfigEntry(nil), m.entries...)
		entries[1] = &peerv1.ConfigEntry{Name: entries[1].Name, Version: round + 2, Content: blocksContent(changed, int(round)+1)}
		cpuBefore = cpuTime()
		if p, err = c.Compile(round+2, entries); err != nil {
			return err
		}
		compiled := cpuTime()
		compiling += compiled - cpuBefore
		debug.FreeOSMemory()
		freeing += cpuTime() - compiled
		m.entries = entries
	}
	ms := compiling.Seconds() * 1000 / roundCount
	r.Add(compileByFileSize, fmt.Sprintf(totalFormat, total), float64(fileSize), ms)
	r.Add(compileByTotal, fmt.Sprintf(changedFormat, fileSize), float64(total), ms)
	if withTotals {
		r.Add(freeMemoryTime, noConditions, float64(total), freeing.Seconds()*1000/roundCount)
	}
	r.Add(blockBytes, noConditions, float64(fileSize), float64(proto.Size(m.entries[1])))
	runtime.KeepAlive(p)
	return nil
}

const (
	servicesFile     = "00001.json"
	servicesPrefix   = `{"services":[{"name":"service","backend_servers":[`
	servicesSuffix   = `]}]}`
	serverJSONFormat = `{"name":"server-%05d","address":"10.0.%d.%d:80","region":"%s","failure_domain":"%s","slots":8,"connections":360}`
)

// measureServers measures policy.Compiler by the number of declared backend servers.
// The compiler decodes all of them for each version.
func measureServers(r *Recorder, servers []int) error {
	for _, n := range servers {
		var b bytes.Buffer
		b.WriteString(servicesPrefix)
		for i := range n {
			if i > 0 {
				b.WriteByte(listSeparator)
			}
			region := i % regionsTarget
			fmt.Fprintf(&b, serverJSONFormat, i, i/octetValues, i%octetValues, regionName(region), fmt.Sprintf(domainFormat, region, 0))
		}
		b.WriteString(servicesSuffix)
		entries := []*peerv1.ConfigEntry{regionsEntry(), {Name: servicesFile, Version: 1, Content: b.Bytes()}}
		var c policy.Compiler
		const roundCount = 5
		cpuBefore := cpuTime()
		for round := range uint64(roundCount) {
			if _, err := c.Compile(round+1, entries); err != nil {
				return err
			}
		}
		r.Add(compileServers, noConditions, float64(n), (cpuTime()-cpuBefore).Seconds()*1000/roundCount)
	}
	return nil
}
