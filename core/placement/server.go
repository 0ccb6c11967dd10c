package placement

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// troubleHalfLife is how fast bad marks of a server fade, so that it is
	// tried again within seconds after it recovers.
	troubleHalfLife = 3 * time.Second
	// markWeight is the weight of the newest request in a server's marks.
	markWeight = 0.25
	// slowWeight is the weight of the newest request in a server's slowness.
	slowWeight = 0.2
	// maxSlow bounds the slowness, so that it fades in bounded time.
	maxSlow = 25
	// othersWeight is the weight of the newest report in the load that other
	// VMs put on a server.
	othersWeight = 0.5
	// othersHalfLife is how fast a reported load is forgotten without a newer
	// report: about the time of two requests.
	othersHalfLife = 700 * time.Millisecond
	// firstSuspension is how long a server gets no requests after it could not
	// be reached; it doubles up to maxSuspension.
	firstSuspension = 500 * time.Millisecond
	maxSuspension   = 4 * time.Second
	// failuresInRow suspend a server.
	failuresInRow = 4
	// warmObjects is how many objects of a server this VM remembers.
	warmObjects = 64
	// warmingTime is after what time in use a server is taken to be warm for
	// the objects that rank it first: each was asked for a few times.
	warmingTime = 2 * time.Second
	// warmFor is for how long an object is taken to be warm after its last
	// request from this VM.
	warmFor = 12 * time.Second
)

// server is what this VM knows of a backend server from its own requests.
type server struct {
	told     *steering.Server
	hash     uint64
	inflight int
	// others is the load that other VMs put on the server.
	others   float64
	othersAt time.Duration
	// slow is how many times longer than usual its work takes.
	slow float64
	// failing and shedding are recent shares of failed and shed requests.
	failing, shedding float64
	marksAt           time.Duration
	failures          int
	// suspendedUntil is when the server may be probed again.
	suspendedUntil time.Duration
	suspension     time.Duration
	// suspect servers get no request until a probe answered.
	suspect   bool
	coldUntil time.Duration
	cold      ratelimit.Bucket
	coldOwner bool
	warm      map[uint64]time.Duration
	// usedSince is when this VM first used the server.
	used      bool
	usedSince time.Duration
}

func newServer(told *steering.Server) *server {
	return &server{told: told, hash: hashString(told.ID), slow: 1, coldUntil: told.ColdUntil}
}

// fade lets marks fade to now.
func (s *server) fade(now time.Duration) {
	if now <= s.marksAt {
		return
	}
	if s.failing == 0 && s.shedding == 0 && s.slow == 1 {
		s.marksAt = now
		return
	}
	f := math.Exp2(-float64(now-s.marksAt) / float64(troubleHalfLife))
	s.marksAt = now
	s.failing *= f
	s.shedding *= f
	s.slow = 1 + (s.slow-1)*f
}

// load is the estimated number of requests that the server runs and queues.
func (s *server) load(now time.Duration) float64 {
	others := s.others
	if others > 0 && now > s.othersAt {
		others *= math.Exp2(-float64(now-s.othersAt) / float64(othersHalfLife))
	}
	return others + float64(s.inflight)
}

func (s *server) report(now time.Duration, running, waiting int) {
	seen := max(0, float64(running+waiting-s.inflight))
	current := s.load(now) - float64(s.inflight)
	s.others = current + (seen-current)*othersWeight
	s.othersAt = now
}

func (s *server) suspend(now time.Duration) {
	s.suspension = min(max(2*s.suspension, firstSuspension), maxSuspension)
	s.suspendedUntil = now + s.suspension
	s.suspect = true
}

func (s *server) isWarm(now time.Duration, object uint64) bool {
	at, ok := s.warm[object]
	return ok && now-at < warmFor
}

func (s *server) touched(now time.Duration, object uint64) {
	if object == 0 {
		return
	}
	if s.warm == nil {
		s.warm = make(map[uint64]time.Duration)
	}
	if _, known := s.warm[object]; !known && len(s.warm) >= warmObjects {
		s.forgetOldest()
	}
	s.warm[object] = now
}

// forgetOldest drops the object that was asked for longest ago, as the server
// does.
func (s *server) forgetOldest() {
	var oldest uint64
	first := true
	for object, at := range s.warm {
		if first || at < s.warm[oldest] || at == s.warm[oldest] && object < oldest {
			oldest, first = object, false
		}
	}
	delete(s.warm, oldest)
}

func (s *server) isSuspended(now time.Duration) bool { return s.suspect || now < s.suspendedUntil }

func (s *server) isCold(now time.Duration) bool { return now < s.coldUntil }

func hashString(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return mix(h)
}

// HashObject returns the hash of an object of a class, never 0.
func HashObject(class, object string) uint64 {
	return max(1, mix(hashString(class)^mix(hashString(object)+1)))
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }
