package routing

import (
	"errors"
	"net/netip"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a lookup that returns an enclosing block instead of the
// longest one.
func TestLookupLongestPrefix(t *testing.T) {
	b, err := NewBlocks([]BlockEntry{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "luzon"},
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "visayas"},
	})
	require.NoError(t, err)
	require.Equal(t, 2, b.Len())
	region, ok := b.Lookup(netip.MustParseAddr("10.1.2.3"))
	require.True(t, ok)
	require.Equal(t, "visayas", region)
	region, ok = b.Lookup(netip.MustParseAddr("::ffff:10.2.2.3"))
	require.True(t, ok)
	require.Equal(t, "luzon", region)
	_, ok = b.Lookup(netip.MustParseAddr("11.0.0.1"))
	require.False(t, ok)
}

// Guards against invalid blocks that are accepted.
func TestInvalidBlocks(t *testing.T) {
	p := netip.MustParsePrefix("10.0.0.0/8")
	_, err := NewBlocks([]BlockEntry{{Prefix: p}, {Prefix: p}})
	require.ErrorIs(t, err, ErrDuplicatePrefix)
	_, err = NewBlocks([]BlockEntry{{Prefix: netip.MustParsePrefix("10.0.0.1/8")}})
	require.ErrorIs(t, err, ErrInvalidPrefix)
	var block *BlockError
	require.True(t, errors.As(err, &block))
}

func countFirstChoices(in LocateInput, callers int) map[string]int {
	first := map[string]int{}
	for i := range callers {
		in.Caller = strconv.Itoa(i)
		first[Locate(in)[0].VM]++
	}
	return first
}

// Guards against the same first VM for all callers of a region, and against
// an order that changes between responses to the same caller.
func TestLocateSpreadsCallers(t *testing.T) {
	in := LocateInput{ClientRegion: "luzon", VMs: healthyVMs(11, "luzon", "visayas", "mindanao"), DelayMS: map[string]float64{"visayas": 55, "mindanao": 56}}
	first := countFirstChoices(in, 4000)
	require.Len(t, first, 4)
	for vm, n := range first {
		require.Greater(t, n, 400, vm)
	}
	in.Caller = "10.0.0.1"
	choices := Locate(in)
	require.Equal(t, choices, Locate(in))
	require.Len(t, choices, defaultMaxChoices)
	require.Equal(t, "luzon", choices[3].Region)
	require.Equal(t, "visayas", choices[4].Region)
	require.Equal(t, ReasonOtherRegion, choices[4].Reason)
}

// Guards against callers that are sent to leaving VMs, or to suspected VMs
// first.
func TestLocateHealthAndLeaving(t *testing.T) {
	in := LocateInput{ClientRegion: "luzon", Caller: "c", VMs: healthyVMs(4, "luzon")}
	in.VMs[0].Leaving = true
	in.VMs[1].Healthy = false
	choices := Locate(in)
	require.Len(t, choices, 3)
	require.Equal(t, in.VMs[1].VM, choices[2].VM)
	require.Equal(t, ReasonSuspected, choices[2].Reason)
	in.VMs = in.VMs[:1]
	require.Equal(t, ReasonLeavingOnly, Locate(in)[0].Reason)
	require.Empty(t, Locate(LocateInput{ClientRegion: "luzon"}))
}

// Guards against callers of an account that are sent to VMs without units of
// its limit.
func TestLocatePrefersUnits(t *testing.T) {
	in := LocateInput{ClientRegion: "luzon", VMs: healthyVMs(4, "luzon")}
	for i := range in.VMs {
		in.VMs[i].Headroom = 0.5
	}
	in.VMs[2].AccountUnits = 1 << 20
	first := countFirstChoices(in, 1000)
	require.Greater(t, first[in.VMs[2].VM], 500)
}

// Guards against oscillation between regions: a small change of a measured
// headroom affects few callers, and half of the callers keep a full region as
// their first.
func TestLocateMovesFewCallers(t *testing.T) {
	moved := func(headroom float64) int {
		in := LocateInput{ClientRegion: "luzon", VMs: healthyVMs(6, "luzon", "visayas"), DelayMS: map[string]float64{"visayas": 55}}
		n := 0
		for i := range in.VMs {
			if in.VMs[i].Region == "luzon" {
				in.VMs[i].Headroom = headroom
			}
		}
		for i := range 2000 {
			in.Caller = strconv.Itoa(i)
			if c := Locate(in)[0]; c.Region == "visayas" {
				require.Equal(t, ReasonNearestFull, c.Reason)
				n++
			}
		}
		return n
	}
	require.Zero(t, moved(0.2))
	require.InDelta(t, 200, moved(0.18), 60)
	require.InDelta(t, 1000, moved(0), 100)
}

// Guards against a Directory that allocates for each caller, or ignores the
// units of the caller's account.
func TestDirectory(t *testing.T) {
	vms := healthyVMs(11, "luzon", "visayas", "mindanao")
	d := NewDirectory(vms, map[string]map[string]float64{"luzon": {"visayas": 55, "mindanao": 56}})
	q := Query{ClientRegion: "luzon", Units: map[string]uint32{vms[3].VM: 1 << 20}}
	first := 0
	for i := range uint64(1000) {
		q.CallerHash = mixBits(i)
		c := d.Locate(nil, q)
		require.Equal(t, "luzon", c[0].Region)
		if c[0].VM == vms[3].VM {
			require.Equal(t, ReasonHoldsUnits, c[0].Reason)
			first++
		}
	}
	require.Greater(t, first, 400)
	dst := make([]EntryChoice, 0, maxChoices)
	require.Zero(t, testing.AllocsPerRun(100, func() { d.Locate(dst, q) }))
	q.Max = 100
	require.Len(t, d.Locate(nil, q), len(vms))
}
