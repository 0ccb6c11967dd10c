package virtual

import (
	"time"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// Fault is what happens to a table call.
type Fault int

// Faults of table calls. Reads fail with ErrUnavailable under each of them.
const (
	NoFault Fault = iota
	// Refused: the call has no effect.
	Refused
	// LostAnswer: the write takes effect and its answer is lost.
	LostAnswer
	// LostCall: the write never arrives, which the writer does not learn.
	LostCall
	// DelayedCall: the writer gets no answer and the write arrives later.
	DelayedCall
)

// Table is a table service with faults. Its zero value needs Clock.
type Table struct {
	Clock *Clock
	// Down refuses every call that arrives.
	Down bool
	// Fault returns what happens to a call; nil is no fault.
	Fault func(op tableop.Op) Fault
	// Late is the delay of a DelayedCall.
	CallDelay time.Duration
	// Written is called for each row after a write; nil is none.
	OnWrite func(row platform.Row)
	// Transactions counts those that took effect.
	Transactions int

	rows    map[string]platform.Row
	version uint64
}

// Row returns a row; one that does not exist has version 0.
func (t *Table) Row(key string) platform.Row { return t.rows[key] }

// Call makes a call that arrives after the one-way delay and answers after
// another one. A call of a caller that is cut off is refused.
func (t *Table) Call(oneWay time.Duration, cut func() bool, op tableop.Op, answer func(tableop.Result)) {
	t.Clock.After(oneWay, func() {
		r := tableop.Result{Err: platform.ErrUnavailable}
		if !t.Down && !cut() {
			r = t.arrive(op)
		}
		r.ID = op.ID
		t.Clock.After(oneWay, func() { answer(r) })
	})
}

func (t *Table) arrive(op tableop.Op) tableop.Result {
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

// Apply makes a call at once and without a fault.
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
