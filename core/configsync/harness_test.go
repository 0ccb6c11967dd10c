package configsync

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// TestMain sets the seed and size of the rapid tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.steps": "100"} {
		_ = flag.Set(name, value)
	}
	// Values given on the command line take precedence.
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// fault is the fault of a platform call.
type fault int

const (
	noFault fault = iota
	// failedCall means that the call fails and has no effect.
	failedCall
	// lostAnswer means that the write takes effect and its answer is lost.
	lostAnswer
	// delayedWrite means that the writer gets no answer and the write arrives
	// later.
	delayedWrite
	faultCount
)

// fakeStore holds the table's row and the objects in memory.
type fakeStore struct {
	row     platform.Row
	history []platform.Row
	objects map[string][]byte
	delayed []platform.Write
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string][]byte{}} }

func (s *fakeStore) call(op tableop.Op, f fault) tableop.Result {
	r := tableop.Result{ID: op.ID}
	switch {
	case f == failedCall || len(op.Writes) == 0 && f != noFault:
		r.Err = platform.ErrUnavailable
	case len(op.Writes) == 0:
		if s.row.Version > 0 {
			r.Rows = []platform.Row{s.row}
		}
	case f == delayedWrite:
		s.delayed = append(s.delayed, op.Writes[0])
		r.Err = platform.ErrOutcomeUnknown
	default:
		r.Versions, r.Err = s.write(op.Writes[0])
		if f == lostAnswer {
			r.Versions, r.Err = nil, platform.ErrOutcomeUnknown
		}
	}
	return r
}

func (s *fakeStore) write(w platform.Write) ([]uint64, error) {
	if *w.IfVersion != s.row.Version {
		return nil, &platform.ConflictError{Keys: []string{w.Key}}
	}
	s.row = platform.Row{Key: w.Key, Value: w.Value, Version: s.row.Version + 1}
	s.history = append(s.history, s.row)
	return []uint64{s.row.Version}, nil
}

func (s *fakeStore) deliverDelayed() {
	for _, w := range s.delayed {
		_, _ = s.write(w)
	}
	s.delayed = nil
}

func (s *fakeStore) version() uint64 {
	current, _ := parseCurrent(s.row, s.row.Version > 0)
	return current.Version
}

// perform executes a publisher's step and returns the next one.
func (s *fakeStore) perform(p *Publish, step PublishStep, f fault) PublishStep {
	switch step.Kind {
	case PublishTable:
		return p.TableResult(s.call(step.Op, f))
	case PublishWait:
		return p.Waited()
	}
	if f != noFault {
		return p.ObjectResult(nil, platform.ErrUnavailable)
	}
	if step.Kind == PublishPutObject {
		s.objects[step.Object] = step.Content
	}
	return p.ObjectResult(s.objects[step.Object], nil)
}

// publish runs a publication to its end. faults maps the number of a step, from
// 0, to its fault.
func (s *fakeStore) publish(p *Publish, faults map[int]fault) PublishStep {
	step := p.Start()
	for i := 0; step.Kind != PublishDone; i++ {
		step = s.perform(p, step, faults[i])
	}
	return step
}

func entriesOf(contents ...string) []*peerv1.ConfigEntry {
	var entries []*peerv1.ConfigEntry
	for i, c := range contents {
		if c != "" {
			entries = append(entries, &peerv1.ConfigEntry{Name: fmt.Sprintf("%02d.json", i), Content: []byte(c)})
		}
	}
	return entries
}

func contentsOf(entries []*peerv1.ConfigEntry) []string {
	var list []string
	for _, e := range entries {
		list = append(list, string(e.GetContent()))
	}
	return list
}

// readInto lets a VM read the row and fetch the object if needed.
func (s *fakeStore) readInto(now time.Time, v *Replica, ops []tableop.Op, f fault) bool {
	changed := false
	for _, op := range ops {
		name, fetch := v.TableResult(now, s.call(op, f))
		if fetch {
			changed = v.ObjectResult(now, name, s.objects[name], nil) || changed
		}
	}
	return changed
}

func newReplica(seed uint64) *Replica { return New(rand.New(rand.NewPCG(seed, 1))) }

// startReplica returns a VM that has read the row and drawn the time of its next
// read.
func (s *fakeStore) startReplica(seed uint64) *Replica {
	v := newReplica(seed)
	s.readInto(start, v, v.Tick(start, 1), noFault)
	v.Tick(start, 1)
	return v
}

// exchange delivers messages between VMs until none is left.
func exchange(now time.Time, vms map[string]*Replica, from string, sends []outbox.Send) bool {
	changed := false
	for _, send := range sends {
		more, installed := vms[send.To].Receive(now, &peerv1.Member{Vm: from}, send.Message)
		changed = installed || changed
		changed = exchange(now, vms, send.To, more) || changed
	}
	return changed
}
