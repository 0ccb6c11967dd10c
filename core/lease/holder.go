package lease

import (
	"slices"
	"time"
)

// Holder is the lease holder's side of the protocol.
type Holder struct {
	self           ID
	epoch          uint64
	voters         Voters
	grantedAt      map[ID]time.Time
	tableGrantedAt time.Time
	lastContact    time.Time
	validUntil     time.Time
	released       bool
	stale          bool        // whether validUntil must be computed again
	buffer         []time.Time // reused by quorumUntil
}

// NewHolder returns a holder without a lease.
func NewHolder(self ID) *Holder {
	return &Holder{self: self, grantedAt: map[ID]time.Time{}}
}

// EnterEpoch moves to a later epoch. Grants of voters that remain count in
// the new epoch. A lease that was valid in the earlier epoch lasts to its
// end.
func (h *Holder) EnterEpoch(epoch uint64, voters Voters) {
	if epoch <= h.epoch {
		return
	}
	h.refresh()
	h.epoch, h.voters, h.stale = epoch, voters, true
	for id := range h.grantedAt {
		if !voters.Has(id) {
			delete(h.grantedAt, id)
		}
	}
}

// RecordGrant records a member's grant for a heartbeat sent at the given
// time. A grant of a later epoch than the holder's is ignored, since it must
// not count in quorums of the holder's epoch.
func (h *Holder) RecordGrant(by ID, epoch uint64, sentAt time.Time) {
	if epoch > h.epoch || !h.voters.Has(by) || !sentAt.After(h.grantedAt[by]) {
		return
	}
	h.grantedAt[by], h.stale = sentAt, true
}

// RecordTableGrant records a renewal of the lease row that was sent at the
// given time and was conditional on the fleet row of the epoch.
func (h *Holder) RecordTableGrant(epoch uint64, sentAt time.Time) {
	if epoch > h.epoch || !sentAt.After(h.tableGrantedAt) {
		return
	}
	h.tableGrantedAt, h.stale = sentAt, true
}

// RecordContact records that a member wrote the touch row or the fleet row at
// the given time or later.
func (h *Holder) RecordContact(at time.Time) {
	if at.After(h.lastContact) {
		h.lastContact = at
	}
}

// ContactAge returns the time since the last contact that RecordContact recorded.
func (h *Holder) ContactAge(now time.Time) time.Duration { return now.Sub(h.lastContact) }

// Release ends the lease. The holder cannot get another one.
func (h *Holder) Release() { h.released = true }

// Valid reports whether the lease is valid.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.ValidUntil()) }

// ValidUntil returns the end of the lease, or the zero time if there was
// none.
func (h *Holder) ValidUntil() time.Time {
	h.refresh()
	if h.released || h.lastContact.IsZero() {
		return time.Time{}
	}
	return earlier(h.validUntil, h.lastContact.Add(TableContactTimeout))
}

// ValidUntilByMembers returns the end of the lease by the grants of members
// alone, in the current epoch.
func (h *Holder) ValidUntilByMembers() time.Time { return h.quorumUntil(false) }

// GrantedAt returns the time at which the last heartbeat that the member
// granted was sent.
func (h *Holder) GrantedAt(by ID) (time.Time, bool) {
	at, ok := h.grantedAt[by]
	return at, ok
}

func (h *Holder) refresh() {
	if !h.stale {
		return
	}
	h.stale = false
	if d := h.quorumUntil(true); d.After(h.validUntil) {
		h.validUntil = d
	}
}

// quorumUntil returns the time up to which the grants form a quorum. The VM's
// grant to itself ends like any other: it must not outlast the epoch by more
// than GrantTTL.
func (h *Holder) quorumUntil(withTable bool) time.Time {
	quorum := h.voters.Quorum()
	if !h.voters.Has(h.self) {
		return time.Time{}
	}
	ends := h.buffer[:0]
	for _, at := range h.grantedAt {
		ends = append(ends, at.Add(GrantTTL))
	}
	if withTable && !h.tableGrantedAt.IsZero() {
		for range h.voters.TableWeight() {
			ends = append(ends, h.tableGrantedAt.Add(GrantTTL))
		}
	}
	h.buffer = ends
	if len(ends) < quorum {
		return time.Time{}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[quorum-1]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
