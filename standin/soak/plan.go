package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. StoreCut, StoreUnresponsive and StoreConnsBlackholed apply to
// the store's proxy of one gateway or of all.
const (
	Kill                 Kind = "kill"
	KillAll              Kind = "kill all"
	PlannedStop          Kind = "planned stop"
	Pause                Kind = "pause"
	Replace              Kind = "replaced by the other build"
	Reload               Kind = "reload"
	StoreCut             Kind = "store cut"
	StoreUnresponsive    Kind = "store silent"
	StoreConnsBlackholed Kind = "store reset"
	StoreUnavailable     Kind = "store busy"
	StoreSlow            Kind = "store slow"
	StoreLosesResponses  Kind = "store loses answers"
	StoreDropsHistory    Kind = "store forgets"
	StoreRestored        Kind = "store restored from a copy"
	ServerSlow           Kind = "server slow"
	ServerSheds          Kind = "server sheds"
	ServerFails          Kind = "server fails"
	ServerAborts         Kind = "server runs and hangs up"
	ServerTruncates      Kind = "server garbles"
	ServerDrains         Kind = "server leaves"
	ServerLimits         Kind = "server names a limit"
	ServerVanishes       Kind = "registration of server removed"
	Evacuate             Kind = "evacuate"
	ConfigChange         Kind = "configuration"
	WithdrawKey          Kind = "withdraw key"
	LinkCut              Kind = "link to server cut"
	LinkUnresponsive     Kind = "link to server silent"
	LinkOneWay           Kind = "answers of server held back"
	LinkConnsBlackholed  Kind = "link to server forgets"
	GatewayCut           Kind = "gateway cut from all servers"
	CrashingRequests     Kind = "request that crashes servers"
	ServerPauses         Kind = "server wants no requests"
)

// kinds are the faults of gateways, the store, backend servers and the operator.
var kinds = []Kind{
	Kill, KillAll, PlannedStop, Pause, Reload, StoreCut, StoreUnresponsive, StoreConnsBlackholed,
	StoreUnavailable, StoreSlow, StoreLosesResponses, StoreDropsHistory,
	ServerSlow, ServerSheds, ServerFails, ServerAborts, ServerTruncates, ServerDrains, Evacuate, ConfigChange, WithdrawKey,
}

// linkKinds affect the connections between all gateways and one backend server.
// They are drawn by a generator of their own, so that the other faults stay the
// same for seeds that found a failure earlier.
var linkKinds = []Kind{LinkCut, LinkUnresponsive, LinkOneWay, LinkConnsBlackholed}

// maxCopyAge is the age of the oldest copy from which the store is restored.
const maxCopyAge = 8 * time.Second

// Event is one fault of a plan. Start counts from the start of the plan.
type Event struct {
	Start, Duration time.Duration
	Kind            Kind
	// Target is the index of the gateway or backend server; -1 means all. For
	// Evacuate it selects the failure domain, for StoreRestored the age of the copy
	// in seconds.
	Target int
}

func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %-24s target %2d for %v", e.Start.Seconds(), e.Kind, e.Target, e.Duration.Round(time.Millisecond))
}

// Plan returns the faults of a seed, ordered by start. They start within the fault
// period, may overlap and may follow each other closely.
func Plan(seed uint64, faultPeriod time.Duration, gatewayCount, serverCount int) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	var plan []Event
	start := time.Second
	for start < faultPeriod {
		kind := kinds[rng.IntN(len(kinds))]
		e := Event{Start: start, Kind: kind, Duration: 500*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))}
		switch kind {
		case ServerSlow, ServerSheds, ServerFails, ServerAborts, ServerTruncates, ServerDrains:
			e.Target = rng.IntN(serverCount)
		case StoreCut, StoreUnresponsive, StoreConnsBlackholed:
			if e.Target = rng.IntN(gatewayCount + 1); e.Target == gatewayCount {
				e.Target = -1
			}
		default:
			e.Target = rng.IntN(gatewayCount)
		}
		plan = append(plan, e)
		start += time.Duration(rng.Int64N(int64(1200 * time.Millisecond)))
	}
	plan = append(plan, linkPlan(seed, faultPeriod, serverCount)...)
	plan = append(plan, restorePlan(seed, faultPeriod)...)
	plan = append(plan, limitPlan(seed, faultPeriod, serverCount)...)
	plan = append(plan, vanishPlan(seed, faultPeriod, serverCount)...)
	plan = append(plan, gatewayCutPlan(seed, faultPeriod, gatewayCount)...)
	plan = append(plan, crashPlan(seed, faultPeriod)...)
	plan = append(plan, pausePlan(seed, faultPeriod, serverCount)...)
	sortByStart(plan)
	return plan
}

// sortByStart puts the faults of a plan into the order of their start.
func sortByStart(plan []Event) {
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
}

// linkPlan returns the faults of links between the gateways and backend servers.
func linkPlan(seed uint64, faultPeriod time.Duration, serverCount int) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x11))
	var plan []Event
	for start := time.Second; start < faultPeriod; start += time.Duration(rng.Int64N(int64(4 * time.Second))) {
		plan = append(plan, Event{
			Start: start, Duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))),
			Kind: linkKinds[rng.IntN(len(linkKinds))], Target: rng.IntN(serverCount),
		})
	}
	return plan
}

// restorePlan returns the restorations of the store. Their Duration is the time in
// which the operator and the backend servers repeat their writes; a second
// restoration may come within it.
func restorePlan(seed uint64, faultPeriod time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 0xe7a))
	var plan []Event
	for start := time.Second + time.Duration(rng.Int64N(int64(4*time.Second))); start < faultPeriod; start += time.Duration(rng.Int64N(int64(8 * time.Second))) {
		plan = append(plan, Event{
			Start: start, Duration: time.Duration(rng.Int64N(int64(1500 * time.Millisecond))),
			Kind: StoreRestored, Target: 1 + rng.IntN(int(maxCopyAge/time.Second)),
		})
	}
	return plan
}

// RestorationPlan returns one restoration of the store, from a copy that lacks all that the
// operator and the backend servers have written. They write it again within Duration.
func RestorationPlan() []Event {
	return []Event{{Start: 6 * time.Second, Kind: StoreRestored, Target: int(maxCopyAge / time.Second), Duration: 1500 * time.Millisecond}}
}

// limitPlan returns the times at which servers name limits. They last longer than the
// time after which a limit is checked.
func limitPlan(seed uint64, faultPeriod time.Duration, serverCount int) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x11117))
	var plan []Event
	for start := 500 * time.Millisecond; start < faultPeriod; start += time.Duration(rng.Int64N(int64(5 * time.Second))) {
		plan = append(plan, Event{
			Start: start, Duration: limitSettleTime + 2*time.Second + time.Duration(rng.Int64N(int64(6*time.Second))),
			Kind: ServerLimits, Target: rng.IntN(serverCount),
		})
	}
	return plan
}

// vanishPlan returns the times at which servers leave without announcing it: their
// registrations are removed, and they go on serving.
func vanishPlan(seed uint64, faultPeriod time.Duration, serverCount int) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x7a21))
	var plan []Event
	for start := time.Second + time.Duration(rng.Int64N(int64(4*time.Second))); start < faultPeriod; start += 2*time.Second + time.Duration(rng.Int64N(int64(8*time.Second))) {
		plan = append(plan, Event{Start: start, Kind: ServerVanishes, Target: rng.IntN(serverCount)})
	}
	return plan
}

// gatewayCutPlan returns the times at which gateways are cut from all backend servers.
func gatewayCutPlan(seed uint64, faultPeriod time.Duration, gatewayCount int) []Event {
	rng := rand.New(rand.NewPCG(seed, 0xc07))
	var plan []Event
	for start := time.Second + time.Duration(rng.Int64N(int64(3*time.Second))); start < faultPeriod; start += time.Second + time.Duration(rng.Int64N(int64(5*time.Second))) {
		plan = append(plan, Event{
			Start: start, Duration: 500*time.Millisecond + time.Duration(rng.Int64N(int64(6*time.Second))), Kind: GatewayCut, Target: rng.IntN(gatewayCount),
		})
	}
	return plan
}

// SeedPlan returns the faults of a seed for a testbed.
func SeedPlan(seed uint64, faultPeriod time.Duration) []Event {
	return Plan(seed, faultPeriod, gatewayCount, serverCount)
}
