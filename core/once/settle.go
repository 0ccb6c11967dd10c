package once

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// minSettleBackoff is the backoff before the first retry of a background write.
// It doubles up to Config.MaxSettleBackoff.
const minSettleBackoff = 100 * time.Millisecond

// settle is the state of settling a claim, which means to write its final
// record, an outcome or a release, in the background.
type settle struct {
	// record is the outcome or the release to write.
	record Record
	// body is the content of the object that is stored before the record.
	body     []byte
	deadline time.Time
	backoff  time.Duration
	// reading is set if the pending table call is a read.
	reading bool
}

// release writes that the request was not run. If it is not known whether the
// claim is in the table, the row is read first.
func (rq *Request) release(now time.Time) Step {
	rq.beginSettle(now, rq.releaseRecord())
	if rq.claimVersion == 0 {
		return rq.settleRead()
	}
	return rq.settleWrite(now)
}

func (rq *Request) releaseRecord() Record {
	record := rq.claim
	record.State = StateReleased
	return record
}

// storeOutcome writes the outcome. A large body is first stored as an object.
func (rq *Request) storeOutcome(now time.Time, o Outcome) Step {
	record := rq.claim
	record.State, record.Status, record.Header = StateDone, o.Status, o.Header
	if len(o.Body) <= rq.cfg.InlineBodyBytes {
		record.Body = o.Body
		rq.beginSettle(now, record)
		return rq.settleWrite(now)
	}
	record.Object = rq.objectName()
	rq.beginSettle(now, record)
	rq.settle.body = o.Body
	return rq.putObject(now)
}

func (rq *Request) beginSettle(now time.Time, record Record) {
	rq.phase = settling
	rq.settle = settle{record: record, deadline: now.Add(rq.cfg.SettleTimeout), backoff: minSettleBackoff}
}

func (rq *Request) putObject(time.Time) Step {
	return Step{Kind: PutObject, Object: rq.settle.record.Object, Content: rq.settle.body}
}

func (rq *Request) handleObjectStored(now time.Time, err error) Step {
	if err != nil {
		return rq.retrySettle(now, rq.putObject)
	}
	return rq.settleWrite(now)
}

func (rq *Request) settleWrite(time.Time) Step {
	w, err := rq.settle.record.write(rq.key, rq.claimVersion)
	if err != nil {
		return rq.finish()
	}
	rq.settle.reading = false
	return Step{Kind: Write, Op: tableop.Op{ID: rq.nextOpID(), Writes: []platform.Write{w}}}
}

func (rq *Request) settleRead() Step {
	rq.settle.reading = true
	return rq.readRow(settling)
}

// retrySettle retries a step after a growing backoff until the deadline. After
// the deadline the claim stays in the table, and later requests with the same key
// do not run.
func (rq *Request) retrySettle(now time.Time, next func(time.Time) Step) Step {
	if !now.Before(rq.settle.deadline) {
		return rq.finish()
	}
	backoff := rq.settle.backoff
	rq.settle.backoff = min(2*backoff, rq.cfg.MaxSettleBackoff)
	return rq.wait(backoff, next)
}

func (rq *Request) handleSettleResult(now time.Time, r tableop.Result) Step {
	reread := func(time.Time) Step { return rq.settleRead() }
	switch {
	case rq.settle.reading && (r.Err == nil || errors.Is(r.Err, platform.ErrNotFound)):
		return rq.settleAfterRead(now, r)
	case rq.settle.reading:
		return rq.retrySettle(now, reread)
	case r.Err == nil:
		return rq.finish()
	case errors.Is(r.Err, platform.ErrConflict):
		return rq.settleRead()
	}
	return rq.retrySettle(now, reread)
}

// settleAfterRead writes the final record over the claim. If the claim is not in
// the table but a write of it may still arrive, the release is written over the
// row version on which that write depends, which makes that write fail.
func (rq *Request) settleAfterRead(now time.Time, r tableop.Result) Step {
	row, found := r.Row(rq.key)
	var record Record
	if found {
		record, _ = ParseRecord(row.Value)
	}
	own := record.RequestID == rq.claim.RequestID && record.State == StateClaimed
	claimMayArrive := rq.claimMayExist && row.Version == rq.baseVersion
	if !own && !claimMayArrive {
		return rq.finish()
	}
	rq.claimVersion = row.Version
	return rq.settleWrite(now)
}
