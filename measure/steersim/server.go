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
	inProgress    []*job
	queue         []*job
	recentObjects []uint64
	// slowFactor multiplies the work of each request. failureFraction is the fraction
	// of requests that the server fails at once while it reports good health.
	slowFactor, failureFraction float64
	// workMS is the total work of the started requests.
	workMS  float64
	started int
	// limit is the number of requests per second that the server names in its
	// responses from limitedAt until limitEndsAt; 0 if it names none. limitEndsAt is 0
	// if the limit does not end.
	limit                  float64
	limitedAt, limitEndsAt time.Duration
	arrivals               []arrival
	// downUntil is when the server is back after a crash; crashes counts those.
	downUntil time.Duration
	crashes   int
	// crashed is called at a crash; nil if there is none.
	crashed func()
	// toldAt is when each VM first passed on a response that names the limit.
	toldAt map[string]time.Duration
}

// arrival is an attempt that reached a server.
type arrival struct {
	at time.Duration
	vm string
}

// namesLimit reports whether a response at now names a limit.
func (s *server) namesLimit(now time.Duration) bool {
	return s.limit > 0 && now >= s.limitedAt && (s.limitEndsAt == 0 || now < s.limitEndsAt)
}

// The users' rule on limits that servers name: from limitSettleTime after a server first
// named one, it gets at most limitTolerance times what the limit allows in limitWindow,
// and limitMargin requests. VMs count from limitNotice after they passed it on.
const (
	limitSettleTime = 4 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitMargin     = 5
	limitNotice     = 500 * time.Millisecond
)

// limitExcess returns the largest number of requests in a window that the rule on named
// limits counts, and the number that it allows. With all, the requests of VMs that did
// not pass on the limit count as well.
func (s *server) limitExcess(all bool) (counted int, allowed float64) {
	var times []time.Duration
	for _, a := range s.arrivals {
		told, isTold := s.toldAt[a.vm]
		if a.at >= s.limitedAt+limitSettleTime && (s.limitEndsAt == 0 || a.at < s.limitEndsAt) && (all || isTold && a.at >= told+limitNotice) {
			times = append(times, a.at)
		}
	}
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= limitWindow {
			first++
		}
		counted = max(counted, last-first+1)
	}
	return counted, limitTolerance*s.limit*limitWindow.Seconds() + limitMargin
}

// job is an attempt at a server. done is called with its outcome.
type job struct {
	object uint64
	vm     string
	// crashes is set if the server crashes when it runs the request.
	crashes bool
	done    func(outcome)
}

// outcome is the kind of response that a server gives.
type outcome int

const (
	succeeded outcome = iota
	failed
	shed
	// lost is a request that was in progress when the server crashed, refused one that
	// came while it was down.
	lost
	refused
)

// accept fails, starts, sheds or queues a request.
func (s *server) accept(j *job) {
	if s.clock.Elapsed() < s.downUntil {
		j.done(refused)
		return
	}
	s.arrivals = append(s.arrivals, arrival{s.clock.Elapsed(), j.vm})
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
	s.inProgress = append(s.inProgress, j)
	if j.crashes {
		s.clock.After(crashAfter, s.crash)
		return
	}
	s.clock.After(time.Duration(ms*float64(time.Millisecond)), func() {
		i := slices.Index(s.inProgress, j)
		if i < 0 {
			return
		}
		s.inProgress = slices.Delete(s.inProgress, i, i+1)
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
