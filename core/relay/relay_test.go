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
			candidates = append(candidates, Candidate{VM: fmt.Sprint(i), Weight: 1})
		}
		const requests, perSecond = 3000, 50
		served, refused := 0, 0
		for i := range requests {
			now := time.Duration(i) * time.Second / perSecond
			var tried []string
			for {
				vm := s.Select(now, [][]Candidate{candidates}, tried)
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
	regions := [][]Candidate{{{VM: "small", Weight: 1}, {VM: "large", Weight: 25}}, {{VM: "far", Weight: 1000}}}
	counts := make(map[string]int)
	for range 6000 {
		vm := s.Select(0, regions, nil)
		counts[vm]++
		s.Started(vm)
	}
	require.Zero(t, counts["far"])
	require.InEpsilon(t, 5, float64(counts["large"])/float64(counts["small"]), 0.25)
	require.Equal(t, "far", s.Select(0, regions, []string{"small", "large"}))
}

// Guards against a relay that is used again while it is known to be useless, or never.
func TestRelaysAreUsedAgain(t *testing.T) {
	regions := [][]Candidate{{{VM: "a", Weight: 1}}}
	for outcome, wait := range map[Outcome]time.Duration{Answered: 0, Unreachable: minUnusableWait, WithoutLinks: minUnusableWait, Busy: busyWait, Lost: minUnusableWait} {
		s := newSelector()
		s.Started("a")
		s.Finished(time.Second, "a", outcome)
		require.Equal(t, wait, s.RetryAfter(time.Second, regions))
		if wait > 0 {
			require.Empty(t, s.Select(time.Second, regions, nil))
		}
		require.Equal(t, "a", s.Select(time.Second+wait, regions, nil))
		if wait == minUnusableWait {
			for range 5 {
				s.Started("a")
				s.Finished(0, "a", outcome)
			}
			require.Equal(t, maxUnusableWait, s.RetryAfter(0, regions))
			s.Started("a")
			s.Finished(0, "a", Answered)
			s.Started("a")
			s.Finished(time.Minute, "a", outcome)
			require.Equal(t, wait, s.RetryAfter(time.Minute, regions), "after an answer")
		}
		s.Forget(func(string) bool { return false })
		require.Empty(t, s.states)
	}
	require.Empty(t, newSelector().Select(0, nil, nil))
}

// BenchmarkSelect selects a relay in a fleet of 4,100 VMs in 45 regions, while all VMs of
// the nearest two are left out.
func BenchmarkSelect(b *testing.B) {
	s := newSelector()
	regions := make([][]Candidate, 45)
	for i := range 4100 {
		region := i % len(regions)
		vm := fmt.Sprint(i)
		regions[region] = append(regions[region], Candidate{VM: vm, Weight: float64(1 + i%5)})
		if region < 2 {
			s.Started(vm)
			s.Finished(0, vm, WithoutLinks)
		}
	}
	for b.Loop() {
		if s.Select(0, regions, nil) == "" {
			b.Fatal("no relay")
		}
	}
}
