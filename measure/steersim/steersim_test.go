package steersim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// short is long enough for queues and shares to settle.
const short = 8 * time.Second

func shortened(l load) load {
	l.length = min(l.length, short)
	return l
}

// Guards against experiments that differ between two runs of one seed.
func TestSameSeedSameRun(t *testing.T) {
	l := shortened(scenarios[2].load)
	a, b := play(sites[1], core, l, 1), play(sites[1], core, l, 1)
	require.Equal(t, a.inTime, b.inTime)
	require.Equal(t, a.rejected, b.rejected)
	require.Equal(t, a.meanWorkMS(), b.meanWorkMS())
	c, d := playRates(sites[0], false, true, 1), playRates(sites[0], false, true, 1)
	require.Equal(t, c.passed, d.passed)
}

// Guards against a request that is counted twice or not at all.
func TestEachRequestEndsOnce(t *testing.T) {
	for _, sc := range scenarios {
		for _, p := range append([]policy{core}, sc.alternatives...) {
			w := play(sites[0], p, shortened(sc.load), 2)
			require.Equal(t, sum(w.offered), sum(w.inTime)+sum(w.late)+sum(w.rejected)+sum(w.lost), "%s, %s", sc.name, p.name)
		}
	}
}

// Guards against decisions of the core that are worse than a simple
// alternative under the load that they answer.
func TestCoreIsBetterUnderItsLoad(t *testing.T) {
	for _, sc := range scenarios {
		for _, s := range sites {
			own := play(s, core, shortened(sc.load), 1)
			for _, p := range sc.alternatives {
				if p.shares == flowShares && !p.noRanks || p.newChooser != nil {
					other := play(s, p, shortened(sc.load), 1)
					require.Greater(t, own.served(), other.served(), "%s on %s against %s", sc.name, s.name, p.name)
				}
			}
		}
	}
}

// Guards against an important request that is rejected for an unimportant one
// under overload.
func TestPriorityDecidesUnderOverload(t *testing.T) {
	for _, s := range sites {
		w := play(s, core, load{perSecond: even(overload), length: short}, 1)
		require.Greater(t, w.servedOf(0), w.servedOf(1))
		require.Greater(t, w.servedOf(1), w.servedOf(2))
	}
}

// Guards against repeats beyond the budget while a fifth of the servers fail.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, s := range sites {
		l := load{perSecond: even(asked), length: short, trouble: some(func(s *server) { s.failing = 0.9 })}
		w := play(s, core, l, 1)
		require.LessOrEqual(t, w.repeats()*sum(w.offered), budget.Ratio*sum(w.offered)+budget.Margin)
	}
}

// Guards against accounts that exceed their rates over the fleet while callers
// move or a VM that counts is killed.
func TestRatesHoldOverTheFleet(t *testing.T) {
	for _, s := range sites {
		for _, kill := range []bool{false, true} {
			for _, seed := range Seeds {
				w := playRates(s, false, kill, seed)
				for _, a := range rateAccounts(len(s.regions)) {
					require.Zero(t, w.overshoot(a), "%s, account %s, seed %d", s.name, a.name, seed)
				}
			}
		}
	}
}
