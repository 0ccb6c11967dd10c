package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/service"
)

// registry holds the runtime of each service.
type registry struct {
	ctx      context.Context
	poller   *service.Poller
	services atomic.Pointer[map[string]*running]
	mu       sync.Mutex
	seed     uint64
}

type running struct {
	*service.Service
	stop context.CancelFunc
}

func newRegistry(ctx context.Context, seed uint64) *registry {
	r := &registry{ctx: ctx, poller: service.NewPoller(), seed: seed}
	r.services.Store(&map[string]*running{})
	return r
}

// Service implements forward.Services.
func (r *registry) Service(name string) *service.Service {
	if s := (*r.services.Load())[name]; s != nil {
		return s.Service
	}
	return nil
}

// all returns the services by name.
func (r *registry) all() map[string]*running { return *r.services.Load() }

// configure starts, changes and stops services to fit a policy.
func (r *registry) configure(p *policy.Policy, entryVMs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := *r.services.Load()
	after := map[string]*running{}
	now := time.Now()
	for name := range p.Services {
		s := before[name]
		if s == nil {
			s = &running{Service: service.New(name, r.seed)}
		}
		s.Configure(now, p, entryVMs)
		if s.stop == nil {
			// Started with its backend servers, so that the first poll is at once.
			r.start(s)
		}
		after[name] = s
	}
	r.services.Store(&after)
	for name, s := range before {
		if after[name] == nil {
			s.stop()
		}
	}
}

func (r *registry) start(s *running) {
	ctx, stop := context.WithCancel(r.ctx)
	s.stop = stop
	go s.Run(ctx)
	go r.poller.Run(ctx, s.Service)
}

// loads returns the load of all services by region.
func (r *registry) loads(now time.Time) map[string]service.RegionLoad {
	loads := map[string]service.RegionLoad{}
	for _, s := range r.all() {
		for region, l := range s.Loads(now) {
			loads[region] = loads[region].Add(l)
		}
	}
	return loads
}
