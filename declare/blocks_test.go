package declare

import (
	"bytes"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// filesWithBlocks returns a valid configuration with n client blocks in files
// of at most 10,000 blocks.
func filesWithBlocks(n int) []File {
	files := validFiles()
	const perFile = 10_000
	for first := 0; first < n; first += perFile {
		var b bytes.Buffer
		b.WriteString(`{"client_blocks": [`)
		for i := first; i < min(first+perFile, n); i++ {
			if i > first {
				b.WriteString(",")
			}
			address := netip.AddrFrom4([4]byte{byte(16 + i>>16), byte(i >> 8), byte(i), 0})
			fmt.Fprintf(&b, `{"prefix": "%s/24", "region": "a"}`, address)
		}
		b.WriteString(`]}`)
		files = append(files, File{Name: fmt.Sprintf("50-blocks-%04d.json", first/perFile), Content: b.Bytes()})
	}
	return files
}

// Guards against an overlap check whose cost grows with the square of the
// number of client blocks, and against keeping several copies of a string.
//
// go test ./declare -run - -bench ManyBlocks -benchtime 3x
func BenchmarkManyBlocks(b *testing.B) {
	files := filesWithBlocks(980_000)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, err := Parse(files)
		require.NoError(b, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(c.Blocks)), "heap-B/block")
	}
}
