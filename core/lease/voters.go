package lease

import (
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Voters is the voter set of one epoch. Each member has weight 1; the table
// has the weight TableWeight.
type Voters struct {
	members map[ID]struct{}
}

// NewVoters returns the voter set of the members.
func NewVoters(members []*peerv1.Member) Voters {
	v := Voters{members: make(map[ID]struct{}, len(members))}
	for _, m := range members {
		v.members[IDOf(m)] = struct{}{}
	}
	return v
}

// Size returns the number of members.
func (v Voters) Size() int { return len(v.members) }

// Has reports whether the VM is a member.
func (v Voters) Has(id ID) bool {
	_, ok := v.members[id]
	return ok
}

// With returns a copy of the set with a member added.
func (v Voters) With(id ID) Voters {
	c := v.clone()
	c.members[id] = struct{}{}
	return c
}

// Without returns a copy of the set with a member removed.
func (v Voters) Without(id ID) Voters {
	c := v.clone()
	delete(c.members, id)
	return c
}

func (v Voters) clone() Voters {
	c := Voters{members: make(map[ID]struct{}, len(v.members)+1)}
	for id := range v.members {
		c.members[id] = struct{}{}
	}
	return c
}

// TableWeight returns the weight of the table: 1 for an even number of
// members, 2 for an odd one, and 0 for a single member.
//
// The table breaks ties. A larger weight would make it indispensable: with
// the weight floor(n/2), the failure of the region that also holds the table
// left 7 of 11 VMs without a quorum of 9. With the present weight, 7 of 11
// and 6 of 10 members are a quorum without the table, and 5 of 11, 5 of 10
// and 2 of 4 are one with it.
func (v Voters) TableWeight() int {
	switch n := len(v.members); {
	case n < 2:
		return 0
	case n%2 == 0:
		return 1
	default:
		return 2
	}
}

// Total returns the weight of all voters.
func (v Voters) Total() int { return len(v.members) + v.TableWeight() }

// Quorum returns the smallest weight that is a strict majority. It is 0 for
// an empty set, for which no lease can be held.
func (v Voters) Quorum() int {
	if len(v.members) == 0 {
		return 0
	}
	return v.Total()/2 + 1
}

// Tally is the set of voters that agree.
type Tally struct {
	Members map[ID]struct{}
	Table   bool
}

// IsQuorum reports whether the tally is a quorum of the voter set. Members of
// the tally that are not in the voter set do not count.
func (v Voters) IsQuorum(t Tally) bool {
	weight := 0
	if t.Table {
		weight += v.TableWeight()
	}
	for id := range t.Members {
		if v.Has(id) {
			weight++
		}
	}
	return weight >= v.Quorum()
}
