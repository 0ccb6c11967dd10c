package service

import "time"

const (
	// lostPolls is the number of polls in a row without an answer after which a
	// backend server counts as unreachable, unless it answers requests.
	lostPolls = 3
	// answerValidity is the time for which an answered request shows that a
	// backend server is reachable: the time of lostPolls polls.
	answerValidity = lostPolls * pollInterval
)

// observation is what is known of one backend server.
type observation struct {
	// Health is the last report.
	Health
	reportedAt time.Time
	// failures counts the polls without a report since then.
	failures   int
	answeredAt time.Time
}

func (o *observation) reachable(now time.Time) bool {
	return o.failures < lostPolls || now.Sub(o.answeredAt) < answerValidity
}

// RegionLoad is the load of the backend servers of a service in one region.
// Drained ones are left out.
type RegionLoad struct {
	// Servers and Unreachable count backend servers.
	Servers     int
	Unreachable int
	// InFlight and Slots are sums of the last reports of reachable servers.
	InFlight int
	Slots    int
	// ReportedAt is the time of the latest of these reports, zero if none.
	ReportedAt time.Time
}

// Add adds the load of another service.
func (l RegionLoad) Add(other RegionLoad) RegionLoad {
	l.Servers += other.Servers
	l.Unreachable += other.Unreachable
	l.InFlight += other.InFlight
	l.Slots += other.Slots
	if other.ReportedAt.After(l.ReportedAt) {
		l.ReportedAt = other.ReportedAt
	}
	return l
}

// Loads returns the load of the service by region.
func (s *Service) Loads(now time.Time) map[string]RegionLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]RegionLoad{}
	for _, b := range s.servers {
		if !b.Draining {
			loads[b.Region] = loads[b.Region].Add(s.observed[b.Name].load(now))
		}
	}
	return loads
}

func (o *observation) load(now time.Time) RegionLoad {
	switch {
	case !o.reachable(now):
		return RegionLoad{Servers: 1, Unreachable: 1}
	case o.reportedAt.IsZero():
		return RegionLoad{Servers: 1}
	}
	return RegionLoad{Servers: 1, InFlight: o.InFlight, Slots: o.Slots, ReportedAt: o.reportedAt}
}
