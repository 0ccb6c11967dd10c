package server

import (
	"sort"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/operator"
	"github.com/cassiawind/cassiawind/entry/policy"
)

// Status implements operator.StatusSource.
func (s *Server) Status() operator.Status {
	now := time.Now()
	p := s.control.Policy()
	limits := s.limitStatus(now)
	status := operator.Status{
		VM: s.settings.VM, Build: s.build, Incarnation: s.control.Self().Incarnation,
		Epoch: s.control.Epoch(), ConfigVersion: p.Version,
		LeaseValid: s.control.LeaseValid(now), Phase: s.plannedStop.phaseName(), InFlight: s.handler.InFlight(),
		Fleet: s.fleetStatus(), Limits: limits, Services: s.serviceStatus(now),
		Accounts: s.metrics.Accounts(), Drains: s.drainStatus(now, p),
	}
	status.Ready = status.LeaseValid && p.Version > 0 && !s.plannedStop.begun()
	if p.Config != nil {
		status.Regions = regionStatus(p, limits, s.control.PeerDemand)
	}
	return status
}

func (s *Server) fleetStatus() []operator.Member {
	var out []operator.Member
	for _, peer := range s.control.Peers() {
		out = append(out, operator.Member{
			VM: peer.Member.Vm, Region: peer.Member.Region, FailureDomain: peer.Member.FailureDomain,
			Alive: peer.Alive, Leaving: peer.Leaving, ConfigVersion: peer.ConfigVersion,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

func (s *Server) limitStatus(now time.Time) []operator.Limit {
	var out []operator.Limit
	for _, l := range s.control.LimitStatus(now) {
		out = append(out, s.toLimit(l))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (s *Server) toLimit(l quota.LimitStatus) operator.Limit {
	limit := operator.Limit{
		Name: l.Limit.Name, RatePerSecond: l.Limit.RatePerSecond, Burst: l.Limit.Burst, Tokens: l.Tokens,
		Fraction: fraction(l.Units), DemandPerSecond: l.DemandPerSecond, Holders: map[string]float64{},
	}
	for vm, units := range s.control.Holders(l.Limit.Name) {
		limit.Holders[vm] = fraction(units)
	}
	return limit
}

func fraction(units uint32) float64 { return float64(units) / quota.TotalUnits }

// regionStatus returns the headroom of each region's cap: the part of the cap
// that the demand reported by all VMs leaves free.
func regionStatus(p *policy.Policy, limits []operator.Limit, peerDemand func(limit string) float64) []operator.Region {
	ownLimits := map[string]operator.Limit{}
	for _, l := range limits {
		ownLimits[l.Name] = l
	}
	var out []operator.Region
	for _, r := range p.Config.Regions {
		name := quota.RegionLimit(r.Name)
		used := ownLimits[name].DemandPerSecond/r.CapPerSecond + peerDemand(name)
		out = append(out, operator.Region{Name: r.Name, Headroom: max(0, 1-used), Drained: p.DrainedRegions[r.Name]})
	}
	return out
}

func (s *Server) serviceStatus(now time.Time) []operator.Service {
	var out []operator.Service
	for name, running := range s.services.runningServices() {
		service := operator.Service{Name: name}
		service.Slots, service.InFlight = running.Slots()
		for _, b := range running.Status(now) {
			service.Servers++
			if b.Leaving {
				service.Leaving++
			}
			if b.Ejected != balance.NotEjected {
				service.Ejected++
			}
		}
		out = append(out, service)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// drainStatus returns the number of this VM's requests that are still in flight
// at drained backend servers.
func (s *Server) drainStatus(now time.Time, p *policy.Policy) []operator.Drain {
	if p.Config == nil {
		return nil
	}
	inFlight := map[string]int{}
	for _, running := range s.services.runningServices() {
		for _, b := range running.Status(now) {
			inFlight[b.Name] += b.InFlight
		}
	}
	var out []operator.Drain
	for _, d := range p.Config.Drains {
		drain := operator.Drain{Name: d.Name}
		for _, service := range p.Config.Services {
			for _, b := range service.BackendServers {
				if drainCovers(d, b) {
					drain.InFlight += inFlight[b.Name]
				}
			}
		}
		out = append(out, drain)
	}
	return out
}

// drainCovers reports whether a drain takes a backend server out of service.
// Exactly one target of a drain is set; the others are empty.
func drainCovers(d declare.Drain, b declare.BackendServer) bool {
	switch {
	case d.BackendServer != "":
		return b.Name == d.BackendServer
	case d.FailureDomain != "":
		return b.FailureDomain == d.FailureDomain
	}
	return b.Region == d.Region
}
