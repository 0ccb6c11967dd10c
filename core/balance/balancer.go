package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	defaultMaxEjectedShare     = 0.2
	defaultColdStart           = 10 * time.Second
	defaultReportHalfLife      = 700 * time.Millisecond
	defaultReportTimeout       = 2500 * time.Millisecond
	defaultUnresponsiveTimeout = 750 * time.Millisecond
	defaultBaseEjectionTime    = 5 * time.Second

	// sampleSize is the number of randomly drawn servers that are compared.
	sampleSize = 2
	// maxSampleDraws bounds the random draws before all servers are compared.
	maxSampleDraws = 12
	// unreportedPenalty multiplies the score of a server whose reports are
	// missing but that stays in service because of the bound on ejections. It
	// may be leaving, so it should get work only if the other servers are
	// overloaded.
	unreportedPenalty = 10
	// retryAfterFull is short because slots and connections are freed at the
	// rate of responses.
	retryAfterFull = 100 * time.Millisecond
	// retryAfterUnavailable is the interval at which servers report, after which
	// a server may be available again.
	retryAfterUnavailable = time.Second
)

// Balancer chooses the backend servers of one service for one VM. It compares
// the expected load of two servers drawn at random and of the server chosen
// last. VMs do not communicate for this: each VM relies on the results of its
// own requests, and on reports only as far as they are recent and agree with
// these results.
type Balancer struct {
	cfg      Config
	rnd      *rand.Rand
	entryVMs int
	byName   map[string]*server
	servers  []*server
	pools    map[string]*pool

	lastSweepAt    time.Time
	medianSeconds  float64
	newestReportAt time.Time
	latencies      []float64
	candidates     []ejectionCandidate
}

// pool is the servers of one region, or of all regions.
type pool struct {
	servers  []*server
	lastBest *server
	// othersRatio is the work of the other VMs at the servers relative to this
	// VM's own.
	othersRatio float64
}

// New returns a Balancer without servers.
func New(cfg Config, rnd *rand.Rand) *Balancer {
	cfg.MaxEjectedShare = cmp.Or(cfg.MaxEjectedShare, defaultMaxEjectedShare)
	cfg.ColdStart = cmp.Or(cfg.ColdStart, defaultColdStart)
	cfg.ReportHalfLife = cmp.Or(cfg.ReportHalfLife, defaultReportHalfLife)
	cfg.ReportTimeout = cmp.Or(cfg.ReportTimeout, defaultReportTimeout)
	cfg.UnresponsiveTimeout = cmp.Or(cfg.UnresponsiveTimeout, defaultUnresponsiveTimeout)
	cfg.BaseEjectionTime = cmp.Or(cfg.BaseEjectionTime, defaultBaseEjectionTime)
	return &Balancer{cfg: cfg, rnd: rnd, entryVMs: 1, byName: make(map[string]*server)}
}

// SetServers sets the configured servers and the number of entry VMs, by
// which connection limits are divided. Servers that remain keep their state.
// Servers that are added later start with the cold-start ramp. The first ones
// do not, since the start of a VM says nothing about the servers.
func (b *Balancer) SetServers(now time.Time, servers []Server, entryVMs int) {
	b.entryVMs = max(1, entryVMs)
	initial := len(b.byName) == 0
	byName := make(map[string]*server, len(servers))
	b.servers = b.servers[:0]
	previous := b.pools
	b.pools = make(map[string]*pool, len(previous))
	for _, configured := range servers {
		s := b.byName[configured.Name]
		if s == nil {
			s = &server{trust: 1, warm: initial, rampStartedAt: now, averagedAt: now}
		}
		if s.Draining && !configured.Draining {
			s.startCold(now)
		}
		s.Server = configured
		s.connectionLimit = 0
		if configured.MaxConnections > 0 {
			s.connectionLimit = max(1, configured.MaxConnections/b.entryVMs)
		}
		byName[configured.Name] = s
		b.servers = append(b.servers, s)
		b.addToPool("", s)
		if configured.Region != "" {
			b.addToPool(configured.Region, s)
		}
	}
	b.byName = byName
	for region, p := range previous {
		if current := b.pools[region]; current != nil {
			current.othersRatio = min(p.othersRatio, float64(b.entryVMs-1))
		}
	}
}

func (b *Balancer) addToPool(region string, s *server) {
	p := b.pools[region]
	if p == nil {
		p = &pool{othersRatio: float64(b.entryVMs - 1)}
		b.pools[region] = p
	}
	p.servers = append(p.servers, s)
	s.pool = p
}

// Report records a server's report of its state and load. A leaving server
// gets no new work from then on, until a newer report shows another state.
func (b *Balancer) Report(now time.Time, name string, r Report) {
	s := b.byName[name]
	if s == nil {
		return
	}
	s.recordReport(now, r, s.relativeLatency(now, b.medianSeconds))
	if s.report.At.After(b.newestReportAt) {
		b.newestReportAt = s.report.At
	}
}

// Pick chooses a server for a new request and counts the request as in flight
// until Done. The error is a *NoServerError.
func (b *Balancer) Pick(now time.Time, in PickInput) (Server, error) {
	b.sweep(now)
	s := b.pickFrom(now, b.pools[in.Region], in.Exclude)
	if s == nil && in.AllowOtherRegions {
		s = b.pickFrom(now, b.pools[""], in.Exclude)
	}
	if s == nil {
		return Server{}, b.noServerError(in)
	}
	s.startRequest(now)
	return s.Server, nil
}

// pickFrom compares servers drawn at random and the one chosen last. If no
// drawn server is usable, it compares all servers.
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
	for try := 0; try < maxSampleDraws && drawn < sampleSize; try++ {
		s := p.servers[b.rnd.IntN(len(p.servers))]
		if s != best && usable(s, exclude) && b.passesColdStart(now, s) {
			consider(s)
			drawn++
		}
	}
	if s := p.lastBest; s != nil && usable(s, exclude) && s.rampShare(now, b.cfg.ColdStart) == 1 {
		consider(s)
	}
	if best == nil {
		for _, s := range p.servers {
			if usable(s, exclude) {
				consider(s)
			}
		}
	}
	p.lastBest = best
	return best
}

// passesColdStart accepts a cold server with a probability equal to its
// share. The score alone would attract requests of every VM, since the server
// has neither load nor latency yet.
func (b *Balancer) passesColdStart(now time.Time, s *server) bool {
	share := s.rampShare(now, b.cfg.ColdStart)
	return share == 1 || b.rnd.Float64() < share
}

// usable reports whether a server may get new work.
func usable(s *server, exclude []string) bool {
	return !s.leaving && !s.Draining && s.ejection.reason == NotEjected &&
		(s.connectionLimit == 0 || s.inFlight < s.connectionLimit) && !slices.Contains(exclude, s.Name)
}

// score estimates the time that one more request would take. It is the load
// that the request would find, scaled by failures and by the latency relative
// to the service's median, since a slow server needs longer for the same
// load. With the square of the latency, slow servers got so little work that
// the p50 at the peak was 10% higher.
func (b *Balancer) score(now time.Time, s *server) float64 {
	s.updateInFlight(now)
	medianLatency := defaultMedianLatency
	if b.medianSeconds > 0 {
		medianLatency = time.Duration(b.medianSeconds * float64(time.Second))
	}
	halfLife := min(b.cfg.ReportHalfLife, halfLifeLatencies*medianLatency)
	load := (float64(s.inFlight) + 1 + s.othersInFlight(now, s.pool.othersRatio, halfLife, medianLatency)) /
		(s.slots() * s.rampShare(now, b.cfg.ColdStart))
	score := load * s.relativeLatency(now, b.medianSeconds) * s.failurePenalty(now)
	if b.reportMissing(now, s) {
		score *= unreportedPenalty
	}
	return score
}

// Done records the result of a request for which Pick chose the server.
func (b *Balancer) Done(now time.Time, name string, o Outcome) {
	if s := b.byName[name]; s != nil {
		s.endRequest(now, o)
	}
}

func (b *Balancer) noServerError(in PickInput) *NoServerError {
	e := &NoServerError{RetryAfter: retryAfterUnavailable}
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
		e.RetryAfter = retryAfterFull
	}
	return e
}

// ConnectionLimit returns this VM's share of a server's connections, 0 if the
// server is unlimited or unknown.
func (b *Balancer) ConnectionLimit(name string) int {
	if s := b.byName[name]; s != nil {
		return s.connectionLimit
	}
	return 0
}

// Status returns the state of all servers in the order of SetServers.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	b.sweep(now)
	statuses := make([]ServerStatus, 0, len(b.servers))
	for _, s := range b.servers {
		age := time.Duration(-1)
		if s.reported {
			age = now.Sub(s.report.At)
		}
		statuses = append(statuses, ServerStatus{
			Name: s.Name, Region: s.Region, Leaving: s.leaving || s.Draining,
			Ejected: s.ejection.reason, InFlight: s.inFlight,
			Ramp: s.rampShare(now, b.cfg.ColdStart), Score: b.score(now, s),
			Latency:   time.Duration(s.latencySeconds * float64(time.Second)),
			ErrorRate: s.errorRate, ShedRate: s.shedRate, Trust: s.trust,
			ReportAge: age, ConnectionLimit: s.connectionLimit,
		})
	}
	return statuses
}
