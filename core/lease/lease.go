// Package lease decides whether a VM may serve. The voters are the member VMs
// and the table. A VM's lease is valid while the VM knows of unexpired grants
// by a quorum of the voters. A voter that has voted for the eviction of a VM
// grants it nothing more in that epoch.
//
// A quorum of an epoch counts grants that were given in that epoch or an
// earlier one, never in a later one. A voter that has entered an epoch
// therefore no longer contributes to quorums of earlier epochs.
package lease

import (
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Intervals and timeouts of the lease protocol.
const (
	// HeartbeatInterval is the time between two heartbeats to the same member.
	HeartbeatInterval = 250 * time.Millisecond
	// GrantTTL is the validity of a grant, counted on the holder's clock from
	// the time at which the holder sent the heartbeat.
	//
	// It bounds how long the units of a killed VM are missing. With 3 s, the
	// requests of a client account whose callers all used the killed VM were
	// refused for 4.3 s. Six heartbeat intervals fit into it.
	GrantTTL = 1500 * time.Millisecond
	// EvictionVoteDelay is how long a granter does not vote for the eviction of
	// a holder after its last grant to that holder, by the granter's clock. It
	// exceeds GrantTTL by 10%, so that the grant has expired before the vote if
	// the clock rates differ by less than that.
	EvictionVoteDelay = 1650 * time.Millisecond
	// TableContactTimeout bounds the age of the last known write of any member
	// to the table's touch row. At this age, every lease ends.
	TableContactTimeout = 20 * time.Minute
	// TakeoverTimeout is the time without any change of the fleet row and the
	// touch row after which the fleet row may be taken over. It exceeds
	// TableContactTimeout by 10% for the same reason as EvictionVoteDelay
	// exceeds GrantTTL.
	TakeoverTimeout = 22 * time.Minute
)

// ID identifies one incarnation of a VM.
type ID struct {
	VM          string
	Incarnation uint64
}

// IDOf returns the ID of a member.
func IDOf(m *peerv1.Member) ID {
	return ID{VM: m.GetVm(), Incarnation: m.GetIncarnation()}
}

// Less orders IDs by VM, then by incarnation.
func (i ID) Less(other ID) bool {
	if i.VM != other.VM {
		return i.VM < other.VM
	}
	return i.Incarnation < other.Incarnation
}
