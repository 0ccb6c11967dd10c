package balance

import (
	"math"
	"time"
)

const (
	// latencyGain and failureGain weigh one result in the averages: 0.1 follows
	// a change within about 20 results.
	latencyGain = 0.1
	failureGain = 0.1
	// ownLoadTime is the time constant of the average of own requests in flight.
	ownLoadTime = 300 * time.Millisecond
	// idleDecayTime is the time constant with which the latency and failure
	// averages of a server without results return to normal, so that it is
	// tried again.
	idleDecayTime = 5 * time.Second
	// reportLatencies bounds the half-life of a report, in median latencies:
	// after that the work it counted has been replaced. In the simulation of
	// measure/trafficsim with 20 ms requests, a fixed half-life of 700 ms raised
	// p99 by 2% over ignoring the reports.
	reportLatencies = 3
	// unknownLatency stands for the median latency until one is known.
	unknownLatency = 100 * time.Millisecond
	// minRamp is the share with which the cold start begins.
	minRamp = 0.1
	// minRelativeLatency and maxRelativeLatency bound the effect of latency on
	// the score.
	minRelativeLatency = 0.5
	maxRelativeLatency = 20
	// errorWeight and shedWeight scale the averages in the score.
	errorWeight = 10
	shedWeight  = 4
	// minSamples is the number of results before latency or errors can eject.
	minSamples = 10
	// distrustGain and trustGain change the weight of reports on a report that
	// contradicts, or agrees with, the own observations.
	distrustGain = 0.5
	trustGain    = 0.05
)

// server is the state of one backend server.
type server struct {
	Server
	pool        *pool // of the server's region
	connections int   // this VM's part; 0 is unlimited
	warmFrom    time.Time
	warm        bool
	leaving     bool
	ejection    ejection

	inFlight     int
	ownAverage   float64
	ownAt        time.Time
	waitingSince time.Time // last sign of life while requests are in flight

	report        Report
	reported      bool
	ownAtReport   float64
	reportAverage float64
	trust         float64

	latency      float64 // seconds
	samples      int
	errorRate    float64
	shedRate     float64
	shedAt       time.Time
	timeoutsOnly int // timeouts and connection failures since the last response
	resultAt     time.Time
}

// decay returns exp(-age/constant), 1 for negative ages.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// share returns the part of the full share that the cold start allows.
func (s *server) share(now time.Time, coldStart time.Duration) float64 {
	if s.warm {
		return 1
	}
	part := float64(now.Sub(s.warmFrom)) / float64(coldStart)
	if part >= 1 {
		s.warm = true
		return 1
	}
	return max(minRamp, part)
}

// startCold begins the cold-start ramp.
func (s *server) startCold(now time.Time) { s.warm, s.warmFrom = false, now }

// forget drops the averages, before a server is tried again after an ejection.
func (s *server) forget() {
	s.latency, s.samples, s.errorRate, s.shedRate, s.timeoutsOnly = 0, 0, 0, 0, 0
	s.shedAt = time.Time{}
}

// slots returns the usable number of slots.
func (s *server) slots() float64 {
	n := s.Slots
	if s.report.Slots > 0 {
		n = min(n, s.report.Slots)
	}
	return float64(max(1, n))
}

// begin counts a request in flight.
func (s *server) begin(now time.Time) {
	s.observeOwn(now)
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	s.inFlight++
}

// observeOwn brings the average of own requests in flight up to date.
func (s *server) observeOwn(now time.Time) {
	keep := decay(now.Sub(s.ownAt), ownLoadTime)
	s.ownAverage = s.ownAverage*keep + float64(s.inFlight)*(1-keep)
	s.ownAt = now
}

// end counts the result of a request.
func (s *server) end(now time.Time, o Outcome) {
	s.observeOwn(now)
	s.inFlight = max(0, s.inFlight-1)
	switch o.Class {
	case ClassCanceled:
		return
	case ClassTimeout, ClassConnectFailed:
		s.timeoutsOnly++
		s.fail(1)
	case ClassError:
		s.alive(now)
		s.fail(1)
	case ClassShed:
		s.alive(now)
		s.shedAt = now
		s.shedRate += failureGain * (1 - s.shedRate)
	case ClassOK:
		s.alive(now)
		s.fail(0)
		s.shedRate -= failureGain * s.shedRate
		s.observeLatency(o.Latency)
	}
	s.resultAt = now
}

func (s *server) alive(now time.Time) { s.waitingSince, s.timeoutsOnly = now, 0 }

func (s *server) fail(v float64) {
	s.samples++
	s.errorRate += failureGain * (v - s.errorRate)
}

func (s *server) observeLatency(d time.Duration) {
	v := d.Seconds()
	if s.latency == 0 {
		s.latency = v
		return
	}
	s.latency += latencyGain * (v - s.latency)
}

// receive records a report. Older reports than the last one are dropped.
func (s *server) receive(now time.Time, r Report, relative float64) {
	if r.At.IsZero() {
		r.At = now
	}
	if s.reported && r.At.Before(s.report.At) {
		return
	}
	s.observeOwn(now)
	s.judge(r, relative)
	switch {
	case r.State == StateCold && (!s.reported || s.report.State != StateCold):
		s.startCold(now)
	case s.leaving && r.State != StateLeaving:
		s.startCold(now)
	}
	s.leaving = r.State == StateLeaving
	s.report, s.reported, s.ownAtReport = r, true, float64(s.inFlight)
}

// judge compares a report with the own observations. The averages over several
// reports are compared: single reports and requests on their way differ for
// honest servers too.
func (s *server) judge(r Report, relative float64) {
	const gain = 0.2
	s.reportAverage += gain * (float64(r.InFlight) - s.reportAverage)
	contradictsOwn := s.reportAverage < s.ownAverage/2-0.25
	contradictsLatency := s.samples >= minSamples && relative > 2 && s.reportAverage < s.slots()/2
	if s.reported && (contradictsOwn || contradictsLatency) {
		s.trust *= 1 - distrustGain
		return
	}
	s.trust += trustGain * (1 - s.trust)
}

// others estimates the requests that other VMs have in flight at the server:
// the report as far as it is young and trusted, otherwise the own average times
// the ratio of others' work to own work, as all VMs choose by the same rules.
func (s *server) others(now time.Time, ratio float64, halfLife, turnover time.Duration) float64 {
	estimate := s.ownAverage * ratio
	if s.reported {
		w := s.trust * decay(now.Sub(s.report.At), time.Duration(float64(halfLife)/math.Ln2))
		others := max(0, float64(s.report.InFlight)-s.ownAtReport)
		unseen := max(0, float64(s.inFlight)-s.ownAtReport)
		estimate = w*(others+unseen*ratio) + (1-w)*estimate
	}
	if !s.shedAt.IsZero() {
		// A server that has shed is full; its slots free up within a request's time.
		estimate = max(estimate, s.slots()*decay(now.Sub(s.shedAt), turnover))
	}
	return estimate
}

// relativeLatency returns the latency relative to the service's median. It
// returns to 1 while there are no results.
func (s *server) relativeLatency(now time.Time, median float64) float64 {
	if s.latency == 0 || median == 0 {
		return 1
	}
	keep := decay(now.Sub(s.resultAt), idleDecayTime)
	return min(maxRelativeLatency, max(minRelativeLatency, 1+(s.latency/median-1)*keep))
}

// penalty raises the score of a server that fails or sheds.
func (s *server) penalty(now time.Time) float64 {
	keep := decay(now.Sub(s.resultAt), idleDecayTime)
	return 1 + keep*(errorWeight*s.errorRate+shedWeight*s.shedRate)
}
