package placement

import (
	"math/rand/v2"

	"github.com/cassiawind/cassiawind/core/steering"
)

// Split divides the requests of a route among its parts by smooth weighted
// round robin: after any number of requests, each part is within one request
// of its share.
type TrafficSplitter struct {
	parts []steering.WeightedService
	due   []float64
	total float64
}

// NewTrafficSplitter returns a split that starts at phase, in [0, 1), so that VMs which
// start together do not all send their first request to the same part.
func NewTrafficSplitter(parts []steering.WeightedService, phase float64) *TrafficSplitter {
	s := &TrafficSplitter{parts: parts, due: make([]float64, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	for i, p := range parts {
		s.due[i] = p.Weight * phase
	}
	return s
}

// Same reports whether the split has these parts.
func (s *TrafficSplitter) Matches(parts []steering.WeightedService) bool {
	if len(parts) != len(s.parts) {
		return false
	}
	for i := range parts {
		if parts[i] != s.parts[i] {
			return false
		}
	}
	return true
}

// Next returns the service of the next request.
func (s *TrafficSplitter) Next() string {
	best := 0
	for i, p := range s.parts {
		s.due[i] += p.Weight
		if s.due[i] > s.due[best] {
			best = i
		}
	}
	s.due[best] -= s.total
	return s.parts[best].Service
}

// Phase returns where in its cycle the split of a route starts at a VM.
func SplitPhase(vm, route string) float64 { return unit(mix(hashString(vm) ^ hashString(route))) }

// Unit maps the hash of an object to [0, 1); requests without an object are
// drawn at random.
func ObjectFraction(object uint64) float64 {
	if object == 0 {
		return rand.Float64()
	}
	return unit(mix(object + 1))
}
