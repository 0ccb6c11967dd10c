package placement

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// penaltyHalfLife is the time in which the penalties of a server decay by
	// half, so that it is used again within seconds after it recovers.
	penaltyHalfLife = 3 * time.Second
	// outcomeWeight is the weight of the newest request in the failure and shed
	// shares of a server.
	outcomeWeight = 0.25
	// slownessWeight is the weight of the newest request in a server's slowness.
	slownessWeight = 0.2
	// maxSlowness bounds the slowness, so that it decays in bounded time.
	maxSlowness = 25
	// reportedLoadWeight is the weight of the newest report in the load that
	// other VMs put on a server.
	reportedLoadWeight = 0.5
	// reportedLoadHalfLife is the time in which a reported load decays by half
	// without a newer report. It is about the duration of two requests.
	reportedLoadHalfLife = 700 * time.Millisecond
	// minSuspension is how long a server gets no requests after it could not be
	// reached. Each further suspension doubles the time, up to maxSuspension.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
	// recentAnswerTime is how long an answer shows that a server is alive, and verifyTime how
	// long it is used without its registration until a probe has shown it again. Both are
	// well below the time after which a leaving server must get nothing.
	recentAnswerTime = time.Second
	verifyTime       = time.Second
	// maxConsecutiveFailures is the number of failures in a row after which a
	// server is suspended.
	maxConsecutiveFailures = 4
	// maxWarmObjects bounds the objects that this VM tracks per server.
	maxWarmObjects = 64
	// warmUpTime is how long a server must be in use to count as warm for the
	// objects that rank it first. In that time each was requested a few times.
	warmUpTime = 2 * time.Second
	// warmObjectTTL is how long an object counts as warm after its last request
	// from this VM.
	warmObjectTTL = 12 * time.Second
)

// server is what this VM learned about a backend server from its own requests.
type server struct {
	registration *steering.Server
	hash         uint64
	inflight     int
	// othersLoad is the load that other VMs put on the server, at othersLoadAt.
	othersLoad   float64
	othersLoadAt time.Duration
	// slowness is how many times longer than usual the work of a request takes.
	slowness float64
	// failureShare and shedShare are the recent shares of failed and shed requests.
	failureShare, shedShare float64
	// penaltiesAt is when slowness, failureShare and shedShare last decayed.
	penaltiesAt         time.Duration
	consecutiveFailures int
	// suspendedUntil is the time from which on the server may be probed.
	suspendedUntil time.Duration
	suspensionTime time.Duration
	// answeredAt is when the server last completed a request of this VM.
	answered   bool
	answeredAt time.Duration
	// verifyUntil is set for a server that lost its registration shortly after it had
	// answered: it is used until then, unless a probe, which verifying says was sent,
	// succeeds before; 0 if not.
	verifyUntil time.Duration
	verifying   bool
	// needsProbe is set while the server gets no requests until a probe succeeds.
	needsProbe bool
	// unreachable is set if the server was suspended, at suspendedAt, because it did not
	// answer this VM.
	unreachable bool
	suspendedAt time.Duration
	// misdirected is set if the server was suspended because another one has its address.
	misdirected    bool
	coldUntil      time.Duration
	coldBucket     ratelimit.Bucket
	sharesColdRate bool
	limit          namedLimit
	// leaving and pausedUntil are what the server has said of itself.
	leaving     bool
	pausedUntil time.Duration
	// lastUsed is when this VM last requested each object that it tracks.
	lastUsed map[uint64]time.Duration
	// inUse is set once this VM has used the server, inUseSince when it first did.
	inUse      bool
	inUseSince time.Duration
}

func newServer(registration *steering.Server) *server {
	return &server{registration: registration, hash: hashString(registration.ID), slowness: 1, coldUntil: registration.ColdUntil}
}

// decayPenalties lets failureShare, shedShare and slowness decay until now.
func (s *server) decayPenalties(now time.Duration) {
	if now <= s.penaltiesAt {
		return
	}
	if s.failureShare == 0 && s.shedShare == 0 && s.slowness == 1 {
		s.penaltiesAt = now
		return
	}
	factor := math.Exp2(-float64(now-s.penaltiesAt) / float64(penaltyHalfLife))
	s.penaltiesAt = now
	s.failureShare *= factor
	s.shedShare *= factor
	s.slowness = 1 + (s.slowness-1)*factor
}

// load returns the estimated number of requests that the server runs and queues.
func (s *server) load(now time.Duration) float64 {
	others := s.othersLoad
	if others > 0 && now > s.othersLoadAt {
		others *= math.Exp2(-float64(now-s.othersLoadAt) / float64(reportedLoadHalfLife))
	}
	return others + float64(s.inflight)
}

func (s *server) recordLoad(now time.Duration, running, waiting int) {
	reported := max(0, float64(running+waiting-s.inflight))
	current := s.load(now) - float64(s.inflight)
	s.othersLoad = current + (reported-current)*reportedLoadWeight
	s.othersLoadAt = now
}

func (s *server) suspend(now time.Duration) {
	s.suspensionTime = min(max(2*s.suspensionTime, minSuspension), maxSuspension)
	s.suspendedUntil = now + s.suspensionTime
	if !s.needsProbe {
		s.suspendedAt = now
	}
	s.needsProbe = true
}

// registrationLost makes a server that lost its registration wait for a probe, at once or
// after verifyTime.
func (s *server) registrationLost(now time.Duration) {
	if s.answered && now-s.answeredAt < recentAnswerTime && !s.needsProbe {
		s.verifyUntil, s.verifying = now+verifyTime, false
		return
	}
	s.needsProbe, s.suspendedUntil = true, now
}

// isProbeDue reports whether the server is to be probed now.
func (s *server) isProbeDue(now time.Duration) bool {
	if s.verifyUntil > 0 && now >= s.verifyUntil {
		s.verifyUntil = 0
		s.needsProbe, s.suspendedUntil = true, now
	}
	if s.verifyUntil > 0 && !s.verifying {
		s.verifying = true
		return true
	}
	return s.needsProbe && now >= s.suspendedUntil
}

func (s *server) isWarm(now time.Duration, object uint64) bool {
	at, ok := s.lastUsed[object]
	return ok && now-at < warmObjectTTL
}

func (s *server) markWarm(now time.Duration, object uint64) {
	if object == 0 {
		return
	}
	if s.lastUsed == nil {
		s.lastUsed = make(map[uint64]time.Duration)
	}
	if _, known := s.lastUsed[object]; !known && len(s.lastUsed) >= maxWarmObjects {
		s.evictOldestObject()
	}
	s.lastUsed[object] = now
}

// evictOldestObject drops the object with the oldest last request, as the server
// does.
func (s *server) evictOldestObject() {
	var oldest uint64
	first := true
	for object, at := range s.lastUsed {
		if first || at < s.lastUsed[oldest] || at == s.lastUsed[oldest] && object < oldest {
			oldest, first = object, false
		}
	}
	delete(s.lastUsed, oldest)
}

func (s *server) isSuspended(now time.Duration) bool { return s.needsProbe || now < s.suspendedUntil }

func (s *server) isCold(now time.Duration) bool { return now < s.coldUntil }

func hashString(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return mix(h)
}

// HashObject returns the hash of an object of a route; it is never 0.
func HashObject(route, object string) uint64 {
	return max(1, mix(hashString(route)^mix(hashString(object)+1)))
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
