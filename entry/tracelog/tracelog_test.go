package tracelog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a trace that ends at a line which cannot be read, contains
// lines of other requests or mixes up the order of lines of several VMs.
func TestTrace(t *testing.T) {
	var trace Trace
	require.NoError(t, trace.Read(strings.NewReader(`not a log line
{"ts":"2026-01-01T00:00:02Z","msg":"request","id":"a","status":503}
{"ts":"2026-01-01T00:00:01Z","msg":"send","id":"b"}
{"broken
   12.5 vm-9 {"ts":"2026-01-01T00:00:01Z","msg":"send","id":"a","server":"s1"}

`), "one.log", "a"))
	trace.Sort()
	require.Equal(t, 2, trace.Unreadable)
	require.Len(t, trace.Lines, 2)
	require.Equal(t, "send", trace.Lines[0].Message)
	require.Equal(t, "12.5 vm-9", trace.Lines[0].Source)
	require.Equal(t, map[string]any{"server": "s1"}, trace.Lines[0].Fields)
	require.Equal(t, "one.log", trace.Lines[1].Source)
}
