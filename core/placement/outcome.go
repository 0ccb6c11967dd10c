package placement

import "time"

// RequestStarted records that a request was sent to the chosen server.
func (p *Picker) RequestStarted(now time.Duration, r *Request, c Choice) {
	if s := p.servers[c.Server.ID]; s != nil {
		if !s.inUse {
			s.inUse, s.inUseSince = true, now
		}
		s.inflight++
		if s.limit.named && s.limit.owner == p.vm {
			s.limit.bucket.Take(now)
		}
		s.markWarm(now, r.Object)
		if g := p.groups[r.Service]; g != nil {
			g.meanWorkMS += (c.workMS - g.meanWorkMS) * workWeight
		}
	}
}

// Result is the outcome of a request that was sent to a server.
type Result int

// Outcomes of a request.
const (
	// Succeeded means a complete response that is not a failure of the server.
	Succeeded Result = iota
	// Failed means a failure response, or one that is incomplete or malformed.
	Failed
	// Unresponsive means that no response came in time.
	Unresponsive
	// Shed means that the server rejected the request without running it.
	Shed
	// Unreachable means that no connection was established.
	Unreachable
	// Misdirected means that another server listens on the address.
	Misdirected
	// Abandoned means that the attempt ended for a reason that says nothing about the
	// server, such as a caller that left.
	Abandoned
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"succeeded", "failed", "mute", "shed", "unreachable", "misdirected", "abandoned"}[r]
}

// RequestFinished records the result of a started request and the time it took. It
// reports whether the server was suspended because of the result.
func (p *Picker) RequestFinished(now time.Duration, r *Request, c Choice, result Result, elapsed time.Duration) (suspended bool) {
	s := p.servers[c.Server.ID]
	if s == nil {
		return false
	}
	wasSuspended := s.needsProbe
	s.inflight = max(0, s.inflight-1)
	s.decayPenalties(now)
	switch result {
	case Succeeded:
		s.answered, s.answeredAt = true, now
		s.consecutiveFailures = 0
		s.suspensionTime = 0
		s.unreachable, s.misdirected = false, false
		s.failureShare -= s.failureShare * outcomeWeight
		s.shedShare -= s.shedShare * outcomeWeight
		p.recordLatency(r, c, s, elapsed)
	case Failed:
		s.consecutiveFailures++
		s.failureShare += (1 - s.failureShare) * outcomeWeight
		if s.consecutiveFailures >= maxConsecutiveFailures {
			s.consecutiveFailures = 0
			s.suspend(now)
		}
	case Unresponsive:
		// A server that vanished costs every request its whole timeout. A probe
		// shows within one round trip whether the server was only slow.
		s.failureShare += (1 - s.failureShare) * outcomeWeight
		s.suspend(now)
		s.unreachable = true
	case Shed:
		s.shedShare += (1 - s.shedShare) * outcomeWeight
	case Unreachable:
		s.suspend(now)
		s.unreachable = true
	case Misdirected:
		s.suspend(now)
		s.misdirected = true
	}
	return s.needsProbe && !wasSuspended
}

func (p *Picker) recordLatency(r *Request, c Choice, s *server, elapsed time.Duration) {
	g := p.groups[r.Service]
	if g == nil {
		return
	}
	elapsedMS := float64(elapsed) / float64(time.Millisecond)
	expectedMS := max(1, float64(c.ExpectedLatency)/float64(time.Millisecond))
	ratio := min(max(elapsedMS/expectedMS, 0.2), maxSlowness)
	// Slowness is relative to the other servers of the service: an increase
	// that all of them show comes from load or work that the estimate did not
	// include.
	g.latencyRatio += (ratio - g.latencyRatio) * latencyRatioWeight
	s.slowness = max(1, s.slowness+(ratio/max(1, g.latencyRatio)*s.slowness-s.slowness)*slownessWeight)
	workMS := elapsedMS - p.rtt(s.registration.Region)
	if c.waitMS > 0 || workMS <= 0 || s.slowness > maxSlownessForWork {
		return
	}
	estimate := p.workEstimate(r)
	workMS = min(workMS, maxSampleFactor*estimate.coldMS)
	estimate.observe(c.Warm, workMS)
}

const (
	// latencyRatioWeight is the weight of the newest request in the latency ratio
	// of a service.
	latencyRatioWeight = 0.02
	// maxSlownessForWork is the slowness above which a server's latencies are not
	// used to measure the work of a route.
	maxSlownessForWork = 1.5
	// maxSampleFactor bounds one measurement to a multiple of the cold work: a
	// request that met an unknown queue says little about the work.
	maxSampleFactor = 2
)

// LoadReported records the load that a server reported with a response.
func (p *Picker) LoadReported(now time.Duration, id string, running, waiting int) {
	if s := p.servers[id]; s != nil {
		s.recordLoad(now, running, waiting)
	}
}

// ConnectionOpened records how long it took to open a connection to a region.
func (p *Picker) ConnectionOpened(region string, elapsed time.Duration) {
	ms := float64(elapsed) / float64(time.Millisecond)
	if old, ok := p.rttMS[region]; ok {
		ms = old + (ms-old)*rttWeight
	}
	p.rttMS[region] = ms
}

// rttWeight is the weight of the newest connection in the round-trip time.
const rttWeight = 0.1
