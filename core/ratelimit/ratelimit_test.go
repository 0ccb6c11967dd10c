package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against parts that add up to more than the rate: the fleet would
// exceed an account's rate however it divides.
func TestSharesAddUpToOne(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		vms := 1 + random.IntN(80)
		demands := make([]float64, vms)
		var sum float64
		for i := range demands {
			if random.IntN(3) > 0 {
				demands[i] = random.Float64() * 20
			}
			sum += demands[i]
		}
		rate := random.Float64() * 1000
		var total float64
		for _, d := range demands {
			total += DemandShare(rate, d, sum, vms)
		}
		require.InDelta(t, 1, total, 1e-9)
	}
}

// Guards against rejecting an account within its rate because its callers use
// few VMs.
func TestDemandThatFitsIsMet(t *testing.T) {
	part := DemandShare(100, 70, 70, 10)
	require.GreaterOrEqual(t, part*100, 70.0)
	require.InDelta(t, 3, DemandShare(100, 0, 70, 10)*100, 1e-9, "VMs without callers share what is left")
}

// Guards against VMs that starve when demand exceeds the rate.
func TestDemandThatDoesNotFitIsMetInProportion(t *testing.T) {
	require.InDelta(t, 0.9*0.8+0.05, DemandShare(100, 800, 1000, 2), 1e-9)
	require.InDelta(t, 0.9*0.2+0.05, DemandShare(100, 200, 1000, 2), 1e-9)
}

// Guards against a fleet that lets more through than rate and burst while a
// hot account moves between VMs. Ten VMs, parts follow the demand of the second
// before, as with digests that arrive late.
func TestHotAccountThatMovesStaysWithinItsRate(t *testing.T) {
	const (
		vms    = 10
		rate   = 100.0
		burst  = 100.0
		step   = 10 * time.Millisecond
		window = 5 * time.Second
	)
	var buckets [vms]Bucket
	old := make([]float64, vms)
	var sum float64
	admitted := make(map[time.Duration]int)
	for now := time.Duration(0); now < 60*time.Second; now += step {
		target := int(now/(7*time.Second)) % vms
		if now%time.Second == 0 {
			for i := range buckets {
				part := DemandShare(rate, old[i], sum, vms)
				partRate, partBurst := Allowance{Tolerance: 0.1, Margin: 20}.ShareLimits(rate, burst, part)
				buckets[i].SetLimits(now, partRate, partBurst)
				old[i] = 0
			}
			old[target], sum = 800, 800
		}
		for range 8 {
			if ok, _ := buckets[target].Take(now); ok {
				admitted[now/window*window]++
			}
		}
	}
	for _, n := range admitted {
		require.LessOrEqual(t, float64(n), (rate*window.Seconds()+burst)*1.1+20)
	}
}

// Guards against a Retry-After that is not true: the request would be rejected
// again.
func TestWaitIsAccurate(t *testing.T) {
	var b Bucket
	b.SetLimits(0, 2, 1)
	ok, wait := b.Take(0)
	require.False(t, ok, "a bucket starts empty, so that restarts give no extra burst")
	require.Equal(t, 500*time.Millisecond, wait)
	ok, _ = b.Take(wait)
	require.True(t, ok)
}

// Guards against tokens above the burst after a VM's part shrank, and after
// tokens were returned.
func TestTokensStayWithinTheBurst(t *testing.T) {
	var b Bucket
	b.SetLimits(0, 100, 100)
	require.InDelta(t, 100, b.Tokens(10*time.Second), 1e-9)
	b.SetLimits(10*time.Second, 10, 10)
	require.InDelta(t, 10, b.Tokens(10*time.Second), 1e-9)
	b.PutBack()
	require.InDelta(t, 10, b.Tokens(10*time.Second), 1e-9)
}

// Guards against waiting forever for an account without a rate here.
func TestNoRateIsRejectedWithABoundedWait(t *testing.T) {
	var b Bucket
	ok, wait := b.Take(time.Second)
	require.False(t, ok)
	require.Equal(t, maxWait, wait)
}

// Replays an account with a small rate whose callers use eighty VMs: a fifth of
// a request per second each. Guards against rejecting it within its rate: split
// into eighty buckets of less than a token, a third of its requests were
// rejected.
func TestSmallRateOverManyVMs(t *testing.T) {
	const vms, regions, rate = 80, 3, 20.0
	random := rand.New(rand.NewPCG(3, 5))
	counters := make([]Bucket, regions)
	wallets := make([]TokenCache, vms)
	allowance := Allowance{Tolerance: 0.1, Margin: 20}
	for i := range counters {
		partRate, partBurst := allowance.ShareLimits(rate, rate, 1.0/regions)
		counters[i].Init(0, partRate, partBurst, allowance.InitialTokens(rate, 1.0/regions))
	}
	var asked, rejected int
	next := time.Duration(0)
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		for now >= next {
			next += time.Duration(random.ExpFloat64() / (rate * 0.8) * float64(time.Second))
			vm := random.IntN(vms)
			asked++
			if wallets[vm].Take(now) {
				continue
			}
			granted, _ := counters[vm%regions].Grant(now, wallets[vm].Want())
			if granted == 0 {
				rejected++
				continue
			}
			wallets[vm].Add(now, granted-1)
		}
	}
	require.Greater(t, asked, 800)
	require.LessOrEqual(t, rejected, asked/100)
}

// Guards against tokens that a VM keeps after its callers have left.
func TestTokenCacheExpires(t *testing.T) {
	var w TokenCache
	w.Add(0, 3)
	require.True(t, w.Take(walletLife-1))
	require.False(t, w.Take(walletLife))
	require.Equal(t, 2, w.TakeUsed())
	require.Zero(t, w.TakeUsed())
	require.Equal(t, 1, w.Want())
}

// Guards against a grant of more than there is, and against a false time.
func TestGrant(t *testing.T) {
	var b Bucket
	b.SetLimits(0, 10, 5)
	n, _ := b.Grant(300*time.Millisecond, 10)
	require.Equal(t, 3, n)
	n, wait := b.Grant(300*time.Millisecond, 1)
	require.Zero(t, n)
	require.Equal(t, 100*time.Millisecond, wait)
}

// Replays an account that asks for more than its rate while all VMs are restarted
// twice within a window, which the soak found with seed 9205. Guards against fresh
// buckets whose first tokens add up to more than the tolerance.
func TestRestartsStayWithinTheTolerance(t *testing.T) {
	const window = 5 * time.Second
	a := Allowance{Tolerance: 0.1, Margin: 20}
	for _, limit := range []struct{ rate, burst float64 }{{40, 40}, {10, 40}, {30, 200}, {474, 10}, {5, 5}} {
		for _, parts := range []int{1, 3} {
			var passed float64
			buckets := make([]*Bucket, parts)
			restart := func(now time.Duration) {
				for i := range buckets {
					rate, burst := a.ShareLimits(limit.rate, limit.burst, 1/float64(parts))
					buckets[i] = &Bucket{}
					buckets[i].Init(now, rate, burst, a.InitialTokens(limit.burst, 1/float64(parts)))
				}
			}
			restart(0)
			// The bursts fill before the window begins.
			begin := time.Minute
			for now := begin; now < begin+window; now += time.Millisecond {
				if since := now - begin; since == 1700*time.Millisecond || since == 3300*time.Millisecond {
					restart(now)
				}
				for _, b := range buckets {
					for ok := true; ok; {
						if ok, _ = b.Take(now); ok {
							passed++
						}
					}
				}
			}
			allowed := (limit.rate*window.Seconds()+limit.burst)*(1+a.Tolerance) + a.Margin
			require.LessOrEqual(t, passed, allowed, "rate %v, burst %v, %d parts", limit.rate, limit.burst, parts)
		}
	}
}
