package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sweepEvery is the interval at which ejections and the median latency are
	// brought up to date, within Pick.
	sweepEvery = 100 * time.Millisecond
	// maxEjectFor bounds the doubling of ejections.
	maxEjectFor = 60 * time.Second
	// forgiveAfter is the time after an ejection after which the next one is
	// short again.
	forgiveAfter = 2 * time.Minute
	// silentLatencies is the number of median latencies without a response
	// after which a server counts as silent, if that is longer than UnresponsiveTimeout.
	silentLatencies = 8
	// deadResults is the number of timeouts or failed connections in a row
	// after which a server counts as silent.
	deadResults = 3
	// ejectErrorRate and ejectLatency are the averages that eject. Latency of
	// 3 times the median is beyond what uneven load causes below full slots.
	ejectErrorRate = 0.5
	ejectLatency   = 3
	// reportsCurrent is the age of the youngest report of the service up to
	// which missing reports are blamed on the servers, not on the measurement.
	reportsCurrent = time.Second
	// minOwnWork is the own work in flight below which the ratio of others' work
	// to own work is not measured.
	minOwnWork = 0.2
)

type ejection struct {
	reason EjectReason
	until  time.Time
	count  int
}

// fault is a reason to eject a server with its severity.
type fault struct {
	server   *server
	reason   EjectReason
	severity float64
}

// sweep ends ejections whose time is over and ejects the worst servers within
// the bound.
func (b *Balancer) sweep(now time.Time) {
	if !b.sweptAt.IsZero() && now.Sub(b.sweptAt) < sweepEvery {
		return
	}
	b.sweptAt = now
	b.median = b.medianLatency()
	for _, p := range b.pools {
		p.observeRatio(now, b.entryVMs)
	}
	bound := int(b.cfg.MaxEjectedShare * float64(len(b.servers)))
	ejected := 0
	for _, s := range b.servers {
		b.endEjection(now, s)
		if s.ejection.reason != NotEjected && ejected == bound {
			// The bound fell because servers were removed.
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

// ejectWorst ejects at most room servers, those with the severest faults.
func (b *Balancer) ejectWorst(now time.Time, room int) {
	b.faults = b.faults[:0]
	for _, s := range b.servers {
		if s.ejection.reason != NotEjected {
			continue
		}
		if reason, severity := b.faultOf(now, s); reason != NotEjected {
			b.faults = append(b.faults, fault{server: s, reason: reason, severity: severity})
		}
	}
	slices.SortStableFunc(b.faults, func(x, y fault) int { return cmp.Compare(y.severity, x.severity) })
	for _, f := range b.faults[:min(room, len(b.faults))] {
		b.eject(now, f.server, f.reason)
	}
}

// faultOf returns the reason for which a server should be ejected. Silence and
// failures have a higher severity than latency, since they lose requests.
func (b *Balancer) faultOf(now time.Time, s *server) (EjectReason, float64) {
	silent := max(b.cfg.UnresponsiveTimeout, time.Duration(silentLatencies*b.median*float64(time.Second)))
	switch {
	case s.timeoutsOnly >= deadResults:
		return EjectUnresponsive, 4
	case s.inFlight > 0 && now.Sub(s.waitingSince) > silent:
		return EjectUnresponsive, 3
	case b.reportMissing(now, s):
		return EjectNoReport, 2.5
	case s.samples >= minSamples && s.errorRate > ejectErrorRate:
		return EjectErrors, 1 + s.errorRate
	case s.samples >= minSamples && b.median > 0 && s.latency > ejectLatency*b.median:
		return EjectLatency, 1 - b.median/s.latency
	}
	return NotEjected, 0
}

func (b *Balancer) reportMissing(now time.Time, s *server) bool {
	return s.reported && now.Sub(s.report.At) > b.cfg.ReportTimeout && now.Sub(b.reportAt) <= reportsCurrent
}

func (b *Balancer) eject(now time.Time, s *server, reason EjectReason) {
	if now.Sub(s.ejection.until) > forgiveAfter {
		s.ejection.count = 0
	}
	d := min(maxEjectFor, b.cfg.BaseEjectionTime<<min(s.ejection.count, 10))
	s.ejection = ejection{reason: reason, until: now.Add(d), count: s.ejection.count + 1}
}

// endEjection returns a server to service on the cold-start ramp, with its
// averages dropped. One whose reports are still missing stays ejected.
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
	s.forget()
	s.startCold(now)
	s.waitingSince = now
}

// medianLatency returns the median of the servers' average latencies, 0 if none
// is known.
func (b *Balancer) medianLatency() float64 {
	b.latencies = b.latencies[:0]
	for _, s := range b.servers {
		if s.latency > 0 {
			b.latencies = append(b.latencies, s.latency)
		}
	}
	if len(b.latencies) == 0 {
		return 0
	}
	slices.Sort(b.latencies)
	return b.latencies[len(b.latencies)/2]
}

// observeRatio compares the work that the servers report with this VM's own. Only
// trusted reports of the last second count. Without them the last ratio remains;
// at first all other VMs are assumed to send as much as this one.
func (p *pool) observeRatio(now time.Time, entryVMs int) {
	var others, own float64
	for _, s := range p.servers {
		if s.reported && now.Sub(s.report.At) <= reportsCurrent {
			others += s.trust * max(0, s.reportAverage-s.ownAverage)
			own += s.trust * s.ownAverage
		}
	}
	if own >= minOwnWork {
		p.ratio = min(float64(entryVMs-1), others/own)
	}
}
