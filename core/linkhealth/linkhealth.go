// Package linkhealth decides whether a VM has lost its links to the backend servers.
//
// It handles a VM that is cut off from all backend servers while callers, the store and
// the other VMs still reach it. One failed connection says little: servers crash and
// requests are slow. If no server answers, connections to a few servers in different
// failure domains are opened as a check, and only their result decides. Nothing is sent
// while servers answer.
package linkhealth

import "time"

const (
	// minSilence and maxSilence bound the time without any answer after which the links
	// are checked. Within minSilence, a VM that has used up its share of a processor may
	// not have run.
	minSilence = 250 * time.Millisecond
	maxSilence = 2 * time.Second
	// silenceGaps is the silence as a multiple of the mean time between two answers. A gap
	// of ten times the mean happens once in 22,000 answers that arrive at random.
	silenceGaps = 10
	// gapWeight is the weight of the newest gap in the mean.
	gapWeight = 0.1
	// minServers is the number of different servers that have to be silent or unreachable.
	minServers = 3
	// lostCheckInterval is the time between two checks of lost links.
	lostCheckInterval = 500 * time.Millisecond
	// minCheckInterval is the shortest time between two checks of links that work. Each
	// further check in a row that finds nothing doubles it, up to maxCheckInterval.
	minCheckInterval = time.Second
	maxCheckInterval = 8 * time.Second
	// relapseTime is the time within which links that are lost again count as flapping.
	relapseTime = 10 * time.Second
	// maxGoodChecks bounds the successful checks in a row after which flapping links are
	// used again.
	maxGoodChecks = 8
)

// Monitor observes the requests of one VM to backend servers. It is not safe for
// concurrent use.
type Monitor struct {
	// meanGap is the mean time between two answers, lastAnswer when the newest arrived.
	meanGap, lastAnswer time.Duration
	// waiting are servers that got a request and unreachable those to which no connection
	// was opened, each since the last success of that kind; at most minServers of them.
	waiting, unreachable map[string]bool
	checking             bool
	// refused is set if lost links still bring answers on open connections.
	refused       bool
	nextCheck     time.Duration
	checkInterval time.Duration
	lost          bool
	// goodChecks are the successful checks in a row, and neededChecks those that end the
	// loss.
	goodChecks, neededChecks int
	// restoredAt is when the links last worked again.
	restoredAt time.Duration
}

// New returns a Monitor whose links work.
func New() *Monitor {
	return &Monitor{
		meanGap: minSilence / silenceGaps, waiting: make(map[string]bool), unreachable: make(map[string]bool),
		checkInterval: minCheckInterval, neededChecks: 1, restoredAt: -relapseTime,
	}
}

// Lost reports whether the links to the backend servers are lost.
func (m *Monitor) Lost() bool { return m.lost }

// OpenConnsWork reports whether only new connections fail while the links are lost, and
// the open ones still bring answers.
func (m *Monitor) OpenConnsWork() bool { return m.lost && m.refused }

// RequestSent records that a request was sent to a server.
func (m *Monitor) RequestSent(server string) { addServer(m.waiting, server) }

// Answered records that a server answered a request.
func (m *Monitor) Answered(now time.Duration) {
	gap := min(now-m.lastAnswer, maxSilence/silenceGaps)
	m.meanGap += time.Duration(gapWeight * float64(gap-m.meanGap))
	m.lastAnswer = now
	clear(m.waiting)
}

// Connected records that a connection to a server was opened.
func (m *Monitor) Connected() { clear(m.unreachable) }

// ConnectFailed records that no connection to a server could be opened.
func (m *Monitor) ConnectFailed(server string) { addServer(m.unreachable, server) }

func addServer(servers map[string]bool, server string) {
	if len(servers) < minServers {
		servers[server] = true
	}
}

// IsSilent reports whether several servers have got requests and none of them has
// answered for longer than usual.
func (m *Monitor) IsSilent(now time.Duration, servers int) bool {
	silence := min(max(silenceGaps*m.meanGap, minSilence), maxSilence)
	return len(m.waiting) >= min(minServers, servers) && now-m.lastAnswer >= silence
}

// BeginCheck reports whether a check of the links is due; servers is the number of
// registered servers. CheckFinished has to follow.
func (m *Monitor) BeginCheck(now time.Duration, servers int) bool {
	if m.checking || now < m.nextCheck || servers == 0 {
		return false
	}
	if !m.lost && !m.IsSilent(now, servers) && len(m.unreachable) < min(minServers, servers) {
		return false
	}
	m.checking = true
	return true
}

// Silenced ends OpenConnsWork if the open connections bring no answers any more. It reports
// whether that changed.
func (m *Monitor) Silenced(now time.Duration, servers int) (changed bool) {
	if !m.refused || !m.IsSilent(now, servers) {
		return false
	}
	m.refused = false
	return true
}

// CheckFinished records the result of a check: the number of servers that were tried and
// of those that accepted a connection; servers is the number of registered servers. It
// reports whether Lost changed.
func (m *Monitor) CheckFinished(now time.Duration, tried, connected, servers int) (changed bool) {
	m.checking = false
	if tried == 0 {
		m.nextCheck = now + minCheckInterval
		return false
	}
	if m.lost {
		return m.lostCheckFinished(now, 2*connected > tried)
	}
	if connected == 0 {
		m.refused = !m.IsSilent(now, servers)
		m.lose(now)
		return true
	}
	m.nextCheck = now + m.checkInterval
	m.checkInterval = min(2*m.checkInterval, maxCheckInterval)
	clear(m.waiting)
	clear(m.unreachable)
	return false
}

func (m *Monitor) lose(now time.Duration) {
	m.lost, m.goodChecks, m.nextCheck = true, 0, now+lostCheckInterval
	if now-m.restoredAt < relapseTime {
		m.neededChecks = min(2*m.neededChecks, maxGoodChecks)
	} else {
		m.neededChecks = 1
	}
}

func (m *Monitor) lostCheckFinished(now time.Duration, good bool) (changed bool) {
	m.nextCheck = now + lostCheckInterval
	if !good {
		m.goodChecks = 0
		return false
	}
	if m.goodChecks++; m.goodChecks < m.neededChecks {
		return false
	}
	m.lost, m.refused, m.restoredAt, m.lastAnswer = false, false, now, now
	m.checkInterval = minCheckInterval
	m.nextCheck = now
	clear(m.waiting)
	clear(m.unreachable)
	return true
}

// RetryAfter returns the time after which lost links may work again.
func (m *Monitor) RetryAfter(now time.Duration) time.Duration {
	needed := max(1, m.neededChecks-m.goodChecks)
	return max(0, m.nextCheck-now) + time.Duration(needed-1)*lostCheckInterval
}
