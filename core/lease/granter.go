package lease

import "time"

// Granter is the voter's side: it grants leases and votes for evictions, and
// never does both for the same VM within Promise.
type Granter struct {
	voters  Voters
	epoch   uint64
	granted map[ID]time.Time
	voted   map[ID]struct{}
}

// NewGranter returns a granter that has entered no epoch and grants nothing.
func NewGranter() *Granter {
	return &Granter{granted: map[ID]time.Time{}, voted: map[ID]struct{}{}}
}

// Enter moves to a later epoch. Votes of earlier epochs end: the fleet row has
// changed since, so no eviction can be based on them.
func (g *Granter) EnterEpoch(now time.Time, epoch uint64, voters Voters) {
	if epoch <= g.epoch {
		return
	}
	g.epoch, g.voters = epoch, voters
	clear(g.voted)
	for id, at := range g.granted {
		if !voters.Has(id) && now.Sub(at) >= EvictionVoteDelay {
			delete(g.granted, id)
		}
	}
}

// Epoch returns the epoch under which grants and votes are given.
func (g *Granter) Epoch() uint64 { return g.epoch }

// Grant reports whether the VM is granted a lease now. It is refused to VMs
// that are not members and to those voted against in this epoch.
func (g *Granter) Grant(now time.Time, to ID) bool {
	if _, against := g.voted[to]; against || !g.voters.Has(to) {
		return false
	}
	g.granted[to] = now
	return true
}

// Vote reports whether this voter votes for the eviction of the member. It
// does so only if Promise has passed since its last grant to the member.
func (g *Granter) Vote(now time.Time, against ID) bool {
	if !g.voters.Has(against) {
		return false
	}
	if at, ok := g.granted[against]; ok && now.Sub(at) < EvictionVoteDelay {
		return false
	}
	g.voted[against] = struct{}{}
	return true
}

// Observation is the table's vote on a member: its lease row is unchanged.
type RowObservation struct {
	known   bool
	version uint64
	since   time.Time
}

// Seen records the version of the lease row (0: no row) that a read returned
// at the given time.
func (o *RowObservation) Record(now time.Time, version uint64) {
	if o.known && o.version == version {
		return
	}
	*o = RowObservation{known: true, version: version, since: now}
}

// Vote reports whether the row has been unchanged for Promise, and its
// version. The eviction must be conditional on that version.
func (o *RowObservation) Vote(now time.Time) (version uint64, ok bool) {
	return o.version, o.known && now.Sub(o.since) >= EvictionVoteDelay
}
