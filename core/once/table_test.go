package once

import (
	"flag"
	"os"
	"testing"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// TestMain fixes the seed and size of the rapid tests. With 3,000 checks of 100
// steps, a release of another attempt's claim is found.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.steps": "100"} {
		_ = flag.Set(name, value)
	}
	// Values given on the command line take precedence.
	flag.Parse()
	os.Exit(m.Run())
}

// fault is what happens to a table call.
type fault int

const (
	noFault fault = iota
	// refused: the call has no effect.
	refused
	// lostAnswer: the write takes effect and its answer is lost.
	lostAnswer
	// lostCall: the write never arrives, which the writer does not learn.
	lostCall
	// lateCall: the writer gets no answer and the write arrives later.
	lateCall
	faultCount
)

// table is a table with faults.
type table struct {
	rows   map[string]platform.Row
	last   uint64
	writes int
	late   [][]platform.Write
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) call(op tableop.Op, f fault) tableop.Result {
	r := tableop.Result{ID: op.ID}
	if len(op.Writes) == 0 {
		if f != noFault {
			r.Err = platform.ErrUnavailable
			return r
		}
		for _, key := range op.Reads {
			if row, ok := t.rows[key]; ok {
				r.Rows = append(r.Rows, row)
			}
		}
		return r
	}
	switch f {
	case refused:
		r.Err = platform.ErrUnavailable
	case lostCall, lateCall:
		r.Err = platform.ErrOutcomeUnknown
		if f == lateCall {
			t.late = append(t.late, op.Writes)
		}
	default:
		r.Versions, r.Err = t.transact(op.Writes)
		if f == lostAnswer {
			r.Versions, r.Err = nil, platform.ErrOutcomeUnknown
		}
	}
	return r
}

func (t *table) transact(writes []platform.Write) ([]uint64, error) {
	var conflict platform.ConflictError
	for _, w := range writes {
		if w.IfVersion != nil && *w.IfVersion != t.rows[w.Key].Version {
			conflict.Keys = append(conflict.Keys, w.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return nil, &conflict
	}
	var versions []uint64
	t.writes++
	for _, w := range writes {
		t.last++
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: t.last}
		versions = append(versions, t.last)
	}
	return versions, nil
}

// arrive applies the writes that were delayed.
func (t *table) arrive() {
	for _, writes := range t.late {
		_, _ = t.transact(writes)
	}
	t.late = nil
}
