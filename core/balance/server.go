package balance

import (
	"math"
	"time"
)

const (
	// latencyGain and failureGain are the weight of one result in the averages.
	// With 0.1, an average follows a change within about 20 results.
	latencyGain = 0.1
	failureGain = 0.1
	// inFlightTimeConstant is the time constant of the average of this VM's
	// requests in flight.
	inFlightTimeConstant = 300 * time.Millisecond
	// idleDecayTimeConstant is the time constant with which the latency and
	// failure averages of a server without results return to normal, so that the
	// server is tried again.
	idleDecayTimeConstant = 5 * time.Second
	// halfLifeLatencies bounds the half-life of a report, in median latencies:
	// after that time the work that it counted has been replaced. In the
	// simulation of measure/trafficsim with requests of 20 ms, a fixed half-life
	// of 700 ms raised p99 by 2% compared with ignoring the reports.
	halfLifeLatencies = 3
	// defaultMedianLatency is used until a median latency is known.
	defaultMedianLatency = 100 * time.Millisecond
	// minRampShare is the share with which the cold start begins.
	minRampShare = 0.1
	// minRelativeLatency and maxRelativeLatency bound the effect of latency on
	// the score.
	minRelativeLatency = 0.5
	maxRelativeLatency = 20
	// errorWeight and shedWeight scale the averages of errors and of shed
	// requests in the score.
	errorWeight = 10
	shedWeight  = 4
	// minSamples is the number of results required before a server can be
	// ejected for its latency or errors.
	minSamples = 10
	// distrustGain and trustGain change the weight of a server's reports when a
	// report contradicts, or agrees with, this VM's own observations.
	distrustGain = 0.5
	trustGain    = 0.05
)

// server is the state of one backend server.
type server struct {
	Server
	pool            *pool // of the server's region
	connectionLimit int   // this VM's share; 0 is unlimited
	rampStartedAt   time.Time
	warm            bool
	leaving         bool
	ejection        ejection

	inFlight        int
	averageInFlight float64
	averagedAt      time.Time
	noResponseSince time.Time // time since which requests in flight have got no response

	report           Report
	reported         bool
	inFlightAtReport float64
	averageReported  float64
	trust            float64

	latencySeconds         float64
	samples                int
	errorRate              float64
	shedRate               float64
	lastShedAt             time.Time
	consecutiveNoResponses int // timeouts and connection failures since the last response
	lastResultAt           time.Time
}

// decay returns exp(-age/timeConstant), 1 for negative ages.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// rampShare returns the share of its full work that the cold start allows the
// server.
func (s *server) rampShare(now time.Time, coldStart time.Duration) float64 {
	if s.warm {
		return 1
	}
	elapsed := float64(now.Sub(s.rampStartedAt)) / float64(coldStart)
	if elapsed >= 1 {
		s.warm = true
		return 1
	}
	return max(minRampShare, elapsed)
}

// startCold begins the cold-start ramp.
func (s *server) startCold(now time.Time) { s.warm, s.rampStartedAt = false, now }

// resetAverages clears the averages before a server is used again after an
// ejection.
func (s *server) resetAverages() {
	s.latencySeconds, s.samples, s.errorRate, s.shedRate, s.consecutiveNoResponses = 0, 0, 0, 0, 0
	s.lastShedAt = time.Time{}
}

// slots returns the number of usable slots.
func (s *server) slots() float64 {
	n := s.Slots
	if s.report.Slots > 0 {
		n = min(n, s.report.Slots)
	}
	return float64(max(1, n))
}

// startRequest counts a request as in flight.
func (s *server) startRequest(now time.Time) {
	s.updateInFlight(now)
	if s.inFlight == 0 {
		s.noResponseSince = now
	}
	s.inFlight++
}

// updateInFlight updates the average of this VM's requests in flight.
func (s *server) updateInFlight(now time.Time) {
	keep := decay(now.Sub(s.averagedAt), inFlightTimeConstant)
	s.averageInFlight = s.averageInFlight*keep + float64(s.inFlight)*(1-keep)
	s.averagedAt = now
}

// endRequest records the result of a request.
func (s *server) endRequest(now time.Time, o Outcome) {
	s.updateInFlight(now)
	s.inFlight = max(0, s.inFlight-1)
	switch o.Class {
	case ClassCanceled:
		return
	case ClassTimeout, ClassConnectFailed:
		s.consecutiveNoResponses++
		s.observeFailure(1)
	case ClassError:
		s.recordResponse(now)
		s.observeFailure(1)
	case ClassShed:
		s.recordResponse(now)
		s.lastShedAt = now
		s.shedRate += failureGain * (1 - s.shedRate)
	case ClassOK:
		s.recordResponse(now)
		s.observeFailure(0)
		s.shedRate -= failureGain * s.shedRate
		s.observeLatency(o.Latency)
	}
	s.lastResultAt = now
}

func (s *server) recordResponse(now time.Time) { s.noResponseSince, s.consecutiveNoResponses = now, 0 }

func (s *server) observeFailure(failure float64) {
	s.samples++
	s.errorRate += failureGain * (failure - s.errorRate)
}

func (s *server) observeLatency(d time.Duration) {
	seconds := d.Seconds()
	if s.latencySeconds == 0 {
		s.latencySeconds = seconds
		return
	}
	s.latencySeconds += latencyGain * (seconds - s.latencySeconds)
}

// recordReport records a report. It ignores reports older than the last one.
func (s *server) recordReport(now time.Time, r Report, relativeLatency float64) {
	if r.At.IsZero() {
		r.At = now
	}
	if s.reported && r.At.Before(s.report.At) {
		return
	}
	s.updateInFlight(now)
	s.updateTrust(r, relativeLatency)
	switch {
	case r.State == StateCold && (!s.reported || s.report.State != StateCold):
		s.startCold(now)
	case s.leaving && r.State != StateLeaving:
		s.startCold(now)
	}
	s.leaving = r.State == StateLeaving
	s.report, s.reported, s.inFlightAtReport = r, true, float64(s.inFlight)
}

// updateTrust compares a server's reports with this VM's own observations. It
// compares averages over several reports, since a single report can differ
// because of requests on their way, even if the server reports correctly.
func (s *server) updateTrust(r Report, relativeLatency float64) {
	const gain = 0.2
	s.averageReported += gain * (float64(r.InFlight) - s.averageReported)
	contradictsInFlight := s.averageReported < s.averageInFlight/2-0.25
	contradictsLatency := s.samples >= minSamples && relativeLatency > 2 && s.averageReported < s.slots()/2
	if s.reported && (contradictsInFlight || contradictsLatency) {
		s.trust *= 1 - distrustGain
		return
	}
	s.trust += trustGain * (1 - s.trust)
}

// othersInFlight estimates the requests that other VMs have in flight at the
// server. It uses the report as far as it is recent and trusted, and
// otherwise this VM's own average times the ratio of the others' work to its
// own, since all VMs choose by the same rules.
func (s *server) othersInFlight(now time.Time, ratio float64, halfLife, medianLatency time.Duration) float64 {
	estimate := s.averageInFlight * ratio
	if s.reported {
		weight := s.trust * decay(now.Sub(s.report.At), time.Duration(float64(halfLife)/math.Ln2))
		others := max(0, float64(s.report.InFlight)-s.inFlightAtReport)
		sinceReport := max(0, float64(s.inFlight)-s.inFlightAtReport)
		estimate = weight*(others+sinceReport*ratio) + (1-weight)*estimate
	}
	if !s.lastShedAt.IsZero() {
		// A server that sheds is full. Its slots are freed within the time of a
		// request.
		estimate = max(estimate, s.slots()*decay(now.Sub(s.lastShedAt), medianLatency))
	}
	return estimate
}

// relativeLatency returns the latency relative to the service's median. It
// returns to 1 while there are no results.
func (s *server) relativeLatency(now time.Time, medianSeconds float64) float64 {
	if s.latencySeconds == 0 || medianSeconds == 0 {
		return 1
	}
	keep := decay(now.Sub(s.lastResultAt), idleDecayTimeConstant)
	return min(maxRelativeLatency, max(minRelativeLatency, 1+(s.latencySeconds/medianSeconds-1)*keep))
}

// failurePenalty returns the factor by which failures and shed requests raise
// the score of the server.
func (s *server) failurePenalty(now time.Time) float64 {
	keep := decay(now.Sub(s.lastResultAt), idleDecayTimeConstant)
	return 1 + keep*(errorWeight*s.errorRate+shedWeight*s.shedRate)
}
