package demo

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/standin/load"
)

// Guards against generated files that the system rejects and against declarations
// that contain a key in plain text.
func TestFilesAreValid(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, WriteFiles(Options{Dir: dir, Net: 77, Seed: 3}))
	cfg, err := load.LoadConfig(filepath.Join(dir, fileLoad))
	require.NoError(t, err)
	require.Len(t, cfg.Entries, len(regions)*vmsPerRegion)

	for _, d := range []string{dirFirst, dirSecond} {
		folder, err := declare.LoadFolder(filepath.Join(dir, d))
		require.NoError(t, err)
		require.Len(t, folder.Config.Accounts, len(cfg.Accounts))
		content, err := os.ReadFile(filepath.Join(dir, d, fileAccounts))
		require.NoError(t, err)
		for _, c := range cfg.Clients {
			require.NotContains(t, string(content), c.Key)
		}
	}
	settings, err := filepath.Glob(filepath.Join(dir, "settings-*.json"))
	require.NoError(t, err)
	require.Len(t, settings, len(cfg.Entries))
	for _, file := range settings {
		_, err := declare.LoadSettings(file)
		require.NoError(t, err)
	}
}
