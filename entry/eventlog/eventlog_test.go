package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// blocked is a reader of the log that has stopped reading.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against requests that wait for a reader of the log, and against
// memory that grows while nobody reads. What was left out is told.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		log, flush := New(out)
		text := strings.Repeat("x", 1000)
		const lines = 5000
		for i := range lines {
			log.Info("request", "n", i, "text", text)
			if i == 0 {
				synctest.Wait()
			}
		}
		close(out.release)
		flush()
		kept, left := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(out.buf.String()), "\n") {
			var fields struct {
				Message string `json:"msg"`
				Count   int    `json:"count"`
			}
			require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
			if fields.Message == "log lines left out" {
				left += fields.Count
			} else {
				kept++
			}
		}
		require.Equal(t, lines, kept+left)
		require.Positive(t, left)
		require.LessOrEqual(t, out.buf.Len(), 2*maxPending)
	})
}

// Guards against lines that are lost at the end of the process.
func TestFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, flush := New(&out)
		log.Info("stopped", "vm", "a")
		flush()
		require.Contains(t, out.String(), `"msg":"stopped"`)
	})
}
