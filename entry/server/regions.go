package server

import (
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/service"
)

// regions chooses regions for the request path. It implements forward.Regions.
type regions struct {
	self string

	mu      sync.Mutex
	regions *routing.Regions
	names   []string
}

func newRegions(self string) *regions {
	return &regions{self: self, regions: routing.NewRegions(nil)}
}

// configure takes over a policy and the number of entry VMs.
func (r *regions) configure(p *policy.Policy, entryVMs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = r.names[:0]
	configs := make([]routing.RegionConfig, 0, len(p.Config.Regions))
	for _, region := range p.Config.Regions {
		r.names = append(r.names, region.Name)
		config := routing.RegionConfig{
			Name: region.Name, CapPerSecond: region.CapPerSecond, RampPerSecond: region.RampPerSecond,
			Limit: quota.RegionLimit(region.Name), LinkLimits: map[string]string{}, DelayMS: region.DelayMS,
		}
		for _, link := range p.Config.Links {
			if link.To == region.Name {
				config.LinkLimits[link.From] = quota.LinkLimit(link.From, link.To)
			}
		}
		configs = append(configs, config)
	}
	r.regions.SetConfig(configs)
	r.regions.SetVMs(entryVMs)
	for _, name := range r.names {
		r.regions.SetDrained(name, p.DrainedRegions[name])
	}
}

// Choose implements forward.Regions.
func (r *regions) Choose(now time.Time, clientRegion string, s *service.Service, take func(string) bool, refund func(string)) (routing.RegionChoice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := routing.ChooseInput{From: r.self, ClientRegion: clientRegion, Refund: refund}
	served := s.RegionsWithServers()
	for _, name := range r.names {
		if !served[name] {
			in.Exclude = append(in.Exclude, name)
		}
	}
	return r.regions.Choose(now, in, take)
}

// Done implements forward.Regions.
func (r *regions) Done(now time.Time, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regions.Done(now, region)
}

// inFlight returns this VM's requests in flight by region.
func (r *regions) inFlight() map[string]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint32{}
	for _, name := range r.names {
		if n := r.regions.InFlight(name); n > 0 {
			out[name] = uint32(n)
		}
	}
	return out
}

// order returns the regions in which a service has backend servers, this VM's
// own first and the others by their declared delay.
func (r *regions) order(s *service.Service) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := s.RegionsWithServers()
	var out []string
	for _, name := range r.regions.Order(r.self) {
		if served[name] {
			out = append(out, name)
		}
	}
	return out
}

// observe takes over the load of the backend servers by region. demand returns
// the requests per second for a region's cap over all VMs.
func (r *regions) observe(loads map[string]service.RegionLoad, demand func(region string) float64) {
	rates := make(map[string]float64, len(loads))
	for name := range loads {
		rates[name] = demand(name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.names {
		l := loads[name]
		r.regions.SetFailed(name, failed(l) && !allFailed(loads))
		if !l.ReportedAt.IsZero() {
			r.regions.Measure(name, routing.Measurement{
				At: l.ReportedAt, RatePerSecond: rates[name], InFlight: l.InFlight, Slots: l.Slots,
			})
		}
	}
}

func failed(l service.RegionLoad) bool { return l.Servers > 0 && l.Unreachable == l.Servers }

// allFailed reports that no region is reachable. It then is more likely that
// the measurements have stopped than that every region has failed.
func allFailed(loads map[string]service.RegionLoad) bool {
	for _, l := range loads {
		if !failed(l) {
			return false
		}
	}
	return true
}
