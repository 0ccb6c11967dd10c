// Package serverlimit keeps the limits that backend servers name for themselves: the
// requests per second that a server takes from all VMs together, for as long as its
// responses name it.
//
// It answers the load on a server that few VMs know to be limited: only the VMs that
// get its responses see a limit and its end, so that VMs exchange what they observed
// with their reports and digests. Of two observations of a server, the newer one counts.
// The observations carry their age, since VMs have no common clock.
package serverlimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// reportTime is how long an observation is part of the reports of the VM that made
	// it. It covers a few lost reports and a change of the hub.
	reportTime = 5 * time.Second
	// endRetention is how long the end of a limit is part of digests. A VM that gets no
	// digest for longer learns the end from the server.
	endRetention = time.Minute
	// MaxShared bounds the observations in one message, so that a digest stays within
	// a few packets. Of more, each message has the next ones in order.
	MaxShared = 32
)

// Limit is the limit of one backend server.
type Limit struct {
	// PerSecond is in requests per second, over all VMs.
	PerSecond float64
}

// Shared is one observation in a message to another VM.
type Shared struct {
	Server string `json:"s"`
	// PerSecond is the limit, or 0 if Ended.
	PerSecond float64 `json:"l,omitempty"`
	Ended     bool    `json:"e,omitempty"`
	// AgeMS is the age of the observation in milliseconds.
	AgeMS int64 `json:"a"`
}

type observation struct {
	perSecond float64
	ended     bool
	at        time.Duration
}

// Book holds the newest observation of each server. It is not safe for concurrent use.
type Book struct {
	known map[string]observation
	// reported holds the observations for this VM's reports: its own, and on a VM that
	// collects reports those of the others.
	reported map[string]observation
	// nextKnown and nextReported are the servers with which the next message begins.
	nextKnown, nextReported string
}

// New returns a Book without observations.
func New() *Book {
	return &Book{known: make(map[string]observation), reported: make(map[string]observation)}
}

// Named records a response that names a limit. It reports whether the limit changed.
func (b *Book) Named(now time.Duration, server string, perSecond float64) (changed bool) {
	return b.observe(server, observation{perSecond: perSecond, at: now})
}

// NotNamed records a response that names no limit to a request that was sent at
// sentAt. It ends a limit that was observed before the request was sent; a later one
// may have been named after the response was made. It reports whether a limit ended.
func (b *Book) NotNamed(server string, sentAt time.Duration) (ended bool) {
	if known, ok := b.known[server]; !ok || known.ended || sentAt <= known.at {
		return false
	}
	return b.observe(server, observation{ended: true, at: sentAt})
}

func (b *Book) observe(server string, o observation) (changed bool) {
	b.reported[server] = o
	return b.add(server, o)
}

// add records an observation unless a newer one is known.
func (b *Book) add(server string, o observation) (changed bool) {
	known, ok := b.known[server]
	if ok && o.at <= known.at {
		return false
	}
	b.known[server] = o
	if !ok {
		return !o.ended
	}
	return known.ended != o.ended || known.perSecond != o.perSecond
}

// MergeReported adds the observations of another VM's report or group report.
func (b *Book) MergeReported(now time.Duration, list []Shared) {
	for _, s := range list {
		o, ok := s.observation(now)
		if !ok {
			continue
		}
		if mine, known := b.reported[s.Server]; !known || o.at > mine.at {
			b.reported[s.Server] = o
		}
		b.add(s.Server, o)
	}
}

// Merge adds the observations of a digest or of another message that is not reported
// further. It reports whether a limit changed.
func (b *Book) Merge(now time.Duration, list ...Shared) (changed bool) {
	for _, s := range list {
		if o, ok := s.observation(now); ok && b.add(s.Server, o) {
			changed = true
		}
	}
	return changed
}

// observation returns the observation of a message, unless it is malformed.
func (s Shared) observation(now time.Duration) (observation, bool) {
	if s.Server == "" || s.AgeMS < 0 || s.PerSecond < 0 || math.IsNaN(s.PerSecond) || math.IsInf(s.PerSecond, 0) {
		return observation{}, false
	}
	return observation{s.PerSecond, s.Ended, now - time.Duration(s.AgeMS)*time.Millisecond}, true
}

func (o observation) shared(now time.Duration, server string) Shared {
	return Shared{Server: server, PerSecond: o.perSecond, Ended: o.ended, AgeMS: max(0, (now - o.at).Milliseconds())}
}

// Observation returns the newest observation of a server, if there is one.
func (b *Book) Observation(now time.Duration, server string) (Shared, bool) {
	o, ok := b.known[server]
	return o.shared(now, server), ok
}

// Reported returns the recent observations for this VM's next report.
func (b *Book) Reported(now time.Duration) []Shared {
	maps.DeleteFunc(b.reported, func(_ string, o observation) bool { return now-o.at > reportTime })
	return share(now, b.reported, &b.nextReported)
}

// Known returns the observations for the next digest.
func (b *Book) Known(now time.Duration) []Shared {
	maps.DeleteFunc(b.known, func(_ string, o observation) bool { return o.ended && now-o.at > endRetention })
	return share(now, b.known, &b.nextKnown)
}

// share returns up to MaxShared observations in the order of the servers, the first one
// being that of the server next, which it advances.
func share(now time.Duration, from map[string]observation, next *string) []Shared {
	servers := slices.Sorted(maps.Keys(from))
	if len(servers) == 0 {
		return nil
	}
	start, _ := slices.BinarySearch(servers, *next)
	count := min(len(servers), MaxShared)
	list := make([]Shared, 0, count)
	for i := range count {
		server := servers[(start+i)%len(servers)]
		list = append(list, from[server].shared(now, server))
	}
	*next = servers[(start+count)%len(servers)]
	return list
}

// Limits returns the limits in effect by server.
func (b *Book) Limits() map[string]Limit {
	limits := make(map[string]Limit)
	for server, o := range b.known {
		if !o.ended {
			limits[server] = Limit{PerSecond: o.perSecond}
		}
	}
	return limits
}

// Forget removes what is known of a server that was removed or restarted.
func (b *Book) Forget(server string) {
	delete(b.known, server)
	delete(b.reported, server)
}
