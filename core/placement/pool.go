package placement

import (
	"cmp"
	"slices"
)

const (
	// rankedCandidates is the number of servers at the head of an object's
	// ranking that are considered for its requests. The first few keep the object
	// warm; a heavily requested object needs more.
	rankedCandidates = 16
	// sampledCandidates is the number of further servers that are considered, so
	// that one with capacity is found when those of the object are full. The best
	// of a small sample is nearly as good as the best of all.
	sampledCandidates = 24
	// maxRankings bounds the number of rankings that a pool caches, 200 KB in
	// total. Deployments have about 100 objects per kind of request.
	maxRankings = 1024
)

// pool holds the servers of a service in one region.
type pool struct {
	// servers is sorted by ID.
	servers []*server
	// rankings caches the first servers of objects that were requested.
	rankings   map[uint64][]*server
	nextSample int
}

// candidates returns the servers to consider for a request: the first servers of
// the object by rendezvous hashing, and a sample that rotates through the pool.
// The cost of a choice does not depend on the number of servers.
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
	if p.nextSample+sampledCandidates > len(p.servers) {
		p.nextSample = 0
	}
	sample = p.servers[p.nextSample : p.nextSample+sampledCandidates]
	p.nextSample += sampledCandidates
	return ranked, sample
}

// ranking returns the first servers for an object by rendezvous hashing.
func (p *pool) ranking(object uint64, length int) []*server {
	if cached := p.rankings[object]; cached != nil {
		return cached
	}
	if len(p.rankings) >= maxRankings {
		clear(p.rankings)
	}
	ranked := slices.Clone(p.servers)
	slices.SortFunc(ranked, func(a, b *server) int { return cmp.Compare(mix(b.hash^object), mix(a.hash^object)) })
	ranked = slices.Clip(slices.Clone(ranked[:min(length, len(ranked))]))
	p.rankings[object] = ranked
	return ranked
}
