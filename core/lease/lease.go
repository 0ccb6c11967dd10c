// Package lease decides whether a VM may serve. The voters are the member VMs
// and the table. A VM's lease is valid while unexpired grants of a quorum of
// voters are known to it; a voter that has voted for the VM's eviction grants
// it nothing further in that epoch.
//
// A quorum of an epoch counts grants that were given in that epoch or an
// earlier one, never in a later one. A voter that has entered an epoch thereby
// stops contributing to quorums of all earlier epochs.
package lease

import (
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Periods of the lease protocol.
const (
	// HeartbeatInterval is the time between heartbeats to one member.
	HeartbeatInterval = 250 * time.Millisecond
	// Duration is the validity of a grant, counted on the holder's clock from
	// the time at which the holder sent the heartbeat.
	//
	// It bounds how long the units of a killed VM are missing. With 3 s, a client
	// account whose callers all used the killed VM was refused for 4.3 s. Six
	// heartbeats fit into it.
	GrantTTL = 1500 * time.Millisecond
	// Promise is the time, on the granter's clock, in which a granter does not
	// vote for the holder's eviction. It exceeds Duration by 10%, so clocks
	// whose rates differ by less than that cannot make a grant outlive it.
	EvictionVoteDelay = 1650 * time.Millisecond
	// TableContactTimeout ends every lease at this age of the last write of any
	// known member to the table's touch row.
	TableContactTimeout = 20 * time.Minute
	// TakeoverTimeout is the time without any change of the fleet row and the
	// touch row after which the row may be taken over. It exceeds
	// TableContactTimeout by 10% for the same reason as Promise.
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
func (i ID) Less(o ID) bool {
	if i.VM != o.VM {
		return i.VM < o.VM
	}
	return i.Incarnation < o.Incarnation
}
