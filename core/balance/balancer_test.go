package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

func fixedRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// Guards against a leaving server getting new work.
func TestLeavingServerGetsNoWork(t *testing.T) {
	b := New(Config{}, fixedRand(1))
	b.SetServers(epoch, []Server{{Name: "s1", Slots: 8}, {Name: "s2", Slots: 8}}, 1)
	b.Report(epoch, "s1", Report{State: StateLeaving, Slots: 8})
	for range 100 {
		s, err := b.Pick(epoch, PickInput{})
		require.NoError(t, err)
		require.Equal(t, "s2", s.Name)
	}
	_, err := b.Pick(epoch, PickInput{Exclude: []string{"s2"}})
	require.ErrorIs(t, err, ErrNoServer)
}
