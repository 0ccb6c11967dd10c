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
	unitMilli       = "ms CPU"
	unitMicro       = "us CPU"

	atAll      = "heartbeats to all members"
	atGroups   = "heartbeats to 16 random members (planned)"
	atContent  = "content of 200 files of 1,000 bytes"
	totalAt    = "%d blocks in total"
	changedAt  = "%d blocks in the changed file"
	filesAt    = "%d bytes a file"
	fileFormat = "%05d.json"
	changeID   = "change-%d"
)

// Series of the configuration spread.
var (
	spreadMean   = Series{roleConfig, "time until in force on all VMs, mean", unitSeconds, byVMs, atAll}
	spreadWorst  = Series{roleConfig, "time until in force on all VMs, longest of 20", unitSeconds, byVMs, atAll}
	spreadBytes  = Series{roleConfig, "bytes received from peers, with framing", unitBytesChange, byVMs, atAll}
	spreadObject = Series{roleConfig, "bytes received from the object store", unitBytesChange, byVMs, atAll}
	spreadReads  = Series{roleTable, "reads of core/configsync", unitPerFleet, byVMs, atAll}
	spreadCPU    = Series{roleConfig, "time in core/configsync for a change", "us CPU/VM/change", byVMs, atAll}

	updateCPU   = Series{roleConfig, "time of core/configsync to install a difference of one file", unitMicro, byFiles, atEmpty}
	contentHeap = Series{roleConfig, "memory of the content", unitBytes, byFiles, atEmpty}
	publishCPU  = Series{roleConfig, "time of a publish of one changed file", unitMilli, byFiles, atEmpty}
	publishSize = Series{roleConfig, "bytes to and from the object store for a publish", unitBytes, byFiles, atEmpty}

	compileChanged = Series{roleConfig, "time of policy.Compiler for one changed file", unitMilli, byBlocks, atEmpty}
	compileTotal   = Series{roleConfig, "time of policy.Compiler for one changed file", unitMilli, byTotal, atEmpty}
	compileFirst   = Series{roleConfig, "time of policy.Compiler for the first version", unitMilli, byTotal, atEmpty}
	compileFree    = Series{roleConfig, "time of debug.FreeOSMemory after a compilation", unitMilli, byTotal, atEmpty}
	compileServers = Series{roleConfig, "time of policy.Compiler for a change without blocks", unitMilli, byServers, atEmpty}
	blockBytes     = Series{roleConfig, "content of a file", unitBytes, byBlocks, atEmpty}
)

const (
	folderFiles = 200
	fileBytes   = 1000
	groupPeers  = 16
	// groupsAbove is the number of VMs above which each VM has a fixed set of
	// peers.
	groupsAbove = 64
	changes     = 20
	// compileDelay is the time from the installation of a version until it is
	// in force.
	compileDelay = 100 * time.Millisecond
	spreadLimit  = time.Minute
)

// Errors of the measurement of the configuration.
var (
	// ErrPublish means that a publish did not end as planned.
	ErrPublish = errors.New("publish failed")
	// ErrPropagation means that a change was not in force everywhere within a minute.
	ErrPropagation = errors.New("change did not spread")
)

// publisher publishes to a table and an object store in memory.
type publisher struct {
	table   *memory.Table
	objects *memory.Objects
	version uint64
	// moved counts the bytes to and from the object store.
	moved int
}

func (p *publisher) publish(entries []*peerv1.ConfigEntry) error {
	ctx := context.Background()
	plan := configsync.NewPublish(entries, p.version, fmt.Sprintf(changeID, p.version))
	step := plan.Start()
	for {
		switch step.Kind {
		case configsync.PublishTable:
			step = plan.TableResult(control.RunOp(ctx, p.table, step.Op))
		case configsync.PublishGetObject:
			content, err := p.objects.Get(ctx, step.Object)
			p.moved += len(content)
			step = plan.ObjectResult(content, err)
		case configsync.PublishPutObject:
			p.moved += len(step.Content)
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

// folder returns files of a size; the turn changes one of them.
func folder(files, size, turn int) []*peerv1.ConfigEntry {
	entries := make([]*peerv1.ConfigEntry, files)
	for i := range entries {
		content := bytes.Repeat([]byte{'x'}, size)
		if turn > 0 && i == turn%files {
			copy(content, fmt.Sprintf(changeID, turn))
		}
		entries[i] = &peerv1.ConfigEntry{Name: fmt.Sprintf(fileFormat, i), Content: content}
	}
	return entries
}

// measureSpread publishes one change after the other and follows each to all
// VMs.
func measureSpread(r *Recorder, vms []int) error {
	for _, n := range vms {
		w := newWorld(n, 5)
		pub := &publisher{table: w.table, objects: memory.NewObjects()}
		for i, v := range w.vms {
			w.addStore(v, w.drawPeers(i), pub.objects)
		}
		if err := pub.publish(folder(folderFiles, fileBytes, 0)); err != nil {
			return err
		}
		if _, err := w.follow(pub.version); err != nil {
			return err
		}
		w.RunFor(warmUp)
		if err := w.spread(r, pub); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) spread(r *Recorder, pub *publisher) error {
	n := float64(len(w.vms))
	var sum, worst time.Duration
	var total counts
	for turn := 1; turn <= changes; turn++ {
		// Changes come at any phase of the heartbeats.
		w.RunFor(time.Duration(w.rnd.Int64N(int64(time.Second))))
		w.counts = counts{}
		began := w.Elapsed()
		if err := pub.publish(folder(folderFiles, fileBytes, turn)); err != nil {
			return err
		}
		took, err := w.follow(pub.version)
		if err != nil {
			return err
		}
		sum, worst = sum+took, max(worst, took)
		// Late answers belong to this change.
		w.RunFor(time.Second)
		total.bytes[partConfig] += w.bytes[partConfig] + w.framing
		total.objectBytes += w.objectBytes
		total.cpu[partConfig] += w.cpu[partConfig]
		total.reads[partConfig] += w.reads[partConfig] / (w.Elapsed() - began).Seconds()
	}
	at := atAll
	if len(w.vms) > groupsAbove {
		at = atGroups
	}
	r.Add(spreadMean, at, n, sum.Seconds()/changes)
	r.Add(spreadWorst, at, n, worst.Seconds())
	r.Add(spreadBytes, at, n, total.bytes[partConfig]/changes/n)
	r.Add(spreadObject, at, n, total.objectBytes/changes/n)
	r.Add(spreadCPU, at, n, total.cpu[partConfig]*microseconds/changes/n)
	r.Add(spreadReads, at, n, total.reads[partConfig]/changes)
	return nil
}

// drawPeers returns the members to which a VM sends heartbeats.
func (w *world) drawPeers(self int) []int {
	var peers []int
	for _, p := range w.rnd.Perm(len(w.vms)) {
		if p != self && (len(w.vms) <= groupsAbove || len(peers) < groupPeers) {
			peers = append(peers, p)
		}
	}
	return peers
}

// addStore gives a VM a store, and heartbeats that carry its version only.
func (w *world) addStore(v *vm, peers []int, objects *memory.Objects) {
	v.store = configsync.New(w.newRand())
	v.onStore = func() {
		version := v.store.Version()
		w.After(compileDelay, func() { v.inForce = max(v.inForce, version) })
	}
	v.onObject = func(name string) {
		content, err := objects.Get(context.Background(), name)
		w.objectBytes += float64(len(content))
		w.After(2*near, func() {
			changed := false
			w.timed(partConfig, func() { changed = v.store.ObjectResult(w.Now, name, content, err) })
			if changed {
				v.onStore()
			}
		})
	}
	var beat func()
	beat = func() {
		w.After(lease.HeartbeatInterval, beat)
		version := v.inForce
		for _, p := range peers {
			peer := w.vms[p]
			w.After(w.delay(v, peer), func() {
				peer.post(peer.store.PeerVersion(w.Now, v.member.Vm, version))
			})
		}
	}
	w.After(time.Duration(w.rnd.Int64N(int64(lease.HeartbeatInterval))), beat)
}

func (v *vm) tickStore() {
	if v.store == nil {
		return
	}
	for _, op := range v.store.Tick(v.w.Now, len(v.w.vms)) {
		v.w.call(partConfig, op, func(result tableop.Result) {
			if name, fetch := v.store.TableResult(v.w.Now, result); fetch {
				v.onObject(name)
			}
		})
	}
}

// follow runs until a version is in force on all VMs.
func (w *world) follow(version uint64) (time.Duration, error) {
	began := w.Elapsed()
	for {
		behind := false
		for _, v := range w.vms {
			behind = behind || v.inForce < version
		}
		if !behind {
			return w.Elapsed() - began, nil
		}
		if w.Elapsed()-began > spreadLimit {
			return 0, ErrPropagation
		}
		w.RunFor(tickInterval / 2)
	}
}

// measureContent measures one VM and the publisher by the number of files.
func measureContent(r *Recorder, files []int, size int) error {
	for _, n := range files {
		pub := &publisher{table: memory.NewTable(), objects: memory.NewObjects()}
		entries := folder(n, size, 0)
		if err := pub.publish(entries); err != nil {
			return err
		}
		before := liveHeap()
		store := configsync.New(rand.New(rand.NewPCG(1, 1)))
		if err := pub.read(store, nil); err != nil {
			return err
		}
		at := fmt.Sprintf(filesAt, size)
		r.Add(contentHeap, at, float64(n), float64(liveHeap()-before))
		var installing, publishing time.Duration
		pub.moved = 0
		const turns = 5
		for turn := 1; turn <= turns; turn++ {
			entries = folder(n, size, turn)
			began := cpuTime()
			if err := pub.publish(entries); err != nil {
				return err
			}
			publishing += cpuTime() - began
			if err := pub.read(store, &installing); err != nil {
				return err
			}
		}
		r.Add(publishCPU, at, float64(n), publishing.Seconds()*1000/turns)
		r.Add(publishSize, at, float64(n), float64(pub.moved)/turns)
		r.Add(updateCPU, at, float64(n), installing.Seconds()*microseconds/turns)
		runtime.KeepAlive(store)
	}
	return nil
}

// read lets a store read the row and the object that it asks for.
func (p *publisher) read(s *configsync.Replica, took *time.Duration) error {
	ctx, now := context.Background(), time.Unix(0, 0).Add(time.Duration(p.version)*time.Hour)
	// The first call may only draw the time of the next read.
	ops := append(s.Tick(now, 1), s.Tick(now.Add(time.Minute), 1)...)
	for _, op := range ops[:min(1, len(ops))] {
		name, fetch := s.TableResult(now, control.RunOp(ctx, p.table, op))
		if !fetch {
			return ErrPropagation
		}
		content, err := p.objects.Get(ctx, name)
		began := time.Now()
		s.ObjectResult(now, name, content, err)
		if took != nil {
			*took += time.Since(began)
		}
	}
	if s.Version() != p.version {
		return ErrPropagation
	}
	return nil
}

// blockMap is a client block map cut into files.
type blockMap struct {
	entries []*peerv1.ConfigEntry
}

const (
	regionsFile   = "00000.json"
	regionsHead   = `{"regions":[`
	regionForm    = `{"name":"%s","failure_domains":["%s"],"cap_per_second":1000,"cap_burst":1000}`
	regionsTail   = `]}`
	blocksHead    = `{"client_blocks":[`
	blockForm     = `{"prefix":"%s","region":"%s"}`
	listSeparator = ','
)

// newBlockMap returns files with client blocks only, the first of the given size
// and the others of 10,000.
func newBlockMap(all []routing.BlockEntry, first int) *blockMap {
	total := len(all)
	m := &blockMap{entries: []*peerv1.ConfigEntry{regionsEntry()}}
	for at, size := 0, first; at < total; at, size = at+size, blocksPerFile {
		size = min(size, total-at)
		m.entries = append(m.entries, &peerv1.ConfigEntry{
			Name: fmt.Sprintf(fileFormat, len(m.entries)), Version: 1, Content: blocksContent(all[at:at+size], 0),
		})
	}
	return m
}

func regionsEntry() *peerv1.ConfigEntry {
	var b bytes.Buffer
	b.WriteString(regionsHead)
	for i := range regionsTarget {
		if i > 0 {
			b.WriteByte(listSeparator)
		}
		fmt.Fprintf(&b, regionForm, regionName(i), fmt.Sprintf(domainFormat, i, 0))
	}
	b.WriteString(regionsTail)
	return &peerv1.ConfigEntry{Name: regionsFile, Version: 1, Content: b.Bytes()}
}

// measureCompile measures policy.Compiler when one file of each size changes.
func measureCompile(r *Recorder, all []routing.BlockEntry, firsts []int) error {
	for i, first := range firsts {
		if err := compileOne(r, all, first, i == 0); err != nil {
			return err
		}
		debug.FreeOSMemory()
	}
	return nil
}

func compileOne(r *Recorder, all []routing.BlockEntry, first int, whole bool) error {
	total := len(all)
	m := newBlockMap(all, first)
	var c policy.Compiler
	began := cpuTime()
	p, err := c.Compile(1, m.entries)
	if err != nil {
		return err
	}
	if whole {
		r.Add(compileFirst, atEmpty, float64(total), (cpuTime()-began).Seconds()*1000)
	}
	debug.FreeOSMemory()
	blocks := all[:first]
	const turns = 3
	var compiling, freeing time.Duration
	for turn := range uint64(turns) {
		entries := append([]*peerv1.ConfigEntry(nil), m.entries...)
		entries[1] = &peerv1.ConfigEntry{Name: entries[1].Name, Version: turn + 2, Content: blocksContent(blocks, int(turn)+1)}
		began = cpuTime()
		if p, err = c.Compile(turn+2, entries); err != nil {
			return err
		}
		compiled := cpuTime()
		compiling += compiled - began
		debug.FreeOSMemory()
		freeing += cpuTime() - compiled
		m.entries = entries
	}
	ms := compiling.Seconds() * 1000 / turns
	r.Add(compileChanged, fmt.Sprintf(totalAt, total), float64(first), ms)
	r.Add(compileTotal, fmt.Sprintf(changedAt, first), float64(total), ms)
	if whole {
		r.Add(compileFree, atEmpty, float64(total), freeing.Seconds()*1000/turns)
	}
	r.Add(blockBytes, atEmpty, float64(first), float64(proto.Size(m.entries[1])))
	runtime.KeepAlive(p)
	return nil
}

const (
	servicesFile = "00001.json"
	servicesHead = `{"services":[{"name":"service","backend_servers":[`
	servicesTail = `]}]}`
	serverForm   = `{"name":"server-%05d","address":"10.0.%d.%d:80","region":"%s","failure_domain":"%s","slots":8,"connections":360}`
)

// measureServers measures policy.Compiler by the number of declared backend
// servers, which every version decodes again.
func measureServers(r *Recorder, servers []int) error {
	for _, n := range servers {
		var b bytes.Buffer
		b.WriteString(servicesHead)
		for i := range n {
			if i > 0 {
				b.WriteByte(listSeparator)
			}
			region := i % regionsTarget
			fmt.Fprintf(&b, serverForm, i, i/octet, i%octet, regionName(region), fmt.Sprintf(domainFormat, region, 0))
		}
		b.WriteString(servicesTail)
		entries := []*peerv1.ConfigEntry{regionsEntry(), {Name: servicesFile, Version: 1, Content: b.Bytes()}}
		var c policy.Compiler
		const turns = 5
		began := cpuTime()
		for turn := range uint64(turns) {
			if _, err := c.Compile(turn+1, entries); err != nil {
				return err
			}
		}
		r.Add(compileServers, atEmpty, float64(n), (cpuTime()-began).Seconds()*1000/turns)
	}
	return nil
}
