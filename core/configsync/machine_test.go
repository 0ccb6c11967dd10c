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

// sentMessage is a message in flight.
type sentMessage struct {
	from string
	send outbox.Send
}

// objectFetch is an object that a VM is fetching.
type objectFetch struct {
	replica *Replica
	name    string
}

// machine runs VMs and publishers with random faults.
type machine struct {
	now             time.Time
	store           *fakeStore
	vms             map[string]*Replica
	highestVersions map[string]uint64
	inFlight        []sentMessage
	fetches         []objectFetch
	publishers      []*Publish
	steps           []PublishStep
	expected        []uint64
}

func vmName(i int) string { return fmt.Sprint("vm-", i) }

func drawVM(t *rapid.T) string { return vmName(rapid.IntRange(0, machineVMs-1).Draw(t, "vm")) }

func (m *machine) begin(t *rapid.T) {
	content := rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "content")
	version := m.store.version()
	id := fmt.Sprint("change-", len(m.publishers))
	p := NewPublish(entriesOf("a", content, id), version, id)
	m.publishers, m.steps, m.expected = append(m.publishers, p), append(m.steps, p.Start()), append(m.expected, version)
}

// publishWithoutFaults makes a publication without faults.
func (m *machine) publishWithoutFaults(t *rapid.T) {
	m.begin(t)
	i := len(m.publishers) - 1
	for m.steps[i].Kind != PublishDone {
		m.steps[i] = m.store.perform(m.publishers[i], m.steps[i], noFault)
	}
	m.checkPublished(t, i)
}

func (m *machine) stepPublisher(t *rapid.T) {
	if len(m.publishers) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(m.publishers)-3), len(m.publishers)-1).Draw(t, "publisher")
	if m.steps[i].Kind == PublishDone {
		return
	}
	f := fault(rapid.IntRange(0, int(faultCount)).Draw(t, "fault") % int(faultCount))
	m.steps[i] = m.store.perform(m.publishers[i], m.steps[i], f)
	m.checkPublished(t, i)
}

// checkPublished fails if a publication succeeded over a version other than the
// expected one, or if it succeeded but is reported as failed.
func (m *machine) checkPublished(t *rapid.T, i int) {
	step := m.steps[i]
	if step.Kind == PublishDone && step.Err == nil && !step.Unchanged && len(m.store.history) > 0 && m.expected[i] >= m.store.version() {
		t.Fatalf("published over version %d, but %d is in effect", m.expected[i], m.store.version())
	}
	certain := step.Kind == PublishDone && step.Err != nil && !errors.Is(step.Err, ErrPublishUnknown)
	for n, row := range m.store.history {
		current, err := parseCurrent(row, true)
		if certain && current.contains(m.publishers[i].changeID) {
			t.Fatalf("published, but reported as failed: %v", step.Err)
		}
		if err != nil || current.Version != uint64(n+1) || m.store.objects[current.Object] == nil {
			t.Fatalf("row %d has version %d, decoding error %v, or no object", n, current.Version, err)
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
			m.fetches = append(m.fetches, objectFetch{replica: v, name: object})
		}
	}
}

// deliverObject delivers an object or an error.
func (m *machine) deliverObject(t *rapid.T) {
	if len(m.fetches) == 0 {
		return
	}
	f := m.fetches[0]
	m.fetches = m.fetches[1:]
	if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
		f.replica.ObjectResult(m.now, f.name, nil, platform.ErrUnavailable)
		return
	}
	f.replica.ObjectResult(m.now, f.name, m.store.objects[f.name], nil)
}

func (m *machine) heartbeat(t *rapid.T) {
	from, to := drawVM(t), drawVM(t)
	m.post(to, m.vms[to].PeerVersion(m.now, from, m.vms[from].Version()))
}

func (m *machine) post(from string, sends []outbox.Send) {
	for _, s := range sends {
		m.inFlight = append(m.inFlight, sentMessage{from: from, send: s})
	}
}

// deliver delivers a random message, which may be lost, or be delivered again
// later.
func (m *machine) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
	e := m.inFlight[i]
	delivery := rapid.IntRange(0, 5).Draw(t, "fate")
	if delivery != 1 {
		m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	}
	if delivery != 0 {
		sends, _ := m.vms[e.send.To].Receive(m.now, &peerv1.Member{Vm: e.from}, e.send.Message)
		m.post(e.send.To, sends)
	}
}

func (m *machine) restart(t *rapid.T) {
	name := drawVM(t)
	m.vms[name] = newReplica(uint64(len(m.inFlight)))
	m.highestVersions[name] = 0
}

func (m *machine) check(t *rapid.T) {
	for name, v := range m.vms {
		if v.Version() < m.highestVersions[name] || v.Version() > m.store.version() {
			t.Fatalf("%s went from version %d to %d while %d is in effect", name, m.highestVersions[name], v.Version(), m.store.version())
		}
		m.highestVersions[name] = v.Version()
	}
}

// converge delivers delayed calls and the objects being fetched, drops the
// messages in flight, and requires that all VMs install the version in effect.
func (m *machine) converge(t *rapid.T) {
	m.store.deliverDelayed()
	m.inFlight = nil
	for _, f := range m.fetches {
		f.replica.ObjectResult(m.now, f.name, m.store.objects[f.name], nil)
	}
	for range 5 {
		m.now = m.now.Add(time.Minute)
		m.store.readInto(m.now, m.vms[vmName(0)], m.vms[vmName(0)].Tick(m.now, machineVMs), noFault)
		for i := range machineVMs {
			exchange(m.now, m.vms, vmName(i), m.vms[vmName(i)].PeerVersion(m.now, vmName(0), m.vms[vmName(0)].Version()))
		}
	}
	for name, v := range m.vms {
		if v.Version() != m.store.version() || string(v.Digest()) != string(m.vms[vmName(0)].Digest()) {
			t.Fatalf("%s stays at version %d while %d is in effect", name, v.Version(), m.store.version())
		}
		m.checkContent(t, v)
	}
}

// checkContent requires that a VM has the content of the last publication.
func (m *machine) checkContent(t *rapid.T, v *Replica) {
	current, _ := parseCurrent(m.store.row, m.store.row.Version > 0)
	for _, p := range m.publishers {
		if current.Version > 0 && p.changeID == current.ChangeIDs[0] && !slices.Equal(contentsOf(p.entries), contentsOf(v.Entries())) {
			t.Fatalf("the VM has %v instead of %v", contentsOf(v.Entries()), contentsOf(p.entries))
		}
	}
}

// Guards against a version that decreases, a version that was never published, a
// publication over an unexpected version, and VMs that do not converge. A longer
// run: go test ./core/configsync -run Machine -rapid.checks 5000
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: start, store: newFakeStore(), vms: map[string]*Replica{}, highestVersions: map[string]uint64{}}
		for i := range machineVMs {
			m.vms[vmName(i)] = newReplica(uint64(i))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "publish": m.stepPublisher, "publish again": m.stepPublisher,
			"publish all": m.publishWithoutFaults, "tick": m.tick, "object": m.deliverObject, "heartbeat": m.heartbeat, "deliver": m.deliver,
			"deliver again": m.deliver, "restart": m.restart, "late calls arrive": func(*rapid.T) { m.store.deliverDelayed() },
			"": m.check,
		})
		m.converge(t)
	})
}
