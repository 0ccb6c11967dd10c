package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultMaxChoices bounds the answer: more addresses than a caller can
	// try within the 5 s validity of the answer are of no use.
	defaultMaxChoices = 8
	// fullSpreadHeadroom is the mean headroom of a region below which a part of
	// its callers is sent to the next region first.
	fullSpreadHeadroom = 0.2
	// minStay is the smallest part of callers that keep the nearest region
	// first. A larger shift on a lagging measurement would overload the
	// neighbour and come back with the next measurement.
	minStay = 0.5
	// minWeight keeps a VM that reports no headroom in the rotation, since the
	// report may lag.
	minWeight = 0.02
	// unitsBase is the weight of a VM that holds no units of the caller's
	// account limit, relative to the VM of the region that holds most.
	unitsBase = 0.25
)

// Reason tells why an entry VM stands at its place in a locate answer.
type Reason string

// Reasons of EntryChoice.
const (
	ReasonNearest      Reason = "nearest region"
	ReasonHoldsUnits   Reason = "nearest region, holds units of the account"
	ReasonOtherRegion  Reason = "other region"
	ReasonNearestFull  Reason = "other region, nearest has little headroom"
	ReasonSuspected    Reason = "not known to be healthy"
	ReasonLeavingOnly  Reason = "leaving, no other VM is known"
	ReasonUnknownBlock Reason = "client region unknown"
)

// EntryVM is what is known of an entry VM.
type EntryVM struct {
	VM            string
	Address       string
	Region        string
	FailureDomain string
	Healthy       bool
	Leaving       bool
	// Headroom is the free part of the VM's capacity, 0 to 1.
	Headroom float64
	// AccountUnits are the units that the VM holds of the caller's account
	// limit; all 0 if no account was given.
	AccountUnits uint32
}

// LocateInput is the input of Locate.
type LocateInput struct {
	// ClientRegion is the region of the caller's block; "" if unknown.
	ClientRegion string
	// Caller identifies the caller, for example its address. Different callers
	// get different first VMs; the same caller keeps its order.
	Caller string
	VMs    []EntryVM
	// DelayMS is the one-way delay from ClientRegion to other regions;
	// missing regions come last.
	DelayMS map[string]float64
	// Max bounds the answer; default 8.
	Max int
}

// EntryChoice is one entry VM of a locate answer.
type EntryChoice struct {
	VM      string
	Address string
	Region  string
	Reason  Reason
}

// regionSummary is the state of the VMs of one region.
type regionSummary struct {
	name     string
	delay    float64
	headroom float64
	vms      int
	maxUnits uint32
}

// candidate is an entry VM with its sort keys.
type candidate struct {
	vm    *EntryVM
	tier  int
	rank  int
	score float64
}

const (
	tierHealthy = iota
	tierSuspected
)

// Locate returns entry VMs in the order in which the caller should try them:
// healthy VMs before suspected ones, the nearest region first, and within a
// region by weighted rendezvous hashing of the caller, so that the first VM
// differs between callers in proportion to headroom. Leaving VMs are returned
// only if there is no other VM.
func Locate(in LocateInput) []EntryChoice {
	leaving := allLeaving(in.VMs)
	regions := summarise(in)
	order(regions, in)
	hash := xxhash.Sum64String(in.Caller)
	candidates := make([]candidate, 0, len(in.VMs))
	for i := range in.VMs {
		vm := &in.VMs[i]
		if vm.Leaving && !leaving {
			continue
		}
		rank := slices.IndexFunc(regions, func(r regionSummary) bool { return r.name == vm.Region })
		c := candidate{vm: vm, rank: rank, score: rendezvous(hash, vm, regions[rank].maxUnits)}
		if !vm.Healthy {
			c.tier = tierSuspected
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, compareCandidates)
	limit := in.Max
	if limit <= 0 {
		limit = defaultMaxChoices
	}
	choices := make([]EntryChoice, 0, min(limit, len(candidates)))
	for i := range candidates[:min(limit, len(candidates))] {
		c := &candidates[i]
		choices = append(choices, EntryChoice{VM: c.vm.VM, Address: c.vm.Address, Region: c.vm.Region, Reason: reason(c, in, regions)})
	}
	return choices
}

func allLeaving(vms []EntryVM) bool {
	return !slices.ContainsFunc(vms, func(v EntryVM) bool { return !v.Leaving })
}

// summarise collects the regions of the VMs with their mean headroom.
func summarise(in LocateInput) []regionSummary {
	var regions []regionSummary
	for i := range in.VMs {
		vm := &in.VMs[i]
		at := slices.IndexFunc(regions, func(r regionSummary) bool { return r.name == vm.Region })
		if at < 0 {
			at = len(regions)
			regions = append(regions, regionSummary{name: vm.Region, delay: regionDelay(in, vm.Region)})
		}
		r := &regions[at]
		if vm.Healthy && !vm.Leaving {
			r.vms++
			r.headroom += vm.Headroom
			r.maxUnits = max(r.maxUnits, vm.AccountUnits)
		}
	}
	for i := range regions {
		if regions[i].vms > 0 {
			regions[i].headroom /= float64(regions[i].vms)
		}
	}
	return regions
}

func regionDelay(in LocateInput, region string) float64 {
	if region == in.ClientRegion {
		return 0
	}
	if d, ok := in.DelayMS[region]; ok {
		return d
	}
	return math.MaxFloat64
}

// order sorts the regions by delay. If the nearest region has little headroom
// and the next one has more, a part of the callers that grows as the headroom
// falls gets the next region first. The part is a continuous function of the
// headroom, so a small change of a measurement moves few callers.
func order(regions []regionSummary, in LocateInput) {
	slices.SortFunc(regions, func(a, b regionSummary) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.name, b.name))
	})
	if len(regions) < 2 || regions[0].vms == 0 || regions[1].headroom <= regions[0].headroom {
		return
	}
	stay := max(minStay, min(1, regions[0].headroom/fullSpreadHeadroom))
	if unit(xxhash.Sum64String(in.Caller+regions[0].name)) >= stay {
		regions[0], regions[1] = regions[1], regions[0]
	}
}

// rendezvous returns the weighted rendezvous score of a VM for a caller; the
// highest score comes first.
func rendezvous(caller uint64, vm *EntryVM, maxUnits uint32) float64 {
	weight := max(minWeight, vm.Headroom)
	if maxUnits > 0 {
		weight *= unitsBase + (1-unitsBase)*min(1, float64(vm.AccountUnits)/float64(maxUnits))
	}
	u := unit(mix(caller ^ xxhash.Sum64String(vm.VM)))
	return -weight / math.Log(u)
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

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.vm.VM, b.vm.VM),
	)
}

func reason(c *candidate, in LocateInput, regions []regionSummary) Reason {
	switch {
	case c.vm.Leaving:
		return ReasonLeavingOnly
	case c.tier == tierSuspected:
		return ReasonSuspected
	case in.ClientRegion == "":
		return ReasonUnknownBlock
	case c.vm.Region == in.ClientRegion && c.vm.AccountUnits > 0:
		return ReasonHoldsUnits
	case c.vm.Region == in.ClientRegion:
		return ReasonNearest
	case c.rank == 0 && len(regions) > 1 && regions[1].name == in.ClientRegion:
		return ReasonNearestFull
	}
	return ReasonOtherRegion
}
