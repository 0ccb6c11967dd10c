package once

import (
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// MaxBatchRows bounds the rows of one transaction.
	MaxBatchRows = 25
	// maxQueuedWrites bounds the writes that wait for the table. With 25 rows
	// per 55 ms round trip, 1,000 writes wait 2.2 s, about the dispatch window;
	// later ones would only be answered too late.
	maxQueuedWrites = 1000
)

// Batcher merges writes of single rows into transactions. One transaction is in
// flight at a time, so that writes that arrive meanwhile form the next one. T
// identifies the writer, for example *Attempt.
type Batcher[T any] struct {
	queue  []queued[T]
	flight []queued[T]
	op     uint64
}

// queued is a write that waits or is in flight.
type queued[T any] struct {
	writer T
	op     tableop.Op
	// alone tells that the write gets a transaction of its own, because a
	// transaction with it failed and the table did not say for which row.
	alone bool
}

// Written is the result of one writer's Op.
type WriteResult[T any] struct {
	Writer T
	Result tableop.Result
}

// Add queues an Op with exactly one write. It returns the transaction to send,
// if none is in flight. If the queue is full, the Op fails with ErrUnavailable.
func (b *Batcher[T]) Add(writer T, op tableop.Op) (ops []tableop.Op, failed []WriteResult[T]) {
	if len(b.queue) >= maxQueuedWrites || len(op.Writes) != 1 {
		return nil, []WriteResult[T]{{Writer: writer, Result: tableop.Result{ID: op.ID, Err: platform.ErrUnavailable}}}
	}
	b.queue = append(b.queue, queued[T]{writer: writer, op: op})
	return b.next(), nil
}

// Result takes the result of the transaction in flight. It returns the results
// of the writers and the next transaction.
func (b *Batcher[T]) Result(r tableop.Result) (results []WriteResult[T], ops []tableop.Op) {
	if len(b.flight) == 0 || r.ID != b.op {
		return nil, nil
	}
	flight := b.flight
	b.flight = nil
	if errors.Is(r.Err, platform.ErrConflict) && len(flight) > 1 {
		results = b.conflict(flight, r.Err)
	} else {
		results = share(flight, r)
	}
	return results, b.next()
}

// share gives each writer its part of the result of a transaction.
func share[T any](flight []queued[T], r tableop.Result) []WriteResult[T] {
	results := make([]WriteResult[T], 0, len(flight))
	for i, q := range flight {
		own := tableop.Result{ID: q.op.ID, Err: r.Err}
		switch {
		case r.Err == nil && i < len(r.Versions):
			own.Versions = r.Versions[i : i+1]
		case r.Err == nil:
			// A result without the row's version does not tell what the
			// table holds.
			own.Err = platform.ErrOutcomeUnknown
		}
		results = append(results, WriteResult[T]{Writer: q.writer, Result: own})
	}
	return results
}

// conflict fails the writes whose condition was not met and queues the others
// again, ahead of the rest. The transaction had no effect on any row.
func (b *Batcher[T]) conflict(flight []queued[T], err error) []WriteResult[T] {
	var conflict *platform.ConflictError
	keys := map[string]bool{}
	if errors.As(err, &conflict) {
		for _, key := range conflict.Keys {
			keys[key] = true
		}
	}
	var results []WriteResult[T]
	var again []queued[T]
	for _, q := range flight {
		if keys[q.op.Writes[0].Key] {
			results = append(results, WriteResult[T]{Writer: q.writer, Result: tableop.Result{ID: q.op.ID, Err: err}})
			continue
		}
		again = append(again, q)
	}
	if len(results) == 0 {
		for i := range again {
			again[i].alone = true
		}
	}
	b.queue = append(again, b.queue...)
	return results
}

// next forms the next transaction. A row that is already in it waits, because a
// transaction holds a row only once.
func (b *Batcher[T]) next() []tableop.Op {
	if len(b.flight) > 0 || len(b.queue) == 0 {
		return nil
	}
	keys := map[string]bool{}
	var rest []queued[T]
	for _, q := range b.queue {
		key := q.op.Writes[0].Key
		if len(b.flight) > 0 && (len(b.flight) >= MaxBatchRows || keys[key] || q.alone || b.flight[0].alone) {
			rest = append(rest, q)
			keys[key] = true
			continue
		}
		keys[key] = true
		b.flight = append(b.flight, q)
	}
	b.queue = rest
	b.op++
	op := tableop.Op{ID: b.op}
	for _, q := range b.flight {
		op.Writes = append(op.Writes, q.op.Writes[0])
	}
	return []tableop.Op{op}
}
