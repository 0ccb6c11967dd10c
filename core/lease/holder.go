package lease

import (
	"slices"
	"time"
)

// Holder is the side of the VM that holds the lease.
type Holder struct {
	self     ID
	epoch    uint64
	voters   Voters
	grants   map[ID]time.Time
	table    time.Time
	contact  time.Time
	until    time.Time
	released bool
	dirty    bool
	buffer   []time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(self ID) *Holder {
	return &Holder{self: self, grants: map[ID]time.Time{}}
}

// Enter moves to a later epoch. Grants of voters that remain count in the new
// epoch; a lease that was valid under the earlier epoch lasts to its end.
func (h *Holder) EnterEpoch(epoch uint64, voters Voters) {
	if epoch <= h.epoch {
		return
	}
	h.refresh()
	h.epoch, h.voters, h.dirty = epoch, voters, true
	for id := range h.grants {
		if !voters.Has(id) {
			delete(h.grants, id)
		}
	}
}

// Granted records a grant by a member for a heartbeat sent at the given time.
// A grant of a later epoch than the holder's is not recorded: it must not
// count in quorums of the holder's epoch.
func (h *Holder) RecordGrant(by ID, epoch uint64, sentAt time.Time) {
	if epoch > h.epoch || !h.voters.Has(by) || !sentAt.After(h.grants[by]) {
		return
	}
	h.grants[by], h.dirty = sentAt, true
}

// RecordTableGrant records a renewal of the lease row sent at the given time and
// conditional on the fleet row of the epoch.
func (h *Holder) RecordTableGrant(epoch uint64, sentAt time.Time) {
	if epoch > h.epoch || !sentAt.After(h.table) {
		return
	}
	h.table, h.dirty = sentAt, true
}

// Contact records that a member wrote the touch row or the fleet row at or
// after the given time.
func (h *Holder) RecordContact(at time.Time) {
	if at.After(h.contact) {
		h.contact = at
	}
}

// ContactAge returns the time since the last known contact.
func (h *Holder) ContactAge(now time.Time) time.Duration { return now.Sub(h.contact) }

// Release ends the lease for good.
func (h *Holder) Release() { h.released = true }

// Valid reports whether the lease is valid.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.ValidUntil()) }

// Until returns the end of the lease, or the zero time if there was none.
func (h *Holder) ValidUntil() time.Time {
	h.refresh()
	if h.released || h.contact.IsZero() {
		return time.Time{}
	}
	return earlier(h.until, h.contact.Add(TableContactTimeout))
}

// ValidUntilByMembers returns the end of the lease by the grants of members alone,
// in the current epoch.
func (h *Holder) ValidUntilByMembers() time.Time { return h.deadline(false) }

// GrantedAt returns the send time of the last heartbeat that the member
// granted.
func (h *Holder) GrantedAt(by ID) (time.Time, bool) {
	at, ok := h.grants[by]
	return at, ok
}

func (h *Holder) refresh() {
	if !h.dirty {
		return
	}
	h.dirty = false
	if d := h.deadline(true); d.After(h.until) {
		h.until = d
	}
}

// deadline returns the time up to which grants form a quorum. The VM's grant to
// itself ends like any other: it must not outlast the epoch by more than
// Duration.
func (h *Holder) deadline(withTable bool) time.Time {
	need := h.voters.Quorum()
	if !h.voters.Has(h.self) {
		return time.Time{}
	}
	ends := h.buffer[:0]
	for _, at := range h.grants {
		ends = append(ends, at.Add(GrantTTL))
	}
	if withTable && !h.table.IsZero() {
		for range h.voters.TableWeight() {
			ends = append(ends, h.table.Add(GrantTTL))
		}
	}
	h.buffer = ends
	if len(ends) < need {
		return time.Time{}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[need-1]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
