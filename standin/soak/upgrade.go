package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxReplaceGap bounds the time between the replacements of two gateways. It is below the
// time that a planned stop takes, so that replacements overlap at times.
const maxReplaceGap = 3 * time.Second

// UpgradePlan returns the faults of a seed, during which all gateways are replaced one
// after the other by the other build, and then some of them back, so that both builds run
// side by side until the end.
func UpgradePlan(seed uint64, faultPeriod time.Duration) []Event {
	plan := append(SeedPlan(seed, faultPeriod), replacePlan(seed)...)
	sortByStart(plan)
	return plan
}

// replacePlan returns the replacements of an upgrade and of a downgrade that ends halfway.
func replacePlan(seed uint64) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x09))
	start := time.Second + time.Duration(rng.Int64N(int64(time.Second)))
	order := rng.Perm(gatewayCount)
	var plan []Event
	for _, i := range slices.Concat(order, order[:gatewayCount/2]) {
		plan = append(plan, Event{Start: start, Kind: Replace, Target: i})
		start += time.Duration(rng.Int64N(int64(maxReplaceGap)))
	}
	return plan
}

// otherBinary returns the build that does not run on a gateway. The caller holds restartMu.
func (tb *testbed) otherBinary(g *gateway) string {
	if g.binary == tb.options.Binary {
		return tb.options.OtherBinary
	}
	return tb.options.Binary
}
