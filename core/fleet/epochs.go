package fleet

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// maxEpochHistory bounds the epochs kept. More epochs than this within
// lease.EvictionVoteDelay only delay an eviction.
const maxEpochHistory = 64

// epochRecord is what this VM knows about one epoch.
type epochRecord struct {
	epoch    uint64
	voters   lease.Voters
	previous lease.Voters
	// selfRemoved is the member that wrote the epoch to remove itself, or nil. It
	// stopped granting leases before it wrote the epoch.
	selfRemoved *lease.ID
	learnedAt   time.Time
	settled     bool
	settledAt   time.Time
}

// epochHistory holds the latest epochs that this VM has learned of, oldest first.
type epochHistory struct {
	records []epochRecord
}

func newEpochRecord(now time.Time, f *peerv1.Fleet) epochRecord {
	e := epochRecord{epoch: f.GetEpoch(), voters: lease.NewVoters(f.GetMembers()), learnedAt: now}
	e.previous = e.voters
	if f.GetJoined() != nil {
		e.previous = e.previous.Without(lease.IDOf(f.GetJoined()))
	}
	if f.GetRemoved() != nil {
		id := lease.IDOf(f.GetRemoved())
		e.previous = e.previous.With(id)
		if f.GetWriterVm() == id.VM {
			e.selfRemoved = &id
		}
	}
	return e
}

func (h *epochHistory) add(now time.Time, f *peerv1.Fleet) {
	h.records = append(h.records, newEpochRecord(now, f))
	if n := len(h.records); n > maxEpochHistory {
		h.records = append([]epochRecord(nil), h.records[n-maxEpochHistory/2:]...)
	}
}

func (h *epochHistory) latest() *epochRecord {
	if len(h.records) == 0 {
		return nil
	}
	return &h.records[len(h.records)-1]
}

// checkSettled reports whether the latest epoch is settled, which means that a
// quorum of its voters and a quorum of the preceding epoch's voters have entered
// it. The table counts as having entered the epoch because it stores it.
func (h *epochHistory) checkSettled(now time.Time, acked map[lease.ID]uint64) bool {
	e := h.latest()
	if e == nil {
		return false
	}
	if e.settled {
		return true
	}
	tally := lease.Tally{Members: map[lease.ID]struct{}{}, Table: true}
	for id, epoch := range acked {
		if epoch >= e.epoch {
			tally.Members[id] = struct{}{}
		}
	}
	if e.selfRemoved != nil {
		tally.Members[*e.selfRemoved] = struct{}{}
	}
	if e.voters.IsQuorum(tally) && e.previous.IsQuorum(tally) {
		e.settled, e.settledAt = true, now
	}
	return e.settled
}

// evictionVoterSets returns the voter sets of all epochs in which a lease may
// still be valid. An eviction needs a quorum of votes in each of them. The second
// result is false if this VM does not know one of the sets.
func (h *epochHistory) evictionVoterSets(now time.Time) ([]lease.Voters, bool) {
	e := h.latest()
	if e == nil {
		return nil, false
	}
	sets := []lease.Voters{e.voters}
	if !e.settled || now.Sub(e.settledAt) < lease.EvictionVoteDelay {
		sets = append(sets, e.previous)
	}
	for i := len(h.records) - 1; i >= 0; i-- {
		later := h.records[i]
		if now.Sub(later.learnedAt) >= lease.EvictionVoteDelay || later.epoch <= 2 {
			return sets, true
		}
		if i == 0 || h.records[i-1].epoch != later.epoch-1 {
			return nil, false
		}
		sets = append(sets, h.records[i-1].previous)
	}
	return sets, true
}

// quorumInAll reports whether the tally is a quorum of each set.
func quorumInAll(sets []lease.Voters, t lease.Tally) bool {
	for _, s := range sets {
		if !s.IsQuorum(t) {
			return false
		}
	}
	return true
}
