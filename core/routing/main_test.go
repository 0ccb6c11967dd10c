package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is set by a flag.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
