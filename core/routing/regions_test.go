package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

func always(string) bool { return true }

// Guards against a lookup that returns an enclosing block instead of the longest.
func TestLookupLongestPrefix(t *testing.T) {
	b, err := NewBlocks([]BlockEntry{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "luzon"},
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "visayas"},
	})
	require.NoError(t, err)
	region, ok := b.Lookup(netip.MustParseAddr("10.1.2.3"))
	require.True(t, ok)
	require.Equal(t, "visayas", region)
	region, ok = b.Lookup(netip.MustParseAddr("::ffff:10.2.2.3"))
	require.True(t, ok)
	require.Equal(t, "luzon", region)
	_, ok = b.Lookup(netip.MustParseAddr("11.0.0.1"))
	require.False(t, ok)
}

// Guards against work being sent to a drained or failed region.
func TestDrainedAndFailedRegions(t *testing.T) {
	r := NewRegions([]RegionConfig{
		{Name: "luzon", CapPerSecond: 100},
		{Name: "visayas", CapPerSecond: 100, DelayMS: map[string]float64{"luzon": 55}},
	})
	r.SetDrained("luzon", true)
	c, err := r.Choose(epoch, ChooseInput{From: "luzon"}, always)
	require.NoError(t, err)
	require.Equal(t, RegionChoice{Region: "visayas", Shifted: true, Nearest: RefusedDrained}, c)
	r.SetFailed("visayas", true)
	_, err = r.Choose(epoch, ChooseInput{From: "luzon"}, always)
	var none *NoRegionError
	require.ErrorAs(t, err, &none)
	require.ErrorIs(t, err, ErrNoRegion)
	require.Equal(t, retryNoService, none.RetryAfter)
}
