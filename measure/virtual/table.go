package virtual

import (
	"time"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// Fault is a fault of a table call.
type Fault int

// Faults of table calls. Under each fault except NoFault, calls that only read fail
// with ErrUnavailable.
const (
	NoFault Fault = iota
	// Refused means that the call has no effect.
	Refused
	// LostAnswer means that the write takes effect and its answer is lost.
	LostAnswer
	// LostCall means that the write does not arrive. The writer cannot distinguish
	// this from LostAnswer.
	LostCall
	// DelayedCall means that the writer gets no answer and the write takes
	// effect later.
	DelayedCall
)

// Table is a table service with injected faults. Clock must be set before use.
type Table struct {
	Clock *Clock
	// Down makes the table refuse all calls.
	Down bool
	// Fault returns the fault of a call. If it is nil, no call has a fault.
	Fault func(op tableop.Op) Fault
	// CallDelay is the time after which a write takes effect under DelayedCall.
	CallDelay time.Duration
	// OnWrite is called for each row that is written. It may be nil.
	OnWrite func(row platform.Row)
	// Transactions counts the transactions that took effect.
	Transactions int

	rows    map[string]platform.Row
	version uint64
}

// Row returns a row. The version of a row that does not exist is 0.
func (t *Table) Row(key string) platform.Row { return t.rows[key] }

// Call makes a call. It takes the one-way delay for the call to arrive and again
// for its answer. The call is refused if the caller is disconnected when it arrives.
func (t *Table) Call(oneWay time.Duration, disconnected func() bool, op tableop.Op, answer func(tableop.Result)) {
	t.Clock.After(oneWay, func() {
		r := tableop.Result{Err: platform.ErrUnavailable}
		if !t.Down && !disconnected() {
			r = t.receive(op)
		}
		r.ID = op.ID
		t.Clock.After(oneWay, func() { answer(r) })
	})
}

func (t *Table) receive(op tableop.Op) tableop.Result {
	fault := NoFault
	if t.Fault != nil {
		fault = t.Fault(op)
	}
	switch {
	case fault == NoFault:
		return t.Apply(op)
	case fault == Refused || len(op.Writes) == 0:
		return tableop.Result{Err: platform.ErrUnavailable}
	case fault == LostAnswer:
		if r := t.Apply(op); r.Err != nil {
			return r
		}
	case fault == DelayedCall:
		t.Clock.After(t.CallDelay, func() { t.Apply(op) })
	}
	return tableop.Result{Err: platform.ErrOutcomeUnknown}
}

// Apply makes a call without a delay or a fault.
func (t *Table) Apply(op tableop.Op) (r tableop.Result) {
	for _, key := range op.Reads {
		if row, ok := t.rows[key]; ok {
			r.Rows = append(r.Rows, row)
		}
	}
	var conflict platform.ConflictError
	for _, w := range op.Writes {
		if w.IfVersion != nil && *w.IfVersion != t.rows[w.Key].Version {
			conflict.Keys = append(conflict.Keys, w.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return tableop.Result{Err: &conflict}
	}
	if len(op.Writes) > 0 {
		t.Transactions++
	}
	for _, w := range op.Writes {
		t.version++
		r.Versions = append(r.Versions, t.version)
		t.write(w)
	}
	return r
}

func (t *Table) write(w platform.Write) {
	switch {
	case w.CheckOnly:
	case w.Delete:
		delete(t.rows, w.Key)
	default:
		if t.rows == nil {
			t.rows = map[string]platform.Row{}
		}
		row := platform.Row{Key: w.Key, Value: w.Value, Version: t.version}
		t.rows[w.Key] = row
		if t.OnWrite != nil {
			t.OnWrite(row)
		}
	}
}
