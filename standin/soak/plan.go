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
	Kill          Kind = "kill"
	KillAll       Kind = "kill all"
	Stop          Kind = "planned stop"
	Pause         Kind = "pause"
	Reload        Kind = "reload"
	StoreCut      Kind = "store cut"
	StoreSilent   Kind = "store silent"
	StoreReset    Kind = "store reset"
	StoreBusy     Kind = "store busy"
	StoreSlow     Kind = "store slow"
	StoreLoses    Kind = "store loses answers"
	StoreForgets  Kind = "store forgets"
	ServerSlow    Kind = "server slow"
	ServerShed    Kind = "server sheds"
	ServerFails   Kind = "server fails"
	ServerHangs   Kind = "server runs and hangs up"
	ServerGarbles Kind = "server garbles"
	ServerLeaves  Kind = "server leaves"
	Evacuate      Kind = "evacuate"
	Change        Kind = "configuration"
	Withdraw      Kind = "withdraw key"
	LinkCut       Kind = "link to server cut"
	LinkSilent    Kind = "link to server silent"
	LinkOneWay    Kind = "answers of server held back"
	LinkForgets   Kind = "link to server forgets"
)

var kinds = []Kind{
	Kill, KillAll, Stop, Pause, Reload, StoreCut, StoreSilent, StoreReset, StoreBusy, StoreSlow, StoreLoses, StoreForgets,
	ServerSlow, ServerShed, ServerFails, ServerHangs, ServerGarbles, ServerLeaves, Evacuate, Change, Withdraw,
}

// linkKinds hit the connections between all gateways and one backend server.
// They are drawn apart, so that the plans of seeds which found something stay.
var linkKinds = []Kind{LinkCut, LinkSilent, LinkOneWay, LinkForgets}

// Event is one fault of a plan.
type Event struct {
	At, For time.Duration
	Kind    Kind
	// Target numbers the gateway or backend server; -1 means all.
	Target int
}

func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %-24s target %2d for %v", e.At.Seconds(), e.Kind, e.Target, e.For.Round(time.Millisecond))
}

// Plan returns the faults of a seed for a run of some length. Events overlap and
// come in series.
func Plan(seed uint64, length time.Duration, gateways, servers int) []Event {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	var plan []Event
	at := time.Second
	for at < length {
		kind := kinds[random.IntN(len(kinds))]
		e := Event{At: at, Kind: kind, For: 500*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))}
		switch kind {
		case ServerSlow, ServerShed, ServerFails, ServerHangs, ServerGarbles, ServerLeaves:
			e.Target = random.IntN(servers)
		case StoreCut, StoreSilent, StoreReset:
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
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func linkPlan(seed uint64, length time.Duration, servers int) []Event {
	random := rand.New(rand.NewPCG(seed, 0x11))
	var plan []Event
	for at := time.Second; at < length; at += time.Duration(random.Int64N(int64(4 * time.Second))) {
		plan = append(plan, Event{
			At: at, For: 300*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
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
