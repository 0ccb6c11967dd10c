package once

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

func write(key string, version uint64) tableop.Op {
	return tableop.Op{ID: 7, Writes: []platform.Write{{Key: key, IfVersion: &version}}}
}

// add queues a write that must be accepted.
func add(t *testing.T, b *Batcher[string], key string) []tableop.Op {
	ops, failed := b.Add(key, write(key, 0))
	require.Empty(t, failed)
	return ops
}

func writerNames(results []WriteResult[string]) []string {
	var names []string
	for _, r := range results {
		names = append(names, r.Writer)
	}
	return names
}

// Guards against a batch that exceeds the bound, contains a row twice, or is sent
// while another is in flight.
func TestBatches(t *testing.T) {
	var b Batcher[string]
	first := add(t, &b, "r0")
	require.Len(t, first, 1)
	for i := range 30 {
		require.Empty(t, add(t, &b, fmt.Sprintf("r%d", i)))
	}
	require.Empty(t, add(t, &b, "r1"))
	results, second := b.Result(tableop.Result{ID: first[0].ID, Versions: []uint64{1}})
	require.Equal(t, []string{"r0"}, writerNames(results))
	require.EqualValues(t, 7, results[0].Result.ID)
	require.Len(t, second[0].Writes, MaxBatchRows)
	results, third := b.Result(tableop.Result{ID: second[0].ID, Err: platform.ErrOutcomeUnknown})
	require.Len(t, results, MaxBatchRows)
	require.ErrorIs(t, results[3].Result.Err, platform.ErrOutcomeUnknown)
	require.Len(t, third[0].Writes, 6)
	results, _ = b.Result(tableop.Result{ID: second[0].ID})
	require.Empty(t, results, "a result of an earlier transaction")
}

// Guards against a conflict in one row that fails or delays the other bookings of
// its batch.
func TestConflictInOneRow(t *testing.T) {
	for _, named := range []bool{true, false} {
		var b Batcher[string]
		ops := add(t, &b, "first")
		for _, key := range []string{"a", "b", "c"} {
			add(t, &b, key)
		}
		_, ops = b.Result(tableop.Result{ID: ops[0].ID, Versions: []uint64{1}})
		store := newFaultyTable()
		store.rows["b"] = platform.Row{Key: "b", Version: 9}
		failed, stored := []string{}, []string{}
		for range 10 {
			if len(ops) == 0 {
				break
			}
			result := store.call(ops[0], noFault)
			if result.Err != nil && !named {
				result.Err = platform.ErrConflict
			}
			var results []WriteResult[string]
			results, ops = b.Result(result)
			for _, r := range results {
				if r.Result.Err != nil {
					failed = append(failed, r.Writer)
					continue
				}
				require.Len(t, r.Result.Versions, 1)
				stored = append(stored, r.Writer)
			}
		}
		require.Equal(t, []string{"b"}, failed)
		require.ElementsMatch(t, []string{"a", "c"}, stored)
	}
}

// Guards against a queue that grows without bound while the table is slow.
func TestQueueIsBounded(t *testing.T) {
	var b Batcher[string]
	var failed []WriteResult[string]
	for i := range maxQueuedWrites + 5 {
		key := fmt.Sprint(i)
		_, f := b.Add(key, write(key, 0))
		failed = append(failed, f...)
	}
	require.Len(t, failed, 4)
	require.ErrorIs(t, failed[0].Result.Err, platform.ErrUnavailable)
}
