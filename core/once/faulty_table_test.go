package once

import (
	"flag"
	"os"
	"testing"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// TestMain sets the seed and size of the rapid tests. 3,000 checks of 100 steps
// are enough to find a release of another request's claim.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.steps": "100"} {
		_ = flag.Set(name, value)
	}
	// Values given on the command line take precedence.
	flag.Parse()
	os.Exit(m.Run())
}

// fault is the fault of a table call.
type fault int

const (
	noFault fault = iota
	// failedCall means that the call fails and has no effect.
	failedCall
	// lostAnswer means that the write takes effect and its answer is lost.
	lostAnswer
	// lostWrite means that the write never arrives, and the writer gets no answer.
	lostWrite
	// delayedWrite means that the writer gets no answer and the write arrives
	// later.
	delayedWrite
	faultCount
)

// faultyTable is an in-memory table with faults.
type faultyTable struct {
	rows    map[string]platform.Row
	last    uint64
	writes  int
	delayed [][]platform.Write
}

func newFaultyTable() *faultyTable { return &faultyTable{rows: map[string]platform.Row{}} }

func (t *faultyTable) call(op tableop.Op, f fault) tableop.Result {
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
	case failedCall:
		r.Err = platform.ErrUnavailable
	case lostWrite, delayedWrite:
		r.Err = platform.ErrOutcomeUnknown
		if f == delayedWrite {
			t.delayed = append(t.delayed, op.Writes)
		}
	default:
		r.Versions, r.Err = t.transact(op.Writes)
		if f == lostAnswer {
			r.Versions, r.Err = nil, platform.ErrOutcomeUnknown
		}
	}
	return r
}

func (t *faultyTable) transact(writes []platform.Write) ([]uint64, error) {
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

// deliverDelayed applies the delayed writes.
func (t *faultyTable) deliverDelayed() {
	for _, writes := range t.delayed {
		_, _ = t.transact(writes)
	}
	t.delayed = nil
}
