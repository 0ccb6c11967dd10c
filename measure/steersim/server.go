package steersim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// server models a backend server with slots, a queue and a cache of the objects
// that it used last.
type server struct {
	registration  *steering.Server
	clock         *virtual.Clock
	rnd           *rand.Rand
	running       int
	queue         []*job
	recentObjects []uint64
	// slowFactor multiplies the work of each request. failureFraction is the fraction
	// of requests that the server fails at once while it reports good health.
	slowFactor, failureFraction float64
	// workMS is the total work of the started requests.
	workMS  float64
	started int
}

// job is an attempt at a server. done is called with its outcome.
type job struct {
	object uint64
	done   func(outcome)
}

// outcome is the kind of response that a server gives.
type outcome int

const (
	succeeded outcome = iota
	failed
	shed
)

// accept fails, starts, sheds or queues a request.
func (s *server) accept(j *job) {
	switch {
	case s.rnd.Float64() < s.failureFraction:
		j.done(failed)
	case s.running < s.registration.Slots:
		s.start(j)
	case len(s.queue) >= shedQueuePerSlot*s.registration.Slots:
		j.done(shed)
	default:
		s.queue = append(s.queue, j)
	}
}

// start runs a request in a slot. When it ends, the next one in the queue starts.
func (s *server) start(j *job) {
	s.running++
	ms := coldWorkMS * (0.5 + s.rnd.Float64()) * s.slowFactor
	if s.useObject(j.object) {
		ms *= warmWorkFraction
	}
	s.workMS += ms
	s.started++
	s.clock.After(time.Duration(ms*float64(time.Millisecond)), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.start(next)
		}
		j.done(succeeded)
	})
}

// useObject reports whether the server had an object cached, and makes it the
// most recently used one.
func (s *server) useObject(object uint64) (cached bool) {
	if i := slices.Index(s.recentObjects, object); i >= 0 {
		s.recentObjects = slices.Delete(s.recentObjects, i, i+1)
		cached = true
	}
	s.recentObjects = append(s.recentObjects, object)
	if len(s.recentObjects) > cachedObjects {
		s.recentObjects = s.recentObjects[1:]
	}
	return cached
}
