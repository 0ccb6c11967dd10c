package once

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// firstSettleRetry is the wait before the first repetition of a background
// write; it doubles up to Config.MaxSettleBackoff.
const firstSettleRetry = 100 * time.Millisecond

// settle is the background write of the final record of a claim.
type settle struct {
	// record is the outcome or release to be written.
	record Record
	// body is the content of the object that is stored before the record.
	body  []byte
	until time.Time
	delay time.Duration
	// reading tells that the pending table call is a read.
	reading bool
}

// release writes that the request was not run. If it is not known whether the
// claim is in the table, the row is read first.
func (a *Attempt) release(now time.Time) Step {
	a.beginSettle(now, a.released())
	if a.version == 0 {
		return a.settleRead()
	}
	return a.settleWrite(now)
}

func (a *Attempt) released() Record {
	record := a.claim
	record.State = StateReleased
	return record
}

// store writes the outcome, with a large body as an object first.
func (a *Attempt) store(now time.Time, o Outcome) Step {
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
	a.settle = settle{record: record, until: now.Add(a.cfg.SettleTimeout), delay: firstSettleRetry}
}

func (a *Attempt) putObject(time.Time) Step {
	return Step{Kind: PutObject, Object: a.settle.record.Object, Content: a.settle.body}
}

func (a *Attempt) objectStored(now time.Time, err error) Step {
	if err != nil {
		return a.settleLater(now, a.putObject)
	}
	return a.settleWrite(now)
}

func (a *Attempt) settleWrite(time.Time) Step {
	w, err := a.settle.record.write(a.key, a.version)
	if err != nil {
		return a.finish()
	}
	a.settle.reading = false
	return Step{Kind: Write, Op: tableop.Op{ID: a.nextOp(), Writes: []platform.Write{w}}}
}

func (a *Attempt) settleRead() Step {
	a.settle.reading = true
	return a.readRow(settling)
}

// settleLater repeats a step after a growing wait until the time for it is over.
// The claim then stays in the table and repeated requests do not run.
func (a *Attempt) settleLater(now time.Time, then func(time.Time) Step) Step {
	if !now.Before(a.settle.until) {
		return a.finish()
	}
	delay := a.settle.delay
	a.settle.delay = min(2*delay, a.cfg.MaxSettleBackoff)
	return a.wait(delay, then)
}

func (a *Attempt) settleResult(now time.Time, r tableop.Result) Step {
	again := func(time.Time) Step { return a.settleRead() }
	switch {
	case a.settle.reading && (r.Err == nil || errors.Is(r.Err, platform.ErrNotFound)):
		return a.settleDecide(now, r)
	case a.settle.reading:
		return a.settleLater(now, again)
	case r.Err == nil:
		return a.finish()
	case errors.Is(r.Err, platform.ErrConflict):
		return a.settleRead()
	}
	return a.settleLater(now, again)
}

// settleDecide writes the final record over the claim. If the claim is not in
// the table but a write of it may still arrive, the release is written over the
// row on which that write depends, which makes it fail.
func (a *Attempt) settleDecide(now time.Time, r tableop.Result) Step {
	row, found := r.Row(a.key)
	var record Record
	if found {
		record, _ = ParseRecord(row.Value)
	}
	mine := record.Attempt == a.claim.Attempt && record.State == StateClaimed
	pending := a.unsure && row.Version == a.base
	if !mine && !pending {
		return a.finish()
	}
	a.version = row.Version
	return a.settleWrite(now)
}
