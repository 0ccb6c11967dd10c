package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a missed target that is reported as met, or that a better seed
// hides in the table.
func TestMissedTargetIsReported(t *testing.T) {
	run := func(seed uint64) []Figure {
		return []Figure{Value("share", "ratio", 1-float64(seed)/10).WithTarget(AtLeast, 0.85).WithBaseline(0.5)}
	}
	figures := RunAll([]Experiment{{Name: "e", Seeds: []uint64{1, 2}, Run: run}})
	require.True(t, *figures[0].Met)
	require.False(t, *figures[1].Met)
	var out strings.Builder
	require.NoError(t, WriteTable(&out, figures))
	require.Contains(t, out.String(), missedLabel)
	require.False(t, *Value("x", "", 0.1).WithTarget(Below, 0.1).Met)
	require.True(t, *Value("x", "", 0).WithTarget(AtMost, 0).Met)
	dir := t.TempDir()
	require.NoError(t, WritePlots(dir, figures))
	_, err := os.Stat(filepath.Join(dir, "e"+plotSuffix))
	require.NoError(t, err)
}
