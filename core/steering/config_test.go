package steering

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against home regions that apply only by route or only by account, and
// against pinned shares for regions that are not the only home region.
func TestHomeRegions(t *testing.T) {
	regions := []string{"a", "b", "c"}
	require.Equal(t, "", OnlyHomeRegion(&Route{}, nil, regions))
	require.Equal(t, "b", OnlyHomeRegion(&Route{HomeRegions: []string{"b"}}, &Account{}, regions))
	require.Equal(t, "b", OnlyHomeRegion(&Route{HomeRegions: []string{"a", "b"}}, &Account{HomeRegions: []string{"b", "c"}}, regions))
	require.Equal(t, "", OnlyHomeRegion(&Route{HomeRegions: []string{"a", "b"}}, &Account{}, regions))

	c := NewConfig(1, nil, nil, []*Account{
		{Name: "x", RatePerSecond: 30, HomeRegions: []string{"a"}}, {Name: "y", RatePerSecond: 50}, {Name: "z", RatePerSecond: 20, HomeRegions: []string{"a", "b"}},
	}, Limits{})
	require.Equal(t, map[string]float64{"a": 0.3}, c.PinnedShares())
	require.Empty(t, NewConfig(1, nil, nil, nil, Limits{}).PinnedShares())
}
