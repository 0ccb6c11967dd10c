package lease

import "time"

// Granter is the voter's side of the protocol. It grants leases and votes for
// evictions, and never does both for the same VM within EvictionVoteDelay.
type Granter struct {
	voters       Voters
	epoch        uint64
	grantedAt    map[ID]time.Time
	votedAgainst map[ID]struct{}
}

// NewGranter returns a granter that has not entered an epoch yet and grants
// nothing.
func NewGranter() *Granter {
	return &Granter{grantedAt: map[ID]time.Time{}, votedAgainst: map[ID]struct{}{}}
}

// EnterEpoch moves to a later epoch. Votes of earlier epochs end: the fleet
// row has changed since, so that no eviction can be based on them.
func (g *Granter) EnterEpoch(now time.Time, epoch uint64, voters Voters) {
	if epoch <= g.epoch {
		return
	}
	g.epoch, g.voters = epoch, voters
	clear(g.votedAgainst)
	for id, grantedAt := range g.grantedAt {
		if !voters.Has(id) && now.Sub(grantedAt) >= EvictionVoteDelay {
			delete(g.grantedAt, id)
		}
	}
}

// Epoch returns the epoch in which grants and votes are given.
func (g *Granter) Epoch() uint64 { return g.epoch }

// Grant reports whether the VM is granted a lease now. VMs that are not
// members, and those voted against in this epoch, get none.
func (g *Granter) Grant(now time.Time, to ID) bool {
	if _, votedAgainst := g.votedAgainst[to]; votedAgainst || !g.voters.Has(to) {
		return false
	}
	g.grantedAt[to] = now
	return true
}

// Vote reports whether this voter votes for the eviction of the member. It
// does so only if EvictionVoteDelay has passed since its last grant to the
// member.
func (g *Granter) Vote(now time.Time, against ID) bool {
	if !g.voters.Has(against) {
		return false
	}
	if at, ok := g.grantedAt[against]; ok && now.Sub(at) < EvictionVoteDelay {
		return false
	}
	g.votedAgainst[against] = struct{}{}
	return true
}

// RowObservation derives the table's vote on a member: the table votes for
// the eviction if the member's lease row does not change.
type RowObservation struct {
	read           bool
	version        uint64
	unchangedSince time.Time
}

// Record records the version of the lease row (0: no row) that a read at the
// given time returned.
func (o *RowObservation) Record(now time.Time, version uint64) {
	if o.read && o.version == version {
		return
	}
	*o = RowObservation{read: true, version: version, unchangedSince: now}
}

// Vote reports whether the row has not changed for EvictionVoteDelay, and
// returns its version. The eviction must be conditional on that version.
func (o *RowObservation) Vote(now time.Time) (version uint64, ok bool) {
	return o.version, o.read && now.Sub(o.unchangedSince) >= EvictionVoteDelay
}
