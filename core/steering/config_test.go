package steering

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against homes that bind only by route or only by account, and against
// shares of regions that are not the only home.
func TestHomes(t *testing.T) {
	regions := []string{"a", "b", "c"}
	require.Equal(t, "", OnlyHome(&Route{}, nil, regions))
	require.Equal(t, "b", OnlyHome(&Route{Homes: []string{"b"}}, &Account{}, regions))
	require.Equal(t, "b", OnlyHome(&Route{Homes: []string{"a", "b"}}, &Account{Homes: []string{"b", "c"}}, regions))
	require.Equal(t, "", OnlyHome(&Route{Homes: []string{"a", "b"}}, &Account{}, regions))

	c := NewConfig(1, nil, nil, []*Account{
		{Name: "x", Rate: 30, Homes: []string{"a"}}, {Name: "y", Rate: 50}, {Name: "z", Rate: 20, Homes: []string{"a", "b"}},
	}, Limits{})
	require.Equal(t, map[string]float64{"a": 0.3}, c.PinnedShares())
	require.Empty(t, NewConfig(1, nil, nil, nil, Limits{}).PinnedShares())
}
