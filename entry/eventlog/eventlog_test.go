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

// blockedReader is a reader of the log that does not read until release is
// closed.
type blockedReader struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockedReader) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against requests that wait for a reader of the log, and against memory
// that grows while nobody reads. The number of dropped lines is logged.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedReader{release: make(chan struct{})}
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
		written, omitted := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(out.buf.String()), "\n") {
			var fields struct {
				Message string `json:"msg"`
				Count   int    `json:"count"`
			}
			require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
			if fields.Message == "log lines dropped" {
				omitted += fields.Count
			} else {
				written++
			}
		}
		require.Equal(t, lines, written+omitted)
		require.Positive(t, omitted)
		require.LessOrEqual(t, out.buf.Len(), 2*maxPendingBytes)
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
