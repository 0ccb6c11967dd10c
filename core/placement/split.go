package placement

import (
	"math/rand/v2"

	"github.com/cassiawind/cassiawind/core/steering"
)

// TrafficSplitter divides the requests of a route among its services by smooth
// weighted round robin: after any number of requests, each service is within one
// request of its share.
type TrafficSplitter struct {
	services    []steering.WeightedService
	credits     []float64
	totalWeight float64
}

// NewTrafficSplitter returns a splitter that starts at phase, in [0, 1). VMs use
// different phases, so that VMs which start together do not all send their first
// request to the same service.
func NewTrafficSplitter(services []steering.WeightedService, phase float64) *TrafficSplitter {
	s := &TrafficSplitter{services: services, credits: make([]float64, len(services))}
	for _, p := range services {
		s.totalWeight += p.Weight
	}
	for i, p := range services {
		s.credits[i] = p.Weight * phase
	}
	return s
}

// Matches reports whether the splitter has exactly these services and weights.
func (s *TrafficSplitter) Matches(services []steering.WeightedService) bool {
	if len(services) != len(s.services) {
		return false
	}
	for i := range services {
		if services[i] != s.services[i] {
			return false
		}
	}
	return true
}

// Next returns the service of the next request.
func (s *TrafficSplitter) Next() string {
	best := 0
	for i, p := range s.services {
		s.credits[i] += p.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.totalWeight
	return s.services[best].Service
}

// SplitPhase returns the phase with which a VM starts the splitter of a route.
func SplitPhase(vm, route string) float64 { return fraction(mix(hashString(vm) ^ hashString(route))) }

// ObjectFraction maps the hash of an object to [0, 1). A request without an
// object gets a random value.
func ObjectFraction(object uint64) float64 {
	if object == 0 {
		return rand.Float64()
	}
	return fraction(mix(object + 1))
}
