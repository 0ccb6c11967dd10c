package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newSelector() *Selector { return NewSelector(rand.New(rand.NewPCG(1, 2)).Float64) }

// Guards against a fleet whose few VMs with links are not found, and against one round
// trip to a VM without links for each request.
func TestVMsWithoutLinksAreLeftOut(t *testing.T) {
	for _, withLinks := range []int{1, 4, 40} {
		s := newSelector()
		var candidates []Candidate
		for i := range 83 {
			candidates = append(candidates, Candidate{VM: fmt.Sprint(i), RTT: time.Millisecond, Weight: 1})
		}
		const requests, perSecond = 3000, 50
		served, refused := 0, 0
		for i := range requests {
			now := time.Duration(i) * time.Second / perSecond
			var tried []string
			for {
				vm := s.Select(now, candidates, tried)
				if vm == "" {
					break
				}
				tried = append(tried, vm)
				s.Started(vm)
				var index int
				_, err := fmt.Sscan(vm, &index)
				require.NoError(t, err)
				if index < withLinks {
					s.Finished(now, vm, Answered)
					served++
					break
				}
				refused++
				s.Finished(now, vm, WithoutLinks)
			}
		}
		require.LessOrEqual(t, refused, (83-withLinks)*(requests/perSecond+1), "with %d VMs", withLinks)
		if withLinks > 1 {
			require.GreaterOrEqual(t, served, requests*9/10, "with %d VMs", withLinks)
		}
	}
}

// Guards against a small VM that gets as much as a large one, and against requests that
// leave the region while it has a usable VM.
func TestRequestsFollowDistanceAndCapacity(t *testing.T) {
	s := newSelector()
	candidates := []Candidate{{VM: "small", Weight: 1}, {VM: "large", Weight: 25}, {VM: "far", RTT: 50 * time.Millisecond, Weight: 1000}}
	counts := make(map[string]int)
	for range 6000 {
		vm := s.Select(0, candidates, nil)
		counts[vm]++
		s.Started(vm)
	}
	require.Zero(t, counts["far"])
	require.InEpsilon(t, 5, float64(counts["large"])/float64(counts["small"]), 0.25)
	require.Equal(t, "far", s.Select(0, candidates, []string{"small", "large"}))
}

// Guards against a relay that is used again while it is known to be useless, or never.
func TestRelaysAreUsedAgain(t *testing.T) {
	candidates := []Candidate{{VM: "a", Weight: 1}}
	for outcome, wait := range map[Outcome]time.Duration{Answered: 0, Unreachable: minUnusableWait, WithoutLinks: minUnusableWait, Busy: busyWait, Lost: minUnusableWait} {
		s := newSelector()
		s.Started("a")
		s.Finished(time.Second, "a", outcome)
		require.Equal(t, wait, s.RetryAfter(time.Second, candidates))
		if wait > 0 {
			require.Empty(t, s.Select(time.Second, candidates, nil))
		}
		require.Equal(t, "a", s.Select(time.Second+wait, candidates, nil))
		if wait == minUnusableWait {
			for range 5 {
				s.Started("a")
				s.Finished(0, "a", outcome)
			}
			require.Equal(t, maxUnusableWait, s.RetryAfter(0, candidates))
			s.Started("a")
			s.Finished(0, "a", Answered)
			s.Started("a")
			s.Finished(time.Minute, "a", outcome)
			require.Equal(t, wait, s.RetryAfter(time.Minute, candidates), "after an answer")
		}
		s.Forget(func(string) bool { return false })
		require.Empty(t, s.states)
	}
	require.Empty(t, newSelector().Select(0, nil, nil))
}
