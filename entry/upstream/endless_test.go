package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/entry/bodies"
)

// writeEndlessly writes start and then text until the connection is closed, and returns
// the number of bytes written.
func writeEndlessly(c net.Conn, start, text string) int64 {
	written := int64(0)
	for next := start; ; next = text {
		n, err := io.WriteString(c, strings.ReplaceAll(next, "\n", "\r\n"))
		written += int64(n)
		if err != nil {
			return written
		}
	}
}

const okHead = "HTTP/1.1 200 OK\nX-Attempt-Id: a\nX-Server-Seal: s\n"

// endlessResponses are what servers in trouble send without end. Each has a start, the
// text that follows again and again, and the bytes that may be read of it.
var endlessResponses = map[string]struct {
	start, text string
	limit       int64
}{
	"line without end":           {"HTTP/1.1 200 OK\n", strings.Repeat("x", 1000), maxHeadBytes},
	"status line without end":    {"", strings.Repeat("x", 1000), maxHeadBytes},
	"headers without end":        {okHead, "X-More: " + strings.Repeat("x", 1000) + "\n", maxHeadBytes},
	"interim heads without end":  {"", "HTTP/1.1 100 Continue\nX-More: 1\n\n", maxHeadBytes},
	"folded header without end":  {okHead + "X-More: 1\n", " " + strings.Repeat("x", 1000) + "\n", maxHeadBytes},
	"other responses":            {"", "HTTP/1.1 200 OK\nX-Attempt-Id: z\nContent-Length: 2\n\nhi", maxHeadBytes},
	"body without a length":      {okHead + "\n", strings.Repeat("x", 64<<10), maxResponseBytes},
	"body in chunks":             {okHead + "Transfer-Encoding: chunked\n\n", "10000\n" + strings.Repeat("x", 64<<10) + "\n", maxResponseBytes},
	"chunk line without end":     {okHead + "Transfer-Encoding: chunked\n\n", strings.Repeat("0", 1000), maxHeadBytes},
	"trailers without end":       {okHead + "Transfer-Encoding: chunked\n\n0\n", "X-More: " + strings.Repeat("x", 1000) + "\n", maxHeadBytes},
	"body of a length too large": {okHead + "Content-Length: 99999999999\n\n", strings.Repeat("x", 64<<10), maxHeadBytes},
}

// Guards against a server that sends bytes without end and takes the memory of the process
// and the time of the caller, who gets no clear error.
func TestEndlessBytesOfAServerAreBounded(t *testing.T) {
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
				begin := time.Now()
				_, trace, err := p.Do(context.Background(), newCall("a"))
				require.ErrorIs(t, err, ErrMalformed)
				require.True(t, trace.Sent)
				require.Zero(t, time.Since(begin), "the error comes at once")
				require.Empty(t, p.idle["s1"])
			}, func(c net.Conn, br *bufio.Reader) {
				readID(br)
				written.Store(writeEndlessly(c, endless.start, endless.text))
			})
			require.LessOrEqual(t, written.Load(), endless.limit+endless.limit/4, "bytes that were read")
		})
	}
}

// Guards against slow bytes without end that hold a request and its connection beyond the
// deadline of the caller.
func TestSlowEndlessBytesEndAtTheDeadline(t *testing.T) {
	for name, endless := range endlessResponses {
		if endless.limit != maxResponseBytes && !strings.Contains(name, "heads") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
				begin := time.Now()
				_, _, err := p.Do(context.Background(), newCall("a"))
				require.ErrorIs(t, err, ErrTimeout)
				require.Equal(t, 2*time.Second, time.Since(begin))
			}, func(c net.Conn, br *bufio.Reader) {
				readID(br)
				write(c, endless.start)
				for err := error(nil); err == nil; time.Sleep(50 * time.Millisecond) {
					_, err = io.WriteString(c, strings.ReplaceAll(endless.text, "\n", "\r\n"))
				}
			})
		})
	}
}

// Guards against many bodies without end, or with a large length that is only announced,
// that together take more memory than the process has.
func TestEndlessBodiesShareTheirMemory(t *testing.T) {
	const calls, sentBytes = 24, 8 << 20
	for name, head := range map[string]string{"without a length": okHead + "\n", "with a length": okHead + "Content-Length: 1000000\n\n", "with a large length": okHead + "Content-Length: 33554432\n\n"} {
		t.Run(name, func(t *testing.T) {
			scripts := make([]func(net.Conn, *bufio.Reader), calls)
			for i := range scripts {
				scripts[i] = func(c net.Conn, br *bufio.Reader) {
					readID(br)
					write(c, head)
					for sent := 0; sent < sentBytes; sent += 64 << 10 {
						if _, err := io.WriteString(c, strings.Repeat("x", 64<<10)); err != nil {
							return
						}
					}
					_, _ = br.ReadByte()
				}
			}
			runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
				var rejected atomic.Int64
				var callers sync.WaitGroup
				for range calls {
					callers.Go(func() {
						response, _, err := p.Do(context.Background(), newCall("a"))
						if errors.Is(err, bodies.ErrMemoryFull) {
							rejected.Add(1)
						}
						if err == nil {
							response.Release()
						}
					})
				}
				time.Sleep(time.Second)
				if name != "with a length" {
					require.GreaterOrEqual(t, rejected.Load(), int64(calls-maxBodyMemoryBytes/sentBytes), "at once")
				}
				require.LessOrEqual(t, p.bodyMemory.Used(), int64(maxBodyMemoryBytes))
				callers.Wait()
				require.Zero(t, p.bodyMemory.Used(), "all of it is released")
			}, scripts...)
		})
	}
}

// Guards against bodies that wait for callers on slow links, which take memory as well:
// what has been read counts until it is released.
func TestBodiesCountUntilTheyAreReleased(t *testing.T) {
	const size = 24 << 20
	script := func(c net.Conn, br *bufio.Reader) {
		for id := readID(br); id != ""; id = readID(br) {
			write(c, "HTTP/1.1 200 OK\nX-Attempt-Id: "+id+fmt.Sprintf("\nContent-Length: %d\n\n", size))
			for sent := 0; sent < size; sent += 64 << 10 {
				if _, err := io.WriteString(c, strings.Repeat("x", 64<<10)); err != nil {
					return
				}
			}
		}
	}
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		var responses []*Response
		for range maxBodyMemoryBytes / size {
			response, _, err := p.Do(context.Background(), newCall("a"))
			require.NoError(t, err)
			require.Len(t, response.Body, size)
			responses = append(responses, response)
		}
		_, _, err := p.Do(context.Background(), newCall("a"))
		require.ErrorIs(t, err, bodies.ErrMemoryFull)
		responses[0].Release()
		responses[0].Release()
		response, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		response.Release()
		responses[1].Release()
		require.Zero(t, p.bodyMemory.Used())
	}, script, script, script, script)
}
