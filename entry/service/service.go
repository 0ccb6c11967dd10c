// Package service runs the admission scheduler and the backend server choice of
// one service, and polls the health of its backend servers.
package service

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/core/admission"
	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	// expireInterval is the resolution of queue time-outs.
	expireInterval = 20 * time.Millisecond
)

// Ticket is an admitted request.
type Ticket struct {
	id uint64
}

// Service is safe for concurrent use.
type Service struct {
	name string

	mu       sync.Mutex
	sched    *admission.Scheduler
	balancer *balance.Balancer
	waiting  map[uint64]chan result
	nextID   uint64
	inFlight int
	slots    int
	observed map[string]*observation
	servers  []balance.Server
	// regions are those with a backend server that is not drained.
	regions map[string]bool
	share   Share
}

type result struct {
	admitted   bool
	retryAfter time.Duration
}

// New returns a service without backend servers.
func New(name string, seed uint64) *Service {
	return &Service{
		name:     name,
		sched:    admission.New(admission.Config{Service: name}),
		balancer: balance.New(balance.Config{Service: name}, rand.New(rand.NewPCG(seed, 1))),
		waiting:  map[uint64]chan result{},
		observed: map[string]*observation{},
	}
}

// Configure sets the backend servers from a policy and the number of entry VMs.
func (s *Service) Configure(now time.Time, p *policy.Policy, entryVMs int) {
	declared := p.Services[s.name]
	var servers []balance.Server
	if declared != nil {
		for i := range declared.BackendServers {
			b := &declared.BackendServers[i]
			servers = append(servers, balance.Server{
				Name: b.Name, Address: b.Address, Region: b.Region, FailureDomain: b.FailureDomain,
				Slots: b.Slots, Connections: b.Connections, Draining: p.ServerDrained(b),
			})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	s.regions = map[string]bool{}
	before := s.observed
	s.observed = make(map[string]*observation, len(servers))
	for _, b := range servers {
		s.observed[b.Name] = before[b.Name]
		if s.observed[b.Name] == nil {
			s.observed[b.Name] = &observation{}
		}
		if !b.Draining {
			s.regions[b.Region] = true
		}
	}
	s.balancer.SetServers(now, servers, max(1, entryVMs))
	s.updateSlots(now)
}

// Share is what a VM knows of the demand for a service's slots. A VM sends its
// requests to its own region first, so that the slots of a region are divided
// between the VMs of the region.
type Share struct {
	// Region is this VM's region, or "" if the service has no backend server
	// in it.
	Region string
	// VMs is the number of VMs that divide the slots, this one included.
	VMs int
	// Others is the number of slots that the other VMs' requests would use.
	OthersDemand float64
}

// Demand returns the number of slots that the requests offered here would use.
func (s *Service) Demand(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Demand(now)
}

// SetShare updates this VM's part of the slots.
func (s *Service) SetShare(now time.Time, share Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.updateSlots(now)
}

// updateSlots needs mu.
func (s *Service) updateSlots(now time.Time) {
	total := 0
	for _, b := range s.servers {
		if b.Draining || s.observed[b.Name].State == stateLeaving {
			continue
		}
		if s.share.Region == "" || b.Region == s.share.Region {
			total += b.Slots
		}
	}
	own := s.sched.Demand(now)
	s.slots = admission.Part(total, max(1, s.share.VMs), own, own+s.share.OthersDemand)
	s.sched.SetSlots(now, s.slots)
	s.wake(s.sched.Admit(now))
}

// Admit waits until the scheduler admits the request or gives up on it.
func (s *Service) Admit(ctx context.Context, now time.Time, account *policy.Account, class admission.Class, deadline time.Time) (Ticket, error) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	decision := s.sched.Offer(now, admission.Request{
		ID: id, Account: account.Name, Weight: account.Weight, Class: class, Deadline: deadline,
	})
	s.displace(decision.Displaced)
	switch decision.Verdict {
	case admission.Admitted:
		s.inFlight++
		s.mu.Unlock()
		return Ticket{id}, nil
	case admission.Rejected:
		s.mu.Unlock()
		return Ticket{}, full(decision.RetryAfter)
	}
	ch := make(chan result, 1)
	s.waiting[id] = ch
	s.mu.Unlock()
	select {
	case r := <-ch:
		if !r.admitted {
			return Ticket{}, full(r.retryAfter)
		}
		return Ticket{id}, nil
	case <-ctx.Done():
		s.cancel(id, ch)
		return Ticket{}, ctx.Err()
	}
}

func full(retryAfter time.Duration) error {
	return problem.New(problem.CodeServiceAtCapacity, 503, "the service has no free slot").WithRetryAfter(max(retryAfter, time.Second))
}

// cancel removes a waiting request. It may have been admitted or given up
// meanwhile; the result is then in its channel.
func (s *Service) cancel(id uint64, ch <-chan result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	select {
	case r := <-ch:
		if r.admitted {
			s.inFlight--
		}
	default:
	}
	s.wake(s.sched.Cancel(time.Now(), id))
}

// Release ends an admitted request.
func (s *Service) Release(t Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.wake(s.sched.Release(time.Now(), t.id))
}

// wake needs mu.
func (s *Service) wake(ids []uint64) {
	for _, id := range ids {
		ch := s.waiting[id]
		if ch == nil {
			continue
		}
		delete(s.waiting, id)
		s.inFlight++
		ch <- result{admitted: true}
	}
}

// Expire answers waiting requests that the scheduler gave up on.
func (s *Service) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.sched.Expire(now) {
		s.displace(&e)
	}
}

// displace answers a waiting request that was given up. It needs mu.
func (s *Service) displace(e *admission.Expired) {
	if e == nil {
		return
	}
	if ch := s.waiting[e.ID]; ch != nil {
		delete(s.waiting, e.ID)
		ch <- result{retryAfter: e.RetryAfter}
	}
}

// Run expires waiting requests until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.Expire(now)
		}
	}
}

// Pick chooses a backend server.
func (s *Service) Pick(now time.Time, in balance.PickInput) (balance.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Pick(now, in)
}

// Done tells the outcome of a request at a backend server.
func (s *Service) Done(now time.Time, server string, o balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, server, o)
	if seen := s.observed[server]; seen != nil && o.Class == balance.ClassOK {
		seen.answeredAt = now
	}
}

// Latency returns the average latency of a backend server's last answers.
func (s *Service) Latency(server string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Latency(server)
}

// Status returns the state of the backend servers.
func (s *Service) Status(now time.Time) []balance.ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Status(now)
}

// Slots returns this VM's part of the slots and the requests in flight.
func (s *Service) Slots() (slots, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots, s.inFlight
}

// RegionsWithServers returns the regions that have a backend server which is
// not drained. The caller does not change the map.
func (s *Service) RegionsWithServers() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regions
}
