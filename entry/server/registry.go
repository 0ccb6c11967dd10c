package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/service"
)

// serviceRegistry holds the running services.
type serviceRegistry struct {
	ctx      context.Context
	poller   *service.Poller
	services atomic.Pointer[map[string]*runningService]
	mu       sync.Mutex
	seed     uint64
}

type runningService struct {
	*service.Service
	stop context.CancelFunc
}

func newServiceRegistry(ctx context.Context, seed uint64) *serviceRegistry {
	r := &serviceRegistry{ctx: ctx, poller: service.NewPoller(), seed: seed}
	r.services.Store(&map[string]*runningService{})
	return r
}

// Service implements forward.Services.
func (r *serviceRegistry) Service(name string) *service.Service {
	if s := (*r.services.Load())[name]; s != nil {
		return s.Service
	}
	return nil
}

// runningServices returns the services by name. The caller must not change the
// map.
func (r *serviceRegistry) runningServices() map[string]*runningService { return *r.services.Load() }

// configure starts, updates and stops services to match a policy.
func (r *serviceRegistry) configure(p *policy.Policy, entryVMs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := *r.services.Load()
	next := map[string]*runningService{}
	now := time.Now()
	for name := range p.Services {
		s := previous[name]
		if s == nil {
			s = &runningService{Service: service.New(name, r.seed)}
		}
		s.Configure(now, p, entryVMs)
		if s.stop == nil {
			// The service starts only after its backend servers are configured,
			// so that it polls them without delay.
			r.start(s)
		}
		next[name] = s
	}
	r.services.Store(&next)
	for name, s := range previous {
		if next[name] == nil {
			s.stop()
		}
	}
}

func (r *serviceRegistry) start(s *runningService) {
	ctx, stop := context.WithCancel(r.ctx)
	s.stop = stop
	go s.Run(ctx)
	go r.poller.Run(ctx, s.Service)
}

// regionLoads returns the load of all services by region.
func (r *serviceRegistry) regionLoads(now time.Time) map[string]service.RegionLoad {
	loads := map[string]service.RegionLoad{}
	for _, s := range r.runningServices() {
		for region, l := range s.Loads(now) {
			loads[region] = loads[region].Add(l)
		}
	}
	return loads
}
