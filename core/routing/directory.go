package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Directory holds the entry VMs, prepared for many Locate calls. Build a new one
// when what is known of the VMs has changed. Locate does not allocate, but for
// the first call of each client region and a destination that is too small.
type Directory struct {
	regions []directoryRegion
	delayMS map[string]map[string]float64
	orders  map[string][]int
}

// directoryRegion holds the VMs of one region.
type directoryRegion struct {
	name string
	// hash decides which callers move to the next region.
	hash uint64
	vms  []directoryVM
	// headroom is the mean of the healthy VMs, whose number is healthy.
	headroom float64
	healthy  int
	maxUnits uint32
}

type directoryVM struct {
	EntryVM
	hash uint64
}

// Query is the input of Directory.Locate.
type Query struct {
	// ClientRegion is the region of the caller's block; "" if unknown.
	ClientRegion string
	// CallerHash identifies the caller: a 64-bit hash of its address, for example
	// xxhash.
	CallerHash uint64
	// Units are the units that VMs hold of the caller's account limit, by VM id.
	// Nil takes EntryVM.AccountUnits.
	Units map[string]uint32
	// Max bounds the answer; default 8, at most 16.
	Max int
}

// NewDirectory returns a Directory. delayMS is the one-way delay in milliseconds
// by client region and region; regions without a delay come last. Leaving VMs are
// dropped unless there is no other.
func NewDirectory(vms []EntryVM, delayMS map[string]map[string]float64) *Directory {
	d := &Directory{delayMS: delayMS, orders: make(map[string][]int)}
	index := make(map[string]int)
	onlyLeaving := !slices.ContainsFunc(vms, func(v EntryVM) bool { return !v.Leaving })
	for _, vm := range vms {
		if vm.Leaving && !onlyLeaving {
			continue
		}
		i, found := index[vm.Region]
		if !found {
			i = len(d.regions)
			index[vm.Region] = i
			d.regions = append(d.regions, directoryRegion{name: vm.Region, hash: xxhash.Sum64String(vm.Region)})
		}
		d.regions[i].add(vm)
	}
	slices.SortFunc(d.regions, func(a, b directoryRegion) int { return cmp.Compare(a.name, b.name) })
	return d
}

func (r *directoryRegion) add(vm EntryVM) {
	r.vms = append(r.vms, directoryVM{EntryVM: vm, hash: xxhash.Sum64String(vm.VM)})
	if vm.Healthy {
		r.headroom = (r.headroom*float64(r.healthy) + vm.Headroom) / float64(r.healthy+1)
		r.healthy++
		r.maxUnits = max(r.maxUnits, vm.AccountUnits)
	}
}

// Locate appends the entry VMs for a caller to dst, in the order of the function
// Locate.
func (d *Directory) Locate(dst []EntryChoice, q Query) []EntryChoice {
	limit := min(cmp.Or(max(0, q.Max), defaultMaxChoices), maxChoices)
	order := d.order(q.ClientRegion)
	moved := d.moves(order, q.CallerHash)
	end := len(dst) + limit
	for _, healthy := range [...]bool{true, false} {
		for i := range order {
			if len(dst) == end {
				return dst
			}
			r := &d.regions[order[swapped(i, moved)]]
			dst = r.appendBest(dst, end-len(dst), healthy, q, moved && i == 0)
		}
	}
	return dst
}

// swapped exchanges the first two positions if the caller moves.
func swapped(i int, moved bool) int {
	if moved && i < 2 {
		return 1 - i
	}
	return i
}

// order returns the indexes of the regions by their delay from a client region.
func (d *Directory) order(client string) []int {
	if o, ok := d.orders[client]; ok {
		return o
	}
	o := make([]int, len(d.regions))
	for i := range o {
		o[i] = i
	}
	slices.SortStableFunc(o, func(a, b int) int { return cmp.Compare(d.delay(client, a), d.delay(client, b)) })
	d.orders[client] = o
	return o
}

func (d *Directory) delay(client string, region int) float64 {
	name := d.regions[region].name
	if name == client {
		return 0
	}
	if ms, ok := d.delayMS[client][name]; ok {
		return ms
	}
	return math.MaxFloat64
}

// moves reports whether the caller gets the second region first. If the nearest
// region has little headroom and the next one has more, a part of the callers
// that grows as the headroom falls does. The part is a continuous function of the
// headroom, so a small change of a measurement moves few callers.
func (d *Directory) moves(order []int, caller uint64) bool {
	if len(order) < 2 {
		return false
	}
	near, next := &d.regions[order[0]], &d.regions[order[1]]
	if near.healthy == 0 || next.headroom <= near.headroom {
		return false
	}
	stay := max(minStay, min(1, near.headroom/fullSpreadHeadroom))
	return unit(mix(caller^near.hash)) >= stay
}

// appendBest appends the VMs of the region with the highest scores, at most n.
func (r *directoryRegion) appendBest(dst []EntryChoice, n int, healthy bool, q Query, moved bool) []EntryChoice {
	var scores [maxChoices]float64
	start := len(dst)
	maxUnits := r.highestUnits(q)
	for i := range r.vms {
		vm := &r.vms[i]
		if vm.Healthy != healthy {
			continue
		}
		units := vm.units(q)
		score := vm.score(q.CallerHash, units, maxUnits)
		at := len(dst) - start
		if at == n {
			if score <= scores[at-1] {
				continue
			}
			at--
		} else {
			dst = append(dst, EntryChoice{})
		}
		for ; at > 0 && scores[at-1] < score; at-- {
			scores[at], dst[start+at] = scores[at-1], dst[start+at-1]
		}
		scores[at] = score
		dst[start+at] = EntryChoice{VM: vm.VM, Address: vm.Address, Region: r.name, Reason: vm.reason(q, units, moved)}
	}
	return dst
}

func (r *directoryRegion) highestUnits(q Query) uint32 {
	if q.Units == nil {
		return r.maxUnits
	}
	var highest uint32
	for i := range r.vms {
		highest = max(highest, q.Units[r.vms[i].VM])
	}
	return highest
}

func (vm *directoryVM) units(q Query) uint32 {
	if q.Units == nil {
		return vm.AccountUnits
	}
	return q.Units[vm.VM]
}

// score returns the weighted rendezvous score of a VM for a caller; the highest
// comes first.
func (vm *directoryVM) score(caller uint64, units, maxUnits uint32) float64 {
	weight := max(minWeight, vm.Headroom)
	if maxUnits > 0 {
		weight *= unitsBase + (1-unitsBase)*min(1, float64(units)/float64(maxUnits))
	}
	return -weight / math.Log(unit(mix(caller^vm.hash)))
}

// unit maps a hash to the open interval (0, 1).
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// mix is the finalizer of MurmurHash3: the XOR of two hashes alone would give
// correlated orders.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (vm *directoryVM) reason(q Query, units uint32, moved bool) Reason {
	switch {
	case vm.Leaving:
		return ReasonLeavingOnly
	case !vm.Healthy:
		return ReasonSuspected
	case q.ClientRegion == "":
		return ReasonUnknownBlock
	case vm.Region == q.ClientRegion && units > 0:
		return ReasonHoldsUnits
	case vm.Region == q.ClientRegion:
		return ReasonNearest
	case moved:
		return ReasonNearestFull
	}
	return ReasonOtherRegion
}
