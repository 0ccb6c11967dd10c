package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiawind/cassiawind/core/tableop"
)

// vm is one entry VM with its batcher and its attempts.
type vm struct {
	batcher Batcher[*machineRun]
	flight  []tableop.Op
	runs    []*machineRun
}

// machineRun is an attempt in the state-machine test.
type machineRun struct {
	run
	vm  *vm
	key string
	// ran tells that a backend server ran the request; body is its answer.
	ran  bool
	body string
	// answered tells that the response was checked when it was given.
	answered bool
	begun    time.Time
}

// machine drives attempts on several VMs with random faults.
type machine struct {
	now     time.Time
	table   *table
	vms     []*vm
	all     []*machineRun
	objects map[string][]byte
	// runs counts executions for each key since its record was last deleted.
	runs map[string]int
}

func (m *machine) begin(t *rapid.T) {
	v := rapid.SampledFrom(m.vms).Draw(t, "vm")
	key := rapid.SampledFrom([]string{"k1", "k1", "k1", "k2"}).Draw(t, "key")
	id := fmt.Sprint(len(m.all))
	r := &machineRun{vm: v, key: key, begun: m.now}
	r.a = NewAttempt(Config{InlineBodyBytes: 3}, Params{
		Account: "acme", IdempotencyKey: key, AttemptID: id, Fingerprint: "f",
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "deadline s")) * time.Second),
	})
	v.runs = append(v.runs, r)
	m.all = append(m.all, r)
	m.take(t, r, r.a.Start(m.now))
}

func (m *machine) take(t *rapid.T, r *machineRun, step Step) {
	if step.Response != nil {
		if r.response != nil {
			t.Fatalf("second response")
		}
		r.response = step.Response
	}
	r.step = step
	if step.Kind == Write {
		ops, failed := r.vm.batcher.Add(r, step.Op)
		r.vm.flight = append(r.vm.flight, ops...)
		m.written(t, failed)
	}
}

func (m *machine) written(t *rapid.T, results []WriteResult[*machineRun]) {
	for _, w := range results {
		m.take(t, w.Writer, w.Writer.a.TableResult(m.now, w.Result))
	}
}

// transact lets the table take a VM's transaction with some fault.
func (m *machine) transact(t *rapid.T) {
	var busy []*vm
	for _, v := range m.vms {
		if len(v.flight) > 0 {
			busy = append(busy, v)
		}
	}
	if len(busy) == 0 {
		return
	}
	v := rapid.SampledFrom(busy).Draw(t, "vm")
	op := v.flight[0]
	v.flight = v.flight[1:]
	f := fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
	results, ops := v.batcher.Result(m.table.call(op, f))
	v.flight = append(v.flight, ops...)
	m.written(t, results)
}

// step performs a step other than a write.
func (m *machine) step(t *rapid.T) {
	var ready []*machineRun
	for _, v := range m.vms {
		for _, r := range v.runs {
			if k := r.step.Kind; k != None && k != Finish && k != Write {
				ready = append(ready, r)
			}
		}
	}
	if len(ready) == 0 {
		return
	}
	r := rapid.SampledFrom(ready).Draw(t, "run")
	f := noFault
	if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
		f = refused
	}
	switch r.step.Kind {
	case Read:
		m.take(t, r, r.a.TableResult(m.now, m.table.call(r.step.Op, f)))
	case Wait:
		m.take(t, r, r.a.Waited(m.now))
	case PutObject, GetObject:
		m.object(t, r, f)
	case Dispatch:
		m.dispatch(t, r)
	}
}

func (m *machine) object(t *rapid.T, r *machineRun, f fault) {
	if f != noFault {
		m.take(t, r, r.a.ObjectResult(m.now, nil, ErrBadRecord))
		return
	}
	if r.step.Kind == PutObject {
		m.objects[r.step.Object] = r.step.Content
	}
	m.take(t, r, r.a.ObjectResult(m.now, m.objects[r.step.Object], nil))
}

// dispatch sends the request if it may be sent: it is refused, it runs, or it
// runs without an answer.
func (m *machine) dispatch(t *rapid.T, r *machineRun) {
	outcome := Outcome{Kind: OutcomeKind(rapid.IntRange(int(Answered), int(Unknown)).Draw(t, "outcome"))}
	if !r.a.MayDispatch(m.now) {
		outcome.Kind = NotRun
	}
	if outcome.Kind != NotRun {
		m.runs[r.key]++
		r.ran = true
		r.body = rapid.SampledFrom([]string{"a", "long "}).Draw(t, "body") + fmt.Sprint(len(m.all))
		outcome.Status, outcome.Body = 200, []byte(r.body)
	}
	m.take(t, r, r.a.Dispatched(m.now, outcome))
}

// pass lets time pass: a little, past a dispatch deadline, or past the retention
// time, after which records are deleted.
func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		50 * time.Millisecond, time.Second, 5 * time.Second, 25 * time.Hour,
	}).Draw(t, "time"))
	for _, key := range []string{"k1", "k2"} {
		row, ok := m.table.rows[RowKey("acme", key)]
		if !ok {
			continue
		}
		if record, err := ParseRecord(row.Value); err == nil && record.Expired(m.now) {
			delete(m.table.rows, row.Key)
			m.runs[key] = 0
		}
	}
}

func (m *machine) giveUp(t *rapid.T) {
	if len(m.all) == 0 || rapid.Bool().Draw(t, "skip") {
		return
	}
	r := rapid.SampledFrom(m.all).Draw(t, "run")
	for _, live := range r.vm.runs {
		if live == r {
			if step := r.a.GiveUp(m.now); step.Response != nil {
				if r.response != nil || step.Kind != None {
					t.Fatalf("second response, or a step to carry out")
				}
				r.response = step.Response
			}
		}
	}
}

// kill ends a VM's process: it forgets everything, and a transaction in flight
// may still arrive.
func (m *machine) kill(t *rapid.T) {
	i := rapid.IntRange(0, 4*len(m.vms)).Draw(t, "vm")
	if i >= len(m.vms) {
		return
	}
	for _, op := range m.vms[i].flight {
		m.table.late = append(m.table.late, op.Writes)
	}
	m.vms[i] = &vm{}
}

func (m *machine) check(t *rapid.T) {
	for key, n := range m.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for i, r := range m.all {
		first := r.response != nil && !r.answered
		r.answered = r.response != nil
		switch {
		case first && !r.response.Verdict.MayHaveRun() && r.response.Verdict != KeyReused && m.earlierRan(i):
			t.Fatalf("answered not run with verdict %d, but an earlier request with the key had run", r.response.Verdict)
		case r.response == nil:
		case !r.response.Verdict.MayHaveRun() && r.ran:
			t.Fatalf("answered not run with verdict %d, but it ran", r.response.Verdict)
		case r.response.Verdict == Fresh && string(r.response.Body) != r.body:
			t.Fatalf("answer of another request")
		}
	}
}

// earlierRan reports whether a request with the same key that began before the
// given one, and whose record is still kept, has run.
func (m *machine) earlierRan(at int) bool {
	r := m.all[at]
	for _, e := range m.all[:at] {
		if e.key == r.key && e.ran && m.now.Sub(e.begun) < Retention {
			return true
		}
	}
	return false
}

// Guards against a second execution for one key, a not-run answer that is not
// true, and two answers, under lost, late and refused table calls, killed and
// paused VMs, batches with conflicts and deleted records.
// go test ./core/once -run Machine -rapid.checks 20000
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now: start, table: newTable(), vms: []*vm{{}, {}, {}}, objects: map[string][]byte{},
			runs: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "transact": m.transact, "transact again": m.transact, "step": m.step,
			"step again": m.step, "pass": m.pass, "give up": m.giveUp, "kill": m.kill,
			"late calls arrive": func(*rapid.T) { m.table.arrive() }, "": m.check,
		})
	})
}
