package gateway

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against mistyped options that are ignored, and against fields that
// lose their defaults when others are set.
func TestOptions(t *testing.T) {
	load := func(text string) (Options, error) {
		path := filepath.Join(t.TempDir(), "options.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return LoadOptions(path)
	}
	o, err := load(`{"log": {"success_sample": 1}}`)
	require.NoError(t, err)
	want := DefaultOptions()
	want.Log.SuccessSample = 1
	require.Equal(t, want, o)
	for _, bad := range []string{`{"log": {"succes_sample": 1}}`, `{`, `{} {}`, `{"log": {"lines_per_second": "5"}}`} {
		_, err = load(bad)
		require.ErrorIs(t, err, ErrOptions, bad)
	}
	_, err = load(`{"log": {"success_sample": -1, "lines_per_second": 0}}`)
	require.ErrorContains(t, err, "log.success_sample")
	require.ErrorContains(t, err, "log.lines_per_second")
	_, err = LoadOptions(filepath.Join(t.TempDir(), "missing"))
	require.ErrorIs(t, err, ErrOptions)
}
