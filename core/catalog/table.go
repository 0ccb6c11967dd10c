package catalog

import (
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
)

// RowChange is one changed row of the store.
type RowChange[T any] struct {
	Key      string
	Position platform.Position
	// Value is nil if the row was deleted or cannot be decoded.
	Value *T
	// Unreadable rows leave the known value in place.
	Unreadable bool
}

type row[T any] struct {
	version platform.Position
	value   *T
	// expired is set if the row disappeared while the store was unresponsive, in
	// the grace period after that, or because the store was restored.
	expired bool
	// removed is the last value of a removed row. outdated is a value that a
	// restored store has and that is older than the known one.
	removed, outdated *T
}

// set makes a value, or the absence of one, the known state of the row.
func (r *row[T]) set(value *T) {
	if value == nil && r.value != nil {
		r.removed = r.value
	}
	r.value, r.expired, r.outdated = value, false, nil
}

// newest returns the known value of the row or, if the row was removed, its last
// one.
func (r *row[T]) newest() *T {
	if r.value != nil {
		return r.value
	}
	return r.removed
}

// table holds the rows of one table of the store. A full read of a new era shows a
// copy that lacks the newest changes; their writers repeat them. Until they had time
// to, rows that are missing and rows that are older than the known ones do not
// change the known state.
type table[T any] struct {
	rows map[string]*row[T]
	// version is the position up to which all changes are known. Single rows may be
	// newer, because a full read takes several pages.
	version platform.Position
	loaded  bool
	// restoredAt is the position of the first full read of a new era; the rows of the copy
	// are not newer.
	restoredAt platform.Position
	// missingUntil and outdatedUntil are how long rows are kept that a restored
	// store lacks, or has in an older state.
	missingUntil, outdatedUntil time.Duration
	// unsettled is set while a row may be expired or outdated.
	unsettled bool
	// olderThan reports whether a value was written before the known one of the
	// same row, which may have been removed since; nil if that cannot be told. fromCopy
	// is set for a row that a restored store has from its copy.
	olderThan func(value, known *T, removed, fromCopy bool) bool
	// writeSpread returns the time over which the writers of a number of lost rows
	// spread their writes; nil if they write at once.
	writeSpread func(rows int) time.Duration
	// mayExpire reports whether a row that disappeared, also by a deletion, may
	// belong to a writer that is alive and could not renew it; nil if rows are lost
	// only when the store is restored.
	mayExpire func(now time.Duration, value *T) bool
	// onRemoved is called for each row that is removed; it may be nil.
	onRemoved func(now time.Duration, key string)
}

func newTable[T any](olderThan func(value, known *T, removed, fromCopy bool) bool) table[T] {
	return table[T]{rows: make(map[string]*row[T]), olderThan: olderThan}
}

// remove removes a known row.
func (t *table[T]) remove(now time.Duration, key string, r *row[T]) {
	r.set(nil)
	if t.onRemoved != nil {
		t.onRemoved(now, key)
	}
}

// serverOlderThan is the order of the registrations of one backend server. A copy may
// also contain the last state of a server that was removed since, and servers repeat
// earlier writes.
func serverOlderThan(value, known *steering.Server, removed, _ bool) bool {
	return value.OlderThan(known) || removed && !known.OlderThan(value)
}

// vmOlderThan is the order of the registrations of one VM, as far as it is known. A VM that
// was removed and registers again writes what it wrote before.
func vmOlderThan(value, known *steering.VM, removed, fromCopy bool) bool {
	return value.OlderThan(known) || removed && fromCopy && value.Incarnation == known.Incarnation
}

// apply applies one change and reports whether it changed the row. A change of
// another era than the table's is not used: the table must be read in full first.
func (t *table[T]) apply(now time.Duration, c RowChange[T]) bool {
	if t.loaded && c.Position.Era() != t.version.Era() {
		return false
	}
	t.version = max(t.version, c.Position)
	return t.applyRow(now, c)
}

// applyRow applies one change, or one row of a full read, to its row.
func (t *table[T]) applyRow(now time.Duration, c RowChange[T]) bool {
	r := t.rows[c.Key]
	if r == nil {
		r = &row[T]{}
		t.rows[c.Key] = r
	} else if c.Position <= r.version {
		return false
	}
	r.version = c.Position
	if c.Unreadable {
		return false
	}
	if t.isOutdated(now, r, c) {
		r.outdated, r.expired, t.unsettled = c.Value, false, true
		return false
	}
	switch {
	case c.Value != nil || r.value == nil:
		r.set(c.Value)
	case t.mayExpire != nil && t.mayExpire(now, r.value):
		r.expired, t.unsettled = true, true
	default:
		t.remove(now, c.Key, r)
	}
	return true
}

// isOutdated reports whether a value of a restored store is older than the known one.
func (t *table[T]) isOutdated(now time.Duration, r *row[T], c RowChange[T]) bool {
	if now >= t.outdatedUntil || t.olderThan == nil || c.Value == nil || r.newest() == nil {
		return false
	}
	return t.olderThan(c.Value, r.newest(), r.value == nil, c.Position <= t.restoredAt)
}

// load applies a full read that has all changes up to a position. It reports whether the
// read was used.
func (t *table[T]) load(now time.Duration, version platform.Position, rows []RowChange[T]) bool {
	if t.loaded && version < t.version {
		return false
	}
	if t.loaded && version.Era() > t.version.Era() {
		t.missingUntil = now + t.missingRowPeriod()
		t.outdatedUntil, t.restoredAt = now+OutdatedRowPeriod, version
	}
	t.version, t.loaded = version, true
	present := make(map[string]bool, len(rows))
	for _, c := range rows {
		present[c.Key] = true
		t.applyRow(now, c)
	}
	for key, r := range t.rows {
		if present[key] || r.value == nil || r.version > version {
			continue
		}
		r.version = version
		if t.mayReturn(now, r.value) {
			r.expired, t.unsettled = true, true
		} else {
			t.remove(now, key, r)
		}
	}
	return true
}

// mayReturn reports whether the writer of a row that a full read lacks may not have
// had the time to write it again.
func (t *table[T]) mayReturn(now time.Duration, value *T) bool {
	if t.mayExpire != nil {
		return t.mayExpire(now, value)
	}
	return now < t.missingUntil
}

// missingRowPeriod returns how long rows are kept that a restored store lacks.
func (t *table[T]) missingRowPeriod() time.Duration {
	if t.writeSpread == nil {
		return ExpiryGracePeriod
	}
	rows := 0
	for _, r := range t.rows {
		if r.value != nil {
			rows++
		}
	}
	return ExpiryGracePeriod + t.writeSpread(rows)
}

// postpone prolongs the periods that have not ended before a suspension of the given length,
// which ends now.
func (t *table[T]) postpone(now, suspended time.Duration) {
	for _, until := range []*time.Duration{&t.missingUntil, &t.outdatedUntil} {
		if *until > now-suspended {
			*until += suspended
		}
	}
}

// settle removes the rows that are still missing and adopts the values that are
// still older once their writers had the time to repeat their writes. It returns the
// number of rows that it changed.
func (t *table[T]) settle(now time.Duration) int {
	if !t.unsettled {
		return 0
	}
	t.unsettled = false
	count := 0
	for key, r := range t.rows {
		switch {
		case r.value != nil && r.expired && now >= t.missingUntil:
			t.remove(now, key, r)
		case r.outdated != nil && now >= t.outdatedUntil:
			r.set(r.outdated)
		default:
			t.unsettled = t.unsettled || r.expired || r.outdated != nil
			continue
		}
		count++
	}
	return count
}

// kept returns the number of rows that are missing in the store or older there.
func (t *table[T]) kept() (missing, outdated int) {
	for _, r := range t.rows {
		if r.value != nil && r.expired {
			missing++
		}
		if r.outdated != nil {
			outdated++
		}
	}
	return missing, outdated
}
