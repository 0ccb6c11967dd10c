package policy

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

func configEntry(name string, version uint64, content string) *peerv1.ConfigEntry {
	return &peerv1.ConfigEntry{Name: name, Version: version, Content: []byte(content)}
}

func lookupRegion(p *Policy, address string) string {
	r, _ := p.Blocks.Lookup(netip.MustParseAddr(address))
	return r
}

// Guards against keeping the blocks of an earlier version, or losing blocks,
// when single files change.
func TestCompilerFollowsChangedFiles(t *testing.T) {
	regions := configEntry("10.json", 1, `{"regions":[{"name":"a","failure_domains":["a1"],"cap_per_second":10,"cap_burst":10},{"name":"b","failure_domains":["b1"],"cap_per_second":10,"cap_burst":10}],"client_blocks":[{"prefix":"10.9.0.0/16","region":"b"}]}`)
	first := configEntry("20.json", 1, `{"client_blocks":[{"prefix":"10.0.0.0/16","region":"a"}]}`)
	second := configEntry("30.json", 1, `{"client_blocks":[{"prefix":"10.1.0.0/16","region":"a"}]}`)
	var c Compiler
	p, err := c.Compile(1, []*peerv1.ConfigEntry{regions, first, second})
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "a", "b"}, []string{lookupRegion(p, "10.0.0.1"), lookupRegion(p, "10.1.0.1"), lookupRegion(p, "10.9.0.1")})

	moved := configEntry("20.json", 2, `{"client_blocks":[{"prefix":"10.0.0.0/16","region":"b"}]}`)
	next, err := c.Compile(2, []*peerv1.ConfigEntry{regions, moved, second})
	require.NoError(t, err)
	assert.Equal(t, []string{"b", "a", "b"}, []string{lookupRegion(next, "10.0.0.1"), lookupRegion(next, "10.1.0.1"), lookupRegion(next, "10.9.0.1")})
	assert.Equal(t, "a", lookupRegion(p, "10.0.0.1"), "the policy in use must not change")

	last, err := c.Compile(3, []*peerv1.ConfigEntry{regions, moved})
	require.NoError(t, err)
	assert.Equal(t, []string{"b", "", "b"}, []string{lookupRegion(last, "10.0.0.1"), lookupRegion(last, "10.1.0.1"), lookupRegion(last, "10.9.0.1")})
}

// Guards against an invalid version that changes the block table of the version
// in effect.
func TestCompilerKeepsStateAfterError(t *testing.T) {
	good := configEntry("20.json", 1, `{"client_blocks":[{"prefix":"10.0.0.0/16","region":"a"}]}`)
	regions := configEntry("10.json", 1, `{"regions":[{"name":"a","failure_domains":["a1"],"cap_per_second":10,"cap_burst":10}]}`)
	var c Compiler
	_, err := c.Compile(1, []*peerv1.ConfigEntry{regions, good})
	require.NoError(t, err)
	_, err = c.Compile(2, []*peerv1.ConfigEntry{regions, configEntry("20.json", 2, `{"client_blocks":[{"prefix":"x"}]}`)})
	require.Error(t, err)
	p, err := c.Compile(3, []*peerv1.ConfigEntry{regions, good})
	require.NoError(t, err)
	assert.Equal(t, "a", lookupRegion(p, "10.0.0.1"))
}
