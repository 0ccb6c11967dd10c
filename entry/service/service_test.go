package service

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/admission"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/policy"
)

var acme = &policy.Account{Name: "acme", Weight: 1}

func newService(t *testing.T, slots ...int) *Service {
	declared := declare.Service{Name: "lotdesk"}
	for i, n := range slots {
		name := string(rune('a' + i))
		declared.BackendServers = append(declared.BackendServers, declare.BackendServer{Name: name, Region: name, Slots: n})
	}
	p := &policy.Policy{Services: map[string]*declare.Service{"lotdesk": &declared}}
	s := New("lotdesk", 1)
	s.Configure(time.Now(), p, 1)
	require.Len(t, s.servers, len(slots))
	return s
}

// admitAndQueue admits one request and starts a second one that waits.
func admitAndQueue(t *testing.T, s *Service) (first Ticket, cancel context.CancelFunc, second chan error) {
	now := time.Now()
	first, err := s.Admit(context.Background(), now, acme, admission.Lookup, now.Add(time.Hour))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	second = make(chan error, 1)
	go func() {
		_, err := s.Admit(ctx, now, acme, admission.Lookup, now.Add(time.Hour))
		second <- err
	}()
	for len(s.queuedIDs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return first, cancel, second
}

func (s *Service) queuedIDs() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []uint64
	for id := range s.waiting {
		ids = append(ids, id)
	}
	return ids
}

func inFlight(s *Service) int {
	_, n := s.Slots()
	return n
}

// Guards against losing a slot, or counting it as free twice, when a request is
// cancelled while it waits.
func TestCancelWaiting(t *testing.T) {
	s := newService(t, 1)
	first, cancel, second := admitAndQueue(t, s)
	cancel()
	require.ErrorIs(t, <-second, context.Canceled)
	require.Equal(t, 1, inFlight(s))
	s.Release(first)
	require.Zero(t, inFlight(s))
	require.Zero(t, s.scheduler.InFlight())
}

// Guards against losing a slot, or counting it as free twice, when a caller
// disconnects at the moment at which the scheduler admits or expires its
// request.
func TestCancelAfterDecision(t *testing.T) {
	for _, admitted := range []bool{true, false} {
		s := newService(t, 1)
		first, cancel, _ := admitAndQueue(t, s)
		defer cancel()
		id := s.queuedIDs()[0]
		// The waiting goroutine must not receive the result.
		ch := make(chan admissionResult, 1)
		s.mu.Lock()
		s.waiting[id] = ch
		if !admitted {
			s.rejectWaiting(&admission.Expired{ID: id})
			s.scheduler.Cancel(time.Now(), id)
		}
		s.mu.Unlock()
		s.Release(first)
		s.cancelWaiting(id, ch)
		require.Zero(t, inFlight(s))
		require.Zero(t, s.scheduler.InFlight())
	}
}

// Guards against accepting a response that is not a report, and against
// counting a region as failed while its servers respond to requests.
func TestLoads(t *testing.T) {
	s := newService(t, 4, 8)
	now := time.Now()
	s.recordPoll(now, "a", Health{State: stateServing, Slots: 4, InFlight: 3}, nil)
	for range unreachablePolls {
		s.recordPoll(now, "b", Health{}, ErrInvalidReport)
	}
	loads := s.Loads(now)
	require.Equal(t, RegionLoad{Servers: 1, InFlight: 3, Slots: 4, ReportedAt: now}, loads["a"])
	require.Equal(t, RegionLoad{Servers: 1, Unreachable: 1}, loads["b"])
	s.serverStates["b"].lastResponseAt = now
	require.Zero(t, s.Loads(now)["b"].Unreachable)
	require.Equal(t, 1, s.Loads(now.Add(responseValidity))["b"].Unreachable)
}
