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

// Kinds of faults. Those of the store's proxy hit one gateway or all.
const (
	Kill                 Kind = "kill"
	KillAll              Kind = "kill all"
	PlannedStop          Kind = "planned stop"
	Pause                Kind = "pause"
	Reload               Kind = "reload"
	StoreCut             Kind = "store cut"
	StoreUnresponsive    Kind = "store silent"
	StoreConnsBlackholed Kind = "store reset"
	StoreUnavailable     Kind = "store busy"
	StoreSlow            Kind = "store slow"
	StoreLosesResponses  Kind = "store loses answers"
	StoreDropsHistory    Kind = "store forgets"
	ServerSlow           Kind = "server slow"
	ServerSheds          Kind = "server sheds"
	ServerFails          Kind = "server fails"
	ServerAborts         Kind = "server runs and hangs up"
	ServerTruncates      Kind = "server garbles"
	ServerDrains         Kind = "server leaves"
	Evacuate             Kind = "evacuate"
	ConfigChange         Kind = "configuration"
	WithdrawKey          Kind = "withdraw key"
	LinkCut              Kind = "link to server cut"
	LinkUnresponsive     Kind = "link to server silent"
	LinkOneWay           Kind = "answers of server held back"
	LinkConnsBlackholed  Kind = "link to server forgets"
)

var kinds = []Kind{
	Kill, KillAll, PlannedStop, Pause, Reload, StoreCut, StoreUnresponsive, StoreConnsBlackholed, StoreUnavailable, StoreSlow, StoreLosesResponses, StoreDropsHistory,
	ServerSlow, ServerSheds, ServerFails, ServerAborts, ServerTruncates, ServerDrains, Evacuate, ConfigChange, WithdrawKey,
}

// linkKinds hit the connections between all gateways and one backend server.
// They are drawn apart, so that the plans of seeds which found something stay.
var linkKinds = []Kind{LinkCut, LinkUnresponsive, LinkOneWay, LinkConnsBlackholed}

// Event is one fault of a plan.
type Event struct {
	Start, Duration time.Duration
	Kind            Kind
	// Target numbers the gateway or backend server; -1 means all.
	Target int
}

func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %-24s target %2d for %v", e.Start.Seconds(), e.Kind, e.Target, e.Duration.Round(time.Millisecond))
}

// Plan returns the faults of a seed for a run of some length. Events overlap and
// come in series.
func Plan(seed uint64, length time.Duration, gateways, servers int) []Event {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	var plan []Event
	at := time.Second
	for at < length {
		kind := kinds[random.IntN(len(kinds))]
		e := Event{Start: at, Kind: kind, Duration: 500*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))}
		switch kind {
		case ServerSlow, ServerSheds, ServerFails, ServerAborts, ServerTruncates, ServerDrains:
			e.Target = random.IntN(servers)
		case StoreCut, StoreUnresponsive, StoreConnsBlackholed:
			if e.Target = random.IntN(gateways + 1); e.Target == gateways {
				e.Target = -1
			}
		default:
			e.Target = random.IntN(gateways)
		}
		plan = append(plan, e)
		at += time.Duration(random.Int64N(int64(1200 * time.Millisecond)))
	}
	plan = append(plan, linkPlan(seed, length, servers)...)
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

func linkPlan(seed uint64, length time.Duration, servers int) []Event {
	random := rand.New(rand.NewPCG(seed, 0x11))
	var plan []Event
	for at := time.Second; at < length; at += time.Duration(random.Int64N(int64(4 * time.Second))) {
		plan = append(plan, Event{
			Start: at, Duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
			Kind: linkKinds[random.IntN(len(linkKinds))], Target: random.IntN(servers),
		})
	}
	return plan
}

// Describe returns the plan of a seed in words.
func Describe(seed uint64, length time.Duration) []string {
	var out []string
	for _, e := range Plan(seed, length, gateways, servers) {
		out = append(out, e.String())
	}
	return out
}
