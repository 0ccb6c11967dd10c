package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Directory is a set of entry VMs prepared for many calls of Locate. Build a
// new one when the state of the VMs has changed. Locate does not allocate,
// except for the first call for each client region and if the destination is
// too small.
type Directory struct {
	regions []directoryRegion
	delayMS map[string]map[string]float64
	orders  map[string][]int
}

// directoryRegion is the VMs of one region.
type directoryRegion struct {
	name string
	// hash determines, together with the caller's hash, which callers start at
	// the next region.
	hash uint64
	vms  []directoryVM
	// headroom is the mean of the healthy VMs; healthy is their number.
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
	// CallerHash identifies the caller. It is a 64-bit hash of the caller's
	// address, for example xxhash.
	CallerHash uint64
	// Units are the units that VMs hold of the caller's account limit, by VM id.
	// If nil, EntryVM.AccountUnits is used.
	Units map[string]uint32
	// Max bounds the number of VMs in the response; default 8, at most 16.
	Max int
}

// NewDirectory returns a Directory. delayMS is the one-way delay in
// milliseconds by client region and region; regions without a delay come
// last. Leaving VMs are left out unless there are no others.
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

// Locate appends the entry VMs for a caller to dst, in the same order as the
// function Locate.
func (d *Directory) Locate(dst []EntryChoice, q Query) []EntryChoice {
	limit := min(cmp.Or(max(0, q.Max), defaultMaxChoices), maxChoices)
	order := d.order(q.ClientRegion)
	shifted := d.startsAtNextRegion(order, q.CallerHash)
	end := len(dst) + limit
	for _, healthy := range [...]bool{true, false} {
		for i := range order {
			if len(dst) == end {
				return dst
			}
			r := &d.regions[order[swapFirstTwo(i, shifted)]]
			dst = r.appendHighestScored(dst, end-len(dst), healthy, q, shifted && i == 0)
		}
	}
	return dst
}

// swapFirstTwo returns the index i, with 0 and 1 exchanged if the caller is
// shifted to the next region.
func swapFirstTwo(i int, shifted bool) int {
	if shifted && i < 2 {
		return 1 - i
	}
	return i
}

// order returns the indexes of the regions, sorted by their delay from a
// client region.
func (d *Directory) order(clientRegion string) []int {
	if indexes, ok := d.orders[clientRegion]; ok {
		return indexes
	}
	indexes := make([]int, len(d.regions))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(d.delay(clientRegion, a), d.delay(clientRegion, b)) })
	d.orders[clientRegion] = indexes
	return indexes
}

func (d *Directory) delay(clientRegion string, region int) float64 {
	name := d.regions[region].name
	if name == clientRegion {
		return 0
	}
	if ms, ok := d.delayMS[clientRegion][name]; ok {
		return ms
	}
	return math.MaxFloat64
}

// startsAtNextRegion reports whether the caller gets the second region first.
// This applies to some callers if the nearest region has little headroom and
// the next one has more. Their share grows continuously as the headroom
// falls, so that a small change of a measurement affects few callers.
func (d *Directory) startsAtNextRegion(order []int, callerHash uint64) bool {
	if len(order) < 2 {
		return false
	}
	nearest, next := &d.regions[order[0]], &d.regions[order[1]]
	if nearest.healthy == 0 || next.headroom <= nearest.headroom {
		return false
	}
	nearestShare := max(minNearestShare, min(1, nearest.headroom/shiftHeadroom))
	return toUnitInterval(mixBits(callerHash^nearest.hash)) >= nearestShare
}

// appendHighestScored appends up to n VMs of the region, those with the highest
// scores.
func (r *directoryRegion) appendHighestScored(dst []EntryChoice, n int, healthy bool, q Query, shifted bool) []EntryChoice {
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
		position := len(dst) - start
		if position == n {
			if score <= scores[position-1] {
				continue
			}
			position--
		} else {
			dst = append(dst, EntryChoice{})
		}
		for ; position > 0 && scores[position-1] < score; position-- {
			scores[position], dst[start+position] = scores[position-1], dst[start+position-1]
		}
		scores[position] = score
		dst[start+position] = EntryChoice{VM: vm.VM, Address: vm.Address, Region: r.name, Reason: vm.reason(q, units, shifted)}
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

// score returns the weighted rendezvous score of a VM for a caller; the VM
// with the highest score comes first.
func (vm *directoryVM) score(callerHash uint64, units, maxUnits uint32) float64 {
	weight := max(minWeight, vm.Headroom)
	if maxUnits > 0 {
		weight *= noUnitsWeight + (1-noUnitsWeight)*min(1, float64(units)/float64(maxUnits))
	}
	return -weight / math.Log(toUnitInterval(mixBits(callerHash^vm.hash)))
}

// toUnitInterval maps a hash to the open interval (0, 1).
func toUnitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// mixBits is the finalizer of MurmurHash3. The XOR of two hashes alone would give
// correlated orders.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (vm *directoryVM) reason(q Query, units uint32, shifted bool) Reason {
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
	case shifted:
		return ReasonNearestFull
	}
	return ReasonOtherRegion
}
