package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiawind/cassiawind/core/tableop"
)

// vm is one VM with an entry process, its batcher and its requests.
type vm struct {
	batcher  Batcher[*machineRun]
	inFlight []tableop.Op
	runs     []*machineRun
}

// machineRun is a request in the state-machine test.
type machineRun struct {
	requestRun
	vm  *vm
	key string
	// executed is set once a backend server has run the request; body is that of
	// its response.
	executed bool
	body     string
	// checked is set once the response was checked.
	checked   bool
	startedAt time.Time
}

// machine runs requests on several VMs with random faults.
type machine struct {
	now     time.Time
	table   *faultyTable
	vms     []*vm
	all     []*machineRun
	objects map[string][]byte
	// executions counts the executions for each key since its record was last
	// deleted.
	executions map[string]int
}

func (m *machine) begin(t *rapid.T) {
	v := rapid.SampledFrom(m.vms).Draw(t, "vm")
	key := rapid.SampledFrom([]string{"k1", "k1", "k1", "k2"}).Draw(t, "key")
	id := fmt.Sprint(len(m.all))
	r := &machineRun{vm: v, key: key, startedAt: m.now}
	r.request = NewRequest(Config{InlineBodyBytes: 3}, Params{
		Account: "acme", IdempotencyKey: key, RequestID: id, Fingerprint: "f",
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "deadline s")) * time.Second),
	})
	v.runs = append(v.runs, r)
	m.all = append(m.all, r)
	m.applyStep(t, r, r.request.Start(m.now))
}

func (m *machine) applyStep(t *rapid.T, r *machineRun, step Step) {
	if step.Response != nil {
		if r.response != nil {
			t.Fatalf("second response to one request")
		}
		r.response = step.Response
	}
	r.step = step
	if step.Kind == Write {
		ops, failed := r.vm.batcher.Add(r, step.Op)
		r.vm.inFlight = append(r.vm.inFlight, ops...)
		m.applyResults(t, failed)
	}
}

func (m *machine) applyResults(t *rapid.T, results []WriteResult[*machineRun]) {
	for _, w := range results {
		m.applyStep(t, w.Writer, w.Writer.request.TableResult(m.now, w.Result))
	}
}

// transact executes a VM's transaction in the table with a random fault.
func (m *machine) transact(t *rapid.T) {
	var sending []*vm
	for _, v := range m.vms {
		if len(v.inFlight) > 0 {
			sending = append(sending, v)
		}
	}
	if len(sending) == 0 {
		return
	}
	v := rapid.SampledFrom(sending).Draw(t, "vm")
	op := v.inFlight[0]
	v.inFlight = v.inFlight[1:]
	f := fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
	results, ops := v.batcher.Result(m.table.call(op, f))
	v.inFlight = append(v.inFlight, ops...)
	m.applyResults(t, results)
}

// performStep performs a step other than a write.
func (m *machine) performStep(t *rapid.T) {
	var runnable []*machineRun
	for _, v := range m.vms {
		for _, r := range v.runs {
			if k := r.step.Kind; k != None && k != Finish && k != Write {
				runnable = append(runnable, r)
			}
		}
	}
	if len(runnable) == 0 {
		return
	}
	r := rapid.SampledFrom(runnable).Draw(t, "run")
	f := noFault
	if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
		f = failedCall
	}
	switch r.step.Kind {
	case Read:
		m.applyStep(t, r, r.request.TableResult(m.now, m.table.call(r.step.Op, f)))
	case Wait:
		m.applyStep(t, r, r.request.Waited(m.now))
	case PutObject, GetObject:
		m.performObject(t, r, f)
	case Dispatch:
		m.dispatch(t, r)
	}
}

func (m *machine) performObject(t *rapid.T, r *machineRun, f fault) {
	if f != noFault {
		m.applyStep(t, r, r.request.ObjectResult(m.now, nil, ErrBadRecord))
		return
	}
	if r.step.Kind == PutObject {
		m.objects[r.step.Object] = r.step.Content
	}
	m.applyStep(t, r, r.request.ObjectResult(m.now, m.objects[r.step.Object], nil))
}

// dispatch sends the request if it may be sent. A backend server does not run
// it, runs it, or runs it without a response.
func (m *machine) dispatch(t *rapid.T, r *machineRun) {
	outcome := Outcome{Kind: OutcomeKind(rapid.IntRange(int(ResponseReceived), int(Unknown)).Draw(t, "outcome"))}
	if !r.request.MayDispatch(m.now) {
		outcome.Kind = NotRun
	}
	if outcome.Kind != NotRun {
		m.executions[r.key]++
		r.executed = true
		r.body = rapid.SampledFrom([]string{"a", "long "}).Draw(t, "body") + fmt.Sprint(len(m.all))
		outcome.Status, outcome.Body = 200, []byte(r.body)
	}
	m.applyStep(t, r, r.request.Dispatched(m.now, outcome))
}

// advanceTime advances the time by a little, beyond a dispatch deadline, or
// beyond the retention time, after which records are deleted.
func (m *machine) advanceTime(t *rapid.T) {
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
			m.executions[key] = 0
		}
	}
}

func (m *machine) disconnectCaller(t *rapid.T) {
	if len(m.all) == 0 || rapid.Bool().Draw(t, "skip") {
		return
	}
	r := rapid.SampledFrom(m.all).Draw(t, "run")
	for _, running := range r.vm.runs {
		if running == r {
			if step := r.request.GiveUp(m.now); step.Response != nil {
				if r.response != nil || step.Kind != None {
					t.Fatalf("second response, or a step besides the response")
				}
				r.response = step.Response
			}
		}
	}
}

// kill ends a VM's process. It loses its state, but a transaction in flight may
// still arrive.
func (m *machine) kill(t *rapid.T) {
	i := rapid.IntRange(0, 4*len(m.vms)).Draw(t, "vm")
	if i >= len(m.vms) {
		return
	}
	for _, op := range m.vms[i].inFlight {
		m.table.delayed = append(m.table.delayed, op.Writes)
	}
	m.vms[i] = &vm{}
}

func (m *machine) check(t *rapid.T) {
	for key, n := range m.executions {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for i, r := range m.all {
		first := r.response != nil && !r.checked
		r.checked = r.response != nil
		switch {
		case first && !r.response.Verdict.MayHaveRun() && r.response.Verdict != KeyReused && m.earlierExecuted(i):
			t.Fatalf("response says not run with verdict %d, but an earlier request with the key ran", r.response.Verdict)
		case r.response == nil:
		case !r.response.Verdict.MayHaveRun() && r.executed:
			t.Fatalf("response says not run with verdict %d, but the request ran", r.response.Verdict)
		case r.response.Verdict == Fresh && string(r.response.Body) != r.body:
			t.Fatalf("response has the body of another request")
		}
	}
}

// earlierExecuted reports whether a request with the same key that started before
// the given one, and whose record is still kept, has run.
func (m *machine) earlierExecuted(at int) bool {
	r := m.all[at]
	for _, e := range m.all[:at] {
		if e.key == r.key && e.executed && m.now.Sub(e.startedAt) < Retention {
			return true
		}
	}
	return false
}

// Guards against a second execution for one key, a response that says that the
// request was not run although it was, and a second response, under lost,
// delayed and failed table calls, killed and paused VMs, batches with conflicts,
// and deleted records. A longer run:
// go test ./core/once -run Machine -rapid.checks 20000
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now: start, table: newFaultyTable(), vms: []*vm{{}, {}, {}}, objects: map[string][]byte{},
			executions: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "transact": m.transact, "transact again": m.transact, "step": m.performStep,
			"step again": m.performStep, "pass": m.advanceTime, "give up": m.disconnectCaller, "kill": m.kill,
			"late calls arrive": func(*rapid.T) { m.table.deliverDelayed() }, "": m.check,
		})
	})
}
