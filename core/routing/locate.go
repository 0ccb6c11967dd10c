package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// defaultMaxChoices bounds the answer: more addresses than a caller can
	// try within the 5 s validity of the answer are of no use.
	defaultMaxChoices = 8
	// maxChoices is the largest answer.
	maxChoices = 16
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
	// Max bounds the answer; default 8, at most 16.
	Max int
}

// EntryChoice is one entry VM of a locate answer.
type EntryChoice struct {
	VM      string
	Address string
	Region  string
	Reason  Reason
}

// Locate returns entry VMs in the order in which the caller should try them:
// healthy VMs before suspected ones, the nearest region first, and within a
// region by weighted rendezvous hashing of the caller, so that the first VM
// differs between callers in proportion to headroom. Leaving VMs are returned
// only if there is no other VM. A Directory answers many callers faster.
func Locate(in LocateInput) []EntryChoice {
	d := NewDirectory(in.VMs, map[string]map[string]float64{in.ClientRegion: in.DelayMS})
	return d.Locate(nil, Query{ClientRegion: in.ClientRegion, CallerHash: xxhash.Sum64String(in.Caller), Max: in.Max})
}
