package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// defaultMaxChoices bounds the response. More addresses than a caller can
	// try within its validity of 5 s are useless.
	defaultMaxChoices = 8
	// maxChoices is the upper limit for the number of VMs in a response.
	maxChoices = 16
	// shiftHeadroom is the mean headroom of a region below which some of its
	// callers are sent to the next region first.
	shiftHeadroom = 0.2
	// minNearestShare is the smallest share of callers for which the nearest
	// region stays first. A larger shift, based on an outdated measurement,
	// would overload the next region and be reverted with the next measurement.
	minNearestShare = 0.5
	// minWeight keeps a VM that reports no headroom in the responses, since the
	// report may be outdated.
	minWeight = 0.02
	// noUnitsWeight is the weight of a VM that holds no units of the caller's
	// account limit, relative to the VM of the region that holds most.
	noUnitsWeight = 0.25
)

// Reason is the reason for the position of an entry VM in a locate response.
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

// EntryVM is the last known state of an entry VM.
type EntryVM struct {
	VM            string
	Address       string
	Region        string
	FailureDomain string
	Healthy       bool
	Leaving       bool
	// Headroom is the unused fraction of the VM's capacity, 0 to 1.
	Headroom float64
	// AccountUnits are the units that the VM holds of the caller's account
	// limit; 0 at all VMs if no account is given.
	AccountUnits uint32
}

// LocateInput is the input of Locate.
type LocateInput struct {
	// ClientRegion is the region of the caller's block; "" if unknown.
	ClientRegion string
	// Caller identifies the caller, for example by its address. The first VM
	// differs between callers; the order for one caller is stable.
	Caller string
	VMs    []EntryVM
	// DelayMS is the one-way delay from ClientRegion to other regions in
	// milliseconds; regions that are not listed come last.
	DelayMS map[string]float64
	// Max bounds the number of VMs in the response; default 8, at most 16.
	Max int
}

// EntryChoice is one entry VM of a locate response.
type EntryChoice struct {
	VM      string
	Address string
	Region  string
	Reason  Reason
}

// Locate returns entry VMs in the order in which the caller should try them.
// Healthy VMs come before suspected ones, and the nearest region comes first.
// Within a region, weighted rendezvous hashing of the caller determines the
// order, so that the first VM differs between callers in proportion to
// headroom. Leaving VMs are returned only if there is no other VM. A
// Directory is faster for many callers.
func Locate(in LocateInput) []EntryChoice {
	d := NewDirectory(in.VMs, map[string]map[string]float64{in.ClientRegion: in.DelayMS})
	return d.Locate(nil, Query{ClientRegion: in.ClientRegion, CallerHash: xxhash.Sum64String(in.Caller), Max: in.Max})
}
