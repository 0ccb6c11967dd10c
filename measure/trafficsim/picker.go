package trafficsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// picker selects backend servers for one VM.
type picker interface {
	pick(now time.Time, region string, exclude []string) (string, bool)
	report(now time.Time, name string, r balance.Report)
	done(now time.Time, name string, o balance.Outcome)
}

// policy is a way to select backend servers. It creates a picker for each VM.
type policy struct {
	name  string
	build func(servers []balance.Server, entryVMs int, rng *rand.Rand) picker
}

// Names of the policies.
const (
	policyBalance     = "balance"
	policyRandom      = "random"
	policyRoundRobin  = "round-robin"
	policyLeastLoaded = "least-reported-load"
)

var policies = []policy{
	{policyBalance, newBalancePicker},
	{policyRandom, func(s []balance.Server, _ int, rng *rand.Rand) picker {
		return &randomPicker{simplePicker{servers: s, rng: rng}}
	}},
	{policyRoundRobin, func(s []balance.Server, _ int, rng *rand.Rand) picker {
		return &roundRobinPicker{simplePicker: simplePicker{servers: s, rng: rng}, next: rng.IntN(len(s))}
	}},
	{policyLeastLoaded, func(s []balance.Server, _ int, rng *rand.Rand) picker {
		return &leastLoadedPicker{simplePicker{servers: s, rng: rng, load: make(map[string]int)}}
	}},
}

// balancePicker is the policy under test.
type balancePicker struct{ *balance.Balancer }

func newBalancePicker(servers []balance.Server, entryVMs int, rng *rand.Rand) picker {
	b := balance.New(balance.Config{}, rng)
	b.SetServers(virtual.Epoch, servers, entryVMs)
	return balancePicker{b}
}

func (p balancePicker) pick(now time.Time, region string, exclude []string) (string, bool) {
	s, err := p.Pick(now, balance.PickInput{Region: region, Exclude: exclude})
	return s.Name, err == nil
}
func (p balancePicker) report(now time.Time, name string, r balance.Report) { p.Report(now, name, r) }
func (p balancePicker) done(now time.Time, name string, o balance.Outcome)  { p.Done(now, name, o) }

// simplePicker is the common part of the baseline policies. They skip only
// servers that report that they are leaving and servers that are excluded.
type simplePicker struct {
	servers []balance.Server
	rng     *rand.Rand
	leaving []string
	load    map[string]int
}

func (p *simplePicker) report(_ time.Time, name string, r balance.Report) {
	if r.State == balance.StateLeaving && !slices.Contains(p.leaving, name) {
		p.leaving = append(p.leaving, name)
	}
	if p.load != nil {
		p.load[name] = r.InFlight
	}
}

func (p *simplePicker) done(time.Time, string, balance.Outcome) {}

func (p *simplePicker) usable(s balance.Server, region string, exclude []string) bool {
	return s.Region == region && !slices.Contains(p.leaving, s.Name) && !slices.Contains(exclude, s.Name)
}

type randomPicker struct{ simplePicker }

func (p *randomPicker) pick(_ time.Time, region string, exclude []string) (string, bool) {
	chosen, seen := "", 0
	for _, s := range p.servers {
		if p.usable(s, region, exclude) {
			seen++
			if p.rng.IntN(seen) == 0 {
				chosen = s.Name
			}
		}
	}
	return chosen, seen > 0
}

type roundRobinPicker struct {
	simplePicker
	next int
}

func (p *roundRobinPicker) pick(_ time.Time, region string, exclude []string) (string, bool) {
	for range p.servers {
		p.next = (p.next + 1) % len(p.servers)
		if s := p.servers[p.next]; p.usable(s, region, exclude) {
			return s.Name, true
		}
	}
	return "", false
}

type leastLoadedPicker struct{ simplePicker }

func (p *leastLoadedPicker) pick(_ time.Time, region string, exclude []string) (string, bool) {
	chosen, least, ties := "", 0, 0
	for _, s := range p.servers {
		if !p.usable(s, region, exclude) {
			continue
		}
		switch load := p.load[s.Name]; {
		case chosen == "" || load < least:
			chosen, least, ties = s.Name, load, 1
		case load == least:
			ties++
			if p.rng.IntN(ties) == 0 {
				chosen = s.Name
			}
		}
	}
	return chosen, chosen != ""
}
