// Package service runs the admission scheduler and the balancer of one service,
// and polls the health of its backend servers.
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
	// expireInterval is the resolution of queue timeouts.
	expireInterval = 20 * time.Millisecond
)

// Ticket identifies an admitted request.
type Ticket struct {
	id uint64
}

// Service schedules the requests of one service and chooses backend servers for
// them. It is safe for concurrent use.
type Service struct {
	name string

	mu           sync.Mutex
	scheduler    *admission.Scheduler
	balancer     *balance.Balancer
	waiting      map[uint64]chan admissionResult
	nextID       uint64
	inFlight     int
	slots        int
	serverStates map[string]*serverState
	servers      []balance.Server
	// regions are the regions with a backend server that is not drained.
	regions map[string]bool
	share   Share
}

type admissionResult struct {
	admitted   bool
	retryAfter time.Duration
}

// New returns a service without backend servers.
func New(name string, seed uint64) *Service {
	return &Service{
		name:         name,
		scheduler:    admission.New(admission.Config{Service: name}),
		balancer:     balance.New(balance.Config{Service: name}, rand.New(rand.NewPCG(seed, 1))),
		waiting:      map[uint64]chan admissionResult{},
		serverStates: map[string]*serverState{},
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
				Slots: b.Slots, MaxConnections: b.Connections, Draining: p.ServerDrained(b),
			})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	s.regions = map[string]bool{}
	previous := s.serverStates
	s.serverStates = make(map[string]*serverState, len(servers))
	for _, b := range servers {
		s.serverStates[b.Name] = previous[b.Name]
		if s.serverStates[b.Name] == nil {
			s.serverStates[b.Name] = &serverState{}
		}
		if !b.Draining {
			s.regions[b.Region] = true
		}
	}
	s.balancer.SetServers(now, servers, max(1, entryVMs))
	s.updateSlots(now)
}

// Share describes the demand for a service's slots at the other VMs. A VM sends
// its requests to its own region first, so the slots of a region are divided
// between the VMs of that region.
type Share struct {
	// Region is this VM's region, or "" if the service has no backend server in
	// it.
	Region string
	// VMs is the number of VMs that share the slots, including this one.
	VMs int
	// OthersDemand is the number of slots that the requests of the other VMs
	// would use.
	OthersDemand float64
}

// Demand returns the number of slots that the requests offered to this VM would
// use.
func (s *Service) Demand(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Demand(now)
}

// SetShare updates this VM's share of the slots.
func (s *Service) SetShare(now time.Time, share Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.updateSlots(now)
}

// updateSlots requires mu.
func (s *Service) updateSlots(now time.Time) {
	total := 0
	for _, b := range s.servers {
		if b.Draining || s.serverStates[b.Name].State == stateLeaving {
			continue
		}
		if s.share.Region == "" || b.Region == s.share.Region {
			total += b.Slots
		}
	}
	own := s.scheduler.Demand(now)
	s.slots = admission.SlotShare(total, max(1, s.share.VMs), own, own+s.share.OthersDemand)
	s.scheduler.SetSlots(now, s.slots)
	s.admitWaiting(s.scheduler.Admit(now))
}

// Admit waits until the scheduler admits or rejects the request, or ctx is
// done.
func (s *Service) Admit(ctx context.Context, now time.Time, account *policy.Account, class admission.Class, deadline time.Time) (Ticket, error) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	decision := s.scheduler.Offer(now, admission.Request{
		ID: id, Account: account.Name, Weight: account.Weight, Class: class, Deadline: deadline,
	})
	s.rejectWaiting(decision.Displaced)
	switch decision.Verdict {
	case admission.Admitted:
		s.inFlight++
		s.mu.Unlock()
		return Ticket{id}, nil
	case admission.Rejected:
		s.mu.Unlock()
		return Ticket{}, capacityError(decision.RetryAfter)
	}
	ch := make(chan admissionResult, 1)
	s.waiting[id] = ch
	s.mu.Unlock()
	select {
	case r := <-ch:
		if !r.admitted {
			return Ticket{}, capacityError(r.retryAfter)
		}
		return Ticket{id}, nil
	case <-ctx.Done():
		s.cancelWaiting(id, ch)
		return Ticket{}, ctx.Err()
	}
}

func capacityError(retryAfter time.Duration) error {
	return problem.New(problem.CodeServiceAtCapacity, 503, "the service has no free slot").WithRetryAfter(max(retryAfter, time.Second))
}

// cancelWaiting removes a waiting request. The scheduler may have admitted or
// rejected the request in the meantime; the result is then in the channel.
func (s *Service) cancelWaiting(id uint64, ch <-chan admissionResult) {
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
	s.admitWaiting(s.scheduler.Cancel(time.Now(), id))
}

// Release frees the slot of an admitted request.
func (s *Service) Release(t Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.admitWaiting(s.scheduler.Release(time.Now(), t.id))
}

// admitWaiting tells waiting requests that they were admitted. It requires mu.
func (s *Service) admitWaiting(ids []uint64) {
	for _, id := range ids {
		ch := s.waiting[id]
		if ch == nil {
			continue
		}
		delete(s.waiting, id)
		s.inFlight++
		ch <- admissionResult{admitted: true}
	}
}

// Expire rejects the waiting requests that have expired in the scheduler.
func (s *Service) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.scheduler.Expire(now) {
		s.rejectWaiting(&e)
	}
}

// rejectWaiting tells a waiting request that it has expired or was displaced by
// another request. It requires mu.
func (s *Service) rejectWaiting(e *admission.Expired) {
	if e == nil {
		return
	}
	if ch := s.waiting[e.ID]; ch != nil {
		delete(s.waiting, e.ID)
		ch <- admissionResult{retryAfter: e.RetryAfter}
	}
}

// Run expires waiting requests until the context is done.
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

// Done reports the outcome of a request at a backend server.
func (s *Service) Done(now time.Time, server string, o balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, server, o)
	if state := s.serverStates[server]; state != nil && o.Class == balance.ClassOK {
		state.lastResponseAt = now
	}
}

// Latency returns the average latency of a backend server's latest responses.
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

// Slots returns this VM's share of the slots and its number of requests in
// flight.
func (s *Service) Slots() (slots, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots, s.inFlight
}

// RegionsWithServers returns the regions that have a backend server that is not
// drained. The caller must not change the map.
func (s *Service) RegionsWithServers() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regions
}
