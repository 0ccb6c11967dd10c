package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sweepInterval is the interval at which Pick updates the ejections and the
	// median latency.
	sweepInterval = 100 * time.Millisecond
	// maxEjectionTime bounds the doubling of the ejection time.
	maxEjectionTime = 60 * time.Second
	// ejectionCountTTL is the time without an ejection after which the next one
	// counts as the first again and is therefore short.
	ejectionCountTTL = 2 * time.Minute
	// unresponsiveLatencies is the number of median latencies without a response
	// after which a server counts as unresponsive, if that is longer than
	// Config.UnresponsiveTimeout.
	unresponsiveLatencies = 8
	// maxConsecutiveNoResponses is the number of consecutive timeouts and failed
	// connections after which a server counts as unresponsive.
	maxConsecutiveNoResponses = 3
	// maxErrorRate and maxLatencyRatio are the averages above which a server is
	// ejected. A latency of 3 times the median is beyond what uneven load causes
	// while slots are free.
	maxErrorRate    = 0.5
	maxLatencyRatio = 3
	// freshReportAge is the largest age of the service's newest report at which
	// a missing report is attributed to its server. If all reports are older,
	// the measurement itself may have failed.
	freshReportAge = time.Second
	// minOwnInFlight is the average of this VM's own requests in flight below
	// which the ratio of the others' work to its own is not measured.
	minOwnInFlight = 0.2
)

type ejection struct {
	reason EjectReason
	until  time.Time
	count  int
}

// ejectionCandidate is a server with a reason to eject it and its severity.
type ejectionCandidate struct {
	server   *server
	reason   EjectReason
	severity float64
}

// sweep ends the ejections whose time has passed and ejects the worst servers
// within the bound.
func (b *Balancer) sweep(now time.Time) {
	if !b.lastSweepAt.IsZero() && now.Sub(b.lastSweepAt) < sweepInterval {
		return
	}
	b.lastSweepAt = now
	b.medianSeconds = b.medianLatency()
	for _, p := range b.pools {
		p.updateOthersRatio(now, b.entryVMs)
	}
	bound := int(b.cfg.MaxEjectedShare * float64(len(b.servers)))
	ejected := 0
	for _, s := range b.servers {
		b.endEjection(now, s)
		if s.ejection.reason != NotEjected && ejected == bound {
			// The bound has decreased because servers were removed.
			b.readmit(now, s)
		}
		if s.ejection.reason != NotEjected {
			ejected++
		}
	}
	if ejected < bound {
		b.ejectWorst(now, bound-ejected)
	}
}

// ejectWorst ejects the servers with the most severe failures, at most limit.
func (b *Balancer) ejectWorst(now time.Time, limit int) {
	b.candidates = b.candidates[:0]
	for _, s := range b.servers {
		if s.ejection.reason != NotEjected {
			continue
		}
		if reason, severity := b.ejectionReason(now, s); reason != NotEjected {
			b.candidates = append(b.candidates, ejectionCandidate{server: s, reason: reason, severity: severity})
		}
	}
	slices.SortStableFunc(b.candidates, func(x, y ejectionCandidate) int { return cmp.Compare(y.severity, x.severity) })
	for _, candidate := range b.candidates[:min(limit, len(b.candidates))] {
		b.eject(now, candidate.server, candidate.reason)
	}
}

// ejectionReason returns the reason to eject a server, with its severity.
// Missing responses and failures are more severe than latency, since they
// lose requests.
func (b *Balancer) ejectionReason(now time.Time, s *server) (EjectReason, float64) {
	timeout := max(b.cfg.UnresponsiveTimeout, time.Duration(unresponsiveLatencies*b.medianSeconds*float64(time.Second)))
	switch {
	case s.consecutiveNoResponses >= maxConsecutiveNoResponses:
		return EjectUnresponsive, 4
	case s.inFlight > 0 && now.Sub(s.noResponseSince) > timeout:
		return EjectUnresponsive, 3
	case b.reportMissing(now, s):
		return EjectNoReport, 2.5
	case s.samples >= minSamples && s.errorRate > maxErrorRate:
		return EjectErrors, 1 + s.errorRate
	case s.samples >= minSamples && b.medianSeconds > 0 && s.latencySeconds > maxLatencyRatio*b.medianSeconds:
		return EjectLatency, 1 - b.medianSeconds/s.latencySeconds
	}
	return NotEjected, 0
}

func (b *Balancer) reportMissing(now time.Time, s *server) bool {
	return s.reported && now.Sub(s.report.At) > b.cfg.ReportTimeout && now.Sub(b.newestReportAt) <= freshReportAge
}

func (b *Balancer) eject(now time.Time, s *server, reason EjectReason) {
	if now.Sub(s.ejection.until) > ejectionCountTTL {
		s.ejection.count = 0
	}
	d := min(maxEjectionTime, b.cfg.BaseEjectionTime<<min(s.ejection.count, 10))
	s.ejection = ejection{reason: reason, until: now.Add(d), count: s.ejection.count + 1}
}

// endEjection returns a server to service when its ejection is over: on the
// cold-start ramp and with its averages reset. A server whose reports are
// still missing stays ejected.
func (b *Balancer) endEjection(now time.Time, s *server) {
	e := &s.ejection
	switch {
	case e.reason == NotEjected:
		return
	case e.reason == EjectNoReport && b.reportMissing(now, s):
		return
	case e.reason != EjectNoReport && now.Before(e.until):
		return
	}
	b.readmit(now, s)
}

func (b *Balancer) readmit(now time.Time, s *server) {
	s.ejection.reason = NotEjected
	s.resetAverages()
	s.startCold(now)
	s.noResponseSince = now
}

// medianLatency returns the median of the servers' average latencies in
// seconds, 0 if none is known.
func (b *Balancer) medianLatency() float64 {
	b.latencies = b.latencies[:0]
	for _, s := range b.servers {
		if s.latencySeconds > 0 {
			b.latencies = append(b.latencies, s.latencySeconds)
		}
	}
	if len(b.latencies) == 0 {
		return 0
	}
	slices.Sort(b.latencies)
	return b.latencies[len(b.latencies)/2]
}

// updateOthersRatio compares the work that the servers report with this VM's
// own. Only trusted reports of the last second count. Without any, the ratio
// stays as it is; initially all other VMs are assumed to send as much as this
// one.
func (p *pool) updateOthersRatio(now time.Time, entryVMs int) {
	var others, own float64
	for _, s := range p.servers {
		if s.reported && now.Sub(s.report.At) <= freshReportAge {
			others += s.trust * max(0, s.averageReported-s.averageInFlight)
			own += s.trust * s.averageInFlight
		}
	}
	if own >= minOwnInFlight {
		p.othersRatio = min(float64(entryVMs-1), others/own)
	}
}
