package membership

import (
	"math"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Intervals, timeouts and counts of the protocol.
const (
	// ProbeInterval is the time between two probes.
	ProbeInterval = 500 * time.Millisecond
	// directTimeout is the time after which a member is probed through others. A
	// round trip between regions takes 110 ms.
	directTimeout = 250 * time.Millisecond
	// probeTimeout is the time after which an unanswered probe makes a member
	// suspected.
	probeTimeout = ProbeInterval
	// indirectProbes is the number of members asked to probe another.
	indirectProbes = 3
	// SuspicionTimeout is the time in which a member can refute a suspicion.
	SuspicionTimeout = 2 * time.Second
	// retransmitFactor times the natural logarithm of the number of members is the
	// number of messages that carry an update.
	retransmitFactor = 3
	// maxUpdates bounds the updates in one message.
	maxUpdates = 6
	// deadMemberGracePeriod is how long the state of a dead member is kept, so that
	// late messages do not make it alive again.
	deadMemberGracePeriod = time.Minute
	// deadPingIntervals is the number of probe intervals after which dead peers are
	// pinged like seeds that have not answered. Otherwise, after a network
	// partition in which each side has declared the other dead, they would stay
	// dead to each other.
	deadPingIntervals = 5
	// introductionPeriod is the time for which a new member is informed of
	// others.
	introductionPeriod = 10 * time.Second
)

// State is the last known state of a member.
type State = peerv1.Liveness_State

// States of a member.
const (
	Alive   = peerv1.Liveness_STATE_ALIVE
	Suspect = peerv1.Liveness_STATE_SUSPECT
	Dead    = peerv1.Liveness_STATE_DEAD
	Leaving = peerv1.Liveness_STATE_LEAVING
)

// MemberState is the last known state of a peer.
type MemberState struct {
	Member *peerv1.Member
	State  State
	// Since is the time of the last change of State.
	Since time.Time
	// LastSeenAt is the time of the last message from the peer itself, zero if
	// none.
	LastSeenAt time.Time
}

// peer is a peer with its protocol state.
type peer struct {
	MemberState
	refutation uint64
	knownSince time.Time
	sendsLeft  int  // messages that still carry the update
	seed       bool // listed as a seed, no update received
}

// precedence orders states of equal incarnation and refutation number.
func precedence(s State) int {
	switch s {
	case Alive:
		return 1
	case Leaving:
		return 2
	case Suspect:
		return 3
	case Dead:
		return 4
	}
	return 0
}

// supersedes reports whether an update replaces the last known state of the peer.
func (p *peer) supersedes(u *peerv1.Liveness) bool {
	old, incarnation := p.Member.GetIncarnation(), u.GetMember().GetIncarnation()
	if incarnation != old {
		return incarnation > old
	}
	if p.seed {
		return true
	}
	if u.GetRefutation() != p.refutation {
		return u.GetRefutation() > p.refutation
	}
	return precedence(u.GetState()) > precedence(p.State)
}

func (p *peer) liveness() *peerv1.Liveness {
	return &peerv1.Liveness{Member: p.Member, State: p.State, Refutation: p.refutation}
}

// probeable reports whether the peer takes part in the probe rounds.
func (p *peer) probeable() bool { return !p.seed && p.State != Dead }

// retransmissions returns the number of messages that carry an update.
func retransmissions(members int) int {
	return int(math.Ceil(retransmitFactor * math.Log(float64(members+2))))
}
