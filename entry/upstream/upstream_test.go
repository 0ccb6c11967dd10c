package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// scriptedServer is a backend server whose connections follow one script each.
type scriptedServer struct {
	scripts []func(c net.Conn, br *bufio.Reader)

	mu        sync.Mutex
	dialCount int
}

func (s *scriptedServer) DialContext(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialCount >= len(s.scripts) {
		return nil, errors.New("refused")
	}
	client, server := net.Pipe()
	script := s.scripts[s.dialCount]
	s.dialCount++
	go func() {
		defer server.Close()
		script(server, bufio.NewReader(server))
	}()
	return client, nil
}

// readID reads one request and returns its id.
func readID(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Attempt-Id")
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\nX-Attempt-Id: " + id + "\nX-Server-Seal: s\nContent-Length: " + itoa(len(body)) + "\n\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func newCall(id string) *Call {
	return &Call{
		ServerID: "s1", Address: "x", Method: "GET", Target: "/a?b=c", Host: "h", Header: http.Header{"X-Attempt-Id": {id}},
		AttemptID: id, Idempotent: true, MaxIdleConns: maxIdleConnsPerServer, Deadline: time.Now().Add(2 * time.Second),
	}
}

// runInVirtualTime runs a test in virtual time with a scripted server.
func runInVirtualTime(t *testing.T, test func(p *Pool, s *scriptedServer), scripts ...func(c net.Conn, br *bufio.Reader)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := &scriptedServer{scripts: scripts}
		p := NewPool(s, NewBodyMemory())
		test(p, s)
		p.CloseIdle("s1")
		// Longer than any script takes.
		time.Sleep(time.Minute)
	})
}

// Guards against a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, s *scriptedServer) {
		for _, id := range []string{"a", "b"} {
			got, trace, err := p.Do(context.Background(), newCall(id))
			require.NoError(t, err)
			require.Equal(t, "hi", string(got.Body))
			require.True(t, got.ServerHeaders.Sealed)
			require.True(t, trace.Sent)
		}
		require.Equal(t, 1, s.dialCount)
	}, func(c net.Conn, br *bufio.Reader) {
		for id := readID(br); id != ""; id = readID(br) {
			write(c, okResponse(id, "hi"))
		}
	})
}

// Guards against returning the response to another request: a surplus response
// may precede the expected one.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		got, _, err := p.Do(context.Background(), newCall("b"))
		require.NoError(t, err)
		require.Equal(t, "mine", string(got.Body))
	}, func(c net.Conn, br *bufio.Reader) {
		id := readID(br)
		write(c, okResponse("a", "other")+okResponse(id, "mine"))
	})
}

// Guards against reusing a connection on which bytes follow a complete
// response.
func TestBytesAfterAResponseEndTheConnection(t *testing.T) {
	serve := func(extra string) func(c net.Conn, br *bufio.Reader) {
		return func(c net.Conn, br *bufio.Reader) { id := readID(br); write(c, okResponse(id, "hi")+extra); readID(br) }
	}
	runInVirtualTime(t, func(p *Pool, s *scriptedServer) {
		for _, id := range []string{"a", "b"} {
			got, _, err := p.Do(context.Background(), newCall(id))
			require.NoError(t, err)
			require.Equal(t, "hi", string(got.Body))
		}
		require.Equal(t, 2, s.dialCount)
	}, serve("HTTP/1.1 200 OK\n"), serve(""))
}

// Guards against responses that are truncated, not HTTP or those of another
// request and are taken for complete.
func TestMalformedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		kind     error
	}{
		"truncated body":          {"HTTP/1.1 200 OK\nX-Attempt-Id: a\nContent-Length: 9\n\nhalf", ErrMalformed},
		"truncated chunk":         {"HTTP/1.1 200 OK\nX-Attempt-Id: a\nTransfer-Encoding: chunked\n\n5\nhel", ErrMalformed},
		"truncated head":          {"HTTP/1.1 200 OK\nX-Att", ErrMalformed},
		"closed without response": {"", ErrBroken},
		"not HTTP":                {"hello world\n\n", ErrMalformed},
		"without id":              {"HTTP/1.1 200 OK\nContent-Length: 0\n\n", ErrMalformed},
		"only other response":     {okResponse("z", "x"), ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
				_, trace, err := p.Do(context.Background(), newCall("a"))
				require.ErrorIs(t, err, c.kind)
				require.True(t, trace.Sent, "the request may have run")
			}, func(nc net.Conn, br *bufio.Reader) { readID(br); write(nc, c.response) })
		})
	}
}

// Guards against reusing a connection whose response ended with the connection,
// and against rejecting such a response.
func TestResponseWithoutLength(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, s *scriptedServer) {
		got, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		require.Equal(t, "all of it", string(got.Body))
		require.Empty(t, p.idle["s1"])
	}, func(c net.Conn, br *bufio.Reader) {
		id := readID(br)
		write(c, "HTTP/1.1 200 OK\nX-Attempt-Id: "+id+"\n\nall of it")
	})
}

// Guards against taking a rejection without an id for a malformed response:
// servers that shed do not return the id.
func TestRejectionNeedsNoID(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		got, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		require.True(t, got.ServerHeaders.NotRun)
	}, func(c net.Conn, br *bufio.Reader) {
		readID(br)
		write(c, "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n")
	})
}

// Guards against a late second copy of a rejection without an id that is taken for the
// response to the next request of its connection, which is then run twice or reported as
// not run.
func TestLateCopyOfARejectionIsNotTaken(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		got, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		require.True(t, got.ServerHeaders.NotRun)
		got, _, err = p.Do(context.Background(), newCall("b"))
		require.NoError(t, err)
		require.False(t, got.ServerHeaders.NotRun)
		require.Equal(t, "mine", string(got.Body))
	}, func(c net.Conn, br *bufio.Reader) {
		readID(br)
		write(c, rejection)
		if id := readID(br); id != "" {
			write(c, rejection+okResponse(id, "mine"))
		}
	}, func(c net.Conn, br *bufio.Reader) { write(c, okResponse(readID(br), "mine")) })
}

// Guards against a health check that reads a late second copy of another response, and
// against a request that then gets the response to the health check.
func TestHealthCheckHasItsOwnConnection(t *testing.T) {
	const health = "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nX-Instance-Id: s1\nContent-Length: 0\n\n"
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		_, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		check := newCall("")
		check.Header = http.Header{}
		got, _, err := p.Do(context.Background(), check)
		require.NoError(t, err)
		require.Equal(t, "s1", got.ServerHeaders.InstanceID)
		got, _, err = p.Do(context.Background(), newCall("b"))
		require.NoError(t, err)
		require.False(t, got.ServerHeaders.NotRun)
	}, func(c net.Conn, br *bufio.Reader) {
		write(c, okResponse(readID(br), "hi"))
		id := readID(br)
		if id == "" {
			write(c, okResponse("a", "hi")+health)
			id = readID(br)
		}
		write(c, okResponse(id, "hi"))
	}, func(c net.Conn, br *bufio.Reader) {
		readID(br)
		write(c, health)
		readID(br)
	})
}

// Guards against idle connections of many VMs that add up to more than a server accepts,
// so that it resets the connections of requests.
func TestIdleConnectionsOfAllVMsFit(t *testing.T) {
	for _, c := range []struct{ serverConns, vms int }{{390, 11}, {1440, 70}, {1620, 80}, {1680, 84}, {1680, 300}, {1680, 4100}, {1, 1}} {
		require.LessOrEqual(t, float64(MaxIdleConns(c.serverConns, c.vms)*c.vms), 0.8*float64(c.serverConns), "%v", c)
	}
	require.Positive(t, MaxIdleConns(1680, 300))
	require.Equal(t, maxIdleConnsPerServer, MaxIdleConns(0, 4100))
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		call := newCall("a")
		call.MaxIdleConns = 0
		_, _, err := p.Do(context.Background(), call)
		require.NoError(t, err)
		require.Empty(t, p.idle["s1"])
	}, func(c net.Conn, br *bufio.Reader) { write(c, okResponse(readID(br), "hi")); readID(br) })
}

// Guards against a response without a length that is reset on its way and taken for
// complete.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		id := readID(bufio.NewReader(c))
		write(c, "HTTP/1.1 200 OK\nX-Attempt-Id: "+id+"\nX-Server-Seal: s\n\nhalf of it")
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	call := newCall("a")
	call.Address = listener.Addr().String()
	_, trace, err := NewPool(&net.Dialer{}, NewBodyMemory()).Do(context.Background(), call)
	require.ErrorIs(t, err, ErrBroken)
	require.True(t, trace.Sent)
}

// Guards against waiting for an unresponsive server beyond the deadline, and
// against keeping its connection.
func TestUnresponsiveServer(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		begin := time.Now()
		_, _, err := p.Do(context.Background(), newCall("a"))
		require.ErrorIs(t, err, ErrTimeout)
		require.Equal(t, 2*time.Second, time.Since(begin))
		require.Empty(t, p.idle["s1"])
	}, func(_ net.Conn, br *bufio.Reader) { readID(br); readID(br) })
}

// Guards against a server that goes on working after its caller has left.
func TestCancelledCallEndsTheConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, _, err := p.Do(ctx, newCall("a"))
		require.ErrorIs(t, err, ErrCancelled)
		require.Equal(t, 100*time.Millisecond, (<-closed).Sub(begin))
	}, func(_ net.Conn, br *bufio.Reader) { readID(br); readID(br); closed <- time.Now() })
}

// Guards against a non-idempotent request on a connection that the server may
// have dropped: its outcome would be unknown.
func TestNonIdempotentRequestNeedsAFreshConnection(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for id := readID(br); id != ""; id = readID(br) {
			write(c, okResponse(id, "hi"))
		}
	}
	runInVirtualTime(t, func(p *Pool, s *scriptedServer) {
		_, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		time.Sleep(maxIdleTimeNonIdempotent + time.Millisecond)
		nonIdempotent := newCall("b")
		nonIdempotent.Idempotent = false
		_, _, err = p.Do(context.Background(), nonIdempotent)
		require.NoError(t, err)
		require.Equal(t, 2, s.dialCount)
		_, _, err = p.Do(context.Background(), newCall("c"))
		require.NoError(t, err)
		require.Equal(t, 2, s.dialCount, "idempotent requests reuse the idle connection")
	}, serve, serve)
}

// Guards against reusing a connection after the time for which the server said
// that it keeps it.
func TestKeepAliveHeaderIsHonored(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		id := readID(br)
		write(c, "HTTP/1.1 200 OK\nX-Attempt-Id: "+id+"\nKeep-Alive: timeout=2\nContent-Length: 0\n\n")
		readID(br)
	}
	runInVirtualTime(t, func(p *Pool, s *scriptedServer) {
		_, _, err := p.Do(context.Background(), newCall("a"))
		require.NoError(t, err)
		time.Sleep(2*time.Second - keepAliveMargin)
		_, _, err = p.Do(context.Background(), newCall("b"))
		require.NoError(t, err)
		require.Equal(t, 2, s.dialCount)
	}, serve, serve)
}

// Guards against sending the rest of a long body on a reused connection after
// the server answered early: the server would take it for a request.
func TestEarlyResponseToALongBodyEndsTheConnection(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		c := newCall("a")
		c.Method, c.Body = "POST", make([]byte, 4*maxPooledBufferBytes)
		got, _, err := p.Do(context.Background(), c)
		require.NoError(t, err)
		require.Equal(t, 400, got.Status)
		require.Empty(t, p.idle["s1"])
	}, func(c net.Conn, br *bufio.Reader) {
		r, _ := http.ReadRequest(br)
		write(c, "HTTP/1.1 400 Bad Request\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\nX-Server-Seal: s\nContent-Length: 0\n\n")
		// The server neither reads the rest nor closes the connection.
		time.Sleep(10 * time.Second)
	})
}

// Guards against counting a failed connection as a request that may have run.
func TestNoConnectionMeansNotSent(t *testing.T) {
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		_, trace, err := p.Do(context.Background(), newCall("a"))
		require.ErrorIs(t, err, ErrNotSent)
		require.False(t, trace.Sent)
	})
}

// Guards against changed targets, against passing on headers that concern one
// connection, and against requests with a body but without a length.
func TestRequestAsSent(t *testing.T) {
	lines := make(chan string, 1)
	runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
		c := newCall("a")
		c.Method, c.Target, c.HasBody = "PUT", "/a%2Fb//c?x=%20&y", true
		c.Header["Connection"] = []string{"close"}
		c.Header["Transfer-Encoding"] = []string{"chunked"}
		_, _, _ = p.Do(context.Background(), c)
		require.Equal(t, "PUT /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n", <-lines)
	}, func(c net.Conn, _ *bufio.Reader) {
		buf := make([]byte, 4096)
		n, _ := c.Read(buf)
		lines <- string(buf[:n])
	})
}

// Guards against a faulty server that writes an earlier rejection once more on a kept
// connection: the caller would be told that a request was not run which the server runs.
func TestEarlierRejectionIsNotTakenForALaterRequest(t *testing.T) {
	const anonymous = "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	const identified = "HTTP/1.1 503 Service Unavailable\nX-Attempt-Id: a\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	tests := map[string]struct {
		first, again, later string
		unknown             bool
	}{
		"with the id of another request":               {first: "a", again: identified, later: "b"},
		"without an id, after one to another caller":   {first: "a", again: anonymous, later: "b", unknown: true},
		"with the id of a request that is sent again":  {first: "a", again: identified, later: "a"},
		"without an id, to a request that is repeated": {first: "a", again: anonymous, later: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
				got, _, err := p.Do(context.Background(), newCall(test.first))
				require.NoError(t, err)
				require.True(t, got.ServerHeaders.NotRun)
				got, trace, err := p.Do(context.Background(), newCall(test.later))
				if test.unknown {
					require.ErrorIs(t, err, ErrMalformed, "the request may have run")
					require.True(t, trace.Sent)
					return
				}
				require.NoError(t, err)
				require.False(t, got.ServerHeaders.NotRun)
				require.Equal(t, "mine", string(got.Body))
			}, func(c net.Conn, br *bufio.Reader) {
				readID(br)
				write(c, identified)
				if id := readID(br); id != "" {
					write(c, test.again+okResponse(id, "mine"))
				}
			}, func(c net.Conn, br *bufio.Reader) { write(c, okResponse(readID(br), "mine")) })
		})
	}
}

// Guards against an answer of which a part is taken for the whole: the server stops at any
// byte and ends the connection, in good order or not, or says nothing more.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	heads := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nContent-Length: 12\r\nX-Server-Load: 1,0,6\r\n\r\nhello, world",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 2\r\nX-Server-Seal: s\r\n\r\nhi",
		"empty":   "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	}
	ends := map[string]func(c net.Conn){
		"closed":  func(c net.Conn) { _ = c.Close() },
		"silence": func(net.Conn) { time.Sleep(5 * time.Second) },
	}
	for name, whole := range heads {
		for end, finish := range ends {
			t.Run(name+" "+end, func(t *testing.T) {
				for n := range len(whole) {
					runInVirtualTime(t, func(p *Pool, _ *scriptedServer) {
						got, _, err := p.Do(context.Background(), newCall("a"))
						require.Error(t, err, "after %q: %+v", whole[:n], got)
					}, func(c net.Conn, br *bufio.Reader) {
						readID(br)
						_, _ = io.WriteString(c, whole[:n])
						finish(c)
					})
				}
			})
		}
	}
}
