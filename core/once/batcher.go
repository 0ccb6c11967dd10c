package once

import (
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// MaxBatchRows bounds the rows of one transaction.
	MaxBatchRows = 25
	// maxQueuedWrites bounds the writes that wait for the table. At 25 rows per
	// round trip of 55 ms, 1,000 writes wait for 2.2 s, about the dispatch window.
	// Further writes would be completed too late.
	maxQueuedWrites = 1000
)

// Batcher merges writes of single rows into transactions. One transaction is in
// flight at a time, and the writes that arrive meanwhile form the next one. T
// identifies the writer, for example *Request.
type Batcher[T any] struct {
	queue    []queuedWrite[T]
	inFlight []queuedWrite[T]
	opID     uint64
}

// queuedWrite is a write that waits or is in flight.
type queuedWrite[T any] struct {
	writer T
	op     tableop.Op
	// separate is set if the write gets a transaction of its own, because a
	// transaction with it failed and the table did not report which row caused
	// the conflict.
	separate bool
}

// WriteResult is the result of one writer's Op.
type WriteResult[T any] struct {
	Writer T
	Result tableop.Result
}

// Add queues an Op with exactly one write. It returns the transaction to send if
// none is in flight. If the queue is full, the Op fails with ErrUnavailable.
func (b *Batcher[T]) Add(writer T, op tableop.Op) (ops []tableop.Op, failed []WriteResult[T]) {
	if len(b.queue) >= maxQueuedWrites || len(op.Writes) != 1 {
		return nil, []WriteResult[T]{{Writer: writer, Result: tableop.Result{ID: op.ID, Err: platform.ErrUnavailable}}}
	}
	b.queue = append(b.queue, queuedWrite[T]{writer: writer, op: op})
	return b.nextTransaction(), nil
}

// Result handles the result of the transaction in flight. It returns the results
// of the writers and the next transaction.
func (b *Batcher[T]) Result(r tableop.Result) (results []WriteResult[T], ops []tableop.Op) {
	if len(b.inFlight) == 0 || r.ID != b.opID {
		return nil, nil
	}
	writes := b.inFlight
	b.inFlight = nil
	if errors.Is(r.Err, platform.ErrConflict) && len(writes) > 1 {
		results = b.handleConflict(writes, r.Err)
	} else {
		results = splitResult(writes, r)
	}
	return results, b.nextTransaction()
}

// splitResult returns each writer's part of the result of a transaction.
func splitResult[T any](writes []queuedWrite[T], r tableop.Result) []WriteResult[T] {
	results := make([]WriteResult[T], 0, len(writes))
	for i, q := range writes {
		own := tableop.Result{ID: q.op.ID, Err: r.Err}
		switch {
		case r.Err == nil && i < len(r.Versions):
			own.Versions = r.Versions[i : i+1]
		case r.Err == nil:
			// Without the row's version, it is not known what the table
			// holds.
			own.Err = platform.ErrOutcomeUnknown
		}
		results = append(results, WriteResult[T]{Writer: q.writer, Result: own})
	}
	return results
}

// handleConflict fails the writes whose condition was not met and queues the
// others again, ahead of the waiting ones. The transaction had no effect on any
// row.
func (b *Batcher[T]) handleConflict(writes []queuedWrite[T], err error) []WriteResult[T] {
	var conflict *platform.ConflictError
	keys := map[string]bool{}
	if errors.As(err, &conflict) {
		for _, key := range conflict.Keys {
			keys[key] = true
		}
	}
	var results []WriteResult[T]
	var requeued []queuedWrite[T]
	for _, q := range writes {
		if keys[q.op.Writes[0].Key] {
			results = append(results, WriteResult[T]{Writer: q.writer, Result: tableop.Result{ID: q.op.ID, Err: err}})
			continue
		}
		requeued = append(requeued, q)
	}
	if len(results) == 0 {
		for i := range requeued {
			requeued[i].separate = true
		}
	}
	b.queue = append(requeued, b.queue...)
	return results
}

// nextTransaction forms the next transaction. A second write of a row has to
// wait, because a transaction may contain a row only once.
func (b *Batcher[T]) nextTransaction() []tableop.Op {
	if len(b.inFlight) > 0 || len(b.queue) == 0 {
		return nil
	}
	keys := map[string]bool{}
	var remaining []queuedWrite[T]
	for _, q := range b.queue {
		key := q.op.Writes[0].Key
		if len(b.inFlight) > 0 && (len(b.inFlight) >= MaxBatchRows || keys[key] || q.separate || b.inFlight[0].separate) {
			remaining = append(remaining, q)
			keys[key] = true
			continue
		}
		keys[key] = true
		b.inFlight = append(b.inFlight, q)
	}
	b.queue = remaining
	b.opID++
	op := tableop.Op{ID: b.opID}
	for _, q := range b.inFlight {
		op.Writes = append(op.Writes, q.op.Writes[0])
	}
	return []tableop.Op{op}
}
