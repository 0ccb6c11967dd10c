package fleet

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// chainLimit bounds the epochs remembered. More epochs than this within
// lease.Promise only delay an eviction.
const chainLimit = 64

// epochEntry is what this VM knows of one epoch.
type epochEntry struct {
	epoch    uint64
	voters   lease.Voters
	previous lease.Voters
	// leaver is the member that the epoch removes at its own wish. It has
	// stopped granting before it wrote the epoch.
	leaver    *lease.ID
	learnedAt time.Time
	settled   bool
	settledAt time.Time
}

// chain is the sequence of epochs that this VM has learned of.
type chain struct {
	entries []epochEntry
}

func newEntry(now time.Time, f *peerv1.Fleet) epochEntry {
	e := epochEntry{epoch: f.GetEpoch(), voters: lease.NewVoters(f.GetMembers()), learnedAt: now}
	e.previous = e.voters
	if f.GetJoined() != nil {
		e.previous = e.previous.Without(lease.IDOf(f.GetJoined()))
	}
	if f.GetRemoved() != nil {
		id := lease.IDOf(f.GetRemoved())
		e.previous = e.previous.With(id)
		if f.GetWriterVm() == id.VM {
			e.leaver = &id
		}
	}
	return e
}

func (c *chain) learn(now time.Time, f *peerv1.Fleet) {
	c.entries = append(c.entries, newEntry(now, f))
	if n := len(c.entries); n > chainLimit {
		c.entries = append([]epochEntry(nil), c.entries[n-chainLimit/2:]...)
	}
}

func (c *chain) current() *epochEntry {
	if len(c.entries) == 0 {
		return nil
	}
	return &c.entries[len(c.entries)-1]
}

// settle checks whether the current epoch is settled: a quorum of it and of
// the preceding epoch has entered it. The table has, by storing it.
func (c *chain) settle(now time.Time, acked map[lease.ID]uint64) bool {
	e := c.current()
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
	if e.leaver != nil {
		tally.Members[*e.leaver] = struct{}{}
	}
	if e.voters.Quorate(tally) && e.previous.Quorate(tally) {
		e.settled, e.settledAt = true, now
	}
	return e.settled
}

// evictionSets returns the voter sets of which the votes for an eviction must
// each contain a quorum: those of all epochs in which a lease may still be
// valid. It returns false if one of them is not known to this VM.
func (c *chain) evictionSets(now time.Time) ([]lease.Voters, bool) {
	e := c.current()
	if e == nil {
		return nil, false
	}
	sets := []lease.Voters{e.voters}
	if !e.settled || now.Sub(e.settledAt) < lease.Promise {
		sets = append(sets, e.previous)
	}
	for i := len(c.entries) - 1; i >= 0; i-- {
		later := c.entries[i]
		if now.Sub(later.learnedAt) >= lease.Promise || later.epoch <= 2 {
			return sets, true
		}
		if i == 0 || c.entries[i-1].epoch != later.epoch-1 {
			return nil, false
		}
		sets = append(sets, c.entries[i-1].previous)
	}
	return sets, true
}

// quorateInAll reports whether the tally is a quorum of each set.
func quorateInAll(sets []lease.Voters, t lease.Tally) bool {
	for _, s := range sets {
		if !s.Quorate(t) {
			return false
		}
	}
	return true
}
