package routing

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an update that changes the table used by concurrent lookups,
// or that leaves removed blocks in the new one.
func TestBlocksUpdate(t *testing.T) {
	first := netip.MustParsePrefix("10.0.0.0/16")
	second := netip.MustParsePrefix("10.1.0.0/16")
	old, err := NewBlocks([]BlockEntry{{first, "luzon"}, {second, "visayas"}})
	require.NoError(t, err)
	next, err := old.Update([]netip.Prefix{first}, []BlockEntry{{netip.MustParsePrefix("10.2.0.0/16"), "mindanao"}})
	require.NoError(t, err)
	region, ok := old.Lookup(netip.MustParseAddr("10.0.0.1"))
	assert.True(t, ok)
	assert.Equal(t, "luzon", region)
	_, ok = next.Lookup(netip.MustParseAddr("10.0.0.1"))
	assert.False(t, ok)
	region, _ = next.Lookup(netip.MustParseAddr("10.2.3.4"))
	assert.Equal(t, "mindanao", region)
	assert.Equal(t, 2, next.Len())
	_, err = next.Update(nil, []BlockEntry{{second, "luzon"}})
	assert.ErrorIs(t, err, ErrDuplicatePrefix)
}

// BenchmarkBlocksUpdate replaces as many blocks as one file holds in a full
// block map.
func BenchmarkBlocksUpdate(b *testing.B) {
	const blocks, changed = 980_000, 239
	entries := make([]BlockEntry, blocks)
	for i := range entries {
		a := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
		entries[i] = BlockEntry{netip.PrefixFrom(a, 24), fmt.Sprint("region-", i%45)}
	}
	table, err := NewBlocks(entries)
	require.NoError(b, err)
	remove := make([]netip.Prefix, changed)
	for i := range remove {
		remove[i] = entries[i].Prefix
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Update(remove, entries[:changed]); err != nil {
			b.Fatal(err)
		}
	}
}
