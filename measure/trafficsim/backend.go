package trafficsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// fault is the way in which a backend server fails.
type fault uint8

const (
	_ fault = iota // no fault
	// faultSlow multiplies the service time by slowFactor.
	faultSlow
	// faultFalseReports makes the server report no load and multiplies the service
	// time by falseReportsFactor.
	faultFalseReports
	// faultNoResponse makes the server accept requests and never respond. It still
	// reports, but reports no load.
	faultNoResponse
)

const (
	slowFactor         = 5
	falseReportsFactor = 2
	// meanServiceTime and serviceTimeSigma define a log-normal distribution of
	// service times, whose p99 is about 2.7 times the mean.
	meanServiceTime  = 20 * time.Millisecond
	serviceTimeSigma = 0.5
)

// backendRequest is a request at a backend server.
type backendRequest struct {
	respond func(balance.Class)
}

// backend models a backend server. It has slots and a queue with as many places as it
// has slots, and sheds requests when the queue is full.
type backend struct {
	declared       balance.Server
	clock          *virtual.Clock
	rng            *rand.Rand
	fault          fault
	leaving        bool
	reportsStopped bool // sends no reports
	running        int
	queue          []backendRequest
	heldRequests   int
	received       int
	lastReceivedAt time.Time
}

// receive handles a request that arrives over the network.
func (b *backend) receive(req backendRequest) {
	b.received++
	b.lastReceivedAt = b.clock.Now
	switch {
	case b.fault == faultNoResponse:
		b.heldRequests++
	case b.running < b.declared.Slots:
		b.start(req)
	case len(b.queue) < b.declared.Slots:
		b.queue = append(b.queue, req)
	default:
		req.respond(balance.ClassShed)
	}
}

func (b *backend) start(req backendRequest) {
	b.running++
	b.clock.After(b.serviceTime(), func() {
		b.running--
		if b.fault == faultNoResponse {
			return
		}
		req.respond(balance.ClassOK)
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			b.start(next)
		}
	})
}

func (b *backend) serviceTime() time.Duration {
	const correction = serviceTimeSigma * serviceTimeSigma / 2
	duration := float64(meanServiceTime) * math.Exp(b.rng.NormFloat64()*serviceTimeSigma-correction)
	switch b.fault {
	case faultSlow:
		duration *= slowFactor
	case faultFalseReports:
		duration *= falseReportsFactor
	}
	return time.Duration(duration)
}

// report returns the server's report, or false if it sends none.
func (b *backend) report() (balance.Report, bool) {
	if b.reportsStopped {
		return balance.Report{}, false
	}
	r := balance.Report{At: b.clock.Now, Slots: b.declared.Slots, InFlight: b.running + len(b.queue) + b.heldRequests}
	if b.fault == faultFalseReports || b.fault == faultNoResponse {
		r.InFlight = 0
	}
	if b.leaving {
		r.State = balance.StateLeaving
	}
	return r, true
}
