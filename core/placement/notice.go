package placement

import (
	"maps"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
)

const (
	// noticeTime is how long it is remembered that a server leaves. A server that leaves
	// ends within minutes, and its registration may come back in between.
	noticeTime = 10 * time.Minute
	// maxNotices bounds the servers whose notices are remembered.
	maxNotices = 4096
)

// startKey identifies one start of a server.
type startKey struct {
	id          string
	incarnation int64
}

func keyOf(s *steering.Server) startKey { return startKey{s.ID, s.Incarnation} }

// anyStart is the incarnation in the key of a pause. The server that asked for it may have
// started again since its registration was read, so that the start is not known.
const anyStart = -1

// notice is what a server has said of itself to this VM: that it leaves, or that it wants no
// requests for a time. It outlasts the registration of
// the server, which the store may lose and have again.
type notice struct {
	leaving     bool
	pausedUntil time.Duration
	forgetAt    time.Duration
}

// ServerLeaves records that a server has said that it leaves. It reports whether this is
// news.
func (p *Picker) ServerLeaves(now time.Duration, s *steering.Server) bool {
	n := p.noticeOf(now, keyOf(s))
	isNew := !n.leaving
	n.leaving, n.forgetAt = true, now+noticeTime
	p.applyNotice(s.ID)
	return isNew
}

// IsLeaving reports whether a server has said that it leaves.
func (p *Picker) IsLeaving(s *steering.Server) bool {
	n := p.notices[keyOf(s)]
	return n != nil && n.leaving
}

// ServerPauses records that a server has rejected a request and wants none for a time.
func (p *Picker) ServerPauses(now time.Duration, s *steering.Server, pause time.Duration) {
	n := p.noticeOf(now, startKey{s.ID, anyStart})
	n.pausedUntil = max(n.pausedUntil, now+pause)
	n.forgetAt = max(n.forgetAt, n.pausedUntil)
	p.applyNotice(s.ID)
}

// noticeOf returns the notice with a key, which it makes if needed.
func (p *Picker) noticeOf(now time.Duration, key startKey) *notice {
	if n := p.notices[key]; n != nil {
		return n
	}
	if len(p.notices) >= maxNotices {
		p.forgetNotices(now)
	}
	n := &notice{}
	if len(p.notices) < maxNotices {
		p.notices[key] = n
	}
	return n
}

func (p *Picker) forgetNotices(now time.Duration) {
	maps.DeleteFunc(p.notices, func(_ startKey, n *notice) bool { return now >= n.forgetAt })
}

// applyNotice makes the notice of a registered server effective.
func (p *Picker) applyNotice(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	if n := p.notices[keyOf(s.registration)]; n != nil {
		s.leaving = n.leaving
	}
	if n := p.notices[startKey{id, anyStart}]; n != nil {
		s.pausedUntil = n.pausedUntil
	}
}

func (s *server) isPaused(now time.Duration) bool { return now < s.pausedUntil }
