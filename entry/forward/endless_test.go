package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/problem"
)

// Guards against responses to bookings that together take more memory than the process has: they
// are read completely before they are stored.
func TestMemoryOfStoredResponses(t *testing.T) {
	const bookings, servers = 24, 4
	var waiting atomic.Int32
	address := httpsyntaxtest.Serve(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		// Stops before the response is too large.
		for sent := 0; err == nil && sent < maxStoredResponseBytes-1<<20; sent += 64 << 10 {
			_, err = io.WriteString(c, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n")
		}
		waiting.Add(1)
		_, _ = io.Copy(io.Discard, c)
	})
	var list []declare.BackendServer
	for i := range servers {
		list = append(list, serverAt(fmt.Sprint("s", i), address))
	}
	f := newFixtureWithServers(t, list)
	var callers sync.WaitGroup
	for i := range bookings {
		callers.Go(func() {
			_, run := decodeRejection(t, f.do(t, "POST", "/book/1", "x", "Idempotency-Key", fmt.Sprint("k", i), headerTimeout, "2000"))
			require.Equal(t, problem.MayHaveRun, run)
		})
	}
	require.Eventually(t, func() bool { return waiting.Load() == bookings }, 20*time.Second, time.Millisecond)
	used := f.handler.storedMemory.Used()
	require.Positive(t, used)
	require.LessOrEqual(t, used, int64(maxStoredMemoryBytes))
	callers.Wait()
	require.Eventually(t, func() bool { return f.handler.PendingBookings() == 0 && f.handler.storedMemory.Used() == 0 }, 20*time.Second, time.Millisecond)
	// A large response is still delivered and stored.
	large := strings.Repeat("x", 2<<20)
	good, _ := rawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(large), large))
	f = newFixtureWithServers(t, []declare.BackendServer{serverAt("a", good)})
	for range 2 {
		requireBody(t, large, f.do(t, "POST", "/book/1", "x", "Idempotency-Key", "k"))
	}
	require.Eventually(t, func() bool { return f.handler.PendingBookings() == 0 && f.handler.storedMemory.Used() == 0 }, 20*time.Second, time.Millisecond)
}
