package steersim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// server models a backend server: slots, a queue and the objects that it
// handled last.
type server struct {
	told    *steering.Server
	clock   *virtual.Clock
	rnd     *rand.Rand
	running int
	queue   []*job
	kept    []uint64
	// slow multiplies its work, failing is the share of requests that it fails
	// at once, while its health looks good.
	slow, failing float64
	// workMS is the work done and handled the number of requests, for means.
	workMS  float64
	handled int
}

// job is a request at a server. done is called with its outcome.
type job struct {
	object uint64
	done   func(outcome)
}

// outcome is how a server answers.
type outcome int

const (
	answered outcome = iota
	failed
	shed
)

// arrive takes a request.
func (s *server) arrive(j *job) {
	switch {
	case s.rnd.Float64() < s.failing:
		j.done(failed)
	case s.running < s.told.Slots:
		s.start(j)
	case len(s.queue) >= shedQueue*s.told.Slots:
		j.done(shed)
	default:
		s.queue = append(s.queue, j)
	}
}

func (s *server) start(j *job) {
	s.running++
	ms := coldWorkMS * (0.5 + s.rnd.Float64()) * s.slow
	if s.touch(j.object) {
		ms *= warmPart
	}
	s.workMS += ms
	s.handled++
	s.clock.After(time.Duration(ms*float64(time.Millisecond)), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.start(next)
		}
		j.done(answered)
	})
}

// touch reports whether the server had an object and keeps it as the newest.
func (s *server) touch(object uint64) (had bool) {
	if i := slices.Index(s.kept, object); i >= 0 {
		s.kept = slices.Delete(s.kept, i, i+1)
		had = true
	}
	s.kept = append(s.kept, object)
	if len(s.kept) > keptObjects {
		s.kept = s.kept[1:]
	}
	return had
}
