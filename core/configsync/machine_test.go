package configsync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/cassiawind/cassiawind/core/outbox"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const machineVMs = 4

// envelope is a message on its way.
type envelope struct {
	from string
	send outbox.Send
}

// fetching is an object that a VM is getting.
type fetching struct {
	vm   *Replica
	name string
}

// machine drives VMs and publishers with random faults.
type machine struct {
	now      time.Time
	store    *store
	vms      map[string]*Replica
	highest  map[string]uint64
	mail     []envelope
	objects  []fetching
	publish  []*Publish
	steps    []PublishStep
	expected []uint64
}

func vmName(i int) string { return fmt.Sprint("vm-", i) }

func drawVM(t *rapid.T) string { return vmName(rapid.IntRange(0, machineVMs-1).Draw(t, "vm")) }

func (m *machine) begin(t *rapid.T) {
	content := rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "content")
	version := m.store.version()
	id := fmt.Sprint("change-", len(m.publish))
	p := NewPublish(files("a", content, id), version, id)
	m.publish, m.steps, m.expected = append(m.publish, p), append(m.steps, p.Start()), append(m.expected, version)
}

// publishAll makes a publication without faults.
func (m *machine) publishAll(t *rapid.T) {
	m.begin(t)
	i := len(m.publish) - 1
	for m.steps[i].Kind != PublishDone {
		m.steps[i] = m.store.perform(m.publish[i], m.steps[i], noFault)
	}
	m.checkPublished(t, i)
}

func (m *machine) continuePublish(t *rapid.T) {
	if len(m.publish) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(m.publish)-3), len(m.publish)-1).Draw(t, "publisher")
	if m.steps[i].Kind == PublishDone {
		return
	}
	f := fault(rapid.IntRange(0, int(faultCount)).Draw(t, "fault") % int(faultCount))
	m.steps[i] = m.store.perform(m.publish[i], m.steps[i], f)
	m.checkPublished(t, i)
}

// checkPublished guards against a publication that succeeded over another
// version than the expected one, and against one that is reported as failed.
func (m *machine) checkPublished(t *rapid.T, i int) {
	step := m.steps[i]
	if step.Kind == PublishDone && step.Err == nil && !step.Unchanged && len(m.store.history) > 0 && m.expected[i] >= m.store.version() {
		t.Fatalf("published over version %d, but %d is in effect", m.expected[i], m.store.version())
	}
	certain := step.Kind == PublishDone && step.Err != nil && !errors.Is(step.Err, ErrPublishUnknown)
	for n, row := range m.store.history {
		current, err := parseCurrent(row, true)
		if certain && current.wrote(m.publish[i].changeID) {
			t.Fatalf("published, but reported as failed: %v", step.Err)
		}
		if err != nil || current.Version != uint64(n+1) || m.store.objects[current.Object] == nil {
			t.Fatalf("row %d has version %d, error %v, or no object", n, current.Version, err)
		}
	}
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	name := drawVM(t)
	v := m.vms[name]
	ops := v.Tick(m.now, machineVMs)
	for _, op := range ops {
		result := m.store.call(op, fault(rapid.IntRange(0, 1).Draw(t, "fault")))
		if len(m.store.history) > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			result.Rows = []platform.Row{rapid.SampledFrom(m.store.history).Draw(t, "row")}
		}
		if object, fetch := v.TableResult(m.now, result); fetch {
			m.objects = append(m.objects, fetching{vm: v, name: object})
		}
	}
}

// object delivers an object or an error.
func (m *machine) object(t *rapid.T) {
	if len(m.objects) == 0 {
		return
	}
	f := m.objects[0]
	m.objects = m.objects[1:]
	if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
		f.vm.ObjectResult(m.now, f.name, nil, platform.ErrUnavailable)
		return
	}
	f.vm.ObjectResult(m.now, f.name, m.store.objects[f.name], nil)
}

func (m *machine) heartbeat(t *rapid.T) {
	from, to := drawVM(t), drawVM(t)
	m.post(to, m.vms[to].PeerVersion(m.now, from, m.vms[from].Version()))
}

func (m *machine) post(from string, sends []outbox.Send) {
	for _, s := range sends {
		m.mail = append(m.mail, envelope{from: from, send: s})
	}
}

// deliver delivers any message, which may be lost or stay for another delivery.
func (m *machine) deliver(t *rapid.T) {
	if len(m.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.mail)-1).Draw(t, "message")
	e := m.mail[i]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate != 1 {
		m.mail = append(m.mail[:i:i], m.mail[i+1:]...)
	}
	if fate != 0 {
		sends, _ := m.vms[e.send.To].Receive(m.now, &peerv1.Member{Vm: e.from}, e.send.Message)
		m.post(e.send.To, sends)
	}
}

func (m *machine) restart(t *rapid.T) {
	name := drawVM(t)
	m.vms[name] = newVM(uint64(len(m.mail)))
	m.highest[name] = 0
}

func (m *machine) check(t *rapid.T) {
	for name, v := range m.vms {
		if v.Version() < m.highest[name] || v.Version() > m.store.version() {
			t.Fatalf("%s went from version %d to %d of %d", name, m.highest[name], v.Version(), m.store.version())
		}
		m.highest[name] = v.Version()
	}
}

// converge lets calls and messages through and requires that all VMs come to the
// version in effect.
func (m *machine) converge(t *rapid.T) {
	m.store.arrive()
	m.mail = nil
	for _, f := range m.objects {
		f.vm.ObjectResult(m.now, f.name, m.store.objects[f.name], nil)
	}
	for range 5 {
		m.now = m.now.Add(time.Minute)
		m.store.read(m.now, m.vms[vmName(0)], m.vms[vmName(0)].Tick(m.now, machineVMs), noFault)
		for i := range machineVMs {
			exchange(m.now, m.vms, vmName(i), m.vms[vmName(i)].PeerVersion(m.now, vmName(0), m.vms[vmName(0)].Version()))
		}
	}
	for name, v := range m.vms {
		if v.Version() != m.store.version() || string(v.Digest()) != string(m.vms[vmName(0)].Digest()) {
			t.Fatalf("%s stays at version %d of %d", name, v.Version(), m.store.version())
		}
		m.checkContent(t, v)
	}
}

// checkContent requires that a VM has the content of the last publication.
func (m *machine) checkContent(t *rapid.T, v *Replica) {
	current, _ := parseCurrent(m.store.row, m.store.row.Version > 0)
	for _, p := range m.publish {
		if current.Version > 0 && p.changeID == current.ChangeIDs[0] && !slices.Equal(texts(p.entries), texts(v.Entries())) {
			t.Fatalf("the VM has %v instead of %v", texts(v.Entries()), texts(p.entries))
		}
	}
}

// Guards against a version that goes back, a version that was never published,
// a publication over an unexpected version, and VMs that do not converge.
// go test ./core/configsync -run Machine -rapid.checks 5000
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: start, store: newStore(), vms: map[string]*Replica{}, highest: map[string]uint64{}}
		for i := range machineVMs {
			m.vms[vmName(i)] = newVM(uint64(i))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "publish": m.continuePublish, "publish again": m.continuePublish,
			"publish all": m.publishAll, "tick": m.tick, "object": m.object, "heartbeat": m.heartbeat, "deliver": m.deliver,
			"deliver again": m.deliver, "restart": m.restart, "late calls arrive": func(*rapid.T) { m.store.arrive() },
			"": m.check,
		})
		m.converge(t)
	})
}
