package server

import (
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/service"
)

// regions chooses the region of each request. It implements forward.Regions.
type regions struct {
	ownRegion string

	mu      sync.Mutex
	regions *routing.Regions
	names   []string
}

func newRegions(ownRegion string) *regions {
	return &regions{ownRegion: ownRegion, regions: routing.NewRegions(nil)}
}

// configure applies a policy and the number of entry VMs.
func (r *regions) configure(p *policy.Policy, entryVMs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = r.names[:0]
	configs := make([]routing.RegionConfig, 0, len(p.Config.Regions))
	for _, region := range p.Config.Regions {
		r.names = append(r.names, region.Name)
		config := routing.RegionConfig{
			Name: region.Name, CapPerSecond: region.CapPerSecond, RampSharePerSecond: region.RampPerSecond,
			CapLimit: quota.RegionLimit(region.Name), LinkLimits: map[string]string{}, DelayMS: region.DelayMS,
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
	in := routing.ChooseInput{From: r.ownRegion, ClientRegion: clientRegion, Refund: refund}
	hasServers := s.RegionsWithServers()
	for _, name := range r.names {
		if !hasServers[name] {
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

// inFlight returns the number of this VM's requests in flight by region.
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

// preferenceOrder returns the regions in which a service has backend servers:
// this VM's own region first, then the others by declared delay.
func (r *regions) preferenceOrder(s *service.Service) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	hasServers := s.RegionsWithServers()
	var out []string
	for _, name := range r.regions.Order(r.ownRegion) {
		if hasServers[name] {
			out = append(out, name)
		}
	}
	return out
}

// updateLoads passes on the load of the backend servers by region. demand
// returns the requests per second of all VMs that count against a region's cap.
func (r *regions) updateLoads(loads map[string]service.RegionLoad, demand func(region string) float64) {
	demands := make(map[string]float64, len(loads))
	for name := range loads {
		demands[name] = demand(name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.names {
		load := loads[name]
		r.regions.SetFailed(name, regionFailed(load) && !allFailed(loads))
		if !load.ReportedAt.IsZero() {
			r.regions.RecordMeasurement(name, routing.Measurement{
				At: load.ReportedAt, RatePerSecond: demands[name], InFlight: load.InFlight, Slots: load.Slots,
			})
		}
	}
}

func regionFailed(l service.RegionLoad) bool { return l.Servers > 0 && l.Unreachable == l.Servers }

// allFailed reports whether no region is reachable. In that case it is more
// likely that the measurements have stopped than that all regions have failed.
func allFailed(loads map[string]service.RegionLoad) bool {
	for _, l := range loads {
		if !regionFailed(l) {
			return false
		}
	}
	return true
}
