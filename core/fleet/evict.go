package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// suspectTimeout is the time without a heartbeat after which a member's lease
	// row is read.
	suspectTimeout = 600 * time.Millisecond
	// The first evictorsPerStep VMs prepare the eviction of a silent member at
	// once. As many more follow after each further evictorStepDelay.
	evictorsPerStep  = 2
	evictorStepDelay = time.Second
	// leaseRowReadInterval is the time between reads of the lease rows of
	// candidates.
	leaseRowReadInterval = 500 * time.Millisecond
	// voteRequestInterval is the time between requests for votes.
	voteRequestInterval = 250 * time.Millisecond
	// fleetRowReadValidity is the maximum age of the last read of the fleet row
	// at which votes are requested. While the store is down, votes cannot lead to
	// an eviction and would only deprive a returning member of its lease.
	fleetRowReadValidity = 3 * time.Second
	// selfRemovalTimeout is the time without a lease, with the table reachable,
	// after which a member removes itself in order to join as a new incarnation.
	// Otherwise a member could stay without a lease if some voters have voted
	// against it but the eviction has not completed.
	selfRemovalTimeout = 15 * time.Second
)

// evictionCandidate is a member whose eviction this VM prepares.
type evictionCandidate struct {
	leaseRow         lease.RowObservation
	votesRequested   bool // in the latest epoch
	votesRequestedAt time.Time
	votes            map[lease.ID]struct{}
}

// resetVotes drops the votes of earlier epochs, and the candidates that are no
// longer members.
func (m *Machine) resetVotes() {
	for id, c := range m.candidates {
		if !m.epochs.latest().voters.Has(id) {
			delete(m.candidates, id)
			continue
		}
		c.votesRequested, c.votesRequestedAt = false, time.Time{}
		clear(c.votes)
	}
}

// evictTick finds silent members and requests votes for their eviction.
func (m *Machine) evictTick(now time.Time) {
	if m.holder.Valid(now) {
		m.leaseValidAt = now
	}
	if m.phase != phaseMember {
		return
	}
	m.updateCandidates(now)
	if len(m.candidates) == 0 {
		return
	}
	m.readCandidateLeaseRows(now)
	if !m.holder.Valid(now) {
		return
	}
	for _, id := range sortedIDs(m.candidates) {
		m.requestVotes(now, id, m.candidates[id])
	}
	m.tryEvict(now)
}

// updateCandidates makes silent members candidates. A member whose heartbeats
// arrive again stays a candidate if votes were requested: some voters may have
// voted against it, so that it needs a new epoch or a new incarnation to hold a
// lease.
func (m *Machine) updateCandidates(now time.Time) {
	delay := time.Duration(-1)
	for id, at := range m.lastSeenAt {
		silent := id != m.id && now.Sub(at) >= suspectTimeout
		c := m.candidates[id]
		switch {
		case !silent && c != nil && !c.votesRequested:
			delete(m.candidates, id)
		case silent && c == nil:
			if delay < 0 {
				delay = m.evictorDelay(now)
			}
			if now.Sub(at) >= suspectTimeout+delay {
				m.candidates[id] = &evictionCandidate{votes: map[lease.ID]struct{}{}}
			}
		}
	}
}

// evictorDelay returns how long this VM waits before it prepares an eviction. It
// depends on the rank of this VM among the members that are not silent, so that
// not all members do so at the same time.
func (m *Machine) evictorDelay(now time.Time) time.Duration {
	rank := 0
	for id, at := range m.lastSeenAt {
		if id.Less(m.id) && now.Sub(at) < suspectTimeout {
			rank++
		}
	}
	return time.Duration(rank/evictorsPerStep) * evictorStepDelay
}

func (m *Machine) readCandidateLeaseRows(now time.Time) {
	t := &m.table
	if t.busy(opReadCandidates) || now.Sub(t.sentAt[opReadCandidates]) < leaseRowReadInterval {
		return
	}
	ids := sortedIDs(m.candidates)
	keys := []string{RowKey}
	for _, id := range ids {
		keys = append(keys, LeaseKey(id))
	}
	m.callTable(now, pendingOp{kind: opReadCandidates, candidates: ids}, Op{Reads: keys})
}

func (m *Machine) handleCandidatesRead(now time.Time, p pendingOp, r tableop.Result) {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		m.lastTableErr = r.Err
		return
	}
	for _, id := range p.candidates {
		if c := m.candidates[id]; c != nil {
			row, _ := r.Row(LeaseKey(id))
			c.leaseRow.Record(now, row.Version)
		}
	}
	m.applyFleetRow(now, r)
	if m.phase != phaseDone {
		m.tryEvict(now)
	}
}

// requestVotes asks the other members to vote for the eviction of a candidate.
func (m *Machine) requestVotes(now time.Time, id lease.ID, c *evictionCandidate) {
	silence := now.Sub(m.lastSeenAt[id])
	due := c.votesRequested || silence >= lease.EvictionVoteDelay
	if !due || now.Sub(c.votesRequestedAt) < voteRequestInterval || now.Sub(m.table.rowKnownAt) > fleetRowReadValidity {
		return
	}
	if !m.granter.Vote(now, id) {
		return
	}
	c.votesRequested, c.votesRequestedAt = true, now
	c.votes[m.id] = struct{}{}
	msg := &peerv1.Message{Kind: &peerv1.Message_EvictionVoteRequest{EvictionVoteRequest: &peerv1.EvictionVoteRequest{
		Epoch: m.latest.GetEpoch(), Vm: id.VM, Incarnation: id.Incarnation,
	}}}
	for _, member := range m.latest.GetMembers() {
		voter := lease.IDOf(member)
		if _, voted := c.votes[voter]; !voted && voter != id {
			m.send(voter.VM, msg)
		}
	}
}

func (m *Machine) receiveVoteRequest(now time.Time, from lease.ID, req *peerv1.EvictionVoteRequest) {
	if !m.isMember() || m.table.ownRemovalSent {
		return
	}
	if req.GetEpoch() != m.latest.GetEpoch() {
		if req.GetEpoch() < m.latest.GetEpoch() {
			m.announce(from.VM)
		}
		return
	}
	against := lease.ID{VM: req.GetVm(), Incarnation: req.GetIncarnation()}
	if against == m.id || !m.granter.Vote(now, against) {
		return
	}
	m.send(from.VM, &peerv1.Message{Kind: &peerv1.Message_EvictionVote{EvictionVote: &peerv1.EvictionVote{
		Epoch: req.GetEpoch(), Vm: req.GetVm(), Incarnation: req.GetIncarnation(),
	}}})
}

func (m *Machine) receiveVote(now time.Time, from lease.ID, vote *peerv1.EvictionVote) {
	c := m.candidates[lease.ID{VM: vote.GetVm(), Incarnation: vote.GetIncarnation()}]
	if c == nil || vote.GetEpoch() != m.latest.GetEpoch() {
		return
	}
	c.votes[from] = struct{}{}
	m.tryEvict(now)
}

// tryEvict removes the first candidate against which a quorum has voted.
func (m *Machine) tryEvict(now time.Time) {
	if m.phase != phaseMember || len(m.candidates) == 0 || m.table.rowVersion == 0 ||
		m.table.writing() || !m.settled(now) {
		return
	}
	sets, known := m.epochs.evictionVoterSets(now)
	if !known {
		return
	}
	for _, id := range sortedIDs(m.candidates) {
		c := m.candidates[id]
		version, tableVotes := c.leaseRow.Vote(now)
		if !quorumInAll(sets, lease.Tally{Members: c.votes, Table: tableVotes}) {
			continue
		}
		m.writeFleetRow(now, withRemoved(m.latest, id), leaseRowDeletion(id, version, tableVotes))
		return
	}
}

// dropDisprovedObservations drops the observations of lease rows, on which the
// table's votes rest, that a conflict has disproved. It drops all of them if the
// error does not name the conflicting rows.
func (m *Machine) dropDisprovedObservations(err error) {
	var conflict *platform.ConflictError
	rowsNamed := errors.As(err, &conflict)
	for id, c := range m.candidates {
		if !rowsNamed || slices.Contains(conflict.Keys, LeaseKey(id)) {
			c.leaseRow = lease.RowObservation{}
		}
	}
}

// leaseRowDeletion returns the write that deletes the lease row of an evicted
// member. If the table's vote counts, the write requires the row to be unchanged.
func leaseRowDeletion(id lease.ID, version uint64, tableVotes bool) platform.Write {
	w := platform.Write{Key: LeaseKey(id), Delete: true}
	if tableVotes {
		w.IfVersion = platform.IfVersion(version)
		w.Delete, w.CheckOnly = version != 0, version == 0
	}
	return w
}

// selfRemovalTick removes this VM from the fleet row if a planned stop was
// requested, or if it has had no lease for selfRemovalTimeout.
func (m *Machine) selfRemovalTick(now time.Time) {
	stuck := m.phase == phaseMember && now.Sub(m.leaseValidAt) >= selfRemovalTimeout &&
		now.Sub(m.table.rowKnownAt) < selfRemovalTimeout/2
	if stuck {
		m.phase = phaseRemoving
		m.holder.Release()
	}
	leaving := m.phase == phaseLeaving || m.phase == phaseRemoving
	if !leaving || m.table.rowVersion == 0 || m.table.writing() || !m.settled(now) {
		return
	}
	m.writeFleetRow(now, withRemoved(m.latest, m.id), platform.Write{Key: LeaseKey(m.id), Delete: true})
}

func sortedIDs(candidates map[lease.ID]*evictionCandidate) []lease.ID {
	return slices.SortedFunc(maps.Keys(candidates), func(a, b lease.ID) int {
		if a.Less(b) {
			return -1
		}
		return 1
	})
}
