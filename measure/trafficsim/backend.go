package trafficsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// fault is the way in which a backend server misbehaves.
type fault uint8

const (
	_ fault = iota // no fault
	// faultSlow multiplies the service time by slowFactor.
	faultSlow
	// faultLying reports no load, and doubles the service time.
	faultLying
	// faultSilent accepts requests and never responds; reports continue.
	faultSilent
)

const (
	slowFactor  = 5
	lyingFactor = 2
	// serviceMean and serviceSpread give log-normal service times with a p99 of
	// about 2.7 times the mean.
	serviceMean   = 20 * time.Millisecond
	serviceSpread = 0.5
)

// job is a request at a backend server.
type job struct {
	respond func(balance.Class)
}

// backend models a backend server: slots, and a queue as long as its slots
// beyond which it sheds.
type backend struct {
	declared balance.Server
	clock    *virtual.Clock
	rnd      *rand.Rand
	fault    fault
	leaving  bool
	mute     bool // answers no report
	running  int
	queue    []job
	stuck    int
	received int
	lastWork time.Time
}

// receive takes a request that has arrived over the network.
func (b *backend) receive(j job) {
	b.received++
	b.lastWork = b.clock.Now
	switch {
	case b.fault == faultSilent:
		b.stuck++
	case b.running < b.declared.Slots:
		b.start(j)
	case len(b.queue) < b.declared.Slots:
		b.queue = append(b.queue, j)
	default:
		j.respond(balance.ClassShed)
	}
}

func (b *backend) start(j job) {
	b.running++
	b.clock.After(b.serviceTime(), func() {
		b.running--
		if b.fault == faultSilent {
			return
		}
		j.respond(balance.ClassOK)
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			b.start(next)
		}
	})
}

func (b *backend) serviceTime() time.Duration {
	const correction = serviceSpread * serviceSpread / 2
	t := float64(serviceMean) * math.Exp(b.rnd.NormFloat64()*serviceSpread-correction)
	switch b.fault {
	case faultSlow:
		t *= slowFactor
	case faultLying:
		t *= lyingFactor
	}
	return time.Duration(t)
}

// report returns the server's report, false if it answers none.
func (b *backend) report() (balance.Report, bool) {
	if b.mute {
		return balance.Report{}, false
	}
	r := balance.Report{At: b.clock.Now, Slots: b.declared.Slots, InFlight: b.running + len(b.queue) + b.stuck}
	if b.fault == faultLying || b.fault == faultSilent {
		r.InFlight = 0
	}
	if b.leaving {
		r.State = balance.StateLeaving
	}
	return r, true
}
