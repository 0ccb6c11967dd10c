package fleet

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
)

// Basis is what a lease rests on: the grants of members alone, or also the
// table's.
type Basis string

// Values of Basis.
const (
	BasisNone    Basis = "none"
	BasisMembers Basis = "members"
	BasisTable   Basis = "table"
)

// State is the state of this incarnation as shown to operators.
type State string

// Values of State.
const (
	StateJoining  State = "joining"
	StateMember   State = "member"
	StateLeaving  State = "leaving"
	StateRemoving State = "removing itself"
	StateDone     State = "done"
)

// MemberSnapshot is what this VM knows about one member.
type MemberSnapshot struct {
	VM            string        `json:"vm"`
	Incarnation   uint64        `json:"incarnation"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failure_domain"`
	Epoch         uint64        `json:"epoch"`     // latest epoch that it is known to have entered
	Granted       bool          `json:"granted"`   // whether this VM holds a grant of the member
	GrantAge      time.Duration `json:"grant_age"` // time since this VM sent the heartbeat that was granted
	Silence       time.Duration `json:"silence"`   // time since its last heartbeat
	Votes         int           `json:"votes"`     // votes for its eviction known to this VM
}

// Snapshot is the state of the machine as shown to operators.
type Snapshot struct {
	State           State            `json:"state"`
	Epoch           uint64           `json:"epoch"`
	Settled         bool             `json:"settled"` // whether the next epoch may be written
	Members         []MemberSnapshot `json:"members"`
	LeaseValid      bool             `json:"lease_valid"`
	LeaseRemaining  time.Duration    `json:"lease_remaining"`
	Basis           Basis            `json:"basis"`
	TableContactAge time.Duration    `json:"table_contact_age"` // since the last known write to the table by any member
	LastTableError  error            `json:"-"`
}

// Snapshot returns the state shown to operators.
func (m *Machine) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		State: m.state(), Epoch: m.latest.GetEpoch(), Basis: m.basis(now),
		LeaseValid: m.LeaseValid(now), LastTableError: m.lastTableErr,
	}
	if s.LeaseValid {
		s.LeaseRemaining = m.LeaseUntil().Sub(now)
	}
	if e := m.epochs.latest(); e != nil {
		s.Settled = e.settled
	}
	if !m.isMember() {
		return s
	}
	s.TableContactAge = m.holder.ContactAge(now)
	for _, member := range m.latest.GetMembers() {
		id := lease.IDOf(member)
		ms := MemberSnapshot{
			VM: id.VM, Incarnation: id.Incarnation, Region: member.GetRegion(),
			FailureDomain: member.GetFailureDomain(), Epoch: m.ackedEpochs[id],
		}
		if at, ok := m.holder.GrantedAt(id); ok {
			ms.Granted, ms.GrantAge = true, now.Sub(at)
		}
		if id != m.id {
			ms.Silence = now.Sub(m.lastSeenAt[id])
		}
		if c := m.candidates[id]; c != nil {
			ms.Votes = len(c.votes)
		}
		s.Members = append(s.Members, ms)
	}
	return s
}

func (m *Machine) state() State {
	states := map[phase]State{
		phaseJoining: StateJoining, phaseMember: StateMember, phaseLeaving: StateLeaving,
		phaseRemoving: StateRemoving, phaseDone: StateDone,
	}
	return states[m.phase]
}

func (m *Machine) basis(now time.Time) Basis {
	switch {
	case !m.LeaseValid(now):
		return BasisNone
	case now.Before(m.holder.ValidUntilByMembers()):
		return BasisMembers
	}
	return BasisTable
}
