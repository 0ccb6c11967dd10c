package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func takeAlways(string) bool { return true }

func twoRegions(rate float64) []RegionConfig {
	return []RegionConfig{
		{Name: "luzon", CapPerSecond: rate, CapLimit: "cap/luzon", DelayMS: map[string]float64{"visayas": 55}},
		{Name: "visayas", CapPerSecond: rate, CapLimit: "cap/visayas", LinkLimits: map[string]string{"luzon": "link"}, DelayMS: map[string]float64{"luzon": 55}},
	}
}

// Guards against requests that are sent to a drained or failed region.
func TestDrainedAndFailedRegions(t *testing.T) {
	r := NewRegions(twoRegions(100))
	r.SetDrained("luzon", true)
	c, err := r.Choose(epoch, ChooseInput{From: "luzon"}, takeAlways)
	require.NoError(t, err)
	require.Equal(t, RegionChoice{Region: "visayas", Shifted: true, NearestRefusal: RefusedDrained}, c)
	require.Equal(t, 1, r.InFlight("visayas"))
	r.Done(epoch, "visayas")
	require.Zero(t, r.InFlight("visayas"))
	r.SetFailed("visayas", true)
	_, err = r.Choose(epoch, ChooseInput{From: "luzon"}, takeAlways)
	var none *NoRegionError
	require.ErrorAs(t, err, &none)
	require.ErrorIs(t, err, ErrNoRegion)
	require.Equal(t, retryAfterNoService, none.RetryAfter)
	require.Equal(t, []RegionRefusal{{"luzon", RefusedDrained}, {"visayas", RefusedFailed}}, none.Refusals)
}

// Guards against shifted traffic that exceeds a cap or a link limit, and
// against link tokens that are lost when the cap refuses a request.
func TestTokensBoundEveryChoice(t *testing.T) {
	r := NewRegions(twoRegions(10_000))
	tokens := map[string]int{"cap/luzon": 3, "cap/visayas": 2, "link": 5}
	take := func(limit string) bool {
		if tokens[limit] == 0 {
			return false
		}
		tokens[limit]--
		return true
	}
	in := ChooseInput{From: "luzon", Refund: func(limit string) { tokens[limit]++ }}
	var regions []string
	for range 5 {
		c, err := r.Choose(epoch, in, take)
		require.NoError(t, err)
		regions = append(regions, c.Region)
	}
	require.Equal(t, []string{"luzon", "luzon", "luzon", "visayas", "visayas"}, regions)
	_, err := r.Choose(epoch, in, take)
	var none *NoRegionError
	require.ErrorAs(t, err, &none)
	require.Equal(t, retryAfterNoTokens, none.RetryAfter)
	require.Equal(t, 3, tokens["link"])
}

// Guards against a herd effect: VMs that decide at the same moment on the
// same old measurement must together add no more than the free capacity that
// it shows.
func TestNoHerdOnStaleMeasurement(t *testing.T) {
	const vms = 11
	m := Measurement{At: epoch.Add(20 * time.Second), RatePerSecond: 900, InFlight: 36, Slots: 100}
	admitted := 0
	for range vms {
		cfg := twoRegions(1000)
		cfg[1].RampSharePerSecond = 1 // the ramp alone would allow the whole cap
		r := NewRegions(cfg)
		r.SetVMs(vms)
		r.SetFailed("luzon", true)
		r.RecordMeasurement("visayas", m)
		for range 1000 {
			if _, err := r.Choose(epoch.Add(22*time.Second), ChooseInput{From: "luzon"}, takeAlways); err == nil {
				admitted++
			}
		}
	}
	require.LessOrEqual(t, admitted, 100+vms)
	require.GreaterOrEqual(t, admitted, 100)
}

// Guards against oscillation: traffic above a region's capacity is reduced in
// proportion to what was sent at the time of the measurement, not stopped.
func TestOverloadedRegionKeepsItsShare(t *testing.T) {
	r := NewRegions(twoRegions(1000))
	r.SetFailed("luzon", true)
	choose := func(from, to int) (admitted int) {
		for ms := from; ms < to; ms += 2 {
			if _, err := r.Choose(epoch.Add(time.Duration(ms)*time.Millisecond), ChooseInput{From: "luzon"}, takeAlways); err == nil {
				admitted++
			}
		}
		return admitted
	}
	choose(0, 30_000)
	before := choose(30_000, 31_000)
	require.Equal(t, 500, before)
	// The servers are slow: 200 requests in flight on 100 slots at 1,000 per
	// second.
	r.RecordMeasurement("visayas", Measurement{At: epoch.Add(30_900 * time.Millisecond), RatePerSecond: 1000, InFlight: 200, Slots: 100})
	choose(31_000, 32_000)
	after := choose(32_000, 33_000)
	require.InDelta(t, 0.97/2*500, after, 5)
}

// Guards against a region's own callers being shifted because of a
// measurement.
func TestMeasurementDoesNotMoveOwnCallers(t *testing.T) {
	r := NewRegions(twoRegions(1000))
	r.RecordMeasurement("luzon", Measurement{At: epoch, RatePerSecond: 5000, InFlight: 500, Slots: 100})
	c, err := r.Choose(epoch, ChooseInput{From: "luzon"}, takeAlways)
	require.NoError(t, err)
	require.Equal(t, "luzon", c.Region)
}

// Guards against growth beyond the ramp: in any second, a VM admits at most
// its peak second of the 10 s before, or the floor, plus its part of the
// growth.
func TestRampProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, vms = 1000.0, 4
		cfg := RegionConfig{Name: "luzon", CapPerSecond: limit, RampSharePerSecond: 0.1, RampFloor: 0.05}
		r := NewRegions([]RegionConfig{cfg})
		r.SetVMs(vms)
		rates := rapid.SliceOfN(rapid.IntRange(0, 30), 20, 60).Draw(t, "requests per step")
		var admitted []int
		for step, n := range rates {
			count := 0
			for range n {
				in := ChooseInput{From: "luzon", ClientRegion: "visayas"}
				if _, err := r.Choose(epoch.Add(time.Duration(step)*rampStep), in, takeAlways); err == nil {
					count++
				}
			}
			admitted = append(admitted, count)
		}
		second := func(end int) (sum int) {
			for i := max(0, end-rampWindowSteps+1); i <= end; i++ {
				sum += admitted[i]
			}
			return sum
		}
		share := limit / vms
		for end := range admitted {
			peak := cfg.RampFloor * share
			for before := max(0, end-rampWindowSteps-rampHistorySteps); before <= end-rampWindowSteps; before++ {
				peak = max(peak, float64(second(before)))
			}
			require.Less(t, float64(second(end)), peak+cfg.RampSharePerSecond*share+1)
		}
	})
}

// Guards against VMs whose growth together exceeds the configured ramp: a VM
// that never sent to a region gets no floor if the region already carries
// more than the floor.
func TestFloorIsNotAddedByEachVM(t *testing.T) {
	r := NewRegions(twoRegions(1000))
	r.SetVMs(10)
	now := epoch
	_, err := r.Choose(now, ChooseInput{From: "luzon"}, takeAlways)
	require.NoError(t, err)
	now = now.Add(20 * time.Second)
	r.SetFailed("luzon", true)
	r.RecordMeasurement("visayas", Measurement{At: now, RatePerSecond: 600})
	admitted := 0
	for range 100 {
		if _, err := r.Choose(now, ChooseInput{From: "luzon"}, takeAlways); err == nil {
			admitted++
		}
	}
	require.Equal(t, 5, admitted) // 5% of 1000, divided by 10 VMs
}

// Guards against a ramp that refuses a region's own callers, except after the
// region has recovered from a failure.
func TestOwnCallersAreRampedAfterRecovery(t *testing.T) {
	r := NewRegions(twoRegions(1000)[:1])
	burst := func(since time.Duration) (admitted int) {
		for range 900 {
			if _, err := r.Choose(epoch.Add(since), ChooseInput{From: "luzon"}, takeAlways); err == nil {
				admitted++
			}
		}
		return admitted
	}
	require.Equal(t, 900, burst(0))
	r.SetFailed("luzon", true)
	require.Zero(t, burst(20*time.Second))
	r.SetFailed("luzon", false)
	require.Equal(t, 250, burst(40*time.Second)) // floor and growth
	require.Equal(t, 900, burst(61*time.Second))
}

// Guards against a ramp that falls back to the floor when the configuration
// changes.
func TestSetConfigKeepsState(t *testing.T) {
	r := NewRegions(twoRegions(1000))
	_, err := r.Choose(epoch, ChooseInput{From: "luzon"}, takeAlways)
	require.NoError(t, err)
	r.SetConfig(twoRegions(2000))
	require.Equal(t, 1, r.InFlight("luzon"))
	require.Equal(t, 1.0, r.byName["luzon"].requests.lastSecond(epoch))
}

// healthyVMs returns n healthy VMs spread over the regions.
func healthyVMs(n int, regions ...string) []EntryVM {
	rnd := rand.New(rand.NewPCG(7, 7))
	vms := make([]EntryVM, n)
	for i := range vms {
		vms[i] = EntryVM{VM: "vm-" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Region: regions[i%len(regions)], Healthy: true, Headroom: 0.3 + rnd.Float64()/2}
	}
	return vms
}
