package placement

import (
	"cmp"
	"slices"
)

const (
	// rankedCandidates are the first servers in the ranking of an object that a
	// request for it may go to. The first few keep it warm; an object that is
	// asked for a lot needs more.
	rankedCandidates = 16
	// sampledCandidates are further servers, so that one with room is found
	// where those of the object are full. The best of a few is nearly as good
	// as the best of all.
	sampledCandidates = 24
	// maxRanked bounds the objects whose ranking a pool remembers, 200 KB in all.
	// The deployments have some 100 objects a kind of request.
	maxRanked = 1024
)

// pool is the servers of a service in one region.
type pool struct {
	// servers are in the order of their names.
	servers []*server
	// ranked are the first servers of objects that were asked for.
	ranked map[uint64][]*server
	next   int
}

// candidates returns the servers to consider for a request: the first ones of
// the object by rendezvous hashing, and a sample that moves on through the pool.
// A choice costs the same however many servers there are.
func (p *pool) candidates(object uint64) (ranked, sample []*server) {
	if len(p.servers) <= sampledCandidates {
		if object == 0 {
			return nil, p.servers
		}
		return p.ranking(object, len(p.servers)), nil
	}
	if object != 0 {
		ranked = p.ranking(object, rankedCandidates)
	}
	if p.next+sampledCandidates > len(p.servers) {
		p.next = 0
	}
	sample = p.servers[p.next : p.next+sampledCandidates]
	p.next += sampledCandidates
	return ranked, sample
}

// ranking returns the first servers for an object by rendezvous hashing.
func (p *pool) ranking(object uint64, length int) []*server {
	if known := p.ranked[object]; known != nil {
		return known
	}
	if len(p.ranked) >= maxRanked {
		clear(p.ranked)
	}
	list := slices.Clone(p.servers)
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(mix(b.hash^object), mix(a.hash^object)) })
	list = slices.Clip(slices.Clone(list[:min(length, len(list))]))
	p.ranked[object] = list
	return list
}
