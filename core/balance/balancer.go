package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	defaultMaxEjected     = 0.2
	defaultColdStart      = 10 * time.Second
	defaultReportHalfLife = 700 * time.Millisecond
	defaultReportTimeout  = 2500 * time.Millisecond
	defaultSilentAfter    = 750 * time.Millisecond
	defaultEjectFor       = 5 * time.Second

	// choices is the number of servers compared at random.
	choices = 2
	// sampleTries bounds the random draws before all servers are compared.
	sampleTries = 12
	// unreportedPenalty applies to a server whose reports are missing and that the
	// bound on ejections leaves in service: it may be leaving, so it gets work only
	// if the others are overloaded.
	unreportedPenalty = 10
	// retryFull is short because slots and connections free up at the rate of
	// responses.
	retryFull = 100 * time.Millisecond
	// retryNone is the interval at which servers report, after which a server
	// may have come back.
	retryNone = time.Second
)

// Balancer chooses the backend servers of one service for one VM. It compares
// two servers drawn at random and the best known one by their expected load.
// VMs need no communication: each takes what it sees of its own requests, and
// reports only as far as they are young and agree with that.
type Balancer struct {
	cfg      Config
	rnd      *rand.Rand
	entryVMs int
	byName   map[string]*server
	servers  []*server
	pools    map[string]*pool

	sweptAt   time.Time
	median    float64 // seconds
	reportAt  time.Time
	latencies []float64
	faults    []fault
}

// pool is the set of servers of one region, or of all regions.
type pool struct {
	servers []*server
	best    *server
	// ratio is the work of the other VMs relative to this VM's at the servers.
	ratio float64
}

// New returns a Balancer without servers.
func New(cfg Config, rnd *rand.Rand) *Balancer {
	cfg.MaxEjectedShare = cmp.Or(cfg.MaxEjectedShare, defaultMaxEjected)
	cfg.ColdStart = cmp.Or(cfg.ColdStart, defaultColdStart)
	cfg.ReportHalfLife = cmp.Or(cfg.ReportHalfLife, defaultReportHalfLife)
	cfg.ReportTimeout = cmp.Or(cfg.ReportTimeout, defaultReportTimeout)
	cfg.UnresponsiveTimeout = cmp.Or(cfg.UnresponsiveTimeout, defaultSilentAfter)
	cfg.BaseEjectionTime = cmp.Or(cfg.BaseEjectionTime, defaultEjectFor)
	return &Balancer{cfg: cfg, rnd: rnd, entryVMs: 1, byName: make(map[string]*server)}
}

// SetServers sets the declared servers and the number of entry VMs, by which
// connection limits are divided. State of servers that remain is kept. Servers
// added later than the first ones start on the cold-start ramp; the first ones
// do not, since a starting VM says nothing about the servers.
func (b *Balancer) SetServers(now time.Time, servers []Server, entryVMs int) {
	b.entryVMs = max(1, entryVMs)
	first := len(b.byName) == 0
	byName := make(map[string]*server, len(servers))
	b.servers = b.servers[:0]
	previous := b.pools
	b.pools = make(map[string]*pool, len(previous))
	for _, declared := range servers {
		s := b.byName[declared.Name]
		if s == nil {
			s = &server{trust: 1, warm: first, warmFrom: now, ownAt: now}
		}
		if s.Draining && !declared.Draining {
			s.startCold(now)
		}
		s.Server = declared
		s.connections = 0
		if declared.MaxConnections > 0 {
			s.connections = max(1, declared.MaxConnections/b.entryVMs)
		}
		byName[declared.Name] = s
		b.servers = append(b.servers, s)
		b.join("", s)
		if declared.Region != "" {
			b.join(declared.Region, s)
		}
	}
	b.byName = byName
	for region, p := range previous {
		if q := b.pools[region]; q != nil {
			q.ratio = min(p.ratio, float64(b.entryVMs-1))
		}
	}
}

func (b *Balancer) join(region string, s *server) {
	p := b.pools[region]
	if p == nil {
		p = &pool{ratio: float64(b.entryVMs - 1)}
		b.pools[region] = p
	}
	p.servers = append(p.servers, s)
	s.pool = p
}

// Report records a server's own report of its state and load. A leaving server
// gets no new work from this call on, until a younger report says otherwise.
func (b *Balancer) Report(now time.Time, name string, r Report) {
	s := b.byName[name]
	if s == nil {
		return
	}
	s.receive(now, r, s.relativeLatency(now, b.median))
	if s.report.At.After(b.reportAt) {
		b.reportAt = s.report.At
	}
}

// Pick chooses a server for a new request and counts the request in flight
// until Done. The error is a *NoServerError.
func (b *Balancer) Pick(now time.Time, in PickInput) (Server, error) {
	b.sweep(now)
	s := b.pickFrom(now, b.pools[in.Region], in.Exclude)
	if s == nil && in.AllowOtherRegions {
		s = b.pickFrom(now, b.pools[""], in.Exclude)
	}
	if s == nil {
		return Server{}, b.noServer(in)
	}
	s.begin(now)
	return s.Server, nil
}

// pickFrom compares servers drawn at random and the best known one. If no draw
// was usable, all are compared.
func (b *Balancer) pickFrom(now time.Time, p *pool, exclude []string) *server {
	if p == nil || len(p.servers) == 0 {
		return nil
	}
	var best *server
	bestScore := math.Inf(1)
	consider := func(s *server) {
		if score := b.score(now, s); s != best && score < bestScore {
			best, bestScore = s, score
		}
	}
	drawn := 0
	for try := 0; try < sampleTries && drawn < choices; try++ {
		s := p.servers[b.rnd.IntN(len(p.servers))]
		if s != best && usable(s, exclude) && b.passesRamp(now, s) {
			consider(s)
			drawn++
		}
	}
	if s := p.best; s != nil && usable(s, exclude) && s.share(now, b.cfg.ColdStart) == 1 {
		consider(s)
	}
	if best == nil {
		for _, s := range p.servers {
			if usable(s, exclude) {
				consider(s)
			}
		}
	}
	p.best = best
	return best
}

// passesRamp accepts a cold server with the probability of its share: its score
// alone would attract every VM, as it has neither load nor latency yet.
func (b *Balancer) passesRamp(now time.Time, s *server) bool {
	share := s.share(now, b.cfg.ColdStart)
	return share == 1 || b.rnd.Float64() < share
}

// usable reports whether a server may get new work.
func usable(s *server, exclude []string) bool {
	return !s.leaving && !s.Draining && s.ejection.reason == NotEjected &&
		(s.connections == 0 || s.inFlight < s.connections) && !slices.Contains(exclude, s.Name)
}

// score is the expected time of one more request: the load it would find,
// scaled by the latency relative to the service's median, since a slow server
// needs longer for the same load, and by failures. With the square of the
// latency, slow servers were used so little that the p50 at the peak was 10%
// higher.
func (b *Balancer) score(now time.Time, s *server) float64 {
	s.observeOwn(now)
	turnover := unknownLatency
	if b.median > 0 {
		turnover = time.Duration(b.median * float64(time.Second))
	}
	halfLife := min(b.cfg.ReportHalfLife, reportLatencies*turnover)
	load := (float64(s.inFlight) + 1 + s.others(now, s.pool.ratio, halfLife, turnover)) /
		(s.slots() * s.share(now, b.cfg.ColdStart))
	score := load * s.relativeLatency(now, b.median) * s.penalty(now)
	if b.reportMissing(now, s) {
		score *= unreportedPenalty
	}
	return score
}

// Done ends a request placed by Pick.
func (b *Balancer) Done(now time.Time, name string, o Outcome) {
	if s := b.byName[name]; s != nil {
		s.end(now, o)
	}
}

func (b *Balancer) noServer(in PickInput) *NoServerError {
	e := &NoServerError{RetryAfter: retryNone}
	p := b.pools[in.Region]
	if p == nil {
		return e
	}
	for _, s := range p.servers {
		switch {
		case s.leaving || s.Draining:
			e.Leaving++
		case s.ejection.reason != NotEjected:
			e.Ejected++
		case slices.Contains(in.Exclude, s.Name):
			e.Excluded++
		default:
			e.Full++
		}
	}
	if e.Full > 0 {
		e.RetryAfter = retryFull
	}
	return e
}

// ConnectionLimit returns this VM's part of a server's connections, 0 if
// unlimited or unknown.
func (b *Balancer) ConnectionLimit(name string) int {
	if s := b.byName[name]; s != nil {
		return s.connections
	}
	return 0
}

// Status returns the view of all servers in the order of SetServers.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	b.sweep(now)
	out := make([]ServerStatus, 0, len(b.servers))
	for _, s := range b.servers {
		age := time.Duration(-1)
		if s.reported {
			age = now.Sub(s.report.At)
		}
		out = append(out, ServerStatus{
			Name: s.Name, Region: s.Region, Leaving: s.leaving || s.Draining,
			Ejected: s.ejection.reason, InFlight: s.inFlight,
			Ramp: s.share(now, b.cfg.ColdStart), Score: b.score(now, s),
			Latency:   time.Duration(s.latency * float64(time.Second)),
			ErrorRate: s.errorRate, ShedRate: s.shedRate, Trust: s.trust,
			ReportAge: age, ConnectionLimit: s.connections,
		})
	}
	return out
}
