// Package relay selects the VMs that send requests to backend servers on behalf of a VM
// that does not reach the servers itself.
//
// It handles the callers of VMs whose links to the backend servers are lost, up to all
// but a few VMs of the fleet. Requests go to the nearest region that has a usable VM,
// spread by the capacity of its VMs. A VM that refuses requests is left out for a time,
// so that other VMs without links cost one round trip a second and not one a request.
package relay

import (
	"math"
	"slices"
	"time"
)

const (
	// minUnusableWait is how long a VM is left out that cannot be connected to or has lost
	// its links to the backend servers as well. Each further time in a row doubles it, up
	// to maxUnusableWait.
	minUnusableWait = time.Second
	maxUnusableWait = 4 * time.Second
	// busyWait is how long a VM is left out that carries enough requests already or leaves.
	busyWait = 300 * time.Millisecond
	// provenTime is how long a VM that answered is preferred for requests that another one
	// refused.
	provenTime = 5 * time.Second
	// MaxTries is the number of VMs that are tried for one request.
	MaxTries = 3
	// MaxRegions is the number of regions whose VMs are considered for one request. In a
	// large fleet, a request cannot wait until all VMs have been looked at.
	MaxRegions = 3
)

// Outcome is the outcome of a request to a relay.
type Outcome int

// Outcomes of a request to a relay.
const (
	// Answered means that the relay sent a response of a backend server, or a rejection
	// that other relays would send as well.
	Answered Outcome = iota
	// Unreachable means that the relay could not be connected to.
	Unreachable
	// WithoutLinks means that the relay does not reach the backend servers either.
	WithoutLinks
	// Busy means that the relay takes no more requests.
	Busy
	// Lost means that the connection failed after the request was sent.
	Lost
)

// Candidate is a VM that may relay requests.
type Candidate struct {
	VM string
	// Weight grows with the capacity of the VM.
	Weight float64
}

// vmState is what is known of a VM from earlier requests.
type vmState struct {
	inFlight   int
	avoidUntil time.Duration
	// unusableWait is the newest wait because the VM was unusable, 0 after an answer.
	unusableWait time.Duration
	provenUntil  time.Duration
}

// Selector selects relays on behalf of one VM. It is not safe for concurrent use.
type Selector struct {
	states map[string]*vmState
	// random returns a number in [0, 1).
	random func() float64
}

// NewSelector returns a Selector that draws from random, which returns numbers in [0, 1).
func NewSelector(random func() float64) *Selector {
	return &Selector{states: make(map[string]*vmState), random: random}
}

// Select returns the relay for a request, or "" if there is none. Regions are the
// candidates of each region, the nearest one first. Tried are the VMs that the request was
// sent to before.
func (s *Selector) Select(now time.Duration, regions [][]Candidate, tried []string) string {
	if len(tried) >= MaxTries {
		return ""
	}
	for _, candidates := range regions[:min(len(regions), MaxRegions)] {
		usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
			state := s.states[c.VM]
			return slices.Contains(tried, c.VM) || state != nil && now < state.avoidUntil
		})
		if len(usable) > 0 {
			return s.selectFrom(now, usable, len(tried) > 0)
		}
	}
	return ""
}

// selectFrom returns the less loaded one of two random VMs, because VMs do not know what
// other VMs send. After a refusal, VMs that answered recently are preferred.
func (s *Selector) selectFrom(now time.Duration, usable []Candidate, refused bool) string {
	if refused {
		usable = s.preferProven(now, usable)
	}
	first, second := s.draw(usable), s.draw(usable)
	if s.load(second) < s.load(first) {
		return second.VM
	}
	return first.VM
}

// preferProven returns the candidates that answered recently, or all if none did.
func (s *Selector) preferProven(now time.Duration, candidates []Candidate) []Candidate {
	proven := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		state := s.states[c.VM]
		return state == nil || now >= state.provenUntil
	})
	if len(proven) == 0 {
		return candidates
	}
	return proven
}

// draw returns a random candidate with a probability in proportion to its capacity.
func (s *Selector) draw(candidates []Candidate) Candidate {
	var sum float64
	for _, c := range candidates {
		sum += c.capacity()
	}
	rest := s.random() * sum
	for _, c := range candidates {
		if rest -= c.capacity(); rest < 0 {
			return c
		}
	}
	return candidates[len(candidates)-1]
}

// capacity returns the capacity that a VM is assumed to have. As for the owners of
// accounts, it grows with the root of the weight, which is a product of two resources.
func (c Candidate) capacity() float64 { return math.Sqrt(max(c.Weight, math.SmallestNonzeroFloat32)) }

func (s *Selector) load(c Candidate) float64 {
	state := s.states[c.VM]
	if state == nil {
		return 0
	}
	return float64(state.inFlight) / c.capacity()
}

// Started records that a request was sent to a relay.
func (s *Selector) Started(vm string) {
	state := s.states[vm]
	if state == nil {
		state = &vmState{}
		s.states[vm] = state
	}
	state.inFlight++
}

// Finished records the outcome of a started request.
func (s *Selector) Finished(now time.Duration, vm string, outcome Outcome) {
	state := s.states[vm]
	if state == nil {
		return
	}
	state.inFlight--
	switch outcome {
	case Answered:
		state.unusableWait, state.provenUntil = 0, now+provenTime
	case Unreachable, Lost, WithoutLinks:
		state.unusableWait = min(max(2*state.unusableWait, minUnusableWait), maxUnusableWait)
		state.avoidUntil, state.provenUntil = now+state.unusableWait, 0
	case Busy:
		state.avoidUntil = now + busyWait
	}
}

// RetryAfter returns the time after which one of the candidates is used again; 0 if one
// may be used now or if there is none.
func (s *Selector) RetryAfter(now time.Duration, regions [][]Candidate) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, candidates := range regions[:min(len(regions), MaxRegions)] {
		for _, c := range candidates {
			state := s.states[c.VM]
			if state == nil {
				return 0
			}
			shortest = min(shortest, max(0, state.avoidUntil-now))
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}

// Forget removes the VMs that are not in the fleet any more.
func (s *Selector) Forget(inFleet func(vm string) bool) {
	for vm, state := range s.states {
		if state.inFlight == 0 && !inFleet(vm) {
			delete(s.states, vm)
		}
	}
}
