package steersim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortDuration is long enough for queues and shares to settle.
const shortDuration = 8 * time.Second

func shorten(load workload) workload {
	load.duration = min(load.duration, shortDuration)
	return load
}

// Guards against runs with the same seed that give different results.
func TestSameSeedSameRun(t *testing.T) {
	load := shorten(scenarios[2].workload)
	first, second := simulate(sites[1], corePolicy, load, 1), simulate(sites[1], corePolicy, load, 1)
	require.Equal(t, first.inTime, second.inTime)
	require.Equal(t, first.rejected, second.rejected)
	require.Equal(t, first.meanWorkMS(), second.meanWorkMS())
	firstRates, secondRates := simulateRates(sites[0], false, true, 1), simulateRates(sites[0], false, true, 1)
	require.Equal(t, firstRates.admittedAt, secondRates.admittedAt)
}

// Guards against a request that is counted twice or not at all.
func TestEachRequestEndsOnce(t *testing.T) {
	for _, sc := range scenarios {
		for _, p := range append([]policy{corePolicy}, sc.baselines...) {
			w := simulate(sites[0], p, shorten(sc.workload), 2)
			require.Equal(t, sum(w.arrived), sum(w.inTime)+sum(w.late)+sum(w.rejected)+sum(w.timedOut), "%s, %s", sc.name, p.name)
		}
	}
}

// Guards against core policies that serve fewer requests in time than a simple
// policy under the load pattern for which they are made.
func TestCoreIsBetterUnderItsLoad(t *testing.T) {
	for _, sc := range scenarios {
		for _, s := range sites {
			coreRun := simulate(s, corePolicy, shorten(sc.workload), 1)
			for _, p := range sc.baselines {
				if p.shares == gradualShares && !p.hidePriority || p.newChooser != nil {
					baselineRun := simulate(s, p, shorten(sc.workload), 1)
					require.Greater(t, coreRun.servedInTime(), baselineRun.servedInTime(), "%s on %s against %s", sc.name, s.name, p.name)
				}
			}
		}
	}
}

// Guards against requests of high priority that are served less often than those
// of low priority under overload.
func TestPriorityDecidesUnderOverload(t *testing.T) {
	for _, s := range sites {
		w := simulate(s, corePolicy, workload{requestRate: evenRate(overloadFactor), duration: shortDuration}, 1)
		require.Greater(t, w.servedInTimeOf(0), w.servedInTimeOf(1))
		require.Greater(t, w.servedInTimeOf(1), w.servedInTimeOf(2))
	}
}

// Guards against retries beyond the budget while a fifth of the servers fail.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, s := range sites {
		load := workload{requestRate: evenRate(loadFactor), duration: shortDuration, injectFault: changeAffectedServers(func(s *server) { s.failureFraction = 0.9 })}
		w := simulate(s, corePolicy, load, 1)
		require.LessOrEqual(t, w.retriesPerRequest()*sum(w.arrived), retryLimits.Ratio*sum(w.arrived)+retryLimits.Margin)
	}
}

// Guards against accounts that exceed their rates over the whole fleet while
// callers move to another region or the owner of an account is killed.
func TestRatesHoldOverTheFleet(t *testing.T) {
	for _, s := range sites {
		for _, kill := range []bool{false, true} {
			for _, seed := range Seeds {
				w := simulateRates(s, false, kill, seed)
				for _, a := range rateAccounts(len(s.regions)) {
					require.Zero(t, w.overshoot(a), "%s, account %s, seed %d", s.name, a.name, seed)
				}
			}
		}
	}
}
