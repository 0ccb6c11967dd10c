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
func (a *Attempt) release(now time.Time) Step {
	a.beginSettle(now, a.releaseRecord())
	if a.claimVersion == 0 {
		return a.settleRead()
	}
	return a.settleWrite(now)
}

func (a *Attempt) releaseRecord() Record {
	record := a.claim
	record.State = StateReleased
	return record
}

// storeOutcome writes the outcome. A large body is first stored as an object.
func (a *Attempt) storeOutcome(now time.Time, o Outcome) Step {
	record := a.claim
	record.State, record.Status, record.Header = StateDone, o.Status, o.Header
	if len(o.Body) <= a.cfg.InlineBodyBytes {
		record.Body = o.Body
		a.beginSettle(now, record)
		return a.settleWrite(now)
	}
	record.Object = a.objectName()
	a.beginSettle(now, record)
	a.settle.body = o.Body
	return a.putObject(now)
}

func (a *Attempt) beginSettle(now time.Time, record Record) {
	a.phase = settling
	a.settle = settle{record: record, deadline: now.Add(a.cfg.SettleTimeout), backoff: minSettleBackoff}
}

func (a *Attempt) putObject(time.Time) Step {
	return Step{Kind: PutObject, Object: a.settle.record.Object, Content: a.settle.body}
}

func (a *Attempt) handleObjectStored(now time.Time, err error) Step {
	if err != nil {
		return a.retrySettle(now, a.putObject)
	}
	return a.settleWrite(now)
}

func (a *Attempt) settleWrite(time.Time) Step {
	w, err := a.settle.record.write(a.key, a.claimVersion)
	if err != nil {
		return a.finish()
	}
	a.settle.reading = false
	return Step{Kind: Write, Op: tableop.Op{ID: a.nextOpID(), Writes: []platform.Write{w}}}
}

func (a *Attempt) settleRead() Step {
	a.settle.reading = true
	return a.readRow(settling)
}

// retrySettle retries a step after a growing backoff until the deadline. After
// the deadline the claim stays in the table, and later requests with the same key
// do not run.
func (a *Attempt) retrySettle(now time.Time, next func(time.Time) Step) Step {
	if !now.Before(a.settle.deadline) {
		return a.finish()
	}
	backoff := a.settle.backoff
	a.settle.backoff = min(2*backoff, a.cfg.MaxSettleBackoff)
	return a.wait(backoff, next)
}

func (a *Attempt) handleSettleResult(now time.Time, r tableop.Result) Step {
	reread := func(time.Time) Step { return a.settleRead() }
	switch {
	case a.settle.reading && (r.Err == nil || errors.Is(r.Err, platform.ErrNotFound)):
		return a.settleAfterRead(now, r)
	case a.settle.reading:
		return a.retrySettle(now, reread)
	case r.Err == nil:
		return a.finish()
	case errors.Is(r.Err, platform.ErrConflict):
		return a.settleRead()
	}
	return a.retrySettle(now, reread)
}

// settleAfterRead writes the final record over the claim. If the claim is not in
// the table but a write of it may still arrive, the release is written over the
// row version on which that write depends, which makes that write fail.
func (a *Attempt) settleAfterRead(now time.Time, r tableop.Result) Step {
	row, found := r.Row(a.key)
	var record Record
	if found {
		record, _ = ParseRecord(row.Value)
	}
	own := record.Attempt == a.claim.Attempt && record.State == StateClaimed
	claimMayArrive := a.claimMayExist && row.Version == a.baseVersion
	if !own && !claimMayArrive {
		return a.finish()
	}
	a.claimVersion = row.Version
	return a.settleWrite(now)
}
