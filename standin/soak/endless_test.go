package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
)

const (
	// memoryMB is the memory of the users' VMs.
	memoryMB = 284
	// endlessCallers call the server that sends without end, soundCallers the other servers.
	endlessCallers, soundCallers = 100, 8
	// uploadCallers send bodies of uploadBytes to the other servers, which answer with as many.
	uploadCallers, uploadBytes = 6, 15 << 20
	// endlessTime is how long all of them go on.
	endlessTime = 2 * time.Second
	// soundTimeout is the deadline of requests to the other servers. None of them takes so long, also on
	// a busy machine.
	soundTimeout = 20 * time.Second
)

// endlessResponses are what a server in trouble sends: a start, and a text that it repeats.
var endlessResponses = map[string]struct{ start, text string }{
	"head":            {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n"},
	"no response":     {"", strings.Repeat("x", 64<<10)},
	"body":            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n", strings.Repeat("x", 64<<10)},
	"announced body":  {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 33000000\r\n\r\n", strings.Repeat("x", 64<<10)},
	"chunks":          {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
	"one-byte chunks": {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 10_000)},
}

// Guards against a server that sends bytes without end and takes the memory of a gateway, or
// what the requests of other callers need.
func TestEndlessResponses(t *testing.T) {
	binary := buildBinary(t)
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			tb, err := newTestbed(Options{Binary: binary, Folder: t.TempDir(), MemoryMB: memoryMB})
			require.NoError(t, err)
			defer tb.close()
			address := httpsyntaxtest.Serve(t, func(c *net.TCPConn, r *http.Request) {
				start := endless.start
				if strings.Contains(start, "%s") {
					start = fmt.Sprintf(start, r.Header.Get("X-Attempt-Id"))
				}
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = io.WriteString(c, endless.text)
				}
			})
			configureEndless(t, tb, address)
			front := tb.gateways[0].ip + ":8206"
			require.Eventually(t, func() bool { return send(front, "/look/1", nil) == http.StatusOK }, 10*time.Second, 20*time.Millisecond)

			ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
			defer cancel()
			var callers sync.WaitGroup
			var answered, failed atomic.Int64
			statuses := new(sync.Map)
			repeat := func(path string, body []byte, record func(status int)) {
				for ctx.Err() == nil {
					record(send(front, path, body))
				}
			}
			for range endlessCallers {
				callers.Go(func() { repeat("/endless/1", nil, func(int) {}) })
			}
			for range uploadCallers {
				callers.Go(func() { repeat("/book/1", make([]byte, uploadBytes), func(int) {}) })
			}
			for i := range soundCallers {
				body := make([]byte, 2+i%2*200_000)
				callers.Go(func() {
					repeat("/book/1", body, func(status int) {
						if status == http.StatusOK {
							answered.Add(1)
							return
						}
						failed.Add(1)
						statuses.Store(status, true)
					})
				})
			}
			callers.Wait()
			peak := peakMemory(t, tb.gateways[0])
			var failures []any
			statuses.Range(func(status, _ any) bool { failures = append(failures, status); return true })
			t.Logf("peak memory %d MB, %d answered, %d failed %v", peak, answered.Load(), failed.Load(), failures)
			require.Less(t, peak, memoryMB, "MB")
			require.Zero(t, failed.Load(), "requests to sound servers")
			require.Positive(t, answered.Load())
		})
	}
}

// configureEndless adds a service with one server, which sends without end, and its route.
func configureEndless(t *testing.T, tb *testbed, address string) {
	t.Helper()
	route := func(prefix, kind, service, timeout string) map[string]any {
		return map[string]any{
			"host": host, "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "300ms", "priority": 1, "service": service, "max_attempts": 2,
		}
	}
	service := map[string]any{"health_path": "/health", "max_conns": 500, "cold_start": "0s", "cold_per_s": 500}
	require.NoError(t, tb.store.Put("op", "config", map[string]any{
		"version": "0000ffff",
		"routes": map[string]any{
			"look": route("/look/", "safe", "desk", soundTimeout.String()), "book": route("/book/", "unsafe", "desk", soundTimeout.String()),
			"endless": route("/endless/", "unsafe", "endless", "2s"),
		},
		"services": map[string]any{"desk": service, "hall": service, "endless": service},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
		"tenants":  map[string]any{"free": map[string]any{"api_keys": []string{"free-1"}}},
	}))
	require.NoError(t, tb.store.Put("servers", "endless", map[string]any{
		"service": "endless", "address": address, "zone": "north-a", "version": "v1", "slots": 1000, "state": "ready", "cold_left": "0ms", "sequence": 1, "born": 1,
	}))
}

// requests numbers the requests of send.
var requests atomic.Int64

// send sends a request on a connection of its own and returns the status of the response; 0 if
// there is none that is complete and has the right body.
func send(front, path string, body []byte) int {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	id := fmt.Sprintf("e%d", requests.Add(1))
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(soundTimeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer free-1")
	client := &http.Client{Timeout: soundTimeout + 5*time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && string(content) != id+" "+path+" "+string(body) {
		return 0
	}
	return response.StatusCode
}

// peakMemory returns the largest memory that a gateway has had, in MB.
func peakMemory(t *testing.T, g *gateway) int {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	require.NoError(t, err, "the gateway has ended")
	_, after, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(t, err)
	return kilobytes * 1024 / 1_000_000
}
