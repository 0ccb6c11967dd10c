package placement

import "time"

// The load pattern that these decisions answer: a server vanishes without a
// word, as its machine or its address does, while requests wait for it. Each
// would wait as long as its caller does.

const (
	// overdueFactor and overdueSlack tell from which time on an exchange is
	// overdue: above the spread of work around what was expected.
	overdueFactor = 1.5
	overdueSlack  = 50 * time.Millisecond
	// silentProbeRTTs and silentProbeSlack bound a probe of a silent server: a
	// handshake, the question and a lost packet at the usual round trip.
	silentProbeRTTs  = 4
	silentProbeSlack = 200 * time.Millisecond
	// doubtInterval is the least time between two such probes of a server.
	doubtInterval = time.Second
)

// Overdue returns after which time an exchange is longer than expected.
func Overdue(expected time.Duration) time.Duration {
	return time.Duration(overdueFactor*float64(expected)) + overdueSlack
}

// Doubt reports whether a server is to be probed because an exchange that began
// at begin is overdue, and the bound of that probe. A server that has answered
// anything since is slow, not silent.
func (p *Picker) Doubt(now time.Duration, id string, begin time.Duration) (timeout time.Duration, due bool) {
	s := p.servers[id]
	if s == nil || s.suspect || s.heard >= begin || s.doubted && now-s.doubtedAt < doubtInterval {
		return 0, false
	}
	s.doubted, s.doubtedAt = true, now
	rtt := time.Duration(p.rtt(s.told.Region) * float64(time.Millisecond))
	return silentProbeRTTs*rtt + silentProbeSlack, true
}

// Silent suspends a server that did not answer a probe. It reports false if the
// server has answered something since begin after all.
func (p *Picker) Silent(now time.Duration, id string, begin time.Duration) bool {
	s := p.servers[id]
	if s == nil || s.heard >= begin {
		return false
	}
	if !s.suspect {
		s.suspend(now)
	}
	return true
}
