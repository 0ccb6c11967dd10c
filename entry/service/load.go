package service

import "time"

const (
	// unreachablePolls is the number of consecutive failed polls after which a
	// backend server counts as unreachable, unless it responds to requests.
	unreachablePolls = 3
	// responseValidity is the time for which a successful response to a request
	// shows that a backend server is reachable. It is the duration of
	// unreachablePolls polls.
	responseValidity = unreachablePolls * pollInterval
)

// serverState is the last known state of a backend server.
type serverState struct {
	// Health is the last report.
	Health
	reportedAt time.Time
	// failedPolls is the number of failed polls since the last report.
	failedPolls    int
	lastResponseAt time.Time
}

func (s *serverState) reachable(now time.Time) bool {
	return s.failedPolls < unreachablePolls || now.Sub(s.lastResponseAt) < responseValidity
}

// RegionLoad is the load of the backend servers of a service in one region.
// Drained servers are not included.
type RegionLoad struct {
	// Servers and Unreachable are numbers of backend servers.
	Servers     int
	Unreachable int
	// InFlight and Slots are sums over the last reports of the reachable
	// servers.
	InFlight int
	Slots    int
	// ReportedAt is the time of the latest of these reports, or zero if there
	// is none.
	ReportedAt time.Time
}

// Add returns the sum with the load of another service.
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
			loads[b.Region] = loads[b.Region].Add(s.serverStates[b.Name].regionLoad(now))
		}
	}
	return loads
}

func (s *serverState) regionLoad(now time.Time) RegionLoad {
	switch {
	case !s.reachable(now):
		return RegionLoad{Servers: 1, Unreachable: 1}
	case s.reportedAt.IsZero():
		return RegionLoad{Servers: 1}
	}
	return RegionLoad{Servers: 1, InFlight: s.InFlight, Slots: s.Slots, ReportedAt: s.reportedAt}
}
