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
	// suspectAfter is the silence after which a member's lease row is watched.
	suspectAfter = 600 * time.Millisecond
	// evictorsAtOnce live members watch a silent member at the same time, the
	// next ones evictorStep later.
	evictorsAtOnce = 2
	evictorStep    = time.Second
	// watchInterval is the time between reads of the lease rows of candidates.
	watchInterval = 500 * time.Millisecond
	// askInterval is the time between requests for votes.
	askInterval = 250 * time.Millisecond
	// tableFresh is the age of the last read of the fleet row up to which
	// votes are asked for. Votes that cannot lead to an eviction because the
	// store is down would only deprive a returning member of its lease.
	tableFresh = 3 * time.Second
	// removeAfter is the time without a lease, with the table reachable, after
	// which a member removes itself to join as a new incarnation. It frees a
	// member that some voters have voted against without evicting it.
	removeAfter = 15 * time.Second
)

// candidate is a member whose eviction this VM prepares.
type candidate struct {
	row     lease.Observation
	asked   bool // votes were asked for in the current epoch
	askedAt time.Time
	votes   map[lease.ID]struct{}
}

// resetVotes drops votes of earlier epochs.
func (m *Machine) resetVotes() {
	for id, c := range m.candidates {
		if !m.chain.current().voters.Has(id) {
			delete(m.candidates, id)
			continue
		}
		c.asked, c.askedAt = false, time.Time{}
		clear(c.votes)
	}
}

// evictTick finds silent members and asks for votes against them.
func (m *Machine) evictTick(now time.Time) {
	if m.holder.Valid(now) {
		m.validAt = now
	}
	if m.phase != phaseMember {
		return
	}
	m.updateCandidates(now)
	if len(m.candidates) == 0 {
		return
	}
	m.watchCandidates(now)
	if !m.holder.Valid(now) {
		return
	}
	for _, id := range sortedIDs(m.candidates) {
		m.askVotes(now, id, m.candidates[id])
	}
	m.tryEvict(now)
}

// updateCandidates keeps as candidates the members that are silent, and those
// that voters may have voted against: they need a new epoch or incarnation.
func (m *Machine) updateCandidates(now time.Time) {
	delay := time.Duration(-1)
	for id, at := range m.heard {
		silent := id != m.id && now.Sub(at) >= suspectAfter
		c := m.candidates[id]
		switch {
		case !silent && c != nil && !c.asked:
			delete(m.candidates, id)
		case silent && c == nil:
			if delay < 0 {
				delay = m.evictorDelay(now)
			}
			if now.Sub(at) >= suspectAfter+delay {
				m.candidates[id] = &candidate{votes: map[lease.ID]struct{}{}}
			}
		}
	}
}

// evictorDelay staggers the members that could evict, by their rank among
// those heard lately.
func (m *Machine) evictorDelay(now time.Time) time.Duration {
	rank := 0
	for id, at := range m.heard {
		if id.Less(m.id) && now.Sub(at) < suspectAfter {
			rank++
		}
	}
	return time.Duration(rank/evictorsAtOnce) * evictorStep
}

func (m *Machine) watchCandidates(now time.Time) {
	t := &m.table
	if t.busy(opReadCandidates) || now.Sub(t.sentAt[opReadCandidates]) < watchInterval {
		return
	}
	ids := sortedIDs(m.candidates)
	keys := []string{RowKey}
	for _, id := range ids {
		keys = append(keys, LeaseKey(id))
	}
	m.request(now, pendingOp{kind: opReadCandidates, keys: ids}, Op{Reads: keys})
}

func (m *Machine) candidatesRead(now time.Time, p pendingOp, r tableop.Result) {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		m.lastErr = r.Err
		return
	}
	for _, id := range p.keys {
		if c := m.candidates[id]; c != nil {
			row, _ := r.Row(LeaseKey(id))
			c.row.Seen(now, row.Version)
		}
	}
	m.takeRow(now, r)
	if m.phase != phaseDone {
		m.tryEvict(now)
	}
}

// askVotes asks the other members to vote against a candidate.
func (m *Machine) askVotes(now time.Time, id lease.ID, c *candidate) {
	silence := now.Sub(m.heard[id])
	due := c.asked || silence >= lease.Promise
	if !due || now.Sub(c.askedAt) < askInterval || now.Sub(m.table.reachedAt) > tableFresh {
		return
	}
	if !m.granter.Vote(now, id) {
		return
	}
	c.asked, c.askedAt = true, now
	c.votes[m.id] = struct{}{}
	msg := &peerv1.Message{Kind: &peerv1.Message_EvictionVoteRequest{EvictionVoteRequest: &peerv1.EvictionVoteRequest{
		Epoch: m.current.GetEpoch(), Vm: id.VM, Incarnation: id.Incarnation,
	}}}
	for _, member := range m.current.GetMembers() {
		voter := lease.IDOf(member)
		if _, voted := c.votes[voter]; !voted && voter != id {
			m.send(voter.VM, msg)
		}
	}
}

func (m *Machine) receiveVoteRequest(now time.Time, from lease.ID, req *peerv1.EvictionVoteRequest) {
	if !m.isMember() || m.table.removalInDoubt {
		return
	}
	if req.GetEpoch() != m.current.GetEpoch() {
		if req.GetEpoch() < m.current.GetEpoch() {
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
	if c == nil || vote.GetEpoch() != m.current.GetEpoch() {
		return
	}
	c.votes[from] = struct{}{}
	m.tryEvict(now)
}

// tryEvict removes a candidate against which a quorum has voted.
func (m *Machine) tryEvict(now time.Time) {
	if m.phase != phaseMember || len(m.candidates) == 0 || m.table.rowVersion == 0 ||
		m.table.writing() || !m.settled(now) {
		return
	}
	sets, known := m.chain.evictionSets(now)
	if !known {
		return
	}
	for _, id := range sortedIDs(m.candidates) {
		c := m.candidates[id]
		version, tableVotes := c.row.Vote(now)
		if !quorateInAll(sets, lease.Tally{Members: c.votes, Table: tableVotes}) {
			continue
		}
		m.writeRow(now, withRemoved(m.current, id), leaseRowRemoval(id, version, tableVotes))
		return
	}
}

// forgetObservations drops the table's votes that a conflict has disproved, all
// of them if the error does not name the rows.
func (m *Machine) forgetObservations(err error) {
	var conflict *platform.ConflictError
	named := errors.As(err, &conflict)
	for id, c := range m.candidates {
		if !named || slices.Contains(conflict.Keys, LeaseKey(id)) {
			c.row = lease.Observation{}
		}
	}
}

// leaseRowRemoval deletes the lease row of an evicted member. With the table's
// vote it is conditional on the row being unchanged.
func leaseRowRemoval(id lease.ID, version uint64, tableVotes bool) platform.Write {
	w := platform.Write{Key: LeaseKey(id), Delete: true}
	if tableVotes {
		w.IfVersion = platform.IfVersion(version)
		w.Delete, w.CheckOnly = version != 0, version == 0
	}
	return w
}

// removeTick removes this VM from the fleet row if it is to leave, or if it
// has had no lease for a long time.
func (m *Machine) removeTick(now time.Time) {
	stuck := m.phase == phaseMember && now.Sub(m.validAt) >= removeAfter &&
		now.Sub(m.table.reachedAt) < removeAfter/2
	if stuck {
		m.phase = phaseRemoving
		m.holder.Release()
	}
	leaving := m.phase == phaseLeaving || m.phase == phaseRemoving
	if !leaving || m.table.rowVersion == 0 || m.table.writing() || !m.settled(now) {
		return
	}
	m.writeRow(now, withRemoved(m.current, m.id), platform.Write{Key: LeaseKey(m.id), Delete: true})
}

func sortedIDs(candidates map[lease.ID]*candidate) []lease.ID {
	return slices.SortedFunc(maps.Keys(candidates), func(a, b lease.ID) int {
		if a.Less(b) {
			return -1
		}
		return 1
	})
}
